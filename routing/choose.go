package routing

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Scores are loads relative to the endpoint's slots: 1 is a full endpoint. The
// endpoint with the lowest score is preferred.
const (
	maxCandidates  = 16 // endpoints scored per decision; bounds its cost for models with many replicas
	bestCandidates = 4  // best-scored candidates from which the random pair is drawn
	// remoteDataCentrePenalty is added for an idle endpoint in another data centre.
	// It falls to 0 for a full endpoint: if all were full, preferring the local data
	// centre would put more load on the data centres with the most instances.
	remoteDataCentrePenalty = 0.5
	adapterLoadPenalty      = 0.2 // added if the adapter must be loaded first
	cachedPrefixBonus       = 0.3 // subtracted if the endpoint probably cached the prefix
	// firstChoiceMargin is how far the score of the first endpoint by rendezvous hash
	// can exceed that of the second before the second is preferred.
	firstChoiceMargin = 0.2
	// maxAffinityExcess is how far the score of an endpoint chosen by rendezvous hash
	// can exceed the best score.
	maxAffinityExcess = 0.5
)

// scoredCandidate is a usable endpoint and its score for one query.
type scoredCandidate struct {
	candidate    Candidate
	score        float64
	affinityHash uint64 // rendezvous hash of fingerprint and endpoint; 0 without a fingerprint
}

// Choose returns the endpoint for one request by the router's policy, or false if
// no usable endpoint has room.
func (r *Router) Choose(q *Query) (Candidate, bool) {
	candidates := r.Candidates(q.Key)
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	switch r.policy {
	case RoundRobin:
		return r.roundRobin(q, candidates)
	case LeastLoaded:
		return r.leastLoaded(q, candidates)
	default:
		return r.bestOfTwo(q, candidates)
	}
}

// isUsable reports whether an endpoint has room for the request and is not excluded.
func (r *Router) isUsable(q *Query, c Candidate) bool {
	if !r.HasRoom(c.EndpointIndex, q.Rank, q.ExtraSlots) {
		return false
	}
	return len(q.Exclude) == 0 || !slices.Contains(q.Exclude, r.endpoints[c.EndpointIndex].ID)
}

// roundRobin returns the next usable endpoint after the last one chosen.
func (r *Router) roundRobin(q *Query, candidates []Candidate) (Candidate, bool) {
	for range candidates {
		r.roundRobinCount++
		if c := candidates[r.roundRobinCount%len(candidates)]; r.isUsable(q, c) {
			return c, true
		}
	}
	return Candidate{}, false
}

// leastLoaded returns the usable endpoint with the lowest reported load per slot.
func (r *Router) leastLoaded(q *Query, candidates []Candidate) (Candidate, bool) {
	best, found, least := Candidate{}, false, 0.0
	for _, c := range candidates {
		if !r.isUsable(q, c) {
			continue
		}
		e := &r.endpoints[c.EndpointIndex]
		load := float64(e.Running+e.Waiting) / float64(max(e.Slots, 1))
		if !found || load < least {
			best, found, least = c, true, load
		}
	}
	return best, found
}

// bestOfTwo scores up to maxCandidates usable endpoints and chooses among them.
func (r *Router) bestOfTwo(q *Query, candidates []Candidate) (Candidate, bool) {
	var buffer [maxCandidates]scoredCandidate
	scored := buffer[:0]
	start := r.scanStart(q, len(candidates))
	var cached endpointHashes
	if q.Prefix != 0 {
		cached = r.cacheHints.get(q.Prefix)
	}
	for i := 0; i < len(candidates) && len(scored) < maxCandidates; i++ {
		c := candidates[(start+i)%len(candidates)]
		if !r.isUsable(q, c) {
			continue
		}
		scored = append(scored, r.score(q, c, &cached))
	}
	switch len(scored) {
	case 0:
		return Candidate{}, false
	case 1:
		return scored[0].candidate, true
	}
	return r.pickByAffinity(q, scored).candidate, true
}

// scanStart returns the index at which bestOfTwo starts to look for candidates.
// With more than maxCandidates endpoints it depends on the fingerprint, so that
// requests with equal content get the same candidates.
func (r *Router) scanStart(q *Query, n int) int {
	if n <= maxCandidates {
		return 0
	}
	if q.Fingerprint != 0 {
		return int(q.Fingerprint % uint64(n))
	}
	return r.random.IntN(n)
}

// score rates an endpoint by its load, its data centre, and whether it holds the
// adapter and the prompt prefix. The load is the last report corrected by this
// instance's own requests.
func (r *Router) score(q *Query, candidate Candidate, cached *endpointHashes) scoredCandidate {
	s := &r.endpoints[candidate.EndpointIndex]
	load := max(s.Running+s.Waiting+s.inFlightChange, s.inFlight)
	c := scoredCandidate{candidate: candidate, score: float64(load) / float64(max(s.Slots, 1))}
	if s.DataCentre != r.dataCentre {
		c.score += remoteDataCentrePenalty * max(1-c.score, 0)
	}
	if q.Key.Adapter != "" && !candidate.Resident.Ready {
		c.score += adapterLoadPenalty
	}
	if q.Prefix != 0 && cached.has(s.idHash) {
		c.score -= cachedPrefixBonus
	}
	if q.Fingerprint != 0 {
		c.affinityHash = rendezvousHash(q.Fingerprint, s.idHash)
	}
	return c
}

// rendezvousHash returns the weight of an endpoint for some content in rendezvous
// (highest random weight) hashing.
func rendezvousHash(content, endpoint uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], content)
	binary.LittleEndian.PutUint64(b[8:], endpoint)
	return xxhash.Sum64(b[:])
}

// pickByAffinity returns the better of the two endpoints that rendezvous hashing
// ranks highest for the content, with a preference for the first. Without a
// fingerprint, or if that endpoint is much busier than the best one, it returns the
// better of a random pair of the best candidates.
func (r *Router) pickByAffinity(q *Query, candidates []scoredCandidate) scoredCandidate {
	var buffer [bestCandidates]scoredCandidate
	best := buffer[:0]
	first, second := -1, -1
	for i, c := range candidates {
		best = insertBest(best, c)
		switch {
		case first < 0 || c.affinityHash > candidates[first].affinityHash:
			first, second = i, first
		case second < 0 || c.affinityHash > candidates[second].affinityHash:
			second = i
		}
	}
	if q.Fingerprint != 0 {
		chosen := candidates[first]
		if candidates[second].score < chosen.score-firstChoiceMargin {
			chosen = candidates[second]
		}
		if chosen.score <= best[0].score+maxAffinityExcess {
			return chosen
		}
	}
	a := r.random.IntN(len(best))
	b := r.random.IntN(len(best) - 1)
	if b >= a {
		b++
	}
	return best[min(a, b)] // best is ordered by score
}

// insertBest inserts a candidate into a list ordered by score and keeps as many of
// the lowest scores as the list has capacity.
func insertBest(best []scoredCandidate, c scoredCandidate) []scoredCandidate {
	if len(best) < cap(best) {
		best = append(best, c)
	} else if c.score < best[len(best)-1].score {
		best[len(best)-1] = c
	} else {
		return best
	}
	for i := len(best) - 1; i > 0 && best[i].score < best[i-1].score; i-- {
		best[i], best[i-1] = best[i-1], best[i]
	}
	return best
}
