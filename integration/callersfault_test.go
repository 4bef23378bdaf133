//go:build linux

package integration

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/table"
)

// Guards against demand that moves to other rows at once and makes models
// unreachable (I2), overcommits memory (I1) or mixes answers up (I3) (F1).
func TestDemandMovesAtOnce(t *testing.T) {
	d := startDeployment(t, options{})
	for _, name := range []string{modelName(0), adapterName(3), modelName(2), adapterName(1)} {
		results := make(chan error, 120)
		for n := range cap(results) {
			go func() {
				results <- checkAnswer(t.Context(), d.members()[n%instanceCount], name, newText("demand"), 20)
			}()
		}
		for range cap(results) {
			if err := <-results; err != nil {
				t.Error(err) // no row has a target or a limit, so nothing is refused
			}
		}
	}
	d.waitReachable()
	d.checkMemory()
}

// Guards against a flood of the least urgent rank that is answered wrongly,
// dropped without an answer, or run although it was refused (I3, I4), and
// that stops the other ranks (F4).
func TestFloodOfOneRank(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{})
	patient := modelName(2)
	d.waitInForce(d.edit(d.members()[0], patient, func(r *table.Row) { r.Limits.InFlight = 30 }))
	type result struct {
		text string
		err  error
	}
	flood := make(chan result, 300)
	for n := range cap(flood) {
		go func() {
			text := newText("flood")
			flood <- result{text, checkAnswer(t.Context(), d.members()[n%instanceCount], patient, text, 30)}
		}()
	}
	for n := range 20 {
		is.NoErr(checkAnswer(t.Context(), d.members()[n%instanceCount], modelName(0), newText("urgent"), 4))
		is.NoErr(checkAnswer(t.Context(), d.members()[n%instanceCount], modelName(1), newText("prompt"), 4))
	}
	var o outcomes
	for range cap(flood) {
		switch r := <-flood; {
		case r.err == nil:
			o.answered++
		case saidNo(r.err):
			o.refused = append(o.refused, r.text)
		default:
			t.Error(r.err)
		}
	}
	is.True(o.answered > 0)
	is.True(len(o.refused) > 0)
	d.checkSafety(o)
}

// Guards against a request that takes down one engine after another when its
// caller sends it again through other instances under other request ids (F9),
// and against innocent requests that are lost or answered wrongly beside it.
func TestCrashingRequestIsSentAgain(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, options{engineFlags: []string{"--poison", "POISON"}})
	l := d.startLoad(9)
	for n := range 6 {
		err := checkAnswer(t.Context(), d.members()[n%instanceCount], modelName(2), "POISON again", 8)
		is.True(err != nil) // it can never be answered
		is.True(!errors.Is(err, errWrongAnswer))
	}
	crashes := 0
	for _, e := range d.engines {
		crashes += d.counts(e).Crashes
	}
	if crashes > 2 {
		t.Error(fmt.Errorf("%d engines were lost to one request", crashes))
	}
	d.checkSafety(l.end())
	d.waitReachable()
}
