package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// prefillTokensPerMS is the prefill speed, in tokens per millisecond, of a model
	// with LatencyProfile.PerToken 1. It is only a scale: LatencyProfile corrects it
	// by model and latencyRatio by replica.
	prefillTokensPerMS = 19.0
	// defaultBaseLatency is the time to the first event without prefill, used
	// until it is learned: about one engine step.
	defaultBaseLatency = 12 * time.Millisecond
	// slotWait is the expected time until a slot of a full engine becomes free.
	slotWait = 60 * time.Millisecond
	// adapterLoadTime is the usual time to load an adapter onto a replica,
	// including the round trip to the instance that orders the load.
	adapterLoadTime = 25 * time.Millisecond
	// adapterSlotPenalty is added to the score of a replica without the adapter,
	// for the adapter slot that the load would use.
	adapterSlotPenalty = 80 * time.Millisecond
	// scoreTemperature is the softmax temperature of the choice: a score lower by
	// this much makes a replica e (2.7) times as probable. It roughly equals the work
	// that all instances send to one replica before they learn of each other's sends.
	scoreTemperature = 50 * time.Millisecond
	// maxScoreGap is the largest distance from the lowest score at which a replica
	// can be chosen. It is less than adapterLoadTime plus adapterSlotPenalty, so
	// that requests stay on replicas that have their adapter while these are about
	// as free as others.
	maxScoreGap = 2 * scoreTemperature
	// crossDataCentrePenalty is added to the score of a replica in another data
	// centre: the extra round-trip time and the cost of the bytes transferred.
	crossDataCentrePenalty = 6 * time.Millisecond
	// minTimeLeft is the time to the deadline below which a request is refused.
	minTimeLeft = 20 * time.Millisecond
	// refusedRetryAfter is the retry time for a service whose replicas are full or
	// failing: about the time until an ejected replica is probed.
	refusedRetryAfter = 400 * time.Millisecond
	// overloadRetryAfter is the retry time when the queues of all replicas are
	// longer than the caller would wait.
	overloadRetryAfter = time.Second
	// A caller abandons a stream whose first event takes longer than 2 s, four
	// times the route's LatencyTarget or eight times its EventGapTarget, whichever
	// is longest. minPatience is a little below 2 s for the time that the answer
	// takes to reach the caller.
	minPatience          = 1900 * time.Millisecond
	patienceTargetFactor = 4
	patienceGapFactor    = 8
	// StoppingRetryAfter is the retry time of a request that another instance can
	// take at once.
	StoppingRetryAfter = 100 * time.Millisecond
	// loadingRetryAfter is the retry time for a model that no replica has begun to
	// load: about the time of a load from a replica's disk.
	loadingRetryAfter = 1500 * time.Millisecond
	// arrivalMargin is added to the time until a load ends, because instances
	// learn of it from the list of replicas, which lags by some hundred
	// milliseconds.
	arrivalMargin = 400 * time.Millisecond
	// maxWaitTargetPercent is the share of the latency target, in percent, for which
	// a request can wait for its model; the rest is left for its answer.
	maxWaitTargetPercent = 60
	// maxLateWait limits the wait of a request that will miss its target.
	maxLateWait = 1600 * time.Millisecond
	// minWait is the shortest wait: about the interval between two state messages
	// of the lease holder.
	minWait = 250 * time.Millisecond
)

// History records the earlier sends of a request.
type History struct {
	Tried        []string // IDs of the replicas that were chosen
	Delivered    int      // sends that reached a replica
	PossibleRuns int      // replicas that may have run the request
	// Rejected holds those of Tried that answered that they have not run the request. A
	// contended service can get it again, as a slot of a replica that was full
	// can be free.
	Rejected []string
	// FromSilent is set if the request is to be taken over from a replica that is only
	// silent. Others that are silent too can't help.
	FromSilent bool
}

// Choose decides whether a request is sent, waits or is refused, and selects the
// replica. A retry that it allows is counted in the retry budget.
func (s *State) Choose(now time.Time, req *Request, h History) Decision {
	if left := req.Deadline.Sub(now); left < minTimeLeft {
		return Decision{Verdict: Refuse, Cause: CauseDeadline}
	}
	if s.crashes.limitReached(now, req.Fingerprint, s.peerCrashes[req.Fingerprint]) {
		return Decision{Verdict: Refuse, Cause: CauseCrashes, RetryAfter: crashRetention}
	}
	if i, wait := s.suspects.Blocked(now, req.SharedParts); i >= 0 {
		return Decision{Verdict: Refuse, Cause: CauseBlockedPart, RetryAfter: wait, BlockedPart: i}
	}
	svc := s.service(req.Service)
	s.lookUpPrefixes(now, svc, req)
	if h.PossibleRuns >= req.Route.MaxAttempts {
		return Decision{Verdict: Refuse, Cause: CauseMaxAttempts}
	}
	var d Decision
	if svc.isContended() {
		d = s.chooseShared(now, svc, req, h)
	} else {
		d = s.chooseReplica(now, svc, req, h)
	}
	if s.endsAfterStop(now, d) {
		return Decision{Verdict: Refuse, Cause: CauseStopping, RetryAfter: StoppingRetryAfter, Expected: d.Expected}
	}
	if d.Verdict == Refuse || (d.Verdict == Wait && svc.isContended()) {
		return d
	}
	if h.Delivered > 0 && !s.retryBudget(svc, now).AllowRetry(now) {
		if svc.isContended() && h.PossibleRuns == 0 {
			return Decision{Verdict: Wait, Cause: CauseRetryBudget, RetryAfter: s.spread(maxRecheck)}
		}
		return Decision{Verdict: Refuse, Cause: CauseRetryBudget, RetryAfter: refusedRetryAfter}
	}
	return d
}

