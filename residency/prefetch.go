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
		if !r.free(now) || r.moving() || len(r.wishes) > 0 {
			continue
		}
		room := min(prefetchAtOnce, e.AdapterSlots-spareSlots-len(r.adapters))
		if room <= 0 {
			continue
		}
		for _, key := range s.missingAdapters(e, c, id, r, room) {
			r.wishes = append(r.wishes, wish{model: key.model, adapter: key.name, until: now.Add(adapterGiveUp)})
		}
		actions = append(actions, s.advance(now, id, r)...)
	}
	return actions
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
