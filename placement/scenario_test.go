package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// plannedFleet returns a planner that has planned the fleet until nothing moves.
func plannedFleet(t *testing.T, f fleetSize, fill float64, o Options) (*Planner, time.Time, Input, Plan) {
	t.Helper()
	p := NewPlanner(o)
	now, in, plan := planUntilStable(p, start, f.input(rand.New(rand.NewPCG(1, 1)), fill))
	return p, now, in, plan
}

// servedPercent returns the share of the demand that can be served, in percent.
func servedPercent(in Input) float64 {
	got, all := servableDemand(in)
	var g, a float64
	for k := range got {
		g, a = g+got[k], a+all[k]
	}
	return 100 * g / a
}

// Guards against a plan that ignores rising demand. The demand of three models
// grows tenfold; more of it must be served after planning than before.
func TestTenfoldDemand(t *testing.T) {
	is := is.New(t)
	p, now, in, before := plannedFleet(t, ladang, 0.4, Options{})
	hot := map[string]bool{}
	for _, d := range in.Demand[5:8] {
		hot[d.Name] = true
	}
	in = scaleDemand(in, func(n string) float64 {
		if hot[n] {
			return 10
		}
		return 1
	})
	servedBefore := servedPercent(in)
	is.Equal(len(p.Plan(now, in).Moves), 0) // the hold time has not passed
	now = now.Add(DefaultHoldTime)
	_, in, after := planUntilStable(p, now, in)
	is.True(servedPercent(in) > servedBefore)
	for n := range hot {
		is.True(len(replicasOf(after, n)) >= len(replicasOf(before, n)))
	}
	for _, r := range in.Rows {
		is.True(len(replicasOf(after, r.Name)) > 0) // every row stays reachable
	}
}

// Guards against rows that stay unreachable after the failure of a data centre.
func TestLossOfADataCentre(t *testing.T) {
	is := is.New(t)
	p, now, in, _ := plannedFleet(t, ladang, 0.4, Options{})
	in.Replicas = slices.DeleteFunc(in.Replicas, func(r Replica) bool { return r.DataCentre == "dc0" })
	plan := p.Plan(now, in) // one plan must suffice: the hold time delays only additions for demand
	for _, r := range in.Rows {
		is.True(len(replicasOf(plan, r.Name)) > 0)
	}
}

// Guards against unloading models from a leaving replica before other replicas
// serve them.
func TestLeavingReplicaIsReplacedFirst(t *testing.T) {
	is := is.New(t)
	f := ladang
	f.centres = 1
	p, now, in, before := plannedFleet(t, f, 0.4, Options{})
	in.Replicas[0].Leaving = true
	id := in.Replicas[0].ID
	plan := p.Plan(now, in)
	is.Equal(len(plan.Targets[id]), len(before.Targets[id]))
	for _, it := range before.Targets[id] {
		is.True(len(replicasOf(plan, it.Name)) > 1) // a replacement is planned
	}
}

// Guards against evictions in the wrong order or without a finding. Urgent rows
// keep their replicas, and rows that do not fit are reported.
func TestUrgentRowsStayWhenNotAllRowsFit(t *testing.T) {
	is := is.New(t)
	in := Input{Replicas: []Replica{{ID: "r1", CapacityMB: 40, Slots: 8}, {ID: "r2", CapacityMB: 40, Slots: 8}}}
	for _, r := range []Row{{Name: "p1", Rank: fleet.Patient, Weight: 2}, {Name: "p2", Rank: fleet.Patient, Weight: 1}, {Name: "q", Rank: fleet.Prompt, Weight: 1}} {
		r.MemoryMB, r.Version = 20, "1"
		in.Rows = append(in.Rows, r)
	}
	p := NewPlanner(Options{})
	now, in, _ := planUntilStable(p, start, in)
	for _, name := range []string{"u1", "u2"} {
		in.Rows = append(in.Rows, Row{Name: name, Rank: fleet.Urgent, Weight: 1, MemoryMB: 20, Version: "1"})
	}
	now, in, plan := planUntilStable(p, now, in)
	is.Equal(len(replicasOf(plan, "p2")), 0) // least urgent rank, then lowest weight
	for _, name := range []string{"u1", "u2", "q", "p1"} {
		is.Equal(len(replicasOf(plan, name)), 1)
	}
	is.True(slices.ContainsFunc(plan.Findings, func(f finding.Finding) bool { return f.Key == "p2" && strings.Contains(f.Message, "does not fit") }))

	// Time sharing: a queued request brings the row back.
	in.Demand = []Demand{{Name: "p2", Rank: fleet.Patient, Weight: 1, Queued: 1}}
	plan = p.Plan(now, in)
	is.Equal(len(replicasOf(plan, "p2")), 1)
	is.Equal(len(p.Plan(now.Add(time.Second), applyPlan(in, plan)).Moves), 0) // it stays for MinServeTime
}

