package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/upstream"
)

const (
	// maxBuffered is the size up to which a plain answer is read whole before it
	// is passed on, so that a broken one can be replaced.
	maxBuffered = 256 << 10
)

// exchange is one request of a caller on its way.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	head    Head
	route   *catalog.Route
	request *dispatch.Request
	body    []byte
	arrived time.Time

	waited   bool // for its model or adapter
	tried    []string
	arrivals int              // sends that reached a replica
	ran      int              // replicas that may have run the request
	status   int              // of the answer that was passed on
	last     dispatch.Outcome // of the last send
	// started says that the head of an answer has been passed on.
	started   bool
	firstByte time.Time
	lastEvent string // id of the last event passed on
	// sendFirstByte is the time from the current send to the first byte of its answer.
	sendFirstByte time.Duration
	failure       *bufferedAnswer
	steps         []step
}

// bufferedAnswer is an answer that was read whole.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request until it is answered, refused or given up.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.request.Deadline)
	defer cancel()
	for {
		admission, err := x.gateway.control.Admit(ctx, x.query())
		if err != nil {
			x.giveUp(ctx, "no-decision", 0)
			return
		}
		d := admission.Decision
		if d.Verdict == dispatch.Refuse {
			x.giveUp(ctx, string(d.Cause), d.RetryAfter)
			return
		}
		if d.Verdict == dispatch.Wait {
			x.await(ctx, d)
			continue
		}
		if len(x.tried) > 0 {
			x.logRepeat(d)
		}
		outcome, done := x.send(ctx, admission.Flight)
		if done {
			x.finish(x.status, "")
			return
		}
		x.tried, x.last = append(x.tried, d.Replica.ID), outcome
		if outcome.MayHaveRun() {
			x.ran++
		}
		if ctx.Err() != nil || (x.ran > 0 && !x.route.Repeatable()) {
			x.giveUp(ctx, outcome.String(), 0)
			return
		}
	}
}

// await lets the request wait until its model arrives or can be ordered.
func (x *exchange) await(ctx context.Context, d dispatch.Decision) {
	if !x.waited {
		x.logWait(d)
	}
	x.waited = true
	x.gateway.control.AwaitModel(ctx, x.request.Model, d.RetryAfter)
}

func (x *exchange) query() controlplane.Query {
	return controlplane.Query{Request: x.request, Tried: x.tried, Delivered: x.arrivals, MayHaveRun: x.ran, Waited: x.waited}
}

// send passes the request to one replica and its answer to the caller. done
// says that nothing more is to be done for the caller.
func (x *exchange) send(ctx context.Context, f *controlplane.Flight) (outcome dispatch.Outcome, done bool) {
	d := f.Decision
	if d.NeedsAdapter {
		if err := x.gateway.control.EnsureAdapter(ctx, d.Replica.ID, x.request.Model, x.request.Adapter); err != nil {
			x.note(f, dispatch.NotExecuted, err)
			x.gateway.control.Finish(f, dispatch.NotExecuted, nil)
			return dispatch.NotExecuted, false
		}
	}
	sent := time.Now()
	x.sendFirstByte = 0
	answer, err := x.gateway.pool.Do(ctx, d.Replica.Address, x.call(d), x.silence(d))
	if err == nil || !errors.Is(err, upstream.ErrNotSent) {
		x.arrivals++
	}
	if err != nil {
		outcome = x.outcomeOf(err)
		x.note(f, outcome, err)
		x.gateway.control.Finish(f, outcome, nil)
		return outcome, false
	}
	head := x.gateway.protocol.Answer(answer.Status, answer.Header)
	outcome, done, err = x.relay(f, answer, head, sent)
	answer.Close(err == nil && outcome != dispatch.Canceled)
	x.note(f, outcome, err)
	x.gateway.control.Finish(f, outcome, head.Report)
	return outcome, done
}

// call builds the request for a replica.
func (x *exchange) call(d dispatch.Decision) *upstream.Call {
	to := Addressing{
		Replica: d.Replica.ID, TimeLeft: time.Until(x.request.Deadline), Urgency: -1, LastEvent: x.lastEvent,
	}
	if x.request.Model != "" {
		to.Urgency = d.Urgency
	}
	return &upstream.Call{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.gateway.protocol.Forward(x.r.Header, to), Body: x.body,
	}
}

// silence returns how long an answer may take to begin. Requests that may go on
// elsewhere do not wait for a replica that is silent much longer than expected.
func (x *exchange) silence(d dispatch.Decision) time.Duration {
	left := time.Until(x.request.Deadline)
	if !x.route.Repeatable() || x.ran+1 >= x.route.MaxAttempts {
		return left
	}
	patience := max(silenceFactor*d.Expected, x.route.LatencyTarget, minSilence)
	if x.route.Kind == catalog.Stream {
		patience = max(patience, dispatch.Patience(x.request)*silentPatience/100)
	}
	return min(left, patience)
}

const (
	// silenceFactor is how many times the expected time an answer may take.
	silenceFactor = 5
	// silentPatience is the part of the caller's patience, in percent, for which a
	// stream may be silent: engines that have much to do answer late, and a request
	// that is sent again adds to it.
	silentPatience = 60
	// minSilence is the shortest wait for the beginning of an answer.
	minSilence = 400 * time.Millisecond
	// eventSilence is the longest pause between two events of a stream that can
	// go on elsewhere: callers leave after two seconds.
	eventSilence = 1200 * time.Millisecond
)

// outcomeOf translates an error of the upstream client.
func (x *exchange) outcomeOf(err error) dispatch.Outcome {
	switch {
	case x.r.Context().Err() != nil:
		return dispatch.Canceled
	case errors.Is(err, upstream.ErrNotSent):
		return dispatch.Unreachable
	case errors.Is(err, upstream.ErrSilent):
		return dispatch.TimedOut
	default:
		return dispatch.ConnectionBroken
	}
}

// giveUp ends the request with the system's own answer, or breaks off an
// answer that has begun.
func (x *exchange) giveUp(ctx context.Context, cause string, retryAfter time.Duration) {
	switch {
	case x.r.Context().Err() != nil:
		x.finish(0, "caller-left")
		panic(http.ErrAbortHandler)
	case x.started:
		x.finish(0, "broken-off: "+cause)
		panic(http.ErrAbortHandler)
	case x.failure != nil:
		x.deliver(x.failure)
		x.finish(x.status, "")
	case x.ran == 0:
		x.refuse(http.StatusServiceUnavailable, cause, retryAfter)
	case ctx.Err() != nil || x.last == dispatch.TimedOut:
		// The wait for the replica may end just before the request's own time.
		x.refuse(http.StatusGatewayTimeout, cause, 0)
	default:
		x.refuse(http.StatusBadGateway, cause, 0)
	}
}

// refuse ends the request with the system's own answer.
func (x *exchange) refuse(status int, cause string, retryAfter time.Duration) {
	x.finish(status, cause)
	x.gateway.protocol.Refuse(x.w.Header(), x.head.ID, retryAfter)
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = x.w.Write([]byte(cause + "\n")) // the caller may have left
}
