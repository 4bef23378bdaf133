package ingress

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// sampleInterval is the number of ordinary requests per logged one. An ordinary request
// was answered by the first replica without an error and within its latency target.
const sampleInterval = 64

// recorder logs the end of requests that failed, were refused, were retried or missed
// their latency target, and of a sample of the ordinary ones.
type recorder struct {
	log      *log.Logger
	metrics  *metrics.Registry
	ordinary *atomic.Int64 // number of ordinary requests so far
}

func newRecorder(l *log.Logger, m *metrics.Registry) recorder {
	return recorder{log: l, metrics: m, ordinary: new(atomic.Int64)}
}

// attempt describes one send of a request to a replica and its outcome.
type attempt struct {
	replica         string
	outcome         dispatch.Outcome
	err             error
	expected        time.Duration // expected time to the first byte
	loadAge         time.Duration
	running         int
	slowness        float64 // factor in expected; 0 if the replica's service states none
	urgency         int
	timeToFirstByte time.Duration // from the send to the first byte; 0 if none arrived
	cachedTokens    int
	prefixSource    string        // replica from whose KV cache shared prompt parts were to be taken
	adapterLoaded   bool          // the adapter had to be loaded first
	endedAfter      time.Duration // from the arrival of the request
	sentAfter       time.Duration // from the arrival of the request
	list            controlplane.ListEvidence
}

// String returns the attempt as key=value pairs for the log.
func (s attempt) String() string {
	text := fmt.Sprintf("replica=%s outcome=%s sent_after=%s ended_after=%s first_byte_after=%s expected=%s urgency=%d running=%d load_age=%s cached_tokens=%d adapter_loaded=%t",
		s.replica, s.outcome, s.sentAfter.Round(time.Millisecond), s.endedAfter.Round(time.Millisecond),
		s.timeToFirstByte.Round(time.Millisecond), s.expected.Round(time.Millisecond), s.urgency, s.running, s.loadAge.Round(time.Millisecond), s.cachedTokens, s.adapterLoaded)
	if s.slowness > 0 {
		text += fmt.Sprintf(" slowness=%.2f", s.slowness)
	}
	if s.prefixSource != "" {
		text += " prefix_source=" + s.prefixSource
	}
	text += fmt.Sprintf(" list_source=%s list_age=%s", s.list.Source, min(s.list.Age, time.Hour).Round(time.Millisecond))
	if s.list.RemovalPending {
		text += " entry_removed=true"
	}
	if s.err != nil {
		text += fmt.Sprintf(" error=%q", s.err.Error())
	}
	return text
}

// recordAttempt records the outcome of a send for the log and the metrics.
func (x *exchange) recordAttempt(f *controlplane.Flight, outcome dispatch.Outcome, err error) {
	d := f.Decision
	x.attempts = append(x.attempts, attempt{
		replica: d.Replica.ID, outcome: outcome, err: err, expected: d.Expected, loadAge: min(d.LoadAge, time.Hour), running: d.Running, slowness: d.Slowness, urgency: d.Urgency, timeToFirstByte: x.timeToFirstByte,
		cachedTokens: d.CachedTokens, prefixSource: prefixSourceID(d), adapterLoaded: d.NeedsAdapter, endedAfter: time.Since(x.arrived), sentAfter: f.SentAt.Sub(x.arrived), list: f.List,
	})
	var limit *upstream.LimitError
	if errors.As(err, &limit) {
		x.service.log.Warn("answer of replica cut off", "request", x.head.ID, "replica", d.Replica.ID, "address", d.Replica.Address, "part", limit.Part, "limit", limit.Limit)
	}
	x.service.metrics.Counter("sends", "kind", x.route.Kind.String(), "outcome", outcome.String()).Add(1)
}

// prefixSourceID returns the id of a decision's prefix source, or "".
func prefixSourceID(d dispatch.Decision) string {
	if d.PrefixSource == nil {
		return ""
	}
	return d.PrefixSource.ID
}

// logRetry logs that the request is sent again. The line that finish logs repeats
// this, but is missing if the process is killed before the request ends.
func (x *exchange) logRetry(d dispatch.Decision) {
	x.service.log.Info("request sent again", "request", x.head.ID, "replica", d.Replica.ID, "after", x.lastOutcome.String(), "sends", len(x.tried),
		"arrivals", x.delivered, "ran", x.possibleRuns, "last_event", x.lastEvent, "expected", d.Expected.Round(time.Millisecond),
		"running", d.Running, "load_age", min(d.LoadAge, time.Hour).Round(time.Millisecond), "urgency", d.Urgency, "elapsed", time.Since(x.arrived).Round(time.Millisecond))
}

