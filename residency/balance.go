package residency

import (
	"cmp"
	"slices"
)

// balanceRounds is the number of times the work of each model is redistributed.
// Few rounds suffice, as the work of one model changes the load of few
// replicas.
const balanceRounds = 3

// distributeWork distributes the work of each model over its copies so that the
// loads of their replicas even out, as dispatch does with requests. The unit of
// work is the utilization of one replica.
func (view *poolView) distributeWork() {
	type modelWork struct {
		model string
		work  float64
	}
	var models []modelWork
	for model := range view.copies {
		if work := view.forecast(model).utilization; work > 0 {
			models = append(models, modelWork{model, work})
		}
	}
	slices.SortFunc(models, func(a, b modelWork) int { return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.model, b.model)) })
	for _, rv := range view.replicas {
		clear(rv.loadByModel)
		rv.load = 0
	}
	for range balanceRounds {
		for _, m := range models {
			view.distributeModelWork(m.model, m.work)
		}
	}
}

// distributeModelWork distributes the work of one model over its copies by
// water-filling.
func (view *poolView) distributeModelWork(model string, work float64) {
	copies := view.copies[model]
	others := view.sites(model, nil)
	level := waterLevel(work, slices.Clone(others))
	for i, rv := range copies {
		share := max(0, level-others[i].load)
		rv.load, rv.loadByModel[model] = others[i].load+share, share
	}
}

// site is a replica over which work is distributed.
type site struct {
	load  float64 // utilization by other work
	speed float64 // relative to the mean of the pool
}

// waterLevel returns the common load to which the least loaded sites rise when the
// work is distributed over them (water-filling). It sorts sites.
func waterLevel(work float64, sites []site) float64 {
	slices.SortFunc(sites, func(a, b site) int { return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.speed, b.speed)) })
	sum, capacity, level := 0.0, 0.0, 0.0
	for i, s := range sites {
		if i > 0 && level <= s.load {
			break
		}
		sum += s.load * s.speed
		capacity += s.speed
		level = (work + sum) / capacity
	}
	return level
}

// modelWaterLevel returns the load that a model's copies reach with the given
// work of the model.
func (view *poolView) modelWaterLevel(model string, work float64) float64 {
	return waterLevelOrUnserved(work, view.sites(model, nil))
}

// sites returns the replicas with a copy of the model, apart from the replica excluded,
// which can be nil. Their loads are those of the other models.
func (view *poolView) sites(model string, excluded *replicaView) []site {
	copies := view.copies[model]
	out := make([]site, 0, len(copies)+1)
	for _, rv := range copies {
		if rv != excluded {
			out = append(out, site{rv.load - rv.loadByModel[model], rv.speed})
		}
	}
	return out
}

// waterLevelOrUnserved returns the water level of the sites, or unservedLevel
// if there are none.
func waterLevelOrUnserved(work float64, sites []site) float64 {
	if len(sites) == 0 {
		return unservedLevel
	}
	return waterLevel(work, sites)
}

const (
	// unservedLevel is the load assumed for a model without copies.
	unservedLevel = 1e6
	// Up to lowMissLoad hardly any request misses its latency target. At
	// fullLoad, fullLoadMissRate of the requests miss it: replicas prefill
	// below their peak rate while they decode many answers.
	lowMissLoad      = 0.3
	fullLoad         = 0.9
	fullLoadMissRate = 0.5
)

// missRate returns the share of requests that miss their latency target on
// replicas with the given load. Beyond full load, the number of requests that
// meet it stays the same as at full load.
func missRate(load float64) float64 {
	if load > fullLoad {
		return 1 - (1-fullLoadMissRate)*fullLoad/load
	}
	x := max(0, (load-lowMissLoad)/(fullLoad-lowMissLoad))
	return fullLoadMissRate * x * x
}
