package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// This file decides on requests for contended services: their replicas share their machines
// with other work, and therefore state how slow these are now, or customers compete for the
// replicas. The load pattern is spells of more
// demand than capacity and replicas of unequal, changing speed: requests that are sent at
// once pile up at replicas, where they are rejected or starve until their callers leave.
//
// Invariant: a request is sent only to a replica that is expected to begin it within waitLimit,
// and is refused as soon as no replica is expected to begin it before its
// caller leaves.

const (
	// maxReplicaWait is the expected wait at a replica up to which requests are sent to it.
	// Instances learn of each other's sends after up to 500 ms, and a replica needs work until
	// they learn that it has little left.
	maxReplicaWait = 800 * time.Millisecond
	// maxPromptRank is the last rank with this limit. It is halved for later ranks and for
	// requests of this rank that have missed their target.
	maxPromptRank = 1
	// refusalFactor is how many times longer than its caller waits a request to a model must
	// be expected to take to be refused. Estimates are often twice too long: a factor of 1
	// refused requests that would have been served, and their callers came back.
	refusalFactor = 2
	// maxRecheck is the longest time between two decisions on a waiting request, and
	// minRecheck the shortest one.
	maxRecheck = 100 * time.Millisecond
	minRecheck = 5 * time.Millisecond
	// maxRejections is the number of replicas that can reject a request before it is
	// refused.
	maxRejections = 4
	// minFullRetryAfter and maxFullRetryAfter bound the retry time of a request that is
	// refused because all replicas are full. Callers use a third of their time for it.
	minFullRetryAfter = 200 * time.Millisecond
	maxFullRetryAfter = 4 * time.Second
	// leaveMargin is the time before a caller leaves at which an answer must begin or a refusal
	// be sent, so that it arrives in time.
	leaveMargin = 150 * time.Millisecond
	// remotePenaltyShare is the penalty for a replica in another data centre, as a share of
	// the request's latency target: bytes between data centres are expensive, and a request
	// with time to spare can as well wait here.
	remotePenaltyShare = 0.15
	// maxDrawnGap is the largest distance from the best score at which a replica is drawn.
	maxDrawnGap = 400 * time.Millisecond
	// defaultPlainTTFB is used for plain services before the first answer.
	defaultPlainTTFB = 20 * time.Millisecond
)

// CauseFull is the cause of waits for replicas that would not begin a request soon.
const CauseFull Cause = "replicas-full"

// isContended reports whether the requests for a service compete for its replicas with other
// work on their machines, of which the replicas state how slow it makes them, or with those
// of other customers.
func (svc *service) isContended() bool { return svc.statesSlowness || svc.hasCustomers }

// HoldsRequests reports whether requests for a service wait in the queue of this instance.
func (s *State) HoldsRequests(service string) bool {
	svc, ok := s.services[service]
	return ok && svc.isContended()
}

// leaveTime returns when the caller of a request leaves unless its answer has begun. The
// caller of a request that may have begun at a replica could have received events, and so
// waits until the deadline at most.
func leaveTime(req *Request, h History) time.Time {
	leave := req.Deadline
	if req.Route.Kind == catalog.Stream && h.PossibleRuns == 0 {
		if at := req.Arrived.Add(Patience(req) - leaveMargin); at.Before(leave) {
			leave = at
		}
	}
	return leave
}

// minTTFB returns the least time to the first byte of an answer.
func (s *State) minTTFB(svc *service, req *Request) time.Duration {
	if req.Model != "" {
		return s.LatencyProfile(req.Model).Base
	}
	return svc.plainTTFB()
}

// plainTTFB returns the usual time to the first byte of a plain service.
func (svc *service) plainTTFB() time.Duration {
	if svc.avgTTFB == 0 {
		return defaultPlainTTFB
	}
	return svc.avgTTFB
}