// prefixFetchesMetric is the counter of sends whose replica is told to take shared prompt
// parts from the KV cache of another replica.
const prefixFetchesMetric = "prefix_fetches"

// waitsMetric is the counter of requests that waited, by cause.
const waitsMetric = "waits"

// initWaitCounters creates the counters of waits with the value 0, so that a rate can
// be computed over the first increment.
func initWaitCounters(m *metrics.Registry) {
	for _, cause := range dispatch.WaitCauses {
		m.Counter(waitsMetric, "cause", string(cause))
	}
}

// maxLoggedName limits the bytes of a name from the head of a request in a log line.
const maxLoggedName = 128

// shorten cuts a name that a caller chose.
func shorten(name string) string { return name[:min(len(name), maxLoggedName)] }

// logWait logs and counts that the request waits for its model or adapter.
func (x *exchange) logWait(d dispatch.Decision) {
	x.service.metrics.Counter(waitsMetric, "cause", string(d.Cause)).Add(1)
	x.service.log.Info("request waits", "request", x.head.ID, "model", shorten(x.head.Model), "adapter", shorten(x.head.Adapter), "cause", string(d.Cause),
		"wait", d.RetryAfter.Round(time.Millisecond), "elapsed", time.Since(x.arrived).Round(time.Millisecond))
}

// finish counts the request and logs its end. An empty cause means that a replica's
// answer was relayed completely, and status 0 that the connection is aborted.
func (x *exchange) finish(status int, cause string) {
	m := x.service.metrics
	kind, rank, route := "none", -1, ""
	if x.route != nil {
		kind, rank, route = x.route.Kind.String(), x.route.Rank, x.route.Name
	}
	customer := ""
	if x.customer != nil {
		customer = x.customer.Name
	}
	elapsed := time.Since(x.arrived)
	outcome := "answered"
	if cause != "" {
		outcome = cause
	}
	m.Counter("requests", "kind", kind, "rank", fmt.Sprint(rank), "status", fmt.Sprint(status), "cause", outcome).Add(1)
	timeToFirstByte := elapsed
	if !x.firstByte.IsZero() {
		timeToFirstByte = x.firstByte.Sub(x.arrived)
		m.Histogram("first_byte", "kind", kind, "rank", fmt.Sprint(rank)).Observe(timeToFirstByte)
	}
	if x.longestGap > 0 {
		m.Histogram("event_gap", "kind", kind, "rank", fmt.Sprint(rank)).Observe(x.longestGap)
	}
	late := x.route != nil && (x.route.LatencyTarget > 0 && timeToFirstByte > x.route.LatencyTarget ||
		x.route.EventGapTarget > 0 && x.longestGap > x.route.EventGapTarget)
	removed := slices.ContainsFunc(x.attempts, func(s attempt) bool { return s.list.RemovalPending })
	noteworthy := cause != "" || status >= 400 || len(x.attempts) > 1 || late || removed
	if !noteworthy && x.service.recorder.ordinary.Add(1)%sampleInterval != 0 {
		return
	}
	x.service.log.Info("request ended", "request", x.head.ID, "route", route, "kind", kind, "rank", rank, "customer", customer, "model", shorten(x.head.Model),
		"adapter", shorten(x.head.Adapter), "status", status, "cause", outcome, "late", late, "first_byte", timeToFirstByte.Round(time.Millisecond),
		"longest_gap", x.longestGap.Round(time.Millisecond), "took", elapsed.Round(time.Millisecond), "time_left", x.head.TimeLeft, "waited", x.waited, "queued", x.queued.Round(time.Millisecond), "queue_cause", string(x.queueCause), "phase", x.phase.String(), "ran", x.possibleRuns, "last_event", x.lastEvent, "relayed", x.relayed.String(), "not_sent_again", string(x.notSentAgain), "blocked_part", x.blockedPart, "sends", x.formatAttempts())
}

// formatAttempts returns all attempts as one text for the log.
func (x *exchange) formatAttempts() string {
	texts := make([]string, len(x.attempts))
	for i, s := range x.attempts {
		texts[i] = s.String()
	}
	return strings.Join(texts, "; ")
}
