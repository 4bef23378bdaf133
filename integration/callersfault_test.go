//go:build linux

package integration

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/table"
)

// Guards against unreachable models (I2), overcommitted memory (I1) and swapped
// answers (I3) when all demand shifts abruptly from one row to another (F1).
func TestDemandMovesAtOnce(t *testing.T) {
	d := startDeployment(t, options{})
	for _, name := range []string{modelName(0), adapterName(3), modelName(2), adapterName(1)} {
		results := make(chan error, 120)
		for n := range cap(results) {
			go func() {
				results <- checkAnswer(t.Context(), d.members()[n%instanceCount], name, uniqueText("demand"), 20)
			}()
		}
		for range cap(results) {
			if err := <-results; err != nil {
				t.Error(err) // without targets and limits, no request may be refused
			}
		}
	}
	d.waitReachable()
	d.checkMemory()
}

// Guards against wrong answers, requests dropped without a response, and refused
// requests that ran (I3, I4) when the patient rank is flooded, and against a
// flood that blocks the urgent and prompt ranks (F4).
func TestFloodOfOneRank(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	patient := modelName(2)
	d.waitRevision(d.editRow(d.members()[0], patient, func(r *table.Row) { r.Limits.InFlight = 30 }))
	type result struct {
		text string
		err  error
	}
	flood := make(chan result, 300)
	for n := range cap(flood) {
		go func() {
			text := uniqueText("flood")
			flood <- result{text, checkAnswer(t.Context(), d.members()[n%instanceCount], patient, text, 30)}
		}()
	}
	for n := range 20 {
		is.NoErr(checkAnswer(t.Context(), d.members()[n%instanceCount], modelName(0), uniqueText("urgent"), 4))
		is.NoErr(checkAnswer(t.Context(), d.members()[n%instanceCount], modelName(1), uniqueText("prompt"), 4))
	}
	var o outcomes
	for range cap(flood) {
		switch r := <-flood; {
		case r.err == nil:
			o.answered++
		case isNotExecuted(r.err):
			o.refused = append(o.refused, r.text)
		default:
			t.Error(r.err)
		}
	}
	is.True(o.answered > 0)
	is.True(len(o.refused) > 0)
	d.checkSafety(o)
}

// Guards against a request that crashes one engine after another when its caller
// repeats it through other instances under new request ids (F9), and against
// concurrent requests that are lost or answered wrongly.
func TestCrashingRequestIsSentAgain(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{engineFlags: []string{"--poison", "POISON"}})
	l := d.startLoad(9)
	for n := range 6 {
		err := checkAnswer(t.Context(), d.members()[n%instanceCount], modelName(2), "POISON again", 8)
		is.True(err != nil) // the request crashes every engine that runs it
		is.True(!errors.Is(err, errWrongAnswer))
	}
	crashes := 0
	for _, e := range d.engines {
		crashes += d.readEngineCounts(e).Crashes
	}
	if crashes > 2 {
		t.Error(fmt.Errorf("%d engine crashes caused by one request, want at most 2", crashes))
	}
	d.checkSafety(l.stopAndWait())
	d.waitReachable()
}
