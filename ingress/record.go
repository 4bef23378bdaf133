package ingress

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/metrics"
)

// sampleEvery is the number of calm requests of which one is logged.
const sampleEvery = 64

// recorder writes the story of requests that failed, were refused, repeated or
// late, and of a sample of the others.
type recorder struct {
	log     *log.Logger
	metrics *metrics.Registry
	calm    *atomic.Int64
}

func newRecorder(l *log.Logger, m *metrics.Registry) recorder {
	return recorder{log: l, metrics: m, calm: new(atomic.Int64)}
}

// step is one send of a request and its end.
type step struct {
	replica   string
	outcome   dispatch.Outcome
	err       error
	expected  time.Duration
	loadAge   time.Duration
	running   int
	urgency   int
	firstByte time.Duration // from the send to the first byte; 0 if none came
	cached    int
	adapter   bool // had to be brought
	since     time.Duration
	sentAfter time.Duration
}

// String formats the step as key=value pairs.
func (s step) String() string {
	text := fmt.Sprintf("replica=%s outcome=%s sent_after=%s ended_after=%s first_byte_after=%s expected=%s urgency=%d running=%d load_age=%s cached_tokens=%d adapter_loaded=%t",
		s.replica, s.outcome, s.sentAfter.Round(time.Millisecond), s.since.Round(time.Millisecond),
		s.firstByte.Round(time.Millisecond), s.expected.Round(time.Millisecond), s.urgency, s.running, s.loadAge.Round(time.Millisecond), s.cached, s.adapter)
	if s.err != nil {
		text += fmt.Sprintf(" error=%q", s.err.Error())
	}
	return text
}

// note records the end of a send.
func (x *exchange) note(f *controlplane.Flight, outcome dispatch.Outcome, err error) {
	d := f.Decision
	x.steps = append(x.steps, step{
		replica: d.Replica.ID, outcome: outcome, err: err, expected: d.Expected, loadAge: min(d.LoadAge, time.Hour), running: d.Running, urgency: d.Urgency, firstByte: x.sendFirstByte,
		cached: d.CachedTokens, adapter: d.NeedsAdapter, since: time.Since(x.arrived), sentAfter: f.SentAt.Sub(x.arrived),
	})
	x.gateway.metrics.Counter("sends", "kind", x.route.Kind.String(), "outcome", outcome.String()).Add(1)
}

// logRepeat writes a line on a request that is sent once more. The line on its
// end repeats this; a process that is killed in between does not write that one.
func (x *exchange) logRepeat(d dispatch.Decision) {
	x.gateway.log.Info("request sent again", "request", x.head.ID, "replica", d.Replica.ID, "after", x.last.String(), "sends", len(x.tried),
		"arrivals", x.arrivals, "ran", x.ran, "last_event", x.lastEvent, "expected", d.Expected.Round(time.Millisecond),
		"running", d.Running, "load_age", min(d.LoadAge, time.Hour).Round(time.Millisecond), "urgency", d.Urgency, "elapsed", time.Since(x.arrived).Round(time.Millisecond))
}

// waitsMetric counts the requests that waited, by cause.
const waitsMetric = "waits"

// exportWaits lets the counters of waits stand at zero until the first one, so that
// a rate can be taken of them.
func exportWaits(m *metrics.Registry) {
	for _, cause := range dispatch.WaitCauses {
		m.Counter(waitsMetric, "cause", string(cause))
	}
}

// logWait writes a line on a request that waits for its model or adapter.
func (x *exchange) logWait(d dispatch.Decision) {
	x.gateway.metrics.Counter(waitsMetric, "cause", string(d.Cause)).Add(1)
	x.gateway.log.Info("request waits", "request", x.head.ID, "model", x.head.Model, "adapter", x.head.Adapter, "cause", string(d.Cause),
		"wait", d.RetryAfter.Round(time.Millisecond), "elapsed", time.Since(x.arrived).Round(time.Millisecond))
}

// finish records the end of the request. An empty cause means that a replica's
// answer is passed on whole; status 0 means that the connection is broken off.
func (x *exchange) finish(status int, cause string) {
	m := x.gateway.metrics
	kind, rank, route := "none", -1, ""
	if x.route != nil {
		kind, rank, route = x.route.Kind.String(), x.route.Rank, x.route.Name
	}
	took := time.Since(x.arrived)
	outcome := "answered"
	if cause != "" {
		outcome = cause
	}
	m.Counter("requests", "kind", kind, "rank", fmt.Sprint(rank), "status", fmt.Sprint(status), "cause", outcome).Add(1)
	toFirst := took
	if !x.firstByte.IsZero() {
		toFirst = x.firstByte.Sub(x.arrived)
		m.Histogram("first_byte", "kind", kind, "rank", fmt.Sprint(rank)).Observe(toFirst)
	}
	late := x.route != nil && x.route.LatencyTarget > 0 && toFirst > x.route.LatencyTarget
	noteworthy := cause != "" || status >= 400 || len(x.steps) > 1 || late
	if !noteworthy && x.gateway.recorder.calm.Add(1)%sampleEvery != 0 {
		return
	}
	x.gateway.log.Info("request ended", "request", x.head.ID, "route", route, "kind", kind, "rank", rank, "model", x.head.Model,
		"adapter", x.head.Adapter, "status", status, "cause", outcome, "late", late, "first_byte", toFirst.Round(time.Millisecond),
		"took", took.Round(time.Millisecond), "time_left", x.head.TimeLeft, "waited", x.waited, "ran", x.ran, "last_event", x.lastEvent, "sends", x.story())
}

func (x *exchange) story() string {
	texts := make([]string, len(x.steps))
	for i, s := range x.steps {
		texts[i] = s.String()
	}
	return strings.Join(texts, "; ")
}
