package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/failover"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/upstream"
)

const (
	// maxBufferedBytes is the size up to which a plain answer is read completely
	// before it is relayed, so that the request can be retried if the answer breaks.
	maxBufferedBytes = 256 << 10
	// initialAnswerBytes and maxInitialAnswerBytes are the size of the buffer of a plain
	// answer before it has arrived, without a declared length, and at most with one.
	initialAnswerBytes    = 512
	maxInitialAnswerBytes = 4 << 10
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
	// byCustomer is set if the config names customers, and customer is the one that the
	// request's key belongs to, or nil on a public route.
	byCustomer bool
	customer   *catalog.Customer
	request    *dispatch.Request
	body       []byte   // the first piece of the body
	bodyRest   [][]byte // the other pieces
	arrived    time.Time
	memory     memorybudget.Reservation // of the body and of answers that are held

	waited       bool             // the request has waited for its model or adapter
	queued       time.Duration    // time in the queue of the service
	queueCause   dispatch.Cause   // why the request was queued last
	rejected     []string         // those of tried that answered that they have not run the request
	tried        []string         // ids of the replicas that were tried
	delivered    int              // sends that reached a replica
	possibleRuns int              // replicas that may have run the request
	status       int              // status of the relayed answer
	lastOutcome  dispatch.Outcome // outcome of the last send
	// relayed is what the caller has got of an answer that is relayed while it is being read.
	relayed      failover.Progress
	notSentAgain failover.Reason // why the request ended without a whole answer, if a send ended it
	firstByte    time.Time       // time at which the answer to the caller began
	// streamType is the media type in the relayed head of a stream, or "".
	streamType string
	lastEvent  string // id of the last relayed event that has one
	// eventAt is the time at which the last event was relayed, and longestGap the longest
	// time between two events.
	eventAt    time.Time
	longestGap time.Duration
	anyEvent   bool // an event was relayed
	// unresumable is set while the last relayed event has no id. A replica would
	// resume the stream before it.
	unresumable bool
	// timeToFirstByte is the time from the current send to the first byte of its
	// answer; 0 if none has arrived.
	timeToFirstByte time.Duration
	// failedAnswer is a replica's failure that is relayed if no retry succeeds.
	failedAnswer *bufferedAnswer
	attempts     []attempt
	// blockedPart is the prompt part for which the request is refused, or empty.
	blockedPart string

	// outliveDrain keeps the end of the drain from canceling the request. It returns
	// false if the drain has ended.
	outliveDrain func() bool

	// successor is the send that takes over the request from a silent replica.
	successor *send

	phase  phase
	isOpen bool // the request is counted in Service.requests
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
	ctx, cancel = x.endWithDrain(ctx)
	defer cancel()
	defer x.dropSuccessor()
	for {
		next := x.successor
		x.successor = nil
		if next != nil {
			x.awaitHead(ctx, next)
		} else {
			f := x.decide(ctx)
			if f == nil {
				return
			}
			next = x.open(ctx, f)
		}
		outcome, complete := x.relaySend(ctx, next)
		if !complete {
			x.countSend(next.flight, outcome)
		}
		action, reason := failover.Next(failover.Request{
			Progress: x.relayed, Complete: complete, Outcome: outcome, MayHaveRun: x.possibleRuns > 0,
			Repeatable: x.route.Repeatable(), Unnumbered: x.unresumable, Expired: ctx.Err() != nil,
		})
		switch action {
		case failover.SendAgain:
		case failover.Finish:
			x.completeAnswer()
			x.finish(x.status, "")
			return
		case failover.BreakOff, failover.Fail:
			x.notSentAgain = reason
			x.dropSuccessor()
			x.giveUp(ctx, outcome.String(), 0)
			return
		}
	}
}

// decide returns the next send, or nil if the request has ended. It waits for the
// request's model or adapter if these are about to arrive.
func (x *exchange) decide(ctx context.Context) *controlplane.Flight {
	for {
		x.enter(phaseDeciding)
		admission, err := x.service.control.Admit(ctx, x.query())
		if err != nil {
			x.giveUp(ctx, "no-decision", 0)
			return nil
		}
		if admission.Waited > 0 {
			x.waited, x.queueCause = true, admission.WaitCause
			x.queued += admission.Waited
		}
		switch d := admission.Decision; d.Verdict {
		case dispatch.Refuse:
			if d.Cause == dispatch.CauseBlockedPart {
				x.blockedPart = x.head.Parts[d.BlockedPart].ID
			}
			x.giveUp(ctx, string(d.Cause), d.RetryAfter)
			return nil
		case dispatch.Wait:
			x.awaitModel(ctx, d)
		default:
			if len(x.tried) > 0 {
				x.logRetry(d)
			}
			return admission.Flight
		}
	}
}

// countSend adds a send that has ended to the history of the request.
func (x *exchange) countSend(f *controlplane.Flight, outcome dispatch.Outcome) {
	x.tried, x.lastOutcome = append(x.tried, f.Decision.Replica.ID), outcome
	switch {
	case outcome.MayHaveRun():
		x.possibleRuns++
	case outcome == dispatch.NotExecuted:
		x.rejected = append(x.rejected, f.Decision.Replica.ID)
	}
}

// awaitModel waits until a replica holds the request's model, or until the decision's
// retry time has passed.
func (x *exchange) awaitModel(ctx context.Context, d dispatch.Decision) {
	if !x.waited {
		x.logWait(d)
	}
	x.waited = true
	x.enter(phaseWaiting)
	x.service.control.AwaitModel(ctx, x.request.Model, d.RetryAfter)
}

