package residency

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// census is where the models of a service are, for the duration of one plan.
type census struct {
	pool map[string]*replica // that can be used, by id
	// held and coming count the replicas that hold or load a model.
	held, coming map[string]int
	places       map[place]bool
	// adapters are those that some replica holds or is about to load, as
	// MODEL/ADAPTER.
	adapters map[string]bool
	// requested are the replicas that should load requested adapters first, by id.
	requested map[string]bool
}

// place is a model in a data centre.
type place struct{ dataCentre, model string }

// count returns the census of a service.
func (s *State) count(now time.Time, service *catalog.Service) *census {
	c := &census{pool: make(map[string]*replica), held: make(map[string]int), coming: make(map[string]int), places: make(map[place]bool), adapters: make(map[string]bool), requested: make(map[string]bool)}
	for id, r := range s.replicas {
		if r.info.Service != service.Name || r.info.Leaving || r.down {
			continue
		}
		c.pool[id] = r
		for _, m := range r.info.Models {
			c.add(r, m.Name)
		}
		for _, m := range r.reported {
			if !r.info.Holds(m.Name) {
				c.add(r, m.Name)
			}
		}
		for key := range r.adapters {
			c.adapters[key] = true
		}
		for _, w := range r.wishes {
			c.adapters[w.model+"/"+w.adapter] = true
		}
		if r.loading != "" {
			c.loads(r, r.loading)
		}
		if o := r.sent; o != nil && o.Operation == Load && o.Adapter == "" && o.Model != r.loading {
			c.loads(r, o.Model)
		} else if r.reservedNow(now) && r.loading != r.reserved.model.Name {
			c.loads(r, r.reserved.model.Name)
		}
	}
	for id, r := range c.pool {
		c.requested[id] = len(s.requestedAdapters(service.Engine, c, r)) > 0
	}
	return c
}

// add counts a model that a replica holds, unless it is counted as loading.
func (c *census) add(r *replica, model string) {
	c.places[place{r.info.DataCentre, model}] = true
	if r.dropping != model && r.loading != model {
		c.held[model]++
	}
}

// loads counts a model that a replica loads or is ordered to load.
func (c *census) loads(r *replica, model string) {
	c.coming[model]++
	c.places[place{r.info.DataCentre, model}] = true
}

// copies counts the replicas that hold or load a model.
func (c *census) copies(model string) (held, coming int) { return c.held[model], c.coming[model] }

// dropped takes a copy off that will be unloaded.
func (c *census) dropped(model string) { c.held[model]-- }
