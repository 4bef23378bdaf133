package placement

import (
	found "github.com/hyssophaven/hyssophaven/finding"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func steady(t *testing.T, f fleetSize, fill float64, o Options) (*Planner, time.Time, Input, Plan) {
	t.Helper()
	p := NewPlanner(o)
	now, in, plan := run(p, start, f.input(rand.New(rand.NewPCG(1, 1)), fill))
	return p, now, in, plan
}

func percent(in Input) float64 {
	got, all := attained(in)
	var g, a float64
	for k := range got {
		g, a = g+got[k], a+all[k]
	}
	return 100 * g / a
}

// Guards against demand that is not followed: that of three models grows
// tenfold, and more of it must be served after the plan than before.
func TestTenfoldDemand(t *testing.T) {
	is := is.New(t)
	p, now, in, before := steady(t, ladang, 0.4, Options{})
	hot := map[string]bool{}
	for _, d := range in.Demand[5:8] {
		hot[d.Name] = true
	}
	in = scale(in, func(n string) float64 {
		if hot[n] {
			return 10
		}
		return 1
	})
	unmoved := percent(in)
	is.Equal(len(p.Plan(now, in).Moves), 0) // the hold time has not passed
	now = now.Add(DefaultHold)
	_, in, after := run(p, now, in)
	is.True(percent(in) > unmoved)
	for n := range hot {
		is.True(len(copies(after, n)) >= len(copies(before, n)))
	}
	for _, r := range in.Rows {
		is.True(len(copies(after, r.Name)) > 0) // every row stays reachable
	}
}

// Guards against rows that stay unreachable after a data centre is lost.
func TestLossOfADataCentre(t *testing.T) {
	is := is.New(t)
	p, now, in, _ := steady(t, ladang, 0.4, Options{})
	in.Replicas = slices.DeleteFunc(in.Replicas, func(r Replica) bool { return r.DataCentre == "dc0" })
	plan := p.Plan(now, in) // one plan, without a hold time
	for _, r := range in.Rows {
		is.True(len(copies(plan, r.Name)) > 0)
	}
}

// Guards against a leaving replica that is emptied before its models serve
// elsewhere.
func TestLeavingReplicaIsReplacedFirst(t *testing.T) {
	is := is.New(t)
	f := ladang
	f.centres = 1
	p, now, in, before := steady(t, f, 0.4, Options{})
	in.Replicas[0].Leaving = true
	id := in.Replicas[0].ID
	plan := p.Plan(now, in)
	is.Equal(len(plan.Targets[id]), len(before.Targets[id]))
	for _, it := range before.Targets[id] {
		is.True(len(copies(plan, it.Name)) > 1) // a replacement is on its way
	}
}

// Guards against sacrifices in the wrong order and without a finding: urgent
// rows keep their replicas, and what does not fit is reported.
func TestNotEverythingFits(t *testing.T) {
	is := is.New(t)
	in := Input{Replicas: []Replica{{ID: "r1", CapacityMB: 40, Slots: 8}, {ID: "r2", CapacityMB: 40, Slots: 8}}}
	for _, r := range []Row{{Name: "p1", Rank: fleet.Patient, Weight: 2}, {Name: "p2", Rank: fleet.Patient, Weight: 1}, {Name: "q", Rank: fleet.Prompt, Weight: 1}} {
		r.MemoryMB, r.Version = 20, "1"
		in.Rows = append(in.Rows, r)
	}
	p := NewPlanner(Options{})
	now, in, _ := run(p, start, in)
	for _, name := range []string{"u1", "u2"} {
		in.Rows = append(in.Rows, Row{Name: name, Rank: fleet.Urgent, Weight: 1, MemoryMB: 20, Version: "1"})
	}
	now, in, plan := run(p, now, in)
	is.Equal(len(copies(plan, "p2")), 0) // least rank, then least weight
	for _, name := range []string{"u1", "u2", "q", "p1"} {
		is.Equal(len(copies(plan, name)), 1)
	}
	is.True(slices.ContainsFunc(plan.Findings, func(f found.Finding) bool { return f.Key == "p2" && strings.Contains(f.Message, "does not fit") }))

	// Time-sharing: a request that waits brings the row back for a while.
	in.Demand = []Demand{{Name: "p2", Rank: fleet.Patient, Weight: 1, Queued: 1}}
	plan = p.Plan(now, in)
	is.Equal(len(copies(plan, "p2")), 1)
	is.Equal(len(p.Plan(now.Add(time.Second), reached(in, plan)).Moves), 0) // it serves for the minimum time
}

// Guards against a model that is unloaded before another replica serves it.
func TestLoadBeforeUnload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawFleet(t)
		p := NewPlanner(Options{Mode: rapid.SampledFrom(modes).Draw(t, "mode")})
		now, in, _ := run(p, start, in)
		in = scale(in, func(string) float64 { return rapid.Float64Range(0, 10).Draw(t, "factor") })
		plan := p.Plan(now.Add(time.Minute), in)
		plan = p.Plan(now.Add(2*time.Minute), in)
		for _, m := range plan.Moves {
			serving := slices.ContainsFunc(in.Replicas, func(r Replica) bool {
				return r.ID != m.Replica && slices.ContainsFunc(r.Held, func(h ledger.Entry) bool { return h.Name == m.Name && h.State == ledger.Ready }) &&
					slices.Contains(copies(plan, m.Name), r.ID)
			})
			reported := slices.ContainsFunc(plan.Findings, func(f found.Finding) bool { return f.Key == m.Name })
			if m.Remove && !serving && !reported {
				t.Fatalf("%+v, and no other replica serves it", m)
			}
		}
	})
}

