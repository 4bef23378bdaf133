package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Router holds the endpoints and what this instance has in flight on each. It
// is not safe for concurrent use.
type Router struct {
	policy    Policy
	home      fleet.DataCentre
	random    *rand.Rand
	endpoints []state
	byID      map[fleet.EndpointID]int
	byName    map[poolName][]Place
	places    map[Key][]Place // answers of Places, computed on demand
	hints     hints
	next      int // round robin position
}

type poolName struct{ pool, name string }

// state is an endpoint and this instance's own work on it.
type state struct {
	Endpoint
	hash     uint64
	inFlight int
	ranks    [fleet.RankCount]int // inFlight by rank
	// change is the growth of own work in flight since the load report was taken.
	change  int
	history history
}

// New returns a router without endpoints.
func New(c Config) *Router {
	return &Router{
		policy: c.Policy,
		home:   c.DataCentre,
		random: rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15)),
		byID:   make(map[fleet.EndpointID]int),
		byName: make(map[poolName][]Place),
		places: make(map[Key][]Place),
	}
}

// Replace sets the endpoints. Work in flight is kept by endpoint ID; an
// endpoint that is gone but has work in flight stays, closed.
func (r *Router) Replace(now time.Time, endpoints []Endpoint) {
	old, oldIndex := r.endpoints, r.byID
	r.endpoints = make([]state, 0, len(endpoints))
	r.byID = make(map[fleet.EndpointID]int, len(endpoints))
	for _, e := range endpoints {
		s := state{Endpoint: e}
		if i, ok := oldIndex[e.ID]; ok {
			s = old[i]
			s.Endpoint = e
		} else {
			s.hash = xxhash.Sum64String(string(e.ID))
		}
		s.Closed = e.Closed || e.Leaving
		s.change = s.history.since(now, e.ReportedAt)
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
	r.index()
}

func (r *Router) index() {
	clear(r.byName)
	clear(r.places)
	for i := range r.endpoints {
		e := &r.endpoints[i]
		if e.Closed {
			continue
		}
		if e.Kind == fleet.PlainService {
			k := poolName{e.Pool, ""}
			r.byName[k] = append(r.byName[k], Place{Endpoint: i})
		}
		for _, res := range e.Residents {
			k := poolName{e.Pool, res.Name}
			r.byName[k] = append(r.byName[k], Place{Endpoint: i, Resident: res})
		}
	}
}

// Places returns the open endpoints that can serve the key. If none holds the
// key's version, endpoints with another version are returned: a request that
// waited through a change of version is served by the new one. The result must
// not be changed and is valid until the next Replace.
func (r *Router) Places(k Key) []Place {
	if p, ok := r.places[k]; ok {
		return p
	}
	p := r.findPlaces(k)
	r.places[k] = p
	return p
}

func (r *Router) findPlaces(k Key) []Place {
	if k.Model == "" {
		return r.byName[poolName{k.Pool, ""}]
	}
	name := k.Model
	if k.Adapter != "" {
		name = k.Adapter
	}
	var exact, other []Place
	for _, p := range r.byName[poolName{k.Pool, name}] {
		if !r.modelReady(p.Endpoint, k.Model) {
			continue
		}
		if k.Version == "" || p.Resident.Version == k.Version {
			exact = append(exact, p)
		} else {
			other = append(other, p)
		}
	}
	if len(exact) == 0 {
		return other
	}
	return exact
}

func (r *Router) modelReady(endpoint int, model string) bool {
	return slices.ContainsFunc(r.endpoints[endpoint].Residents, func(res Resident) bool {
		return res.Name == model && res.Ready
	})
}

// Len returns the number of endpoints; indices of places are below it.
func (r *Router) Len() int { return len(r.endpoints) }

// Index returns the index of an endpoint.
func (r *Router) Index(id fleet.EndpointID) (int, bool) {
	i, ok := r.byID[id]
	return i, ok
}

// Endpoint returns the endpoint with the given index.
func (r *Router) Endpoint(i int) *Endpoint { return &r.endpoints[i].Endpoint }

// InFlight returns how many requests of this instance run on the endpoint.
func (r *Router) InFlight(i int) int { return r.endpoints[i].inFlight }

// Free reports whether the endpoint has room for a request of the rank; extra
// is how many requests beyond the window count as room.
func (r *Router) Free(i int, rank fleet.Rank, extra int) bool {
	s := &r.endpoints[i]
	if s.Closed || s.inFlight >= s.Window+extra || s.ranks[rank] >= s.Ranks[rank]+extra {
		return false
	}
	return rank == fleet.Urgent || s.inFlight-s.ranks[fleet.Urgent] < s.Lower+extra
}

// Sent records that a request was sent to the endpoint.
func (r *Router) Sent(now time.Time, i int, rank fleet.Rank, prefix uint64) {
	s := &r.endpoints[i]
	s.inFlight++
	s.ranks[rank]++
	s.change++
	s.history.add(now, 1)
	if prefix != 0 {
		r.hints.add(prefix, s.hash)
	}
}

// Done records that a request sent to the endpoint has ended.
func (r *Router) Done(now time.Time, i int, rank fleet.Rank) {
	s := &r.endpoints[i]
	s.inFlight--
	s.ranks[rank]--
	s.change--
	s.history.add(now, -1)
}

// CacheEvent records that an endpoint cached or dropped a prompt prefix. Such
// events arrive late and with gaps, so they only shift preferences.
func (r *Router) CacheEvent(id fleet.EndpointID, prefix uint64, removed bool) {
	hash := xxhash.Sum64String(string(id))
	if removed {
		r.hints.remove(prefix, hash)
	} else {
		r.hints.add(prefix, hash)
	}
}