// endsAfterStop reports whether a decision to wait or to send is expected to take
// effect after this instance has stopped. Another instance can take the request now.
func (s *State) endsAfterStop(now time.Time, d Decision) bool {
	if s.stopTime.IsZero() {
		return false
	}
	delay := d.Expected
	if d.Verdict == Wait {
		delay = d.RetryAfter
	}
	return d.Verdict != Refuse && now.Add(delay).After(s.stopTime)
}

// chooseReplica selects a replica by its score, and refuses or delays the request
// if no replica is usable or the expected queueing time is too long. A request
// that is expected to miss its target gets a less urgent level.
func (s *State) chooseReplica(now time.Time, svc *service, req *Request, h History) Decision {
	usable, cause := s.candidates(now, svc, req, h)
	if len(usable) == 0 {
		return s.refuseOrWait(now, req, cause)
	}
	level := urgencyLevel(req, false)
	chosen := s.sampleReplica(now, svc, usable, req, level)
	expected := s.estimateTTFB(now, svc, chosen, req, level)
	if req.Model != "" && req.Route.LatencyTarget > 0 && now.Add(expected).After(req.Arrived.Add(req.Route.LatencyTarget)) {
		level = urgencyLevel(req, true)
		chosen = s.sampleReplica(now, svc, usable, req, level)
		expected = s.estimateTTFB(now, svc, chosen, req, level)
		if expected > 3*Patience(req) && len(h.Tried) == 0 {
			return Decision{Verdict: Refuse, Cause: CauseOverload, RetryAfter: overloadRetryAfter, Expected: expected}
		}
	}
	return s.sendTo(now, svc, chosen, req, level, expected)
}

// sendTo returns the decision to send a request to a replica.
func (s *State) sendTo(now time.Time, svc *service, chosen *replica, req *Request, level int, expected time.Duration) Decision {
	d := Decision{
		Replica: chosen.info, NeedsAdapter: !chosen.hasAdapter(req.Model, req.Adapter), Urgency: level,
		Expected: expected, PendingPrefill: chosen.pendingPrefill(now, level, svc.avgPrefill), PrefillWork: s.prefillWork(chosen, req),
		PrefixSource: s.prefixSource(now, svc, chosen, req),
		CachedTokens: s.cachedTokens(chosen, req), believed: s.believedPrefix(now, svc, chosen, req), LoadAge: now.Sub(chosen.reportAt), Running: chosen.inFlight(now),
	}
	if svc.isContended() {
		d.Slowness = chosen.slowness(now)
	}
	return d
}

// Patience returns how long a caller waits for the first event of a stream.
func Patience(req *Request) time.Duration {
	return max(minPatience, patienceTargetFactor*req.Route.LatencyTarget, patienceGapFactor*req.Route.EventGapTarget)
}

// candidates returns the replicas that can get a request, or the cause if there
// is none. Ejected replicas that are reachable are returned if there is no other.
func (s *State) candidates(now time.Time, svc *service, req *Request, h History) ([]*replica, Cause) {
	var usable, failing []*replica
	cause, backoff := CauseNoReplica, false
	for _, r := range svc.replicas {
		switch {
		case r.info.Leaving:
		case r.backsOff(now) && r.serves(req):
			backoff = true
		case slices.Contains(h.Tried, r.info.ID):
			cause = CauseAllTried
		case h.FromSilent && r.isSilent(now):
			cause = CauseSilent
		case req.Model != "" && !r.info.Holds(req.Model):
			if cause == CauseNoReplica {
				cause = CauseNotLoaded
			}
		case req.Model != "" && slices.Contains(r.unloading, req.Model):
			cause = CauseUnloading
		case (r.changingModel || r.adapterSlotsFull) && !r.hasAdapter(req.Model, req.Adapter):
			cause = CauseAdapterBlocked
		case s.ordersUnavailable && !r.hasAdapter(req.Model, req.Adapter):
			cause = CauseOrdersUnavailable
		case r.usable(now):
			usable = append(usable, r)
		default:
			cause = CauseEjected
			if r.usableAsLastResort() {
				failing = append(failing, r)
			}
		}
	}
	if len(usable) == 0 {
		usable = failing
	}
	if backoff && (cause == CauseNoReplica || cause == CauseNotLoaded) {
		cause = CauseBackoff
	}
	return usable, cause
}

