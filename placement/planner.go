package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
)

// Planner computes plans and remembers the last one, the demand estimates and
// since when a row lacks replicas. It is owned by one goroutine.
type Planner struct {
	opt      Options
	revision uint64
	placed   map[fleet.EndpointID][]placed
	estimate map[demandKey]float64 // decayed demand in slots
	level    map[demandKey]level   // demand that the plan follows
	last     time.Time             // of the last plan
	first    bool                  // no plan has been computed yet
}

// level is the demand that decisions use. It changes only when the estimate
// has been outside its margin for the hold time.
type level struct {
	slots   float64
	outside time.Time // since when; zero while the estimate is inside
}

type placed struct {
	name, base, version string
	memory              int
	since               time.Time
}

type demandKey struct {
	name string
	rank fleet.Rank
}

// NewPlanner returns a planner without a plan.
func NewPlanner(o Options) *Planner {
	o.HalfLife = cmp.Or(o.HalfLife, DefaultHalfLife)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.Hold = cmp.Or(o.Hold, DefaultHold)
	o.MinServe = cmp.Or(o.MinServe, DefaultMinServe)
	return &Planner{
		opt: o, first: true, placed: map[fleet.EndpointID][]placed{},
		estimate: map[demandKey]float64{}, level: map[demandKey]level{},
	}
}

// Restore continues from a stored plan, such as one of a planner that died.
func (p *Planner) Restore(now time.Time, s Stored) {
	p.revision = s.Revision
	p.placed = map[fleet.EndpointID][]placed{}
	for _, id := range s.Empty {
		p.placed[id] = []placed{}
	}
	for _, it := range s.Items {
		p.placed[it.Replica] = append(p.placed[it.Replica], placed{it.Name, it.Base, it.Version, it.MemoryMB, now.Add(-it.Age)})
	}
}

// Stored returns the lasting form of the last plan.
func (p *Planner) Stored(now time.Time) Stored {
	s := Stored{Revision: p.revision}
	for id, items := range p.placed {
		if len(items) == 0 {
			s.Empty = append(s.Empty, id)
		}
		for _, it := range items {
			s.Items = append(s.Items, Placed{id, it.name, it.base, it.version, it.memory, max(0, now.Sub(it.since))})
		}
	}
	slices.SortStableFunc(s.Items, func(a, b Placed) int { return cmp.Compare(a.Replica, b.Replica) })
	slices.Sort(s.Empty)
	return s
}

// Plan returns the target of every replica. It starts from the plan before,
// so that without a reason nothing moves.
func (p *Planner) Plan(now time.Time, in Input) Plan {
	w := p.newWork(now, in)
	w.flow()
	w.trim()
	w.versions()
	w.reach()
	w.firstAdapters()
	w.minimum()
	w.spread()
	if p.opt.Mode != Static {
		w.grow()
	}
	w.extraAdapters()
	return p.finish(w)
}

// demand folds the reported demand into the estimates. An estimate rises at
// once and falls with the half-life, so that a wave is followed quickly and a
// short gap moves nothing.
func (p *Planner) demand(now time.Time, in []Demand) {
	sum := map[demandKey]float64{}
	for _, d := range in {
		slots := max(d.Busy+d.Queued, d.Rate*d.SlotSeconds)
		if slots > 0 {
			sum[demandKey{d.Name, d.Rank}] += slots
		}
	}
	keep := 0.0
	if p.opt.Mode != Greedy && !p.last.IsZero() {
		keep = math.Exp2(-float64(now.Sub(p.last)) / float64(p.opt.HalfLife))
	}
	for k, old := range p.estimate {
		if v := old*keep + sum[k]*(1-keep); v > sum[k] && v > minSlots {
			sum[k] = v
		}
	}
	p.estimate, p.last = sum, now
	p.follow(now)
}

// follow moves the levels to the estimates that left the margin long enough.
func (p *Planner) follow(now time.Time) {
	next := make(map[demandKey]level, len(p.estimate))
	for k, slots := range p.estimate {
		l, known := p.level[k]
		next[k] = p.step(now, l, known, slots)
	}
	for k, l := range p.level {
		if _, ok := next[k]; !ok {
			if l = p.step(now, l, true, 0); l.slots > 0 {
				next[k] = l
			}
		}
	}
	p.level = next
}

func (p *Planner) step(now time.Time, l level, known bool, slots float64) level {
	if p.opt.Mode == Greedy || !known && p.first {
		return level{slots: slots}
	}
	// Demand that falls frees nothing that is needed now, so it is followed
	// only after it has halved.
	inside := slots <= l.slots*(1+p.opt.Margin)+slotMargin && slots >= l.slots/2-slotMargin
	if inside {
		return level{slots: l.slots}
	}
	if l.outside.IsZero() {
		l.outside = now
	}
	if now.Sub(l.outside) >= p.opt.Hold {
		return level{slots: slots}
	}
	return l
}

// slotMargin keeps rows with next to no demand from changing their level.
const slotMargin = 0.5

// minSlots is the demand below which an estimate is forgotten.
const minSlots = 0.01

// finish stores the work's result as the new plan and lists the moves.
func (p *Planner) finish(w *work) Plan {
	p.first = false
	changed := w.changed || len(w.moves) > 0 || len(w.reps) != len(p.placed)
	out := Plan{Targets: make(map[fleet.EndpointID][]ledger.Item, len(w.reps)), Moves: w.moves, Findings: w.findings.All()}
	p.placed = make(map[fleet.EndpointID][]placed, len(w.reps))
	for i := range w.reps {
		rep := &w.reps[i]
		slices.SortStableFunc(rep.items, func(a, b item) int { return cmp.Compare(w.rows[a.row].order, w.rows[b.row].order) })
		targets := make([]ledger.Item, len(rep.items))
		keep := make([]placed, len(rep.items))
		for j, it := range rep.items {
			row := &w.rows[it.row]
			targets[j] = ledger.Item{Name: row.Name, Base: row.Base, Version: it.version, MemoryMB: it.memory}
			keep[j] = placed{row.Name, row.Base, it.version, it.memory, it.since}
		}
		out.Targets[rep.ID], p.placed[rep.ID] = targets, keep
	}
	if changed {
		p.revision++
	}
	return out
}
