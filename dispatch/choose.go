package dispatch

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

const (
	// readTokensPerMS is the assumed speed at which an engine reads prompts. It
	// is only a scale: slowness corrects it by replica.
	readTokensPerMS = 19.0
	// firstStep is the time of an engine's step beside reading.
	firstStep = 12 * time.Millisecond
	// slotWait is the assumed time until a slot of a full engine is free.
	slotWait = 60 * time.Millisecond
	// adapterWait is the usual time to bring an adapter onto a replica, with the
	// way to the instance that gives the order.
	adapterWait = 25 * time.Millisecond
	// otherZone is the extra time of a way between zones and back, and the worth
	// of the bytes that cross.
	otherZone = 6 * time.Millisecond
	// affinityShare is the part of the reading time of shared parts by which the
	// replica that all instances prefer for them is favoured.
	affinityShare = 0.5
	// minTimeLeft is the time below which a request is not worth sending.
	minTimeLeft = 20 * time.Millisecond
	// refusedRetryAfter is when a caller should come back to a service whose
	// replicas are full or failing: about the time after which they are tried again.
	refusedRetryAfter = 400 * time.Millisecond
	// loadingRetryAfter is when a caller should come back for a model that is
	// being loaded: about the time of a load from a replica's disk.
	loadingRetryAfter = 1500 * time.Millisecond
)

// History is what was done for a request before.
type History struct {
	Tried    []string // replicas that were chosen
	Arrivals int      // sends that reached a replica
	Ran      int      // replicas that may have run the request
}

// Choose decides where a request is sent.
func (s *State) Choose(now time.Time, req *Request, h History) Decision {
	if left := req.Deadline.Sub(now); left < minTimeLeft {
		return Decision{Verdict: Refuse, Cause: CauseNoTime}
	}
	if s.crashes.refuses(now, req.Fingerprint) {
		return Decision{Verdict: Refuse, Cause: CauseCrashes, RetryAfter: crashMemory}
	}
	svc := s.service(req.Service)
	if h.Ran >= req.Route.Attempts {
		return Decision{Verdict: Refuse, Cause: CauseAttempts}
	}
	d := s.best(now, svc, req, h.Tried)
	if d.Verdict == Refuse {
		return d
	}
	if h.Arrivals > 0 && !s.budget(svc, now).Allow(now) {
		return Decision{Verdict: Refuse, Cause: CauseBudget, RetryAfter: refusedRetryAfter}
	}
	return d
}

// best returns the replica with the lowest estimate.
func (s *State) best(now time.Time, svc *service, req *Request, tried []string) Decision {
	var best *replica
	var lowest time.Duration
	cause := CauseNoReplica
	for _, r := range svc.replicas {
		if r.info.Leaving {
			continue
		}
		if slices.Contains(tried, r.info.ID) {
			cause = CauseAllTried
			continue
		}
		if req.Model != "" && !r.info.Holds(req.Model) {
			if cause == CauseNoReplica {
				cause = CauseNotLoaded
			}
			continue
		}
		if !r.usable(now) {
			cause = CauseAside
			continue
		}
		if r.moving && !r.hasAdapter(req.Model, req.Adapter) {
			if cause == CauseNoReplica {
				cause = CauseNoAdapter
			}
			continue
		}
		score := s.score(now, svc, r, req)
		if best == nil || score < lowest {
			best, lowest = r, score
		}
	}
	if best == nil {
		return s.refuse(cause)
	}
	reading := s.reading(best, req)
	return Decision{
		Replica: best.info, NeedsAdapter: !best.hasAdapter(req.Model, req.Adapter),
		Expected: s.estimate(now, svc, best, req), Base: readingTime(best.unread(now, svc.reading) + reading), Reading: reading,
		CachedTokens: best.prefixes.cached(req.Parts),
		LoadAge:      now.Sub(best.reportAt), Running: best.inFlight(now),
	}
}

func (s *State) refuse(cause Cause) Decision {
	d := Decision{Verdict: Refuse, Cause: cause, RetryAfter: refusedRetryAfter}
	if cause == CauseNotLoaded {
		d.RetryAfter = loadingRetryAfter
	}
	return d
}

