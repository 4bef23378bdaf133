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
	// maxBufferedBytes is the size up to which a plain answer is read completely
	// before it is relayed, so that the request can be retried if the answer breaks.
	maxBufferedBytes = 256 << 10
	// maxAnswerBytes limits the body of an answer, a stream's as well. Answers of
	// replicas have a few KB; without a limit, a body without end takes the
	// bandwidth and processor time of other requests until its deadline.
	maxAnswerBytes = 64 << 20
)

// exchange is the state of one caller's request, from its head to the end of its
// answer.
type exchange struct {
	service *Service
	w       http.ResponseWriter
	r       *http.Request
	head    RequestHead
	route   *catalog.Route
	request *dispatch.Request
	body    []byte
	arrived time.Time

	waited       bool             // the request has waited for its model or adapter
	tried        []string         // ids of the replicas that were tried
	delivered    int              // sends that reached a replica
	possibleRuns int              // replicas that may have run the request
	status       int              // status of the relayed answer
	lastOutcome  dispatch.Outcome // outcome of the last send
	// headSent is set once the head of an answer is relayed to the caller.
	headSent  bool
	firstByte time.Time // time at which the answer to the caller began
	lastEvent string    // id of the last relayed event that has one
	anyEvent  bool      // an event was relayed
	// unresumable is set while the last relayed event has no id. A replica would
	// resume the stream before it.
	unresumable bool
	// timeToFirstByte is the time from the current send to the first byte of its
	// answer; 0 if none has arrived.
	timeToFirstByte time.Duration
	// failedAnswer is a replica's failure that is relayed if no retry succeeds.
	failedAnswer *bufferedAnswer
	attempts     []attempt
}

// bufferedAnswer is an answer whose body, or the beginning of it, is in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request to replicas until one answers, or the request is refused or
// can't be retried.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.request.Deadline)
	defer cancel()
	for {
		admission, err := x.service.control.Admit(ctx, x.query())
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
			x.awaitModel(ctx, d)
			continue
		}
		if len(x.tried) > 0 {
			x.logRetry(d)
		}
		outcome, done := x.send(ctx, admission.Flight)
		if done {
			x.finish(x.status, "")
			return
		}
		x.tried, x.lastOutcome = append(x.tried, d.Replica.ID), outcome
		if outcome.MayHaveRun() {
			x.possibleRuns++
		}
		if ctx.Err() != nil || x.unresumable || (x.possibleRuns > 0 && !x.route.Repeatable()) {
			x.giveUp(ctx, outcome.String(), 0)
			return
		}
	}
}

// awaitModel waits until a replica holds the request's model, or until the decision's
// retry time has passed.
func (x *exchange) awaitModel(ctx context.Context, d dispatch.Decision) {
	if !x.waited {
		x.logWait(d)
	}
	x.waited = true
	x.service.control.AwaitModel(ctx, x.request.Model, d.RetryAfter)
}

// query returns the request and the history of its attempts for the control goroutine.
func (x *exchange) query() controlplane.AdmissionRequest {
	return controlplane.AdmissionRequest{Request: x.request, Tried: x.tried, Delivered: x.delivered, PossibleRuns: x.possibleRuns, Waited: x.waited}
}

// send sends the request to one replica and relays the answer to the caller. done
// reports whether the caller has the whole answer, so that no retry is needed.
func (x *exchange) send(ctx context.Context, f *controlplane.Flight) (outcome dispatch.Outcome, done bool) {
	d := f.Decision
	if d.NeedsAdapter {
		if err := x.service.control.EnsureAdapter(ctx, d.Replica.ID, x.request.Model, x.request.Adapter); err != nil {
			x.recordAttempt(f, dispatch.NotExecuted, err)
			x.service.control.Finish(f, dispatch.NotExecuted, nil)
			return dispatch.NotExecuted, false
		}
	}
	sent := time.Now()
	x.timeToFirstByte = 0
	answer, err := x.service.pool.Do(ctx, d.Replica.Address, x.newCall(d), x.answerTimeout(d))
	if err == nil || !errors.Is(err, upstream.ErrNotSent) {
		x.delivered++
	}
	if err != nil {
		outcome = x.outcomeOf(err)
		x.recordAttempt(f, outcome, err)
		x.service.control.Finish(f, outcome, nil)
		return outcome, false
	}
	head := x.service.protocol.ReadAnswer(answer.Status, answer.Header)
	outcome, done, err = x.relay(f, answer, head, sent)
	answer.Close(err == nil && outcome != dispatch.Canceled)
	x.recordAttempt(f, outcome, err)
	x.service.control.Finish(f, outcome, head.Report)
	return outcome, done
}