// query returns the request and the history of its attempts for the control goroutine.
func (x *exchange) query() controlplane.AdmissionRequest {
	return controlplane.AdmissionRequest{Request: x.request, Tried: x.tried, Delivered: x.delivered, PossibleRuns: x.possibleRuns, Rejected: x.rejected, Waited: x.waited}
}

// newUpstreamRequest returns the request for the chosen replica.
func (x *exchange) newUpstreamRequest(d dispatch.Decision) *upstream.Request {
	to := ForwardInfo{
		Replica: d.Replica.ID, TimeLeft: time.Until(x.request.Deadline), Urgency: -1, LastEvent: x.lastEvent, ByCustomer: x.byCustomer,
	}
	if x.customer != nil {
		to.Customer = x.customer.Name
	}
	if d.PrefixSource != nil {
		to.PrefixSource = d.PrefixSource.Address
		x.service.metrics.Counter(prefixFetchesMetric).Add(1)
	}
	if x.request.Model != "" {
		to.Urgency = d.Urgency
	}
	return &upstream.Request{ID: x.head.ID, Call: upstream.Call{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host,
		Header: x.service.protocol.Forward(x.r.Header, to), Body: x.body, Rest: x.bodyRest,
	}}
}

// endpointOf returns the process that a replica's entry describes.
func endpointOf(r *catalog.Replica) upstream.Endpoint {
	return upstream.Endpoint{Address: r.Address, ID: r.ID, StartMillis: r.StartMillis}
}

// answerTimeout returns how long to wait for the beginning of an answer. A request
// that can be retried waits for a multiple of the expected time, but at least for the
// route's latency target and, for a stream, a part of dispatch.Patience. Any other
// request waits until its deadline.
func (x *exchange) answerTimeout(s *send) time.Duration {
	left := time.Until(x.request.Deadline)
	if !x.route.Repeatable() || s.earlierRuns+1 >= x.route.MaxAttempts {
		return left
	}
	timeout := max(answerTimeoutFactor*s.flight.Decision.Expected, x.route.LatencyTarget, minAnswerTimeout)
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
	// replica. With handoverTime it is longer than the pauses of about 1.5 s after which
	// replicas go on by themselves, and it is below the 2 s after which callers leave.
	eventTimeout = 1300 * time.Millisecond
	// silenceTime is the pause within a stream after which its replica counts as silent.
	// It is far longer than a step of an engine.
	silenceTime = 600 * time.Millisecond
	// handoverInterval is the time between two attempts to have a request taken over
	// from a silent replica.
	handoverInterval = 300 * time.Millisecond
)

// outcomeOf returns the outcome that an error of the upstream client stands for. At the
// request's deadline its connection is closed, whatever the state of the replica.
func (x *exchange) outcomeOf(err error) dispatch.Outcome {
	deadlinePassed := !time.Now().Before(x.request.Deadline)
	switch {
	case x.r.Context().Err() != nil:
		return dispatch.Canceled
	case errors.Is(err, upstream.ErrNotSent) && (x.cutByDrain() || deadlinePassed):
		return dispatch.NotExecuted
	case x.cutByDrain():
		return dispatch.Canceled
	case errors.Is(err, upstream.ErrNotSent):
		return dispatch.Unreachable
	case errors.Is(err, upstream.ErrAnswerTimeout) || deadlinePassed:
		return dispatch.TimedOut
	default:
		return dispatch.ConnectionBroken
	}
}

// giveUp ends a request that is not sent again. It relays an earlier failure of a
// replica, refuses the request, or aborts the connection if an answer has begun.
func (x *exchange) giveUp(ctx context.Context, cause string, retryAfter time.Duration) {
	if x.cutByDrain() {
		cause, retryAfter = string(dispatch.CauseStopping), dispatch.StoppingRetryAfter
	}
	switch {
	case x.r.Context().Err() != nil:
		x.finish(0, x.lostConnectionCause())
		panic(http.ErrAbortHandler)
	case x.relayed != failover.Nothing:
		x.finish(0, "broken-off: "+cause)
		panic(http.ErrAbortHandler)
	case x.failedAnswer != nil:
		x.deliver(x.failedAnswer)
		x.finish(x.status, "")
	case x.possibleRuns == 0 && cause == string(dispatch.CauseRateLimit):
		x.refuse(http.StatusTooManyRequests, cause, retryAfter)
	case x.possibleRuns == 0:
		x.refuse(http.StatusServiceUnavailable, cause, retryAfter)
	case ctx.Err() != nil || x.lastOutcome == dispatch.TimedOut:
		// The wait for the replica can end just before the request's deadline.
		x.refuse(http.StatusGatewayTimeout, cause, 0)
	default:
		x.refuse(http.StatusBadGateway, cause, 0)
	}
}

// lostConnectionCause returns why the caller's connection ended: the caller closed it,
// or the instance did at the end of its drain.
func (x *exchange) lostConnectionCause() string {
	if x.service.aborting.Load() {
		return "instance-stopped"
	}
	return "caller-left"
}

// refuse ends the request with an answer by the instance itself, whose text is cause.
func (x *exchange) refuse(status int, cause string, retryAfter time.Duration) {
	x.finish(status, cause)
	x.service.protocol.SetRefusalHeaders(x.w.Header(), x.head.ID, retryAfter)
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = x.w.Write([]byte(cause + "\n")) // the caller may have disconnected
}
