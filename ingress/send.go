package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// send is one send of the request to a replica. If it has no answer, outcome and err
// tell why.
type send struct {
	flight *controlplane.Flight
	// earlierRuns is the number of replicas that may have run the request before,
	// including one that this send takes the request over from.
	earlierRuns int

	sentAt time.Time
	answer *upstream.Answer
	head   AnswerHead
	// fromSilent is set while the send is to take the request over from a silent replica.
	fromSilent bool
	outcome    dispatch.Outcome
	err        error
}

// open sends the request and waits for the head of the answer.
func (x *exchange) open(ctx context.Context, f *controlplane.Flight) *send {
	s := x.prepare(ctx, f)
	x.transmit(ctx, s)
	x.awaitHead(ctx, s)
	return s
}

// prepare makes sure that the replica has the adapter of the request.
func (x *exchange) prepare(ctx context.Context, f *controlplane.Flight) *send {
	s := &send{flight: f, earlierRuns: x.possibleRuns}
	if d := f.Decision; d.NeedsAdapter {
		s.err = x.service.control.EnsureAdapter(ctx, d.Replica.ID, x.request.Model, x.request.Adapter)
		s.outcome = dispatch.NotExecuted
	}
	return s
}

// transmit sends the request, unless prepare has failed.
func (x *exchange) transmit(ctx context.Context, s *send) {
	if s.err != nil {
		return
	}
	d := s.flight.Decision
	s.sentAt = time.Now()
	x.enter(phaseSent)
	s.answer, s.err = x.service.pool.Send(ctx, endpointOf(d.Replica), x.newUpstreamRequest(d))
	if !errors.Is(s.err, upstream.ErrNotSent) {
		x.delivered++
	}
	if s.err != nil {
		s.outcome = x.outcomeOf(s.err)
	}
}

// awaitHead waits for the head of the answer, unless it has arrived or the send has
// failed. A silent replica is waited for until another one takes the request over.
func (x *exchange) awaitHead(ctx context.Context, s *send) {
	timeout := x.answerTimeout(s)
	for s.err == nil && !s.flight.HeadSeen {
		x.enter(phaseSent)
		err := x.readHead(ctx, s, timeout)
		timeout = min(x.answerTimeout(s), handoverInterval)
		if err != nil && (!x.canStay(s.answer) || x.handOver(ctx, s)) {
			s.err, s.outcome = err, x.outcomeOf(err)
		}
	}
}

// readHead waits for the head of the answer for timeout.
func (x *exchange) readHead(ctx context.Context, s *send, timeout time.Duration) error {
	err := s.answer.ReadHead(ctx, timeout)
	if err != nil && !errors.Is(err, upstream.ErrForeignAnswer) {
		return err
	}
	head := x.service.protocol.ReadAnswer(s.answer.Status, s.answer.Header)
	// A notice concerns the replica, whatever its answer belongs to.
	x.service.control.PostNotice(s.flight.Decision.Replica, head.Notice, head.NoticeErr)
	if err != nil {
		return err
	}
	x.service.control.PostReport(s.flight.Decision.Replica, head.Report, head.ReportErr)
	s.head, s.flight.HeadSeen = head, true
	return nil
}

// relaySend relays the answer of a send to the caller and ends the send. done reports
// whether the caller has the whole answer, so that no retry is needed.
func (x *exchange) relaySend(ctx context.Context, s *send) (outcome dispatch.Outcome, done bool) {
	x.timeToFirstByte = 0
	if s.err == nil {
		s.outcome, done, s.err = x.relay(ctx, s)
	}
	s.flight.InvalidAnswer = isInvalid(s.err)
	if s.answer != nil {
		s.answer.Close(s.err == nil && s.outcome != dispatch.Canceled)
	}
	x.recordAttempt(s.flight, s.outcome, s.err)
	x.service.control.Finish(s.flight, s.outcome, s.head.Report)
	return s.outcome, done
}
