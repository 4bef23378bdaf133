package dispatch

import (
	"slices"
	"time"
)

// refuseOrWait returns a wait for a request that can be sent soon enough, and
// otherwise a refusal with the time after which the caller should try again.
func (s *State) refuseOrWait(now time.Time, req *Request, cause Cause) Decision {
	d := Decision{Verdict: Refuse, Cause: cause, RetryAfter: refusedRetryAfter}
	wait, known := time.Duration(0), false
	switch cause {
	case CauseNotLoaded, CauseUnloading:
		d.RetryAfter = loadingRetryAfter
		if at, ok := s.modelArrivals[req.Model]; ok {
			wait, known = at.Sub(now)+arrivalMargin, true
		}
	case CauseOrdersUnavailable:
		wait, known = s.ordersAvailableIn, true
	case CauseBackoff:
		d.RetryAfter = s.shortestBackoff(now, req)
		wait, known = d.RetryAfter, s.HoldsRequests(req.Service)
	case CauseAdapterBlocked:
		wait, known = s.timeUntilOrders(now, req)
	}
	if !known {
		return d
	}
	d.RetryAfter = max(refusedRetryAfter, wait)
	// An arrival that is overdue has a wait below zero.
	if wait = max(wait, minWait); now.Add(wait).Before(req.Arrived.Add(maxWait(req))) {
		d.Verdict, d.RetryAfter = Wait, wait
	}
	return d
}

// maxWait returns how long after its arrival a request can wait for its model or
// adapter: a share of its target, or half of the caller's patience up to
// maxLateWait, whichever is longer.
func maxWait(req *Request) time.Duration {
	return max(req.Route.LatencyTarget*maxWaitTargetPercent/100, min(Patience(req)/2, maxLateWait))
}

// timeUntilOrders returns the shortest time until a replica that holds the request's
// model and currently loads or unloads another accepts orders again, and false if
// there is none.
func (s *State) timeUntilOrders(now time.Time, req *Request) (time.Duration, bool) {
	wait, known := time.Duration(0), false
	for _, r := range s.service(req.Service).replicas {
		if r.info.Leaving || !r.changingModel || !r.info.Holds(req.Model) || slices.Contains(r.unloading, req.Model) {
			continue
		}
		if left := max(0, r.changingModelUntil.Sub(now), r.backoffUntil.Sub(now)) + arrivalMargin; !known || left < wait {
			wait, known = left, true
		}
	}
	return wait, known
}
