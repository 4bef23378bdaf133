package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/failover"
)

const (
	// balancerWait is how long a stopping instance keeps accepting connections. The
	// load balancer checks readiness once a second and removes the instance after
	// two failures.
	balancerWait = 2500 * time.Millisecond
	// newConnWait is how long a connection on which no request has begun is kept after
	// the listener is closed, and how long new streams are served. Callers send a request
	// as soon as a connection is open. Later, a stream could not end in the grace time.
	newConnWait = 300 * time.Millisecond
	// stopMargin is how long before the end of the grace time the remaining answers
	// are broken off, so that they do not end with the process being killed.
	stopMargin = 400 * time.Millisecond
	// finalAnswerMargin is how long before the end of the grace time requests whose
	// answer has not begun get their final answer. It leaves time to write it.
	finalAnswerMargin = 2 * stopMargin
)

// maxIdleNotice returns the longest idle time that answers tell callers, with the given grace
// time: a drain can wait for it and still has time for the requests that arrive meanwhile.
// It is 0 if the grace time is too short for that.
func maxIdleNotice(grace time.Duration) time.Duration {
	return (grace / 2).Truncate(time.Second)
}

// errStopping means that the drain ended before the answer began.
var errStopping = errors.New("instance stops")

// Drain prepares a graceful stop. It fails readiness checks, keeps serving until the
// load balancer has removed the instance, and then waits for the requests in flight.
// Idle connections stay open until their callers must have closed them, because a request
// that crosses the close gets no answer. Shortly before deadline it gives requests whose
// answer has not begun their final answer, and returns.
func (s *Service) Drain(ctx context.Context, deadline time.Time) {
	answerBy := deadline.Add(-finalAnswerMargin)
	s.stopping.Store(true)
	s.control.Post(controlplane.Stopping{Until: answerBy})
	finalAnswers := time.AfterFunc(time.Until(answerBy), func() {
		s.log.Info("drain ends, requests whose answer has not begun get their final answer", s.requests.logFields()...)
		s.endDrain()
		s.callers.conns.closeIdle()
	})
	defer finalAnswers.Stop()
	select {
	case <-time.After(balancerWait):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-stopMargin))
	defer cancel()
	err := s.callers.stopAccepting(ctx, s.listener)
	refuse := time.AfterFunc(newConnWait, func() { s.refusing.Store(true) })
	defer refuse.Stop()
	if err := errors.Join(err, s.callers.shutdown(ctx)); err != nil {
		s.log.Warn("graceful stop incomplete, requests in flight are aborted", append([]any{"error", err}, s.requests.logFields()...)...)
	}
}

// endWithDrain returns a context that also ends with the drain, until beginAnswer is
// called.
func (x *exchange) endWithDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	x.outliveDrain = context.AfterFunc(x.service.drained, cancel)
	return ctx, func() {
		x.outliveDrain()
		cancel()
	}
}

// beginAnswer must be called before the head of an answer is relayed if its body has not
// been read completely, with what will have been relayed then. It fails if the drain has
// ended.
func (x *exchange) beginAnswer(relayed failover.Progress) error {
	if !x.outliveDrain() {
		return errStopping
	}
	x.relayed, x.firstByte = relayed, time.Now()
	if conn := x.http10Conn(); conn != nil {
		conn.setResetOnClose(true)
	}
	return nil
}

// completeAnswer must be called when the whole of an answer has been relayed. It writes what
// is still buffered for a caller of HTTP/1.0 before its connection can end in order again.
func (x *exchange) completeAnswer() {
	conn := x.http10Conn()
	if conn == nil || x.relayed == failover.Nothing {
		return
	}
	if err := http.NewResponseController(x.w).Flush(); err == nil {
		conn.setResetOnClose(false)
	}
}

// http10Conn returns the connection of a caller of HTTP/1.0, or nil. Such a caller takes the
// end of the connection for the end of the answer, unless it is a reset. The connection can
// end at any time, also with the instance.
func (x *exchange) http10Conn() *trackedConn {
	if x.r.ProtoAtLeast(1, 1) {
		return nil
	}
	return connOf(x.r.Context())
}

// cutByDrain reports whether the end of the drain has canceled the request.
func (x *exchange) cutByDrain() bool {
	return x.relayed == failover.Nothing && x.service.drained.Err() != nil
}
