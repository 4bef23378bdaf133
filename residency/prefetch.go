package residency

import (
	"cmp"
	"slices"
	"time"

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

// prefetch loads adapters ahead of use: those that were asked for before loads of
// models, during which a replica takes no adapter, and others after them.
func (s *State) prefetch(now time.Time, c *census, choose func(*census, *site) []adapterChoice) []Action {
	var actions []Action
	for _, t := range c.sites {
		if !t.r.idle(now) {
			continue
		}
		next := choose(c, t)
		for _, a := range next[:min(prefetchAtOnce, len(next))] {
			t.r.wishes = append(t.r.wishes, wish{model: a.model, adapter: a.name, until: now.Add(adapterGiveUp)})
			c.adapters[a.model+"/"+a.name] = true
		}
		actions = append(actions, s.advance(now, t.id, t.r)...)
	}
	return actions
}

// requestedAdapters returns the adapters of a replica's models that were asked for of
// late and are on no replica. One that is not in use gives way to them.
func (s *State) requestedAdapters(c *census, t *site) []adapterChoice {
	var out []adapterChoice
	for _, m := range t.r.info.Models {
		declared := c.engine.Model(m.Name)
		if declared == nil || t.r.givesWay(m.Name) {
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

// missingAdapters returns the adapters that a replica should load into places that
// are free. Replicas differ in what they take first, so that all adapters are
// somewhere.
func (s *State) missingAdapters(c *census, t *site) []adapterChoice {
	room := c.engine.AdapterSlots - spareSlots - len(t.r.adapters)
	if room <= 0 {
		return nil
	}
	var out []adapterChoice
	hash := rendezvous.Hash(t.id)
	for _, m := range t.r.info.Models {
		declared := c.engine.Model(m.Name)
		if declared == nil || t.r.givesWay(m.Name) || s.demand[m.Name].work()/float64(max(1, c.held[m.Name])) < prefetchUse {
			continue
		}
		for _, name := range declared.Adapters {
			key := m.Name + "/" + name
			if t.r.adapters[key] == nil {
				out = append(out, adapterChoice{m.Name, name, s.adapterDemand[key], rendezvous.Score(rendezvous.Hash(key), hash)})
			}
		}
	}
	slices.SortFunc(out, func(a, b adapterChoice) int {
		return cmp.Or(cmp.Compare(min(b.demand, 1), min(a.demand, 1)), cmp.Compare(b.order, a.order))
	})
	return out[:min(room, len(out))]
}
