package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Router holds the endpoints and counts this instance's requests in flight on each.
// It is not safe for concurrent use.
type Router struct {
	policy          Policy
	dataCentre      fleet.DataCentre
	random          *rand.Rand
	endpoints       []endpointState
	byID            map[fleet.EndpointID]int
	byResident      map[residentKey][]Candidate
	candidates      map[Key][]Candidate // cached results of Candidates
	cacheHints      cacheHints
	roundRobinCount int // counts the endpoints tried by roundRobin
}

// residentKey identifies a resident by pool and name. Plain services have no name.
type residentKey struct{ pool, name string }

// endpointState is an endpoint with this instance's own requests on it.
type endpointState struct {
	Endpoint
	idHash   uint64
	inFlight int
	ranks    [fleet.RankCount]int // inFlight by rank
	// inFlightChange is the change in this instance's requests in flight since the
	// load report was taken.
	inFlightChange int
	history        inFlightHistory
}

// New returns a router without endpoints.
func New(c Config) *Router {
	return &Router{
		policy:     c.Policy,
		dataCentre: c.DataCentre,
		random:     rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15)),
		byID:       make(map[fleet.EndpointID]int),
		byResident: make(map[residentKey][]Candidate),
		candidates: make(map[Key][]Candidate),
	}
}

// Replace sets the endpoints and keeps the requests in flight by endpoint ID. A
// removed endpoint with requests in flight is kept as closed.
func (r *Router) Replace(now time.Time, endpoints []Endpoint) {
	old, oldIndex := r.endpoints, r.byID
	r.endpoints = make([]endpointState, 0, len(endpoints))
	r.byID = make(map[fleet.EndpointID]int, len(endpoints))
	for _, e := range endpoints {
		s := endpointState{Endpoint: e}
		if i, ok := oldIndex[e.ID]; ok {
			s = old[i]
			s.Endpoint = e
		} else {
			s.idHash = xxhash.Sum64String(string(e.ID))
		}
		s.Closed = e.Closed || e.Leaving
		s.inFlightChange = s.history.changesSince(now, e.ReportedAt)
		r.byID[e.ID] = len(r.endpoints)
		r.endpoints = append(r.endpoints, s)
	}
	for _, s := range old {
		if _, ok := r.byID[s.ID]; !ok && s.inFlight > 0 {
			s.Closed, s.Residents = true, nil
			r.byID[s.ID] = len(r.endpoints)
			r.endpoints = append(r.endpoints, s)
		}
	}
	r.rebuildIndex()
}

// rebuildIndex rebuilds the lookup from resident to open endpoints.
func (r *Router) rebuildIndex() {
	clear(r.byResident)
	clear(r.candidates)
	for i := range r.endpoints {
		e := &r.endpoints[i]
		if e.Closed {
			continue
		}
		if e.Kind == fleet.PlainService {
			k := residentKey{e.Pool, ""}
			r.byResident[k] = append(r.byResident[k], Candidate{EndpointIndex: i})
		}
		for _, res := range e.Residents {
			k := residentKey{e.Pool, res.Name}
			r.byResident[k] = append(r.byResident[k], Candidate{EndpointIndex: i, Resident: res})
		}
	}
}

// Candidates returns the open endpoints that can serve the key. If none has the
// key's version, it returns endpoints with other versions, so that a request that
// waited during a version change is served by the new version. The result must not
// be modified and is valid until the next Replace.
func (r *Router) Candidates(k Key) []Candidate {
	if found, ok := r.candidates[k]; ok {
		return found
	}
	found := r.findCandidates(k)
	r.candidates[k] = found
	return found
}

func (r *Router) findCandidates(k Key) []Candidate {
	if k.Model == "" {
		return r.byResident[residentKey{k.Pool, ""}]
	}
	name := k.Model
	if k.Adapter != "" {
		name = k.Adapter
	}
	var exact, other []Candidate
	for _, c := range r.byResident[residentKey{k.Pool, name}] {
		if !r.modelReady(c.EndpointIndex, k.Model) {
			continue
		}
		if k.Version == "" || c.Resident.Version == k.Version {
			exact = append(exact, c)
		} else {
			other = append(other, c)
		}
	}
	if len(exact) == 0 {
		return other
	}
	return exact
}

// modelReady reports whether an endpoint can serve the base model.
func (r *Router) modelReady(endpoint int, model string) bool {
	return slices.ContainsFunc(r.endpoints[endpoint].Residents, func(res Resident) bool {
		return res.Name == model && res.Ready
	})
}

// Len returns the number of endpoints, including closed ones.
func (r *Router) Len() int { return len(r.endpoints) }

// Index returns the index of an endpoint.
func (r *Router) Index(id fleet.EndpointID) (int, bool) {
	i, ok := r.byID[id]
	return i, ok
}

// Endpoint returns the endpoint with the given index.
func (r *Router) Endpoint(i int) *Endpoint { return &r.endpoints[i].Endpoint }

// InFlight returns the number of this instance's requests in flight on an endpoint.
func (r *Router) InFlight(i int) int { return r.endpoints[i].inFlight }

// HasRoom reports whether the endpoint is open and has room for a request of the
// rank. Each limit of the endpoint is raised by extraSlots.
func (r *Router) HasRoom(i int, rank fleet.Rank, extraSlots int) bool {
	s := &r.endpoints[i]
	if s.Closed || s.inFlight >= s.Window+extraSlots || s.ranks[rank] >= s.RankLimits[rank]+extraSlots {
		return false
	}
	return rank == fleet.Urgent || s.inFlight-s.ranks[fleet.Urgent] < s.NonUrgentLimit+extraSlots
}

// RecordSend counts a request that was sent to the endpoint.
func (r *Router) RecordSend(now time.Time, i int, rank fleet.Rank, prefix uint64) {
	s := &r.endpoints[i]
	s.inFlight++
	s.ranks[rank]++
	s.inFlightChange++
	s.history.add(now, 1)
	if prefix != 0 {
		r.cacheHints.add(prefix, s.idHash)
	}
}

// RecordEnd counts the end of a request that was sent to the endpoint.
func (r *Router) RecordEnd(now time.Time, i int, rank fleet.Rank) {
	s := &r.endpoints[i]
	s.inFlight--
	s.ranks[rank]--
	s.inFlightChange--
	s.history.add(now, -1)
}

// RecordCacheEvent records that an endpoint cached or evicted a prompt prefix. Such
// events arrive late and with gaps, so they only affect scores.
func (r *Router) RecordCacheEvent(id fleet.EndpointID, prefix uint64, removed bool) {
	hash := xxhash.Sum64String(string(id))
	if removed {
		r.cacheHints.remove(prefix, hash)
	} else {
		r.cacheHints.add(prefix, hash)
	}
}
