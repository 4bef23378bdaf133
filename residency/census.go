package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// census is where the models of a service are and how much each replica is
// used, for the duration of one plan.
type census struct {
	state  *State
	now    time.Time
	engine *catalog.Engine
	sites  []*site // that can be used, by id
	// copies are the sites that hold a model or will hold it.
	copies map[string][]*site
	held   map[string]int
	// adapters are those that some replica holds or is about to load, as
	// MODEL/ADAPTER.
	adapters map[string]bool
	// noPlace and inUse count the adapters of a model that find no place, and those
	// that are in use.
	noPlace, inUse map[string]int
}

// site is one replica in a census.
type site struct {
	id string
	r  *replica
	// models are those that it holds or will hold, without those that give way.
	models []string
	flow   map[string]float64 // utilization by model
	load   float64            // sum of flow
	free   float64            // MB that are left for another model
	// places are those for adapters that are not in use.
	places int
	// victims are the models that may give way, those that are missed least first;
	// nil until they are needed.
	victims []victim
}

// count returns the census of a service.
func (s *State) count(now time.Time, service *catalog.Service) *census {
	c := &census{
		state: s, now: now, engine: service.Engine,
		copies: make(map[string][]*site), held: make(map[string]int), adapters: make(map[string]bool), noPlace: make(map[string]int), inUse: make(map[string]int),
	}
	for id, r := range s.replicas {
		if r.info.Service == service.Name && !r.info.Leaving && !r.down {
			c.addSite(id, r)
		}
	}
	slices.SortFunc(c.sites, func(a, b *site) int { return cmp.Compare(a.id, b.id) })
	for key := range s.noPlace {
		model, _, _ := strings.Cut(key, "/")
		c.noPlace[model]++
	}
	c.balance()
	return c
}

func (c *census) addSite(id string, r *replica) {
	t := &site{id: id, r: r, flow: make(map[string]float64), free: c.engine.WeightsMB - c.state.usedMB(r, c.engine)}
	c.sites = append(c.sites, t)
	for _, name := range r.models() {
		switch {
		case r.givesWay(name):
			t.free += c.weights(name)
		case r.loading != name:
			c.held[name]++
			c.hold(t, name)
		}
	}
	if coming := r.coming(c.now); coming != "" {
		if r.loading != coming {
			t.free -= c.weights(coming)
		}
		c.hold(t, coming)
	}
	t.places = c.engine.AdapterSlots
	for key, a := range r.adapters {
		c.adapters[key] = true
		if a.inUse(c.now) {
			model, _, _ := strings.Cut(key, "/")
			c.inUse[model]++
			t.places--
		}
	}
	for _, w := range r.wishes {
		c.adapters[w.model+"/"+w.adapter] = true
	}
}

// weights returns the size of a model in MB; 0 if it is not declared.
func (c *census) weights(model string) float64 {
	if declared := c.engine.Model(model); declared != nil {
		return declared.WeightsMB
	}
	return 0
}

// hold records that a site holds a model or will hold it.
func (c *census) hold(t *site, model string) {
	if !slices.Contains(t.models, model) {
		t.models = append(t.models, model)
		c.copies[model] = append(c.copies[model], t)
	}
}

// drop records that a site will not hold a model any more.
func (c *census) drop(t *site, model string) {
	is := func(name string) bool { return name == model }
	t.models = slices.DeleteFunc(t.models, is)
	c.copies[model] = slices.DeleteFunc(c.copies[model], func(other *site) bool { return other == t })
	c.held[model]--
}

// begun records a move that has been decided.
func (c *census) begun(t *site, m *move) {
	for _, v := range m.victims {
		c.drop(t, v)
		t.free += c.weights(v)
	}
	c.hold(t, m.model.Name)
	t.free -= m.model.WeightsMB
	c.balance()
	for _, other := range c.sites {
		other.victims = nil
	}
}

// shortage returns the share of the requests with an adapter that find no place
// for it, if there were more places.
func (c *census) shortage(model string, more int) float64 {
	wanted := c.noPlace[model]
	if wanted <= more {
		return 0
	}
	return float64(wanted-more) / float64(wanted+c.inUse[model])
}

// count returns how many replicas hold a model, and how many will.
func (c *census) count(model string) (held, coming int) {
	return c.held[model], len(c.copies[model]) - c.held[model]
}
