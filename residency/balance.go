package residency

import (
	"cmp"
	"slices"
)

// balanceRounds is the number of times the work of each model is divided anew;
// a few suffice, as the work of one model changes the loads of few replicas.
const balanceRounds = 3

// balance divides the work of each model over its copies so that their loads
// come out level, as dispatch does with requests.
func (c *census) balance() {
	type busy struct {
		model string
		work  float64
	}
	var models []busy
	for model := range c.copies {
		if work := c.state.demand[model].work(); work > 0 {
			models = append(models, busy{model, work})
		}
	}
	slices.SortFunc(models, func(a, b busy) int { return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.model, b.model)) })
	for _, t := range c.sites {
		clear(t.flow)
		t.load = 0
	}
	for range balanceRounds {
		for _, m := range models {
			c.spread(m.model, m.work)
		}
	}
}

// spread divides the work of one model over its copies.
func (c *census) spread(model string, work float64) {
	copies := c.copies[model]
	rest := make([]float64, len(copies))
	for i, t := range copies {
		rest[i] = t.load - t.flow[model]
	}
	at := level(work, slices.Clone(rest))
	for i, t := range copies {
		flow := max(0, at-rest[i])
		t.load, t.flow[model] = rest[i]+flow, flow
	}
}

// level returns the load that replicas with the given loads, which it sorts, have
// after work was poured over them: the least loaded ones rise to a common level.
func level(work float64, loads []float64) float64 {
	slices.Sort(loads)
	sum, at := 0.0, 0.0
	for i, load := range loads {
		if i > 0 && at <= load {
			break
		}
		sum += load
		at = (work + sum) / float64(i+1)
	}
	return at
}

// levelOf returns the level of a model's copies.
func (c *census) levelOf(model string, work float64) float64 {
	return levelWith(work, c.loads(model, nil))
}

// loads returns the loads of a model's copies without the model, except for one site.
func (c *census) loads(model string, except *site) []float64 {
	copies := c.copies[model]
	out := make([]float64, 0, len(copies)+1)
	for _, t := range copies {
		if t != except {
			out = append(out, t.load-t.flow[model])
		}
	}
	return out
}

// levelWith returns the level of copies on replicas with the given loads, also
// if there is none.
func levelWith(work float64, loads []float64) float64 {
	if len(loads) == 0 {
		return unserved
	}
	return level(work, loads)
}

const (
	// unserved stands for the level of a model without copies.
	unserved = 1e6
	// relaxed is the load of replicas up to which hardly a request misses its
	// goal. At full load, fullMissed is the share of those that do: replicas read
	// less than they could while they answer many requests.
	relaxed    = 0.3
	full       = 0.9
	fullMissed = 0.5
)

// missed returns the share of the requests that miss their goal on replicas of a
// load. Beyond full load, the requests that are served are as many as at full load.
func missed(load float64) float64 {
	if load > full {
		return 1 - (1-fullMissed)*full/load
	}
	x := max(0, (load-relaxed)/(full-relaxed))
	return fullMissed * x * x
}