// chooseShared selects a replica for a request, or makes it wait or refuses it.
func (s *State) chooseShared(now time.Time, svc *service, req *Request, h History) Decision {
	if len(h.Rejected) >= maxRejections {
		return s.refuseFull(Decision{Cause: CauseAllTried})
	}
	failed := h
	failed.Tried = slices.DeleteFunc(slices.Clone(h.Tried), func(id string) bool { return slices.Contains(h.Rejected, id) })
	usable, cause := s.candidates(now, svc, req, failed)
	if len(usable) == 0 {
		d := s.refuseOrWait(now, req, cause)
		if d.Verdict == Refuse {
			d.RetryAfter = time.Duration(float64(d.RetryAfter) * (1 + 0.5*s.random.Float64()))
		}
		return d
	}
	if other := slices.DeleteFunc(slices.Clone(usable), func(r *replica) bool { return slices.Contains(h.Rejected, r.info.ID) }); len(other) > 0 {
		usable = other
	}
	if req.Model == "" {
		return s.choosePaced(now, svc, req, usable)
	}
	return s.chooseEngine(now, svc, req, h, usable)
}

// choosePaced sends a request for a plain service when the service's pace allows, or to a
// replica of which an answer to this instance has just ended: its slot is free. A request
// that has missed its target leaves such slots to others.
func (s *State) choosePaced(now time.Time, svc *service, req *Request, usable []*replica) Decision {
	level := urgencyLevel(req, false)
	late, next := missesTarget(now.Add(s.minTTFB(svc, req)), req), svc.pace.next()
	if late {
		next = next.Add(lateGaps * svc.pace.gap)
	}
	if now.Before(next) {
		i := slices.IndexFunc(usable, func(r *replica) bool { return r.hasFreedSlot(now) })
		if late || i < 0 {
			return Decision{Verdict: Wait, Cause: CauseFull, RetryAfter: max(next.Sub(now), minRecheck)}
		}
		usable = usable[i : i+1]
	}
	chosen := s.sampleReplica(now, svc, usable, req, level)
	return s.sendTo(now, svc, chosen, req, level, s.estimateTTFB(now, svc, chosen, req, level))
}

// missesTarget reports whether an answer that begins at the given time misses the target of
// its request.
func missesTarget(begin time.Time, req *Request) bool {
	return req.Route.LatencyTarget > 0 && begin.After(req.Arrived.Add(req.Route.LatencyTarget))
}

// chooseEngine selects a replica for a request to a model among those that are expected to
// begin it soon.
func (s *State) chooseEngine(now time.Time, svc *service, req *Request, h History, usable []*replica) Decision {
	level, limit := urgencyLevel(req, false), waitLimit(req, missesTarget(now.Add(s.minTTFB(svc, req)), req))
	open, least, soonest := make([]*replica, 0, len(usable)), time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, r := range usable {
		wait := s.queueWait(now, svc, r, level)
		if wait <= limit {
			open = append(open, r)
		}
		least, soonest = min(least, wait), min(soonest, s.estimateTTFB(now, svc, r, req, level))
	}
	if missesTarget(now.Add(soonest), req) {
		level = urgencyLevel(req, true) // must not delay requests that can still meet theirs
	}
	switch {
	case now.Add(soonest / refusalFactor).After(leaveTime(req, h)):
		return s.refuseFull(Decision{Cause: CauseOverload, RetryAfter: least, Expected: soonest})
	case len(open) == 0 && h.PossibleRuns == 0:
		return Decision{Verdict: Wait, Cause: CauseFull, RetryAfter: s.spread(min(max(least-limit, minRecheck), maxRecheck)), Expected: soonest}
	case len(open) == 0:
		open = usable // its caller may be reading a stream that has stopped
	}
	chosen := s.sampleTwo(now, svc, open, req, level)
	return s.sendTo(now, svc, chosen, req, level, s.estimateTTFB(now, svc, chosen, req, level))
}

