package controlplane

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/suspect"
)

// Guards against a request that counts as in flight for ever because its caller left
// while its admission was queued: a replica that is put aside is then never tried again.
func TestCanceledAdmissionLeavesNoFlight(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	r := &catalog.Replica{ID: "r", Service: "s", Address: "a:1", StartMillis: 1}
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{{ID: "r", Version: 1, Replica: r}}, Version: 1}.apply(c, epoch)
	s := New(nodeconfig.Node{}, log.New(io.Discard), metrics.New())
	ctx, cancel := context.WithCancel(t.Context())
	req := &dispatch.Request{ID: "q", Route: &catalog.Route{MaxAttempts: 2}, Service: "s", Arrived: epoch, Deadline: epoch.Add(time.Second)}
	failed := make(chan error, 1)
	go func() {
		_, err := s.Admit(ctx, AdmissionRequest{Request: req})
		failed <- err
	}()
	ev := <-s.events
	cancel()
	is.True(<-failed != nil)
	ev.apply(c, epoch)
	for len(s.events) > 0 {
		(<-s.events).apply(c, epoch)
	}
	is.Equal(c.dispatch.OwnLoad()["r"].Requests, 0)
}

// Guards against blocking the prompt parts of requests whose answers were broken off for
// what they held: their replicas have not crashed.
func TestInvalidAnswersAreNoCrashes(t *testing.T) {
	is := is.New(t)
	for _, invalid := range []bool{false, true} {
		c := newTestCore(t)
		now := epoch
		req := &dispatch.Request{ID: "q", Route: &catalog.Route{MaxAttempts: 2}, Service: "s", SharedParts: []suspect.Part{7}}
		for i := range 5 {
			now = now.Add(time.Second)
			d := dispatch.Decision{Replica: &catalog.Replica{ID: fmt.Sprint("r", i)}}
			f := &Flight{Request: req, Decision: d, SentAt: now, HeadSeen: true, InvalidAnswer: invalid}
			finish{flight: f, outcome: dispatch.ConnectionBroken}.apply(c, now)
			c.tick(now, bootclock.Now())
		}
		index, _ := c.dispatch.Suspects().Blocked(now, req.SharedParts)
		is.Equal(index, map[bool]int{false: 0, true: -1}[invalid])
	}
}

// Guards against a crashing part that is not blocked because its requests get no head of an
// answer, while the replicas that they crash send the events of others: these have begun
// their answers, and so are not to blame.
func TestSendsWithEventsHideNoCrashingPart(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	request := func(part suspect.Part) *dispatch.Request {
		return &dispatch.Request{ID: "q", Route: &catalog.Route{MaxAttempts: 2}, Service: "s", SharedParts: []suspect.Part{part}}
	}
	const sound, deadly = 5, 7
	now := epoch
	for i := range 5 {
		now = now.Add(time.Second)
		d := dispatch.Decision{Replica: &catalog.Replica{ID: fmt.Sprint("r", i)}}
		streaming := &Flight{Request: request(sound), Decision: d, SentAt: now, HeadSeen: true, EventsBegun: true}
		finish{flight: streaming, outcome: dispatch.ConnectionBroken}.apply(c, now)
		finish{flight: &Flight{Request: request(deadly), Decision: d, SentAt: now}, outcome: dispatch.ConnectionBroken}.apply(c, now)
		c.dispatch.RecordSettled(now.Add(time.Millisecond), request(sound), dispatch.Decision{Replica: &catalog.Replica{ID: "another"}})
	}
	now = now.Add(time.Second)
	c.dispatch.Suspects().Decide(now, suspect.Role{Holder: "h"})
	index, _ := c.dispatch.Suspects().Blocked(now, []suspect.Part{deadly})
	is.Equal(index, 0)
	index, _ = c.dispatch.Suspects().Blocked(now, []suspect.Part{sound})
	is.Equal(index, -1)
}

// Guards against waiting requests whose callers have left, that take the room of others when
// it comes, and against requests that are never answered because no news wakes them.
func TestQueuedAdmissions(t *testing.T) {
	is := is.New(t)
	c := newTestCore(t)
	r := &catalog.Replica{ID: "r", Service: "s", Address: "a:1", StartMillis: 1, Slots: 4, Models: []catalog.LoadedModel{{Name: "m"}}}
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{{ID: "r", Version: 1, Replica: r}}, Version: 1}.apply(c, epoch)
	reportSeen{from: r, report: &dispatch.Report{Slots: 4, Slowness: 1}}.apply(c, epoch)
	full := dispatch.Load{Requests: 1}
	full.PendingPrefill[0] = 20_000
	FleetSeen{State: FleetState{Loads: map[string]dispatch.Load{"r": full}}}.apply(c, epoch)
	submit := func(ctx context.Context, id string) (*admit, chan Admission) {
		answer := make(chan Admission, 1)
		route := &catalog.Route{Kind: catalog.Stream, LatencyTarget: time.Second, MaxAttempts: 1}
		e := &admit{ctx: ctx, answer: answer, request: AdmissionRequest{Request: &dispatch.Request{ID: id, Route: route, Service: "s", Model: "m", PromptTokens: 500, Arrived: epoch, Deadline: epoch.Add(5 * time.Second)}}}
		e.apply(c, epoch)
		return e, answer
	}
	_, first := submit(t.Context(), "first")
	left, second := submit(t.Context(), "second")
	is.Equal(len(first)+len(second), 0)
	at, waiting := c.nextServeTime()
	is.True(waiting && at.After(epoch) && at.Before(epoch.Add(200*time.Millisecond)))
	withdraw{admit: left}.apply(c, epoch)
	is.Equal((<-second).Flight, nil)
	FleetSeen{State: FleetState{}}.apply(c, epoch.Add(300*time.Millisecond))
	a := <-first
	is.Equal(a.Flight.Request.ID, "first")
	is.Equal(a.Waited, 300*time.Millisecond)
	is.Equal(a.WaitCause, dispatch.CauseFull)
	is.Equal(c.metrics.Counter(waitsMetric, "cause", string(dispatch.CauseFull)).Value(), int64(1))
	_, waiting = c.nextServeTime()
	is.True(!waiting)
	is.Equal(c.dispatch.OwnLoad()["r"].Requests, 1)
}
