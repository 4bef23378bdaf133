package routing

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Scores are in units of the endpoint's slots: 1 is a full endpoint.
const (
	maxCandidates = 16 // scored per decision; bounds its cost for models with many replicas
	bestFew       = 4  // candidates that the random pair is taken from
	// otherDataCentre is what an idle endpoint of another data centre counts as
	// load. It falls to 0 for a full endpoint: when all are full, preferring
	// the own data centre would load those with most instances more.
	otherDataCentre = 0.5
	adapterToLoad   = 0.2
	prefixCached    = 0.3
	// affinityLean is how much more load the first endpoint of equal content
	// may have than the second one.
	affinityLean = 0.2
	// affinityMargin is how much more load either may have than the best one.
	affinityMargin = 0.5
)

type candidate struct {
	place Place
	score float64
	rank  uint64 // rendezvous value for the fingerprint
}

// Choose returns the endpoint for one request, or false if none has room.
func (r *Router) Choose(q *Query) (Place, bool) {
	places := r.Places(q.Key)
	if len(places) == 0 {
		return Place{}, false
	}
	switch r.policy {
	case RoundRobin:
		return r.roundRobin(q, places)
	case LeastLoaded:
		return r.leastLoaded(q, places)
	default:
		return r.bestOfTwo(q, places)
	}
}

func (r *Router) usable(q *Query, p Place) bool {
	if !r.Free(p.Endpoint, q.Rank, q.Extra) {
		return false
	}
	return len(q.Exclude) == 0 || !slices.Contains(q.Exclude, r.endpoints[p.Endpoint].ID)
}

func (r *Router) roundRobin(q *Query, places []Place) (Place, bool) {
	for range places {
		r.next++
		if p := places[r.next%len(places)]; r.usable(q, p) {
			return p, true
		}
	}
	return Place{}, false
}

func (r *Router) leastLoaded(q *Query, places []Place) (Place, bool) {
	best, found, least := Place{}, false, 0.0
	for _, p := range places {
		if !r.usable(q, p) {
			continue
		}
		e := &r.endpoints[p.Endpoint]
		load := float64(e.Running+e.Waiting) / float64(max(e.Slots, 1))
		if !found || load < least {
			best, found, least = p, true, load
		}
	}
	return best, found
}

// bestOfTwo scores the usable endpoints. When there are many, it starts at a
// position given by the fingerprint, so that equal content sees the same ones.
func (r *Router) bestOfTwo(q *Query, places []Place) (Place, bool) {
	var buffer [maxCandidates]candidate
	found := buffer[:0]
	start := r.start(q, len(places))
	var cached holders
	if q.Prefix != 0 {
		cached = r.hints.get(q.Prefix)
	}
	for i := 0; i < len(places) && len(found) < maxCandidates; i++ {
		p := places[(start+i)%len(places)]
		if !r.usable(q, p) {
			continue
		}
		found = append(found, r.score(q, p, &cached))
	}
	switch len(found) {
	case 0:
		return Place{}, false
	case 1:
		return found[0].place, true
	}
	return r.pick(q, found).place, true
}

func (r *Router) start(q *Query, n int) int {
	if n <= maxCandidates {
		return 0
	}
	if q.Fingerprint != 0 {
		return int(q.Fingerprint % uint64(n))
	}
	return r.random.IntN(n)
}

func (r *Router) score(q *Query, p Place, cached *holders) candidate {
	s := &r.endpoints[p.Endpoint]
	load := max(s.Running+s.Waiting+s.change, s.inFlight)
	c := candidate{place: p, score: float64(load) / float64(max(s.Slots, 1))}
	if s.DataCentre != r.home {
		c.score += otherDataCentre * max(1-c.score, 0)
	}
	if q.Key.Adapter != "" && !p.Resident.Ready {
		c.score += adapterToLoad
	}
	if q.Prefix != 0 && cached.has(s.hash) {
		c.score -= prefixCached
	}
	if q.Fingerprint != 0 {
		c.rank = rendezvous(q.Fingerprint, s.hash)
	}
	return c
}

func rendezvous(content, endpoint uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], content)
	binary.LittleEndian.PutUint64(b[8:], endpoint)
	return xxhash.Sum64(b[:])
}

// pick takes the better of the two endpoints that rendezvous hashing gives for
// the content, leaning to the first. Without a fingerprint, or when both are
// much busier than the best endpoint, it takes the better of a random pair
// among the best few.
func (r *Router) pick(q *Query, found []candidate) candidate {
	var buffer [bestFew]candidate
	few := buffer[:0]
	first, second := -1, -1
	for i, c := range found {
		few = insertBest(few, c)
		switch {
		case first < 0 || c.rank > found[first].rank:
			first, second = i, first
		case second < 0 || c.rank > found[second].rank:
			second = i
		}
	}
	if q.Fingerprint != 0 {
		chosen := found[first]
		if found[second].score < chosen.score-affinityLean {
			chosen = found[second]
		}
		if chosen.score <= few[0].score+affinityMargin {
			return chosen
		}
	}
	a := r.random.IntN(len(few))
	b := r.random.IntN(len(few) - 1)
	if b >= a {
		b++
	}
	return few[min(a, b)] // few is ordered by score
}

// insertBest keeps the candidates with the least scores, in order.
func insertBest(few []candidate, c candidate) []candidate {
	if len(few) < cap(few) {
		few = append(few, c)
	} else if c.score < few[len(few)-1].score {
		few[len(few)-1] = c
	} else {
		return few
	}
	for i := len(few) - 1; i > 0 && few[i].score < few[i-1].score; i-- {
		few[i], few[i-1] = few[i-1], few[i]
	}
	return few
}