// sampleReplica selects a replica at random, with softmax weights that favour low
// scores. Replicas more than maxScoreGap above the lowest score are excluded. All
// instances use the same load reports, which are some hundred milliseconds old; if
// each took the replica with the lowest score, that replica would get all requests.
func (s *State) sampleReplica(now time.Time, svc *service, usable []*replica, req *Request, level int) *replica {
	scores := make([]time.Duration, len(usable))
	preference := s.prefixPreference(now, svc, usable, req)
	for i, r := range usable {
		scores[i] = s.score(now, svc, r, req, level)
		scores[i] -= preference.credit(r, scores[i])
	}
	lowest := slices.Min(scores)
	weights, sum := make([]float64, len(usable)), 0.0
	for i, score := range scores {
		if score-lowest > maxScoreGap {
			continue
		}
		weights[i] = math.Exp(-float64(score-lowest) / float64(scoreTemperature))
		sum += weights[i]
	}
	remaining := s.random.Float64() * sum
	for i, w := range weights {
		if remaining -= w; w > 0 && remaining <= 0 {
			return usable[i]
		}
	}
	return usable[slices.Index(scores, lowest)]
}

// score returns the estimated time to the first byte plus the penalties for
// another data centre and for an adapter that is not loaded.
func (s *State) score(now time.Time, svc *service, r *replica, req *Request, level int) time.Duration {
	score := s.estimateTTFB(now, svc, r, req, level)
	if r.info.DataCentre != s.options.DataCentre {
		score += crossDataCentrePenalty
	}
	if !r.hasAdapter(req.Model, req.Adapter) {
		score += adapterSlotPenalty
	}
	return score
}

// estimateTTFB returns the expected time from sending a request at an urgency
// level to the first byte of its answer.
func (s *State) estimateTTFB(now time.Time, svc *service, r *replica, req *Request, level int) time.Duration {
	running := r.inFlight(now)
	if req.Model == "" {
		return s.estimatePlainTTFB(now, svc, r, running)
	}
	estimate := s.LatencyProfile(req.Model).Base + prefillTime(r.pendingPrefill(now, level, svc.avgPrefill)+s.prefillWork(r, req))
	if excess := running + 1 - s.concurrency(svc, r); excess > 0 {
		estimate += time.Duration(excess) * slotWait
	}
	if !r.hasAdapter(req.Model, req.Adapter) {
		estimate += adapterLoadTime
	}
	return time.Duration(float64(estimate) * r.latencyRatio * r.slowness(now))
}

// prefillWork returns the prefill work of a request on a replica, without the
// prompt parts expected in its cache.
func (s *State) prefillWork(r *replica, req *Request) float64 {
	return float64(max(0, req.PromptTokens-s.cachedTokens(r, req))) * s.LatencyProfile(req.Model).PerToken
}

// UncachedPrefill returns the prefill work of a request without cached parts.
func (s *State) UncachedPrefill(req *Request) float64 {
	return float64(req.PromptTokens) * s.LatencyProfile(req.Model).PerToken
}

// prefillTime converts prefill work to time.
func prefillTime(work float64) time.Duration {
	return time.Duration(work / prefillTokensPerMS * float64(time.Millisecond))
}

// concurrency returns how many requests of average size a replica runs at once:
// its slots, or fewer if its KV cache holds fewer.
func (s *State) concurrency(svc *service, r *replica) int {
	slots := r.info.Slots
	if s.config == nil {
		return slots
	}
	config, ok := s.config.Services[r.info.Service]
	if !ok || config.Engine == nil {
		return slots
	}
	tokensPerRequest := svc.avgPromptTokens + svc.avgOutputTokens
	if tokensPerRequest <= 0 || config.Engine.KVCacheTokens <= 0 {
		return slots
	}
	return max(1, min(slots, int(float64(config.Engine.KVCacheTokens)/tokensPerRequest)))
}

// estimatePlainTTFB returns the expected time to the first byte of a replica that
// serves no models.
func (s *State) estimatePlainTTFB(now time.Time, svc *service, r *replica, running int) time.Duration {
	avgTTFB := svc.avgTTFB
	if avgTTFB == 0 {
		avgTTFB = 20 * time.Millisecond // assumed equally for all replicas before the first answer
	}
	waiting := max(0, running+1-r.info.Slots)
	utilization := float64(running) / float64(max(r.info.Slots, 1))
	return time.Duration(float64(avgTTFB) * r.latencyRatio * r.slowness(now) * (1 + 0.3*min(utilization, 1) + float64(waiting)/float64(max(r.info.Slots, 1))))
}
