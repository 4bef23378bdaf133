package ingress

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/failover"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// handoverTime limits the wait for the rest of a head that has begun to arrive from a
// replica that takes a request over. Its run has begun by then, and the run at the silent
// replica must end within 400 ms.
const handoverTime = 250 * time.Millisecond

var (
	// errNotNeeded ends a send that was to take a request over from a replica that goes on.
	errNotNeeded = errors.New("the silent replica goes on")
	// errNoTimeLeft ends such a send at the request's deadline.
	errNoTimeLeft = errors.New("neither replica has gone on in time")
)

// handover is the result of an attempt to have a request taken over from a silent replica.
type handover uint8

const (
	notTakenOver handover = iota // the other replica turned the request away, failed or timed out
	takenOver                    // the other replica answers
	silentGoesOn                 // more of the silent replica's answer has arrived
	silentEnded                  // the silent replica's connection has ended, or it has turned the request away
)

// handOver lets another replica take over a request whose replica is silent. It returns
// false if the silent replica keeps the request for now.
//
// The silent replica is left only for the head of an answer that can be relayed. Until
// then both connections stay open, and whichever continues first has the request.
func (x *exchange) handOver(ctx context.Context, silent *send) bool {
	query := x.query()
	query.Tried = append(query.Tried[:len(query.Tried):len(query.Tried)], silent.flight.Decision.Replica.ID)
	query.PossibleRuns++
	query.FromSilent = true
	x.service.control.Silent(silent.flight)
	next, err := x.service.control.Admit(ctx, query)
	if err != nil || next.Decision.Verdict != dispatch.Send {
		return false
	}
	x.logRetry(next.Decision)
	defer x.enter(x.phase)
	sendCtx, cancel := context.WithCancel(ctx) // ends at the latest with the request
	more := x.awaitSilent(silent, cancel)
	s := x.prepare(sendCtx, next.Flight)
	s.earlierRuns++
	s.fromSilent = true
	x.transmit(sendCtx, s)
	switch x.awaitEither(sendCtx, cancel, silent, more, s) {
	case takenOver:
		silent.answer.Abort()
		s.fromSilent, x.successor = false, s
		return true
	case silentEnded:
		// The rest of the silent replica's answer tells whether the successor is needed.
		s.fromSilent, x.successor = false, s
		return false
	case silentGoesOn:
		x.markNotNeeded(s)
	}
	defer cancel()
	timeToFirstByte := x.timeToFirstByte
	outcome, _ := x.relaySend(ctx, s)
	x.timeToFirstByte = timeToFirstByte
	x.countSend(s.flight, outcome)
	return false
}

// awaitSilent waits in another goroutine for more of a silent answer, as upstream.Answer.Await
// does. If the answer has begun, it calls cancel when more has arrived, which ends the send
// to the other replica whatever it waits for.
func (x *exchange) awaitSilent(silent *send, cancel context.CancelFunc) <-chan error {
	begun := silent.flight.HeadSeen
	more, result := silent.answer.Await(time.Until(x.request.Deadline)), make(chan error, 1)
	go func() {
		err := <-more
		if err == nil && begun {
			cancel()
		}
		result <- err
	}()
	return result
}

// awaitEither waits until a silent replica or the one that is to take the request over
// continues. more is the result of awaitSilent. After notTakenOver, the send has an error or
// an answer that can't be relayed.
func (x *exchange) awaitEither(ctx context.Context, cancel context.CancelFunc, silent *send, more <-chan error, s *send) handover {
	limit := time.Now().Add(x.answerTimeout(s))
	for s.err == nil && !s.flight.HeadSeen {
		begins := s.answer.Await(time.Until(limit))
		select {
		case err := <-more:
			s.answer.Interrupt()
			<-begins
			if errors.Is(err, os.ErrDeadlineExceeded) {
				s.err, s.outcome = errNoTimeLeft, dispatch.TimedOut
				return notTakenOver
			}
			if result := x.afterSilence(ctx, silent, err); result != notTakenOver {
				return result
			}
			more = x.awaitSilent(silent, cancel)
			continue
		case <-begins:
		}
		err := x.readHead(ctx, s, handoverTime)
		if err != nil && (!s.answer.IsSilent() || s.answer.HeadBegun() || !time.Now().Before(limit)) {
			s.err, s.outcome = err, x.outcomeOf(err)
		}
	}
	silent.answer.Interrupt()
	if err := <-more; !errors.Is(err, os.ErrDeadlineExceeded) {
		if result := x.afterSilence(ctx, silent, err); result != notTakenOver {
			return result
		}
	}
	if x.accepts(s) {
		return takenOver
	}
	return notTakenOver
}

// afterSilence returns the result of a handover during which more of the silent answer has
// arrived, or its connection has ended with err. It is notTakenOver if the answer is silent
// again within its head. A replica that turns the request away does not go on with it.
func (x *exchange) afterSilence(ctx context.Context, silent *send, err error) handover {
	if err == nil && !silent.flight.HeadSeen {
		err = x.readHead(ctx, silent, handoverTime)
		switch {
		case err != nil && silent.answer.IsSilent():
			return notTakenOver
		case err != nil:
			silent.err, silent.outcome = err, x.outcomeOf(err)
		case !x.accepts(silent):
			return silentEnded
		}
	}
	if err == nil {
		return silentGoesOn
	}
	return silentEnded
}

// markNotNeeded sets the outcome of a send that ends because the silent replica goes on. It
// leaves the answer of a replica that has turned the request away.
func (x *exchange) markNotNeeded(s *send) {
	switch {
	case s.answer == nil && (s.outcome == dispatch.NotExecuted || errors.Is(s.err, upstream.ErrNotSent)):
		s.err, s.outcome = errNotNeeded, dispatch.NotExecuted
	case s.err != nil || !s.flight.HeadSeen || x.accepts(s):
		s.err, s.outcome = errNotNeeded, dispatch.Canceled
	}
}

// accepts reports whether the head of a replica's answer shows that it goes on with a
// request that another replica has had before.
func (x *exchange) accepts(s *send) bool {
	switch {
	case s.err != nil || s.head.NotExecuted || s.head.Misdirected || s.answer.Status >= 500:
		return false
	case x.relayed != failover.Nothing && s.answer.Status != http.StatusOK:
		return false
	}
	return x.checkHead(s) == nil
}

// dropSuccessor ends a successor that takes over nothing, because the request has ended.
func (x *exchange) dropSuccessor() {
	if s := x.successor; s != nil {
		x.successor = nil
		if s.answer != nil {
			s.answer.Close(false)
		}
		outcome := dispatch.Canceled
		if s.err != nil {
			outcome = s.outcome
		}
		if outcome.MayHaveRun() {
			x.possibleRuns++
		}
		x.service.control.Finish(s.flight, outcome, s.head.Report)
	}
}