// newCall returns the request for the chosen replica.
func (x *exchange) newCall(d dispatch.Decision) *upstream.Call {
	to := ForwardInfo{
		Replica: d.Replica.ID, TimeLeft: time.Until(x.request.Deadline), Urgency: -1, LastEvent: x.lastEvent,
	}
	if x.request.Model != "" {
		to.Urgency = d.Urgency
	}
	return &upstream.Call{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.service.protocol.Forward(x.r.Header, to), Body: x.body,
	}
}

// answerTimeout returns how long to wait for the beginning of an answer. A request
// that can be retried waits for a multiple of the expected time, but at least for the
// route's latency target and, for a stream, a part of dispatch.Patience. Any other
// request waits until its deadline.
func (x *exchange) answerTimeout(d dispatch.Decision) time.Duration {
	left := time.Until(x.request.Deadline)
	if !x.route.Repeatable() || x.possibleRuns+1 >= x.route.MaxAttempts {
		return left
	}
	timeout := max(answerTimeoutFactor*d.Expected, x.route.LatencyTarget, minAnswerTimeout)
	if x.route.Kind == catalog.Stream {
		timeout = max(timeout, dispatch.Patience(x.request)*streamTimeoutPercent/100)
	}
	return min(left, timeout)
}

const (
	// answerTimeoutFactor is the ratio of the answer timeout to the expected time.
	answerTimeoutFactor = 5
	// streamTimeoutPercent is the minimum answer timeout of a stream, in percent of
	// dispatch.Patience. Busy engines answer late, and a retry adds to their load.
	streamTimeoutPercent = 60
	// minAnswerTimeout is the minimum answer timeout. It also limits the wait for an
	// answer that is discarded.
	minAnswerTimeout = 400 * time.Millisecond
	// eventTimeout is the longest pause within a stream that can be resumed at another
	// replica. It is below the 2 s after which callers leave.
	eventTimeout = 1200 * time.Millisecond
)

// outcomeOf returns the outcome that an error of the upstream client stands for.
func (x *exchange) outcomeOf(err error) dispatch.Outcome {
	switch {
	case x.r.Context().Err() != nil:
		return dispatch.Canceled
	case errors.Is(err, upstream.ErrNotSent):
		return dispatch.Unreachable
	case errors.Is(err, upstream.ErrAnswerTimeout):
		return dispatch.TimedOut
	default:
		return dispatch.ConnectionBroken
	}
}

// giveUp ends a request that is not sent again. It relays an earlier failure of a
// replica, refuses the request, or aborts the connection if an answer has begun.
func (x *exchange) giveUp(ctx context.Context, cause string, retryAfter time.Duration) {
	switch {
	case x.r.Context().Err() != nil:
		x.finish(0, "caller-left")
		panic(http.ErrAbortHandler)
	case x.headSent:
		x.finish(0, "broken-off: "+cause)
		x.abort()
	case x.failedAnswer != nil:
		x.deliver(x.failedAnswer)
		x.finish(x.status, "")
	case x.possibleRuns == 0:
		x.refuse(http.StatusServiceUnavailable, cause, retryAfter)
	case ctx.Err() != nil || x.lastOutcome == dispatch.TimedOut:
		// The wait for the replica can end just before the request's deadline.
		x.refuse(http.StatusGatewayTimeout, cause, 0)
	default:
		x.refuse(http.StatusBadGateway, cause, 0)
	}
}

// refuse ends the request with an answer by the instance itself, whose text is cause.
func (x *exchange) refuse(status int, cause string, retryAfter time.Duration) {
	x.finish(status, cause)
	x.service.protocol.SetRefusalHeaders(x.w.Header(), x.head.ID, retryAfter)
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = x.w.Write([]byte(cause + "\n")) // the caller may have disconnected
}
