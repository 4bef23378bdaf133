package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/rendezvous"
)

const (
	// readTokensPerMS is the assumed speed at which an engine reads prompts. It
	// is only a scale: slowness corrects it by replica.
	readTokensPerMS = 19.0
	// firstStep is the time to the first event beside reading that is assumed
	// until it is learned: a step of today's engines.
	firstStep = 12 * time.Millisecond
	// slotWait is the assumed time until a slot of a full engine is free.
	slotWait = 60 * time.Millisecond
	// adapterWait is the usual time to bring an adapter onto a replica, with the
	// way to the instance that gives the order.
	adapterWait = 25 * time.Millisecond
	// adapterPlace is what the place is worth that one more adapter takes on a replica.
	adapterPlace = 80 * time.Millisecond
	// scoreSpread is the difference of scores that makes a replica 2.7 times as
	// probable as another: about the work that all instances send to one in the time
	// until they hear of it.
	scoreSpread = 50 * time.Millisecond
	// maxScoreGap is the difference of scores from which on a replica is not chosen
	// by chance. A replica without the adapter differs by more, so that adapters stay
	// where they are while these replicas are about as free as others.
	maxScoreGap = 2 * scoreSpread
	// otherDataCentre is the extra time of a way between data centres and back, and the worth
	// of the bytes that cross.
	otherDataCentre = 6 * time.Millisecond
	// affinityShare is the part of the reading time of shared parts by which the
	// replica that all instances prefer for them is favoured.
	affinityShare = 0.5
	// minTimeLeft is the time below which a request is not worth sending.
	minTimeLeft = 20 * time.Millisecond
	// refusedRetryAfter is when a caller should come back to a service whose
	// replicas are full or failing: about the time after which they are tried again.
	refusedRetryAfter = 400 * time.Millisecond
	// overloadRetryAfter is when a caller should come back to replicas whose
	// queues are longer than it would wait.
	overloadRetryAfter = time.Second
	// Callers leave a stream before its first event after a pause of two seconds,
	// four times its goal or eight times the longest pause on time, whichever is
	// longest. A little less is used, because the way back takes time too.
	minPatience   = 1900 * time.Millisecond
	patienceGoals = 4
	patienceGaps  = 8
	// loadingRetryAfter is when a caller should come back for a model of which no
	// load has begun: about the time of a load from a replica's disk.
	loadingRetryAfter = 1500 * time.Millisecond
	// arrivalMargin is added to the time until a model arrives: instances hear of
	// it from the list, which is some hundred milliseconds late.
	arrivalMargin = 400 * time.Millisecond
	// waitGoal is the part of the goal, in percent, for which a request may wait for
	// its model; the rest is for its answer.
	waitGoal = 60
	// maxLateWait bounds the wait of a request that will miss its goal.
	maxLateWait = 1600 * time.Millisecond
	// minWait is the shortest wait, about the time between two states of the holder.
	minWait = 250 * time.Millisecond
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
	if s.crashes.refuses(now, req.Fingerprint, s.peerCrashes[req.Fingerprint]) {
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
	usable, cause := s.candidates(now, svc, req, tried)
	if len(usable) == 0 {
		return s.refuse(now, req, cause)
	}
	at := level(req, false)
	chosen := s.pick(now, svc, usable, req, at)
	expected := s.estimate(now, svc, chosen, req, at)
	if req.Model != "" && req.Route.Goal > 0 && now.Add(expected).After(req.Arrived.Add(req.Route.Goal)) {
		at = level(req, true)
		chosen = s.pick(now, svc, usable, req, at)
		expected = s.estimate(now, svc, chosen, req, at)
		if expected > 3*Patience(req) && len(tried) == 0 {
			return Decision{Verdict: Refuse, Cause: CauseOverload, RetryAfter: overloadRetryAfter, Expected: expected}
		}
	}
	reading := s.reading(chosen, req)
	return Decision{
		Replica: chosen.info, NeedsAdapter: !chosen.hasAdapter(req.Model, req.Adapter), Urgency: at,
		Expected: expected, Unread: chosen.unread(now, at, svc.reading), Reading: reading,
		CachedTokens: chosen.prefixes.cached(req.Parts), LoadAge: now.Sub(chosen.reportAt), Running: chosen.inFlight(now),
	}
}

// Patience returns the time for which a caller waits for the first event of a stream.
func Patience(req *Request) time.Duration {
	return max(minPatience, patienceGoals*req.Route.Goal, patienceGaps*req.Route.EventGap)
}

// candidates returns the replicas that can get a request, or the reason why
// there is none. Replicas that fail are taken if there is no other.
func (s *State) candidates(now time.Time, svc *service, req *Request, tried []string) ([]*replica, Cause) {
	var usable, failing []*replica
	cause := CauseNoReplica
	for _, r := range svc.replicas {
		switch {
		case r.info.Leaving:
		case slices.Contains(tried, r.info.ID):
			cause = CauseAllTried
		case req.Model != "" && !r.info.Holds(req.Model):
			if cause == CauseNoReplica {
				cause = CauseNotLoaded
			}
		case req.Model != "" && slices.Contains(r.dropping, req.Model):
			cause = CauseUnloading
		case (r.moving || r.full) && !r.hasAdapter(req.Model, req.Adapter):
			cause = CauseNoAdapter
		case s.noOrders && !r.hasAdapter(req.Model, req.Adapter):
			cause = CauseNoOrders
		case r.usable(now):
			usable = append(usable, r)
		default:
			cause = CauseAside
			if r.lastResort() {
				failing = append(failing, r)
			}
		}
	}
	if len(usable) == 0 {
		usable = failing
	}
	return usable, cause
}

// pick returns a replica with a low score. Instances choose by the same reports,
// which are some hundred milliseconds old; if all took the lowest one, it would get
// the requests of all. The probability of a replica falls with its score;
// at maxScoreGap it is zero.
func (s *State) pick(now time.Time, svc *service, usable []*replica, req *Request, at int) *replica {
	scores := make([]time.Duration, len(usable))
	favourite, bonus := s.favourite(svc, req)
	for i, r := range usable {
		scores[i] = s.score(now, svc, r, req, at)
		if r.info.ID == favourite {
			scores[i] -= bonus
		}
	}
	lowest := slices.Min(scores)
	weights, sum := make([]float64, len(usable)), 0.0
	for i, score := range scores {
		if score-lowest > maxScoreGap {
			continue
		}
		weights[i] = math.Exp(-float64(score-lowest) / float64(scoreSpread))
		sum += weights[i]
	}
	rest := s.random.Float64() * sum
	for i, w := range weights {
		if rest -= w; w > 0 && rest <= 0 {
			return usable[i]
		}
	}
	return usable[slices.Index(scores, lowest)]
}

// refuse says when the caller should come back. A request that can be served
// soon waits instead.
func (s *State) refuse(now time.Time, req *Request, cause Cause) Decision {
	d := Decision{Verdict: Refuse, Cause: cause, RetryAfter: refusedRetryAfter}
	in, known := time.Duration(0), false
	switch cause {
	case CauseNotLoaded, CauseUnloading:
		d.RetryAfter = loadingRetryAfter
		if at, ok := s.coming[req.Model]; ok {
			in, known = at.Sub(now)+arrivalMargin, true
		}
	case CauseNoOrders:
		in, known = s.ordersIn, true
	case CauseNoAdapter:
		in, known = s.adapterIn(now, req)
	}
	if !known {
		return d
	}
	d.RetryAfter = max(refusedRetryAfter, in)
	if now.Add(in).Before(req.Arrived.Add(mayWait(req))) {
		d.Verdict, d.RetryAfter = Wait, max(in, minWait)
	}
	return d
}

// mayWait returns how long a request may wait for its model or adapter before it
// is sent: most of the time in which it has its full worth, or half of the time
// after which the caller leaves.
func mayWait(req *Request) time.Duration {
	return max(req.Route.Goal*waitGoal/100, min(Patience(req)/2, maxLateWait))
}

// adapterIn returns the time until a replica that holds the request's model takes
// orders again.
func (s *State) adapterIn(now time.Time, req *Request) (time.Duration, bool) {
	in, known := time.Duration(0), false
	for _, r := range s.service(req.Service).replicas {
		if r.info.Leaving || !r.moving || !r.info.Holds(req.Model) || slices.Contains(r.dropping, req.Model) {
			continue
		}
		if left := max(0, r.movingUntil.Sub(now)) + arrivalMargin; !known || left < in {
			in, known = left, true
		}
	}
	return in, known
}

// score is the estimate with preferences that do not change the time itself.
func (s *State) score(now time.Time, svc *service, r *replica, req *Request, at int) time.Duration {
	score := s.estimate(now, svc, r, req, at)
	if r.info.DataCentre != s.options.DataCentre {
		score += otherDataCentre
	}
	if !r.hasAdapter(req.Model, req.Adapter) {
		score += adapterPlace
	}
	return score
}

// favourite returns the replica that all instances prefer for the shared parts
// of a request's prompt, and by how much; "" if there is none.
func (s *State) favourite(svc *service, req *Request) (id string, bonus time.Duration) {
	if req.Model == "" || len(req.Parts) < 2 {
		return "", 0
	}
	shared := req.Parts[:len(req.Parts)-1]
	tokens := 0
	for _, p := range shared {
		tokens += p.Tokens
	}
	work := float64(tokens) * s.Pace(req.Model).PerToken
	return preferred(svc, req.Model, shared[len(shared)-1].Key), time.Duration(affinityShare * float64(readingTime(work)))
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

// estimate returns the expected time to the first byte of the answer to a
// request at an urgency level.
func (s *State) estimate(now time.Time, svc *service, r *replica, req *Request, at int) time.Duration {
	running := r.inFlight(now)
	if req.Model == "" {
		return s.plainEstimate(svc, r, running)
	}
	estimate := s.Pace(req.Model).Base + readingTime(r.unread(now, at, svc.reading)+s.reading(r, req))
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
	return float64(max(0, req.PromptTokens-r.prefixes.cached(req.Parts))) * s.Pace(req.Model).PerToken
}

// Reading returns the reading work of a request of which nothing is cached.
func (s *State) Reading(req *Request) float64 {
	return float64(req.PromptTokens) * s.Pace(req.Model).PerToken
}

// readingTime returns the time that an engine takes for reading work.
func readingTime(work float64) time.Duration {
	return time.Duration(work / readTokensPerMS * float64(time.Millisecond))
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
