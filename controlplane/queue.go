package controlplane

import (
	"time"

	"github.com/hyssophaven/hyssophaven/dispatch"
)

// waitsMetric is the counter of requests that waited, by cause. Package ingress counts those
// of services that are not contended.
const waitsMetric = "waits"

// serveTimePerWaiter is the least time between two passes over the waiting requests of all
// services, for each of them, so that a long queue does not use up the processor.
const serveTimePerWaiter = 100 * time.Microsecond

// freeWaiters is the number of waiting requests up to which any news leads to a pass.
const freeWaiters = 16

// minServePause is the shortest time until the waiting requests are looked at without news.
const minServePause = time.Millisecond

// queuedAdmission is an admission whose answer waits until the request is sent or refused.
type queuedAdmission struct {
	admit   *admit
	counted bool // the request is counted in the demand for its model
}

// submit puts a request in the queue of its service, and answers it at once if it need not
// wait.
func (c *core) submit(now time.Time, e *admit) {
	r := e.request
	e.waiter = &dispatch.Waiter{Request: r.Request, History: r.history(), Payload: &queuedAdmission{admit: e, counted: !r.isFirst()}}
	c.dispatch.Submit(now, e.waiter)
	c.serveWaiters(now, r.Request.Service)
	if q := e.waiter.Payload.(*queuedAdmission); e.waiter.Waiting() && !q.counted {
		q.counted = true
		c.countDemand(r.Request, dispatch.Decision{Verdict: dispatch.Wait, Cause: e.waiter.Cause, Expected: e.waiter.Expected})
	}
}

// serveWaiters decides on the waiting requests of a service.
func (c *core) serveWaiters(now time.Time, service string) {
	n := c.dispatch.Waiters()
	if n == 0 || n > freeWaiters && now.Before(c.servedAt.Add(time.Duration(n)*serveTimePerWaiter)) {
		return // the timer comes back to them
	}
	c.servedAt = now
	c.dispatch.ServeWaiters(now, service, func(w *dispatch.Waiter, d dispatch.Decision) { c.endWait(now, w, d) })
}

// serveAllWaiters decides on the waiting requests of all services.
func (c *core) serveAllWaiters(now time.Time) {
	c.dispatch.EachWaitingService(func(service string) {
		c.servedAt = time.Time{}
		c.serveWaiters(now, service)
	})
}

// endWait answers the admission of a request that no longer waits.
func (c *core) endWait(now time.Time, w *dispatch.Waiter, d dispatch.Decision) {
	q := w.Payload.(*queuedAdmission)
	e := q.admit
	if e.ctx.Err() != nil {
		e.answer <- Admission{}
		return
	}
	a := c.admission(now, e.request, d, !q.counted)
	if waited := now.Sub(w.Since); waited > 0 && w.Cause != dispatch.CauseNone {
		a.Waited, a.WaitCause = waited, w.Cause
		c.metrics.Counter(waitsMetric, "cause", string(w.Cause)).Add(1)
	}
	e.answer <- a
}

// nextServeTime returns when the waiting requests must be looked at again without news, or
// false if none waits.
func (c *core) nextServeTime() (time.Time, bool) {
	at, ok := c.dispatch.NextWake()
	if earliest := c.servedAt.Add(time.Duration(c.dispatch.Waiters()) * serveTimePerWaiter); ok && at.Before(earliest) {
		at = earliest
	}
	return at, ok
}

// withdraw removes a waiting request whose caller has left.
type withdraw struct{ admit *admit }

func (e withdraw) apply(c *core, _ time.Time) {
	if w := e.admit.waiter; w != nil && w.Waiting() {
		c.dispatch.Withdraw(w)
		e.admit.answer <- Admission{}
	}
}