// waitLimit returns the expected wait at a replica up to which a request is sent to it. It
// never grows from one class of the queue to the next, so that the less urgent class does not
// get the room for which the more urgent one waits.
func waitLimit(req *Request, late bool) time.Duration {
	if req.Rank() > maxPromptRank || late && req.Rank() == maxPromptRank {
		return maxReplicaWait / 2
	}
	return maxReplicaWait
}

// sampleTwo returns the better one of two replicas that are drawn at random, of those that are
// not far worse than the best one. One is drawn from this data centre if there is any.
// Instances that share out-of-date knowledge of the load all find the same replica the best
// one, but they do not all draw it. While the best one has the request's adapter, only those
// that have it are drawn.
func (s *State) sampleTwo(now time.Time, svc *service, usable []*replica, req *Request, level int) *replica {
	if len(usable) == 1 {
		return usable[0]
	}
	preference := s.prefixPreference(now, svc, usable, req)
	scores, best := make(map[*replica]time.Duration, len(usable)), usable[0]
	for _, r := range usable {
		score := s.estimateTTFB(now, svc, r, req, level)
		if r.info.DataCentre != s.options.DataCentre {
			score += remotePenalty(req)
		}
		if !r.hasAdapter(req.Model, req.Adapter) {
			score += adapterSlotPenalty
		}
		score -= preference.credit(r, score)
		if scores[r] = score; score < scores[best] {
			best = r
		}
	}
	keepAdapter := best.hasAdapter(req.Model, req.Adapter)
	usable = filter(usable, func(r *replica) bool {
		return scores[r]-scores[best] <= maxDrawnGap && (!keepAdapter || r.hasAdapter(req.Model, req.Adapter))
	})
	from := usable
	if local := filter(usable, func(r *replica) bool { return r.info.DataCentre == s.options.DataCentre }); len(local) > 0 {
		from = local
	}
	first := from[s.random.IntN(len(from))]
	if others := filter(usable, func(r *replica) bool { return r != first }); len(others) > 0 {
		if second := others[s.random.IntN(len(others))]; scores[second] < scores[first] {
			return second
		}
	}
	return first
}

// remotePenalty returns the penalty for a replica in another data centre. It is less than what
// an adapter counts that must be loaded, so that adapters stay where they are.
func remotePenalty(req *Request) time.Duration {
	penalty := max(crossDataCentrePenalty, time.Duration(remotePenaltyShare*float64(req.Route.LatencyTarget)))
	if req.Adapter != "" {
		penalty = min(penalty, adapterSlotPenalty)
	}
	return penalty
}

// filter returns the replicas for which keep is true, in a new slice.
func filter(replicas []*replica, keep func(*replica) bool) []*replica {
	kept := make([]*replica, 0, len(replicas))
	for _, r := range replicas {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// queueWait returns the expected time until a replica begins to work on a new request.
func (s *State) queueWait(now time.Time, svc *service, r *replica, level int) time.Duration {
	wait := prefillTime(r.pendingPrefill(now, level, svc.avgPrefill))
	if excess := r.inFlight(now) + 1 - s.concurrency(svc, r); excess > 0 {
		wait += time.Duration(excess) * slotWait
	}
	return time.Duration(float64(wait) * r.latencyRatio * r.slowness(now))
}

// refuseFull returns the refusal of a request that can't be served in time. Its retry time
// is the time after which d expects room, spread so that callers do not return together.
func (s *State) refuseFull(d Decision) Decision {
	cause := d.Cause
	if cause == CauseFull || cause == CauseNone {
		cause = CauseOverload
	}
	after := s.spread(min(max(d.RetryAfter, minFullRetryAfter), maxFullRetryAfter))
	return Decision{Verdict: Refuse, Cause: cause, RetryAfter: after, Expected: d.Expected}
}

// spread returns a random time around d, from three quarters to five quarters of it.
func (s *State) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*s.random.Float64()))
}
