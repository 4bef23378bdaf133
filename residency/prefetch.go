package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

const (
	// spareSlots are the places for adapters that stay free for requests.
	spareSlots = 1
	// prefetchAtOnce bounds the adapters that are loaded ahead of use on a
	// replica between two plans.
	prefetchAtOnce = 2
	// requestedDemand is the fading count of requests from which on an adapter that no
	// replica holds is loaded ahead of the next request: one request within ten
	// seconds.
	requestedDemand = 0.5
	// prefetchUse is the utilization of a model's copies from which on its
	// adapters are loaded ahead of use.
	prefetchUse = 0.02
)

// AddAdapterDemand records requests for an adapter.
func (s *State) AddAdapterDemand(model, name string, requests int) {
	s.adapterDemand[model+"/"+name] += float64(requests)
}

// prefetch fills free places with adapters of the models in demand, because no
// adapter can be loaded while the replica loads a model. Replicas differ in
// what they take first, so that all adapters are somewhere.
func (s *State) prefetch(now time.Time, e *catalog.Engine, c *census) []Action {
	var actions []Action
	for id, r := range c.pool {
		if !r.idle(now) {
			continue
		}
		next := s.requestedAdapters(e, c, r)
		if len(next) > prefetchAtOnce {
			next = next[:prefetchAtOnce]
		}
		if room := min(prefetchAtOnce, e.AdapterSlots-spareSlots-len(r.adapters)); len(next) == 0 && room > 0 {
			next = s.missingAdapters(e, c, id, r, room)
		}
		for _, a := range next {
			r.wishes = append(r.wishes, wish{model: a.model, adapter: a.name, until: now.Add(adapterGiveUp)})
			c.adapters[a.model+"/"+a.name] = true
		}
		actions = append(actions, s.advance(now, id, r)...)
	}
	return actions
}

// requestedAdapters returns the adapters of a replica's models that were asked for of
// late and are on no replica. They come before loads of models, during which the
// replica takes no adapter, and one that is not in use gives way to them.
func (s *State) requestedAdapters(e *catalog.Engine, c *census, r *replica) []adapterChoice {
	var out []adapterChoice
	for _, m := range r.info.Models {
		declared := e.Model(m.Name)
		if declared == nil || r.dropping == m.Name {
			continue
		}
		for _, name := range declared.Adapters {
			key := m.Name + "/" + name
			if demand := s.adapterDemand[key]; demand >= requestedDemand && !c.adapters[key] {
				out = append(out, adapterChoice{model: m.Name, name: name, demand: demand})
			}
		}
	}
	slices.SortFunc(out, func(a, b adapterChoice) int { return cmp.Compare(b.demand, a.demand) })
	return out
}

type adapterChoice struct {
	model, name string
	demand      float64
	order       uint64
}

// missingAdapters returns the adapters that a replica should load next.
func (s *State) missingAdapters(e *catalog.Engine, c *census, id string, r *replica, most int) []adapterChoice {
	var out []adapterChoice
	hash := rendezvous.Hash(id)
	for _, m := range r.info.Models {
		declared := e.Model(m.Name)
		held, _ := c.copies(m.Name)
		if declared == nil || s.demand[m.Name].use(held) < prefetchUse {
			continue
		}
		for _, name := range declared.Adapters {
			key := m.Name + "/" + name
			if r.adapters[key] == nil {
				out = append(out, adapterChoice{m.Name, name, s.adapterDemand[key], rendezvous.Score(rendezvous.Hash(key), hash)})
			}
		}
	}
	slices.SortFunc(out, func(a, b adapterChoice) int {
		return cmp.Or(cmp.Compare(min(b.demand, 1), min(a.demand, 1)), cmp.Compare(b.order, a.order))
	})
	return out[:min(most, len(out))]
}