// Guards against a model that is unloaded before another replica serves it.
func TestLoadBeforeUnload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawFleet(t)
		p := NewPlanner(Options{Mode: rapid.SampledFrom(modes).Draw(t, "mode")})
		now, in, _ := planUntilStable(p, start, in)
		in = scaleDemand(in, func(string) float64 { return rapid.Float64Range(0, 10).Draw(t, "factor") })
		plan := p.Plan(now.Add(time.Minute), in)
		plan = p.Plan(now.Add(2*time.Minute), in)
		for _, m := range plan.Moves {
			serving := slices.ContainsFunc(in.Replicas, func(r Replica) bool {
				return r.ID != m.Replica && slices.ContainsFunc(r.Entries, func(h ledger.Entry) bool { return h.Name == m.Name && h.State == ledger.Ready }) &&
					slices.Contains(replicasOf(plan, m.Name), r.ID)
			})
			reported := slices.ContainsFunc(plan.Findings, func(f finding.Finding) bool { return f.Key == m.Name })
			if m.Remove && !serving && !reported {
				t.Fatalf("%+v removes the last serving copy without a finding", m)
			}
		}
	})
}

// Guards against a version change that makes a model unreachable when both
// versions do not fit on one replica together.
func TestVersionChangeWithoutRoomForBothVersions(t *testing.T) {
	is := is.New(t)
	in := Input{Rows: []Row{{Name: "m", Version: "1", Weight: 1, MemoryMB: 60}},
		Replicas: []Replica{{ID: "r1", CapacityMB: 100, Slots: 8}, {ID: "r2", CapacityMB: 100, Slots: 8}}}
	p := NewPlanner(Options{})
	now, in, plan := planUntilStable(p, start, in)
	is.Equal(len(plan.Moves), 0)
	old := replicasOf(plan, "m")
	in.Rows = []Row{{Name: "m", Version: "2", Weight: 1, MemoryMB: 60}}
	plan = p.Plan(now, in)
	is.Equal(plan.Targets[old[0]][0].Version, "1") // it serves until the other replica does
	is.Equal(len(replicasOf(plan, "m")), 2)
	_, _, plan = planUntilStable(p, now, applyPlan(in, plan))
	for _, id := range replicasOf(plan, "m") {
		is.Equal(plan.Targets[id][0].Version, "2")
	}
}

// Guards against shares of the weight store's limit whose sum exceeds the limit
// or leaves a part of it unused.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wanted := rapid.MapOf(rapid.Custom(func(t *rapid.T) fleet.InstanceID {
			return fleet.InstanceID(rapid.StringN(1, 4, 8).Draw(t, "id"))
		}), rapid.IntRange(0, 20)).Draw(t, "wanted")
		limit := LoadLimit{PerSecond: 1.5, MaxConcurrent: rapid.IntRange(0, 12).Draw(t, "at once")}
		rate, concurrent, total := 0.0, 0, 0
		for id, n := range wanted {
			s := ShareOfLimit(limit, wanted, id)
			if n == 0 && s != (LoadLimit{}) {
				t.Fatalf("%s wants no loads and gets %v", id, s)
			}
			rate, concurrent, total = rate+s.PerSecond, concurrent+s.MaxConcurrent, total+n
		}
		if rate > limit.PerSecond*1.000001 || concurrent > limit.MaxConcurrent || total > 0 && concurrent < limit.MaxConcurrent {
			t.Fatalf("shares sum to %v at once and %v per second; the limit is %v", concurrent, rate, limit)
		}
	})
}