// Guards against a version change that leaves a model unreachable where both
// versions do not fit on one replica.
func TestVersionThatDoesNotFitBeside(t *testing.T) {
	is := is.New(t)
	in := Input{Rows: []Row{{Name: "m", Version: "1", Weight: 1, MemoryMB: 60}},
		Replicas: []Replica{{ID: "r1", CapacityMB: 100, Slots: 8}, {ID: "r2", CapacityMB: 100, Slots: 8}}}
	p := NewPlanner(Options{})
	now, in, plan := run(p, start, in)
	is.Equal(len(plan.Moves), 0)
	old := copies(plan, "m")
	in.Rows = []Row{{Name: "m", Version: "2", Weight: 1, MemoryMB: 60}}
	plan = p.Plan(now, in)
	is.Equal(plan.Targets[old[0]][0].Version, "1") // it serves until the other replica does
	is.Equal(len(copies(plan, "m")), 2)
	_, _, plan = run(p, now, reached(in, plan))
	for _, id := range copies(plan, "m") {
		is.Equal(plan.Targets[id][0].Version, "2")
	}
}

// Guards against owners that together exceed the weight store's limit.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wanted := rapid.MapOf(rapid.Custom(func(t *rapid.T) fleet.InstanceID {
			return fleet.InstanceID(rapid.StringN(1, 4, 8).Draw(t, "id"))
		}), rapid.IntRange(0, 20)).Draw(t, "wanted")
		limit := LoadLimit{PerSecond: 1.5, AtOnce: rapid.IntRange(0, 12).Draw(t, "at once")}
		rate, atOnce, total := 0.0, 0, 0
		for id, n := range wanted {
			s := Share(limit, wanted, id)
			if n == 0 && s != (LoadLimit{}) {
				t.Fatalf("%s wants nothing and gets %v", id, s)
			}
			rate, atOnce, total = rate+s.PerSecond, atOnce+s.AtOnce, total+n
		}
		if rate > limit.PerSecond*1.000001 || atOnce > limit.AtOnce || total > 0 && atOnce < limit.AtOnce {
			t.Fatalf("%v at once and %v per second of %v", atOnce, rate, limit)
		}
	})
}
