package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"pgregory.net/rapid"
)

var modes = []Mode{Hysteresis, Static, Greedy}

// replicasOf returns the replicas whose target contains the named row.
func replicasOf(p Plan, name string) (out []fleet.EndpointID) {
	for id, items := range p.Targets {
		if slices.ContainsFunc(items, func(it ledger.Item) bool { return it.Name == name }) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func drawFleet(t *rapid.T) Input {
	size := fleetSize{replicas: rapid.IntRange(1, 10).Draw(t, "replicas"), models: rapid.IntRange(1, 10).Draw(t, "models"),
		adapters: rapid.IntRange(0, 12).Draw(t, "adapters"), centres: rapid.IntRange(1, 3).Draw(t, "centres"),
		capacity: 100, modelMB: rapid.IntRange(8, 60).Draw(t, "model size"), adapterMB: 2, slots: 8}
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	return size.input(rng, rapid.Float64Range(0, 3).Draw(t, "fill"))
}

// Guards against plans that exceed a replica's capacity, including memory that
// unfinished orders still hold, and against an adapter without its base.
func TestPlanStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawFleet(t)
		p := NewPlanner(Options{Mode: rapid.SampledFrom(modes).Draw(t, "mode")})
		now := start
		for range 5 {
			for i := range in.Replicas {
				if rapid.IntRange(0, 3).Draw(t, "settling") == 0 {
					in.Replicas[i].Entries = append(in.Replicas[i].Entries, ledger.Entry{Name: "old", Version: fmt.Sprint(len(in.Replicas[i].Entries)),
						MemoryMB: rapid.IntRange(1, 30).Draw(t, "memory"), State: rapid.SampledFrom([]ledger.State{ledger.Unloading, ledger.Settling}).Draw(t, "state")})
				}
				in.Replicas[i].Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
			}
			for i := range in.Rows {
				if rapid.IntRange(0, 6).Draw(t, "edit") == 0 {
					in.Rows[i].Version += "+"
				}
			}
			in = scaleDemand(in, func(string) float64 { return rapid.Float64Range(0.2, 4).Draw(t, "factor") })
			plan := p.Plan(now, in)
			checkCapacity(t, in, plan)
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds")) * time.Second)
			in = applyPlan(in, plan)
		}
	})
}

func checkCapacity(t *rapid.T, in Input, plan Plan) {
	for _, r := range in.Replicas {
		planned, unreleased := 0, 0
		names := map[string]bool{}
		for _, it := range plan.Targets[r.ID] {
			planned += it.MemoryMB
			if names[it.Name] {
				t.Fatalf("%s holds %s twice", r.ID, it.Name)
			}
			names[it.Name] = true
		}
		for _, it := range plan.Targets[r.ID] {
			if it.Base != "" && !names[it.Base] {
				t.Fatalf("%s holds adapter %s without %s", r.ID, it.Name, it.Base)
			}
		}
		for _, h := range r.Entries {
			if h.State >= ledger.Unloading && !slices.ContainsFunc(plan.Targets[r.ID], func(it ledger.Item) bool { return it.Key() == h.Key() }) {
				unreleased += h.MemoryMB
			}
		}
		added := slices.ContainsFunc(plan.Moves, func(m Move) bool { return m.Replica == r.ID && !m.Remove && m.Cause != CauseVersion })
		if planned > r.CapacityMB || added && planned+unreleased > r.CapacityMB {
			t.Fatalf("%s: %d MB planned and %d MB unreleased exceed the capacity of %d MB", r.ID, planned, unreleased, r.CapacityMB)
		}
	}
}

// Guards against a row without a replica although all rows fit.
func TestEveryRowIsReachableIfItFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, per := rapid.IntRange(1, 8).Draw(t, "replicas"), rapid.IntRange(1, 4).Draw(t, "models per replica")
		size := fleetSize{replicas: n, models: rapid.IntRange(1, n*per).Draw(t, "models"), centres: rapid.IntRange(1, 3).Draw(t, "centres"),
			capacity: per * 20, modelMB: 20, adapterMB: 1, slots: 8}
		in := size.input(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), 2)
		for i := range in.Rows {
			in.Rows[i].MemoryMB = 20
		}
		p := NewPlanner(Options{Mode: rapid.SampledFrom(modes).Draw(t, "mode")})
		now, in, plan := planUntilStable(p, start, in)
		in = scaleDemand(in, func(string) float64 { return rapid.Float64Range(0, 10).Draw(t, "factor") })
		_, _, later := planUntilStable(p, now, in)
		for _, r := range in.Rows {
			if len(replicasOf(plan, r.Name)) == 0 || len(replicasOf(later, r.Name)) == 0 {
				t.Fatalf("%s has no replica", r.Name)
			}
		}
	})
}

// Guards against moves caused by noise of 20% in the demand.
func TestNoMovesForNoise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawFleet(t)
		p := NewPlanner(Options{})
		now, in, _ := planUntilStable(p, start, in)
		for range 20 {
			now = now.Add(2 * time.Second)
			plan := p.Plan(now, scaleDemand(in, func(string) float64 { return rapid.Float64Range(0.8, 1.2).Draw(t, "factor") }))
			if len(plan.Moves) > 0 {
				t.Fatalf("unexpected moves %v", plan.Moves)
			}
		}
	})
}

// Guards against a plan that does not converge. Replanning the same input must
// cause no moves, even with a planner restored from the stored plan.
func TestReplanningMovesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawFleet(t)
		p := NewPlanner(Options{Mode: rapid.SampledFrom(modes).Draw(t, "mode")})
		now, in, plan := planUntilStable(p, start, in)
		if len(plan.Moves) > 0 {
			t.Fatalf("plan does not converge; last moves: %v", plan.Moves)
		}
		if plan = p.Plan(now, in); len(plan.Moves) > 0 {
			t.Fatalf("unexpected moves %v", plan.Moves)
		}
		next := NewPlanner(p.opt)
		next.Restore(now, p.Stored(now))
		if plan = next.Plan(now, in); len(plan.Moves) > 0 {
			t.Fatalf("a restored planner moves %v", plan.Moves)
		}
	})
}
