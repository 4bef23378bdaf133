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
		if work := view.state.demand[model].utilization(); work > 0 {
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
	otherLoads := make([]float64, len(copies))
	for i, rv := range copies {
		otherLoads[i] = rv.load - rv.loadByModel[model]
	}
	level := waterLevel(work, slices.Clone(otherLoads))
	for i, rv := range copies {
		share := max(0, level-otherLoads[i])
		rv.load, rv.loadByModel[model] = otherLoads[i]+share, share
	}
}

// waterLevel returns the common load to which the least loaded replicas rise
// when the work is distributed over replicas with the given loads
// (water-filling). It sorts loads.
func waterLevel(work float64, loads []float64) float64 {
	slices.Sort(loads)
	sum, level := 0.0, 0.0
	for i, load := range loads {
		if i > 0 && level <= load {
			break
		}
		sum += load
		level = (work + sum) / float64(i+1)
	}
	return level
}

// modelWaterLevel returns the load that a model's copies reach with the given
// work of the model.
func (view *poolView) modelWaterLevel(model string, work float64) float64 {
	return waterLevelOrUnserved(work, view.loads(model, nil))
}

// loads returns the load of the other models on each replica with a copy of the
// model, apart from the replica excluded, which can be nil.
func (view *poolView) loads(model string, excluded *replicaView) []float64 {
	copies := view.copies[model]
	out := make([]float64, 0, len(copies)+1)
	for _, rv := range copies {
		if rv != excluded {
			out = append(out, rv.load-rv.loadByModel[model])
		}
	}
	return out
}

// waterLevelOrUnserved returns the water level of the loads, or unservedLevel
// if there are none.
func waterLevelOrUnserved(work float64, loads []float64) float64 {
	if len(loads) == 0 {
		return unservedLevel
	}
	return waterLevel(work, loads)
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
	// scarceLowMissLoad and scarceFullLoad are the same in a pool where memory is
	// scarce, so that busy models share replicas. Prompts that are prefilled beside a
	// stream delay its events there: at a load of 0.47, a third of the streams with 43
	// events had a gap above their target.
	scarceLowMissLoad = 0.1
	scarceFullLoad    = 0.7
)

// missRate returns the share of requests that miss their latency target on
// replicas with the given load. Beyond full load, the number of requests that
// meet it stays the same as at full load.
func (t poolTraits) missRate(load float64) float64 {
	low, full := lowMissLoad, fullLoad
	if t.scarce {
		low, full = scarceLowMissLoad, scarceFullLoad
	}
	if load > full {
		return 1 - (1-fullLoadMissRate)*full/load
	}
	x := max(0, (load-low)/(full-low))
	return fullLoadMissRate * x * x
}
