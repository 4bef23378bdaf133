package dispatch

import (
	"time"

	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// This file weighs the prefill time that the cached parts of a prompt save on a replica
// against the expected wait there. The load pattern is prompts that share parts, some of
// them popular, on replicas whose memory for parts shrinks as they fill up.
//
// Invariants: parts that no replica is believed to hold change no score but that of one
// replica, by maxTieBreak at most. A request waits no longer for cached parts than they
// save it, and maxSharedCredit. A replica that is full gets no credit for parts, so that a
// popular part moves on to a second replica before the first is full.

const (
	// crowdedUtilization is the utilization from which the credit for cached parts falls,
	// and fullUtilization the one at which nothing is left of it. The load that is known
	// of a replica lags by some hundred milliseconds.
	crowdedUtilization, fullUtilization = 0.5, 0.8
	// sharedGain is the gain of others from a saved prefill, relative to that of the
	// request itself: prefill delays all requests in the batch of the replica and all that
	// wait for it. It counts only as far as the request has time for it. In replays, gains
	// of 2 to 8 changed little, and more requests were on time with 16 and 32.
	sharedGain = 32.0
	// maxSharedCredit limits the credit for the gain of others, and so how much longer a
	// request waits for it. It is about two prompts of average size.
	maxSharedCredit = 4 * scoreTemperature
	// tieBreakShare is the share of the prefill time of shared parts, up to maxTieBreak,
	// that the replica all instances prefer is credited with while no replica with room is
	// believed to hold them.
	tieBreakShare = 0.5
	maxTieBreak   = scoreTemperature / 2
)

// prefixPreference holds what sampleReplica subtracts from the scores of replicas for the
// parts of one request's prompt.
type prefixPreference struct {
	// The replica that all instances prefer, or "", and its credit.
	preferredID string
	bonus       time.Duration
	// estimate is the source of all other credits; nil if the service does not use it.
	estimate *State
	now      time.Time
	req      *Request
	perToken float64
	kvLimit  float64       // requests of average size that fit into a KV cache
	gain     float64       // sharedGain by urgency
	timeLeft time.Duration // until the latency target and the deadline
}

// prefixPreference returns the preference for a request among usable replicas.
func (s *State) prefixPreference(now time.Time, svc *service, usable []*replica, req *Request) prefixPreference {
	if !svc.isContended() {
		id, bonus := s.prefixAffinity(now, svc, req)
		return prefixPreference{preferredID: id, bonus: bonus}
	}
	if req.Model == "" || len(req.Parts) == 0 {
		return prefixPreference{}
	}
	p := prefixPreference{
		estimate: s, now: now, req: req, perToken: s.LatencyProfile(req.Model).PerToken,
		gain: sharedGain * urgencyGain(req), timeLeft: req.Deadline.Sub(now),
	}
	if req.Route.LatencyTarget > 0 {
		p.timeLeft = min(p.timeLeft, req.Arrived.Add(req.Route.LatencyTarget).Sub(now))
	}
	if tokens := svc.avgPromptTokens + svc.avgOutputTokens; tokens > 0 {
		p.kvLimit = s.cacheCapacity(req.Service) / tokens
	}
	p.breakTie(usable)
	return p
}

// urgencyGain returns the weight of sharedGain: an urgent request gives less of its time
// for the gain of others.
func urgencyGain(req *Request) float64 { return 1 - 0.5/float64(1+max(req.Rank(), 0)) }

// breakTie sets the preferred replica if no replica with room is believed to hold the
// shared parts. It is selected among those with room, so that parts spread from a crowded
// replica to the same second one from all instances.
func (p *prefixPreference) breakTie(usable []*replica) {
	if len(p.req.Parts) < 2 {
		return
	}
	shared := p.req.Parts[:len(p.req.Parts)-1]
	tokens, key := sumTokens(shared), shared[len(shared)-1].Key
	var best *replica
	var highest uint64
	for _, r := range usable {
		if p.headroom(r) < 1 {
			continue
		}
		if r.cached.generation == p.estimate.prefixes.generation && r.cached.shared >= minBelief*float64(tokens) {
			return
		}
		if w := rendezvous.Score(key, r.idHash); best == nil || w > highest {
			best, highest = r, w
		}
	}
	if best != nil {
		p.preferredID = best.info.ID
		p.bonus = min(maxTieBreak, time.Duration(tieBreakShare*float64(prefillTime(float64(tokens)*p.perToken))))
	}
}

// headroom returns 1 for a replica that is not crowded, 0 for one that is full, or
// between.
func (p *prefixPreference) headroom(r *replica) float64 {
	limit := float64(max(r.info.Slots, 1))
	if p.kvLimit > 0 {
		limit = max(1, min(limit, p.kvLimit))
	}
	utilization := float64(r.inFlight(p.now)+1) / limit
	return min(max((fullUtilization-utilization)/(fullUtilization-crowdedUtilization), 0), 1)
}

// credit returns what is subtracted from a replica's score. The score already contains
// the saving of the request itself: it is the estimated time to the first byte with the
// tokens that are expected in the cache.
func (p *prefixPreference) credit(r *replica, score time.Duration) time.Duration {
	credit := time.Duration(0)
	if p.preferredID != "" && r.info.ID == p.preferredID {
		credit = p.bonus
	}
	if p.estimate == nil || r.cached.generation != p.estimate.prefixes.generation {
		return credit
	}
	saving := float64(prefillTime(r.cached.expected*p.perToken)) * r.timeFactor(p.now)
	slack := 0.0
	if p.timeLeft > 0 {
		slack = min(max(float64(p.timeLeft-score)/float64(p.timeLeft), 0), 1)
	}
	forOthers := min(saving*p.gain*slack, float64(maxSharedCredit))
	return credit + time.Duration((saving+forOthers)*p.headroom(r)-saving)
}

// timeFactor returns how long work takes on the replica at present, relative to the
// latency profile of its model. It must be the factor that estimateTTFB applies.
func (r *replica) timeFactor(now time.Time) float64 { return r.latencyRatio * r.slowness(now) }
