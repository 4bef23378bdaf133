package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// This file keeps the requests that wait in this instance and decides which of them is
// next. The load pattern is callers of several customers that together ask for more than
// the replicas can do, with bursts of one customer. A queue at a replica holds its place
// for the request that came first, until the caller has left; a request that waits here
// can still go elsewhere, give way to a more urgent one, or be refused.
//
// Invariant: a request is sent only if no other one that waits for the same replicas is
// before it by rank, then by whether it can still meet its latency target, then by the
// share of its customer; and no request waits longer than its caller.

// maxWaiters limits the waiting requests of one service. An instance that sends some
// requests per second can't serve more before their callers leave.
const maxWaiters = 512

// maxPlainWaitPercent is the share of its time that a request for a plain service can wait. A
// refusal at the end of its time would not reach the caller before it leaves.
const maxPlainWaitPercent = 75

// Waiter is a request that waits for a decision other than Wait. Only contended
// services have waiters.
type Waiter struct {
	Request *Request
	History History
	// Payload belongs to the caller of Submit.
	Payload any
	// Cause is the cause of the last decision to wait, or empty.
	Cause Cause
	// Expected is the time to the first byte that the last decision expected, or 0.
	Expected time.Duration
	// Since is when the request was submitted.
	Since time.Time

	queued     bool
	late       bool      // it can't meet its latency target any more
	wake       time.Time // when it is decided again without news of the replicas
	start, end float64   // virtual times of its customer's flow
}

// Waiting reports whether the request still waits.
func (w *Waiter) Waiting() bool { return w.queued }

// waitQueue holds the waiters of one service. Customers of one rank share it by
// start-time fair queueing: each has a virtual clock that advances by the tokens of its
// requests, divided by its weight.
type waitQueue struct {
	waiters []*Waiter
	flows   map[string]float64 // end of each customer's last request
	clock   float64            // start of the last request that was served
}

// Submit adds a request to the queue of its service. The caller must call ServeWaiters
// next.
func (s *State) Submit(now time.Time, w *Waiter) {
	q := &s.service(w.Request.Service).queue
	w.Since, w.queued, w.wake = now, true, now
	if w.start = q.clock; len(w.History.Rejected) == 0 { // a rejected request has been charged
		name, weight := s.flow(w.Request.Customer)
		if q.flows == nil {
			q.flows = make(map[string]float64)
		}
		w.start = max(q.clock, q.flows[name])
		w.end = w.start + float64(max(1, w.Request.PromptTokens+w.Request.OutputTokens))/weight
		q.flows[name] = w.end
	}
	q.waiters = append(q.waiters, w)
}

// flow returns the name and the weight of a customer's flow: its limit, so that each gets
// the same share of what it is allowed.
func (s *State) flow(c *catalog.Customer) (string, float64) {
	switch {
	case c == nil:
		return "", s.meanQuota
	case c.Quota.Limited():
		return c.Name, c.Quota.PerSecond
	}
	return c.Name, s.meanQuota
}

// meanQuota returns the mean limit of the customers that have one, or 1.
func meanQuota(c *catalog.Config) float64 {
	sum, n := 0.0, 0.0
	for _, customer := range c.Customers() {
		if customer.Quota.Limited() {
			sum, n = sum+customer.Quota.PerSecond, n+1
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// Withdraw removes a request whose caller has left.
func (s *State) Withdraw(w *Waiter) {
	if w.queued {
		q := &s.service(w.Request.Service).queue
		q.waiters = slices.DeleteFunc(q.waiters, func(other *Waiter) bool { return other == w })
		w.queued = false
	}
}

// Waiters returns the number of waiting requests.
func (s *State) Waiters() int {
	n := 0
	for _, svc := range s.services {
		n += len(svc.queue.waiters)
	}
	return n
}

// EachWaitingService calls f for each service with waiting requests.
func (s *State) EachWaitingService(f func(service string)) {
	for name, svc := range s.services {
		if len(svc.queue.waiters) > 0 {
			f(name)
		}
	}
}

// NextWake returns the earliest time at which a waiting request is to be decided again
// without news of the replicas; false if none waits.
func (s *State) NextWake() (at time.Time, ok bool) {
	for _, svc := range s.services {
		for _, w := range svc.queue.waiters {
			if !ok || w.wake.Before(at) {
				at, ok = w.wake, true
			}
		}
	}
	return at, ok
}

// ServeWaiters decides on the waiting requests of a service, best first, and calls decided
// for each that is sent or refused. decided must record the send before it returns, so that
// the next decision takes it into account.
func (s *State) ServeWaiters(now time.Time, service string, decided func(*Waiter, Decision)) {
	svc := s.service(service)
	q := &svc.queue
	if len(q.waiters) == 0 {
		return
	}
	s.sortWaiters(now, svc)
	waiters := q.waiters
	q.waiters = nil
	full := make(map[string]*Waiter) // first waiter of each model that finds its replicas full
	for i, w := range waiters {
		first := full[w.Request.Model]
		var d Decision
		if first == nil || len(w.History.Tried) > 0 {
			d = s.Choose(now, w.Request, w.History)
		} else {
			d = Decision{Verdict: Wait, Cause: CauseFull, RetryAfter: maxRecheck, Expected: first.Expected}
		}
		if d.Verdict == Wait && (i >= maxWaiters || s.waitsTooLong(now.Add(d.RetryAfter), svc, w, first, d.Expected)) {
			d = s.refuseFull(d)
		}
		if d.Verdict != Wait {
			w.queued = false
			if d.Verdict == Send {
				q.clock = max(q.clock, w.start)
			}
			decided(w, d)
			continue
		}
		w.Cause, w.Expected, w.wake = d.Cause, d.Expected, now.Add(min(d.RetryAfter, maxRecheck))
		if first == nil && d.Cause == CauseFull {
			full[w.Request.Model] = w
		}
		q.waiters = append(q.waiters, w)
	}
	if len(q.waiters) == 0 {
		clear(q.flows)
		q.clock = 0
	}
}

// sortWaiters puts the waiters in the order in which they are served.
func (s *State) sortWaiters(now time.Time, svc *service) {
	q := &svc.queue
	for _, w := range q.waiters {
		w.late = missesTarget(now.Add(s.minTTFB(svc, w.Request)), w.Request)
	}
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int {
		if c := cmp.Compare(a.Request.Rank(), b.Request.Rank()); c != 0 {
			return c
		}
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.start, b.start)
	})
}

// waitsTooLong reports whether a waiting request is not expected to begin before its caller
// leaves. The request first, which is served before it, has waited for the same room: a
// request that joins the same class waits at least as long.
func (s *State) waitsTooLong(now time.Time, svc *service, w, first *Waiter, expected time.Duration) bool {
	begin := now.Add(max(s.minTTFB(svc, w.Request), expected))
	if first != nil && first.late == w.late && first.Request.Rank() == w.Request.Rank() {
		begin = begin.Add(now.Sub(first.classSince()))
	}
	leave := leaveTime(w.Request, w.History)
	if w.Request.Model == "" {
		leave = w.Request.Arrived.Add(leave.Sub(w.Request.Arrived) * maxPlainWaitPercent / 100)
	}
	return begin.After(leave)
}

// classSince returns when the request began to wait in its present class.
func (w *Waiter) classSince() time.Time {
	if became := w.Request.Arrived.Add(w.Request.Route.LatencyTarget); w.late && became.After(w.Since) {
		return became
	}
	return w.Since
}
