package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
)

// simulator applies plans in virtual time. Loads share the limits of the weight
// store, and unloads wait until the entry has drained.
type simulator struct {
	size      fleetSize
	in        Input
	startedAt map[string]int // second in which an entry's load or drain started
	tokens    float64
	loads     int // models loaded from the weight store
}

// entryKey returns the key in startedAt of a replica's entry in its current state.
func (s *simulator) entryKey(r fleet.EndpointID, h ledger.Entry) string {
	return fmt.Sprint(r, h.Name, h.Version, h.State)
}

// advanceSecond advances every replica by one second towards its target.
func (s *simulator) advanceSecond(now int, plan Plan) {
	s.tokens = min(s.tokens+s.size.loadsPerSecond, float64(s.size.maxLoading))
	loading := 0
	for i := range s.in.Replicas {
		r := &s.in.Replicas[i]
		var kept []ledger.Entry
		for _, h := range r.Entries {
			begun := s.startedAt[s.entryKey(r.ID, h)]
			wanted := slices.ContainsFunc(plan.Targets[r.ID], func(it ledger.Item) bool { return it.Key() == h.Key() })
			switch {
			case h.State == ledger.Loading && now >= begun+s.size.loadSeconds:
				h.State = ledger.Ready
			case h.State == ledger.Draining && now >= begun+s.size.drainSeconds:
				continue
			case h.State == ledger.Ready && !wanted:
				h.State = ledger.Draining
				s.startedAt[s.entryKey(r.ID, h)] = now
			}
			if h.State == ledger.Loading {
				loading++
			}
			kept = append(kept, h)
		}
		r.Entries = kept
	}
	for i := range s.in.Replicas {
		s.startLoads(now, &s.in.Replicas[i], plan, &loading)
	}
}

// startLoads starts the loads that fit on the replica and within the limits of the
// weight store.
func (s *simulator) startLoads(now int, r *Replica, plan Plan, loading *int) {
	used := 0
	for _, h := range r.Entries {
		used += h.MemoryMB
	}
	for _, it := range plan.Targets[r.ID] {
		if used+it.MemoryMB > r.CapacityMB || slices.ContainsFunc(r.Entries, func(h ledger.Entry) bool { return h.Key() == it.Key() }) {
			continue
		}
		h := ledger.Entry{Name: it.Name, Base: it.Base, Version: it.Version, MemoryMB: it.MemoryMB, State: ledger.Reserved}
		if it.Base == "" {
			if s.tokens < 1 || *loading >= s.size.maxLoading {
				continue
			}
			h.State = ledger.Loading
			s.tokens--
			s.loads++
			*loading++
		}
		used += it.MemoryMB
		r.Entries = append(r.Entries, h)
		s.startedAt[s.entryKey(r.ID, h)] = now
	}
}

// simulateDemandRise simulates ten minutes. The demand of three models grows
// tenfold during the third minute and falls back during the eighth; all demand
// has 20% noise each second. It returns the models loaded and, by rank, the
// percentage of the demand that could be served.
func simulateDemandRise(f fleetSize, mode Mode, seed uint64) (loads int, part [fleet.RankCount]float64) {
	const seconds = 600
	p := NewPlanner(Options{Mode: mode})
	base := f.input(rand.New(rand.NewPCG(seed, 1)), 0.4)
	now, in, _ := planUntilStable(p, start, base)
	s := &simulator{size: f, in: in, startedAt: map[string]int{}}
	hot := map[string]bool{}
	rng := rand.New(rand.NewPCG(seed, 2))
	for _, i := range rng.Perm(f.models)[:3] {
		hot[base.Demand[i].Name] = true
	}
	var got, all [fleet.RankCount]float64
	for sec := range seconds {
		ramp := min(1, max(0, float64(sec-120)/60)) - min(1, max(0, float64(sec-420)/60))
		s.in.Demand = scaleDemand(base, func(n string) float64 {
			f := 0.8 + 0.4*rng.Float64()
			if hot[n] {
				f *= 1 + 9*ramp
			}
			return f
		}).Demand
		s.advanceSecond(sec, p.Plan(now.Add(time.Duration(sec)*time.Second), s.in))
		g, a := servableDemand(s.in)
		for k := range g {
			got[k], all[k] = got[k]+g[k], all[k]+a[k]
		}
	}
	for k := range got {
		part[k] = 100 * got[k] / all[k]
	}
	return s.loads, part
}

// BenchmarkOpening measures model loads and the share of the demand that can be
// served, for docs/measurements/placement.md.
func BenchmarkOpening(b *testing.B) {
	for _, f := range []fleetSize{ladang, tsagaan} {
		for m, mode := range []string{"hysteresis", "static", "greedy"} {
			for seed := range uint64(5) {
				b.Run(fmt.Sprintf("%s/%s/%d", f.name[:6], mode, seed+1), func(b *testing.B) {
					for range b.N {
						loads, part := simulateDemandRise(f, Mode(m), seed+1)
						b.ReportMetric(float64(loads), "loads")
						for _, k := range fleet.Ranks() {
							b.ReportMetric(part[k], k.String()+"%")
						}
					}
				})
			}
		}
	}
}

// BenchmarkPlan measures one plan at four fleet sizes: with unchanged input, after
// the demand of a tenth of the models grew tenfold, and without a previous plan.
func BenchmarkPlan(b *testing.B) {
	for _, f := range []fleetSize{
		{replicas: 18, models: 25, adapters: 100, centres: 3}, {replicas: 340, models: 55, adapters: 165, centres: 4},
		{replicas: 1350, models: 110, adapters: 330, centres: 8}, {replicas: 5400, models: 440, adapters: 1320, centres: 12},
	} {
		f.capacity, f.modelMB, f.adapterMB, f.slots = 80000, 18000, 200, 16
		p := NewPlanner(Options{})
		now, in, _ := planUntilStable(p, start, f.input(rand.New(rand.NewPCG(1, 1)), 0.4))
		grown := scaleDemand(in, func(n string) float64 {
			if n[len(n)-1] == '7' {
				return 10
			}
			return 1
		})
		stored := p.Stored(now)
		b.Run(fmt.Sprintf("rest/%d", f.replicas), func(b *testing.B) {
			for range b.N {
				p.Plan(now, in)
			}
		})
		b.Run(fmt.Sprintf("grown/%d", f.replicas), func(b *testing.B) {
			moves := 0
			for range b.N {
				b.StopTimer()
				q := NewPlanner(Options{})
				q.Restore(now, stored)
				b.StartTimer()
				moves = len(q.Plan(now, grown).Moves)
			}
			b.ReportMetric(float64(moves), "moves")
		})
		b.Run(fmt.Sprintf("empty/%d", f.replicas), func(b *testing.B) {
			for range b.N {
				NewPlanner(Options{}).Plan(now, in)
			}
		})
	}
}