// score is the estimate with preferences that do not change the time itself.
func (s *State) score(now time.Time, svc *service, r *replica, req *Request) time.Duration {
	score := s.estimate(now, svc, r, req)
	if r.info.Zone != s.options.Zone {
		score += otherZone
	}
	if req.Model != "" && len(req.Parts) > 1 {
		shared := req.Parts[len(req.Parts)-2].Key
		if r.info.ID == preferred(svc, req.Model, shared) {
			tokens := 0
			for _, p := range req.Parts[:len(req.Parts)-1] {
				tokens += p.Tokens
			}
			score -= time.Duration(affinityShare * float64(readingTime(float64(tokens)*s.Pace(req.Model))))
		}
	}
	// Equal replicas are chosen in turn, so that instances do not all choose the
	// same one.
	return score + time.Duration(s.random.Int64N(int64(time.Millisecond)))
}

// preferred returns the id of the replica that every instance prefers for a
// shared part of a prompt.
func preferred(svc *service, model string, key uint64) string {
	var best string
	var highest uint64
	for _, r := range svc.replicas {
		if r.info.Leaving || r.asideFor > 0 || !r.info.Holds(model) {
			continue
		}
		if w := rendezvous.Score(key, r.hash); best == "" || w > highest {
			best, highest = r.info.ID, w
		}
	}
	return best
}

// estimate returns the expected time to the first byte of the answer.
func (s *State) estimate(now time.Time, svc *service, r *replica, req *Request) time.Duration {
	running := r.inFlight(now)
	if req.Model == "" {
		return s.plainEstimate(svc, r, running)
	}
	estimate := firstStep + readingTime(r.unread(now, svc.reading)+s.reading(r, req))
	if over := running + 1 - s.concurrency(svc, r); over > 0 {
		estimate += time.Duration(over) * slotWait
	}
	if !r.hasAdapter(req.Model, req.Adapter) {
		estimate += adapterWait
	}
	return time.Duration(float64(estimate) * r.slowness)
}

// reading returns the reading work of a request on a replica.
func (s *State) reading(r *replica, req *Request) float64 {
	return float64(max(0, req.PromptTokens-r.prefixes.cached(req.Parts))) * s.Pace(req.Model)
}

// Reading returns the reading work of a request of which nothing is cached.
func (s *State) Reading(req *Request) float64 {
	return float64(req.PromptTokens) * s.Pace(req.Model)
}

// readingTime returns the time that an engine takes for reading work.
func readingTime(work float64) time.Duration {
	return time.Duration(work / readTokensPerMS * float64(time.Millisecond))
}

// Pace returns how long a model takes to read a token, against a model of pace
// 1. It is learned from the time to the first event.
func (s *State) Pace(model string) float64 {
	if p, ok := s.paces[model]; ok {
		return p
	}
	return 1
}

// concurrency returns how many requests of the usual size run at once: slots,
// or fewer if memory for their tokens ends first.
func (s *State) concurrency(svc *service, r *replica) int {
	slots := r.info.Slots
	if s.config == nil {
		return slots
	}
	declared, ok := s.config.Services[r.info.Service]
	if !ok || declared.Engine == nil {
		return slots
	}
	size := svc.promptTokens + svc.outputTokens
	if size <= 0 || declared.Engine.KVTokens <= 0 {
		return slots
	}
	return max(1, min(slots, int(float64(declared.Engine.KVTokens)/size)))
}

func (s *State) plainEstimate(svc *service, r *replica, running int) time.Duration {
	typical := svc.typical
	if typical == 0 {
		typical = 20 * time.Millisecond // before the first answer; any equal value does
	}
	waiting := max(0, running+1-r.info.Slots)
	share := float64(running) / float64(max(r.info.Slots, 1))
	return time.Duration(float64(typical) * r.slowness * (1 + 0.3*min(share, 1) + float64(waiting)/float64(max(r.info.Slots, 1))))
}

// Model returns the model's declaration, or nil if the service does not declare it.
func (s *State) Model(service, model string) *catalog.Model {
	if s.config == nil {
		return nil
	}
	declared, ok := s.config.Services[service]
	if !ok || declared.Engine == nil {
		return nil
	}
	return declared.Engine.Model(model)
}
