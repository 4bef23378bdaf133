package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
)

// Planner computes plans. It keeps the last plan, the demand estimates and the
// demand that decisions use. It must be used by one goroutine only.
type Planner struct {
	opt             Options
	revision        uint64
	planned         map[fleet.EndpointID][]plannedItem
	estimates       map[demandKey]float64       // decaying demand estimate in slots
	tracked         map[demandKey]trackedDemand // demand that decisions use
	lastPlanAt      time.Time
	beforeFirstPlan bool
}

// trackedDemand is the demand that decisions use. It changes only after the
// estimate has stayed outside the margin for the hold time.
type trackedDemand struct {
	slots        float64
	outsideSince time.Time // zero while the estimate is inside the margin
}

// plannedItem is a model or adapter in a replica's target.
type plannedItem struct {
	name, base, version string
	memoryMB            int
	since               time.Time // when the item entered the plan
}

type demandKey struct {
	name string
	rank fleet.Rank
}

// NewPlanner returns a planner without a plan.
func NewPlanner(o Options) *Planner {
	o.HalfLife = cmp.Or(o.HalfLife, DefaultHalfLife)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.HoldTime = cmp.Or(o.HoldTime, DefaultHoldTime)
	o.MinServeTime = cmp.Or(o.MinServeTime, DefaultMinServeTime)
	return &Planner{
		opt: o, beforeFirstPlan: true, planned: map[fleet.EndpointID][]plannedItem{},
		estimates: map[demandKey]float64{}, tracked: map[demandKey]trackedDemand{},
	}
}

// Restore replaces the planner's plan with a stored one, for example when this
// instance takes over from another.
func (p *Planner) Restore(now time.Time, s StoredPlan) {
	p.revision = s.Revision
	p.planned = map[fleet.EndpointID][]plannedItem{}
	for _, id := range s.Empty {
		p.planned[id] = []plannedItem{}
	}
	for _, it := range s.Items {
		p.planned[it.Replica] = append(p.planned[it.Replica], plannedItem{it.Name, it.Base, it.Version, it.MemoryMB, now.Add(-it.Age)})
	}
}

// Stored returns the last plan in the form that is persisted.
func (p *Planner) Stored(now time.Time) StoredPlan {
	s := StoredPlan{Revision: p.revision}
	for id, items := range p.planned {
		if len(items) == 0 {
			s.Empty = append(s.Empty, id)
		}
		for _, it := range items {
			s.Items = append(s.Items, StoredItem{id, it.name, it.base, it.version, it.memoryMB, max(0, now.Sub(it.since))})
		}
	}
	slices.SortStableFunc(s.Items, func(a, b StoredItem) int { return cmp.Compare(a.Replica, b.Replica) })
	slices.Sort(s.Empty)
	return s
}

// Plan computes the target of every replica. It starts from the previous plan,
// so an unchanged input causes no moves.
func (p *Planner) Plan(now time.Time, in Input) Plan {
	w := p.newWorkingPlan(now, in)
	w.distributeDemand()
	w.trimOverCapacity()
	w.updateVersions()
	w.ensureReachable()
	w.placeAdapters()
	w.ensureMinimum()
	w.ensureSecondCentre()
	if p.opt.Mode != Static {
		w.addReplicasForDemand()
	}
	w.replicateAdapters()
	return p.finish(w)
}

// updateDemand updates the estimates from the reported demand. An estimate rises
// at once and decays with the half-life: the plan reacts quickly to a surge and
// ignores a short gap.
func (p *Planner) updateDemand(now time.Time, in []Demand) {
	sum := map[demandKey]float64{}
	for _, d := range in {
		slots := max(d.Busy+d.Queued, d.Rate*d.SlotSeconds)
		if slots > 0 {
			sum[demandKey{d.Name, d.Rank}] += slots
		}
	}
	keep := 0.0
	if p.opt.Mode != Greedy && !p.lastPlanAt.IsZero() {
		keep = math.Exp2(-float64(now.Sub(p.lastPlanAt)) / float64(p.opt.HalfLife))
	}
	for k, old := range p.estimates {
		if v := old*keep + sum[k]*(1-keep); v > sum[k] && v > minEstimateSlots {
			sum[k] = v
		}
	}
	p.estimates, p.lastPlanAt = sum, now
	p.updateTracked(now)
}

// updateTracked applies nextTracked to every key with an estimate or a tracked demand.
func (p *Planner) updateTracked(now time.Time) {
	next := make(map[demandKey]trackedDemand, len(p.estimates))
	for k, slots := range p.estimates {
		l, known := p.tracked[k]
		next[k] = p.nextTracked(now, l, known, slots)
	}
	for k, l := range p.tracked {
		if _, ok := next[k]; !ok {
			if l = p.nextTracked(now, l, true, 0); l.slots > 0 {
				next[k] = l
			}
		}
	}
	p.tracked = next
}

// nextTracked returns the tracked demand after an estimate of the given slots.
// known is false if the key has no tracked demand yet.
func (p *Planner) nextTracked(now time.Time, current trackedDemand, known bool, slots float64) trackedDemand {
	if p.opt.Mode == Greedy || !known && p.beforeFirstPlan {
		return trackedDemand{slots: slots}
	}
	// Falling demand needs no new replicas, so it is tracked only after it has
	// halved.
	inside := slots <= current.slots*(1+p.opt.Margin)+slotMargin && slots >= current.slots/2-slotMargin
	if inside {
		return trackedDemand{slots: current.slots}
	}
	if current.outsideSince.IsZero() {
		current.outsideSince = now
	}
	if now.Sub(current.outsideSince) >= p.opt.HoldTime {
		return trackedDemand{slots: slots}
	}
	return current
}

// slotMargin is the absolute change of demand in slots that is ignored, so that
// rows with almost no demand cause no moves.
const slotMargin = 0.5

// minEstimateSlots is the demand in slots below which a decaying estimate is deleted.
const minEstimateSlots = 0.01

// finish makes the working plan the current one and returns it as a Plan.
func (p *Planner) finish(w *workingPlan) Plan {
	p.beforeFirstPlan = false
	changed := w.replicasChanged || len(w.moves) > 0 || len(w.reps) != len(p.planned)
	out := Plan{Targets: make(map[fleet.EndpointID][]ledger.Item, len(w.reps)), Moves: w.moves, Findings: w.findings.All()}
	p.planned = make(map[fleet.EndpointID][]plannedItem, len(w.reps))
	for i := range w.reps {
		rep := &w.reps[i]
		slices.SortStableFunc(rep.items, func(a, b item) int { return cmp.Compare(w.rows[a.row].importanceIndex, w.rows[b.row].importanceIndex) })
		targets := make([]ledger.Item, len(rep.items))
		keep := make([]plannedItem, len(rep.items))
		for j, it := range rep.items {
			row := &w.rows[it.row]
			targets[j] = ledger.Item{Name: row.Name, Base: row.Base, Version: it.version, MemoryMB: it.memoryMB}
			keep[j] = plannedItem{row.Name, row.Base, it.version, it.memoryMB, it.since}
		}
		out.Targets[rep.ID], p.planned[rep.ID] = targets, keep
	}
	if changed {
		p.revision++
	}
	return out
}
