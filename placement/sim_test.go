package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
)

var start = time.Unix(0, 0)

// fleetSize describes a generated fleet.
type fleetSize struct {
	name                                  string
	replicas, models, adapters, centres   int
	capacity, modelMB, adapterMB, slots   int
	loadsPerSecond                        float64
	loadSeconds, drainSeconds, maxLoading int
}

var (
	ladang  = fleetSize{"Ladang Petik", 12, 20, 60, 3, 80000, 18000, 200, 16, 1.5, 8, 3, 10}
	tsagaan = fleetSize{"Tsagaan Nuur", 18, 25, 100, 3, 80000, 18000, 200, 16, 2, 8, 3, 6}
)

// input returns rows, replicas and demand. The demand follows a Zipf distribution
// over the models and fills the given part of the fleet's slots.
func (f fleetSize) input(rng *rand.Rand, fill float64) Input {
	var in Input
	for i := range f.models {
		in.Rows = append(in.Rows, Row{Name: fmt.Sprintf("m%03d", i), Version: "1", Rank: fleet.Rank(i % 3),
			Weight: 1 + float64(rng.IntN(4)), MemoryMB: f.modelMB + rng.IntN(f.modelMB/4+1) - f.modelMB/8})
	}
	for i := range f.adapters {
		in.Rows = append(in.Rows, Row{Name: fmt.Sprintf("a%04d", i), Base: in.Rows[rng.IntN(f.models)].Name, Version: "1",
			Rank: fleet.Rank(rng.IntN(3)), Weight: 1, MemoryMB: f.adapterMB})
	}
	for i := range f.replicas {
		in.Replicas = append(in.Replicas, Replica{ID: fleet.EndpointID(fmt.Sprintf("r%04d", i)),
			DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%f.centres)), CapacityMB: f.capacity, Slots: f.slots})
	}
	sum := 0.0
	for i := range f.models {
		sum += 1 / float64(i+1)
	}
	total := fill * float64(f.replicas*f.slots)
	for i, r := range rng.Perm(f.models) {
		row := in.Rows[r]
		in.Demand = append(in.Demand, Demand{Name: row.Name, Rank: row.Rank, Weight: row.Weight, Busy: total / float64(i+1) / sum})
	}
	return in
}

// applyPlan returns the input with replicas that hold exactly their targets.
func applyPlan(in Input, p Plan) Input {
	out := in
	out.Replicas = make([]Replica, len(in.Replicas))
	for i, r := range in.Replicas {
		r.Entries = nil
		for _, it := range p.Targets[r.ID] {
			r.Entries = append(r.Entries, ledger.Entry{Name: it.Name, Base: it.Base, Version: it.Version, MemoryMB: it.MemoryMB, State: ledger.Ready})
		}
		out.Replicas[i] = r
	}
	return out
}

// planUntilStable plans and applies the plan every two minutes until nothing
// moves, at most 40 times.
func planUntilStable(p *Planner, now time.Time, in Input) (time.Time, Input, Plan) {
	var plan Plan
	for range 40 {
		plan = p.Plan(now, in)
		in = applyPlan(in, plan)
		now = now.Add(2 * time.Minute)
		if len(plan.Moves) == 0 {
			break
		}
	}
	return now, in, plan
}

// scaleDemand returns the input with the busy slots of each demand multiplied by
// its factor.
func scaleDemand(in Input, factor func(name string) float64) Input {
	out := in
	out.Demand = make([]Demand, len(in.Demand))
	for i, d := range in.Demand {
		d.Busy *= factor(d.Name)
		out.Demand[i] = d
	}
	return out
}

// servableDemand returns the demand that the ready copies can serve, and all
// demand, in slots by rank.
func servableDemand(in Input) (got, all [fleet.RankCount]float64) {
	p := NewPlanner(Options{Mode: Greedy})
	for _, r := range in.Replicas {
		p.planned[r.ID] = []plannedItem{}
		for _, h := range r.Entries {
			if h.State == ledger.Ready {
				p.planned[r.ID] = append(p.planned[r.ID], plannedItem{h.Name, h.Base, h.Version, h.MemoryMB, start})
			}
		}
	}
	w := p.newWorkingPlan(start, in)
	w.distributeDemand()
	for i := range w.rows {
		if r := &w.rows[i]; r.Base == "" {
			for k := range r.demand {
				all[k] += r.demand[k]
				got[k] += r.demand[k] - r.unmet[k]
			}
		}
	}
	return got, all
}
