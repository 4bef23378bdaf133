package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
)

// work is one plan in progress, with rows and replicas as indices.
type work struct {
	p        *Planner
	now      time.Time
	rows     []rowWork
	reps     []repWork
	byName   map[string]int
	order    []int // rows by importance
	swaps    int   // replacements tried
	changed  bool  // the set of replicas differs from the last plan
	centres  int   // number of data centres with replicas that stay
	moves    []Move
	findings finding.List
	// skipMinServe lets items make room that have not served for MinServe.
	skipMinServe bool
}

type rowWork struct {
	Row
	order    int
	base     int   // row of the base, or -1
	adapters []int // rows of a model's adapters
	bundle   int   // memory of a model with all its adapters
	demand   [fleet.RankCount]float64
	unmet    [fleet.RankCount]float64
	queued   float64
	copies   []int // replicas that stay and have the row in their target
	serving  int   // copies that serve the version they are to keep
	in       []int // copies in each data centre
	spans    int   // data centres with a copy
}

type repWork struct {
	Replica
	items  []item
	centre int
	free   int // MB that are neither planned nor bound to settle
	load   [fleet.RankCount]float64
}

type item struct {
	row     int
	version string
	memory  int
	since   time.Time
	ready   bool // the replica serves this version
	flow    [fleet.RankCount]float64
}

func (p *Planner) newWork(now time.Time, in Input) *work {
	p.demand(now, in.Demand)
	w := &work{p: p, now: now, byName: make(map[string]int, len(in.Rows))}
	w.addRows(in)
	w.addReplicas(in)
	return w
}

func (w *work) addRows(in Input) {
	w.rows = make([]rowWork, 0, len(in.Rows))
	for _, r := range in.Rows {
		if _, twice := w.byName[r.Name]; twice {
			w.findings.Addf(r.Name, "row is listed twice; the first counts")
			continue
		}
		w.byName[r.Name] = len(w.rows)
		w.rows = append(w.rows, rowWork{Row: r, base: -1, bundle: r.MemoryMB})
	}
	for i := range w.rows {
		r := &w.rows[i]
		if r.Base == "" {
			continue
		}
		if b, ok := w.byName[r.Base]; ok && w.rows[b].Base == "" {
			r.base = b
			w.rows[b].adapters = append(w.rows[b].adapters, i)
			w.rows[b].bundle += r.MemoryMB
		} else {
			w.findings.Addf(r.Name, "base model %q does not exist", r.Base)
		}
	}
	w.addDemand()
	for _, d := range in.Demand {
		if i, ok := w.byName[d.Name]; ok {
			w.rows[i].queued += d.Queued
		}
	}
	w.order = make([]int, len(w.rows))
	for i := range w.order {
		w.order[i] = i
	}
	slices.SortFunc(w.order, func(a, b int) int { return w.compareRows(a, b) })
	for pos, i := range w.order {
		w.rows[i].order = pos
	}
}

// addDemand sets the demand of every row in a fixed order, because the sum of
// floating-point numbers depends on it.
func (w *work) addDemand() {
	for i := range w.rows {
		r := &w.rows[i]
		for _, k := range fleet.Ranks() {
			r.demand[k] += w.p.level[demandKey{r.Name, k}].slots
		}
		if r.base >= 0 { // requests for an adapter run on its base
			for k, d := range r.demand {
				w.rows[r.base].demand[k] += d
			}
		}
	}
}

// compareRows orders rows by rank, weight and name. Demand has no part in it,
// so that the order is stable.
func (w *work) compareRows(a, b int) int {
	x, y := &w.rows[a], &w.rows[b]
	return cmp.Or(cmp.Compare(x.Rank, y.Rank), cmp.Compare(y.Weight, x.Weight), cmp.Compare(x.Name, y.Name))
}

func (w *work) addReplicas(in Input) {
	centres := map[fleet.DataCentre]int{}
	for _, r := range in.Replicas {
		if _, known := centres[r.DataCentre]; !known && !r.Leaving {
			centres[r.DataCentre] = len(centres)
		}
	}
	w.centres = len(centres)
	counts := make([]int, len(w.rows)*w.centres)
	for i := range w.rows {
		w.rows[i].in = counts[i*w.centres : (i+1)*w.centres]
	}
	w.reps = make([]repWork, len(in.Replicas))
	for i, r := range in.Replicas {
		rep := &w.reps[i]
		rep.Replica, rep.free, rep.centre = r, r.CapacityMB, centres[r.DataCentre]
		for _, it := range w.before(r) {
			row, ok := w.byName[it.name]
			if !ok || w.rows[row].Base != it.base || it.base != "" && w.rows[row].base < 0 {
				w.moves = append(w.moves, Move{r.ID, it.name, it.version, true, CauseGone})
				continue
			}
			kept := item{row: row, version: it.version, memory: it.memory, since: it.since}
			for _, h := range r.Held {
				if h.Name == it.name && h.Version == it.version {
					kept.memory = max(kept.memory, h.MemoryMB)
					// A reserved adapter is loaded by the request that needs it.
					kept.ready = h.State == ledger.Ready || h.State == ledger.Reserved && h.Base != ""
				}
			}
			w.put(i, kept)
		}
		w.settling(rep)
	}
}

// put adds the item to the replica and to the counts of its row.
func (w *work) put(rep int, it item) {
	t, r := &w.reps[rep], &w.rows[it.row]
	t.items = append(t.items, it)
	t.free -= it.memory
	if t.Leaving {
		return
	}
	r.copies = append(r.copies, rep)
	if it.ready {
		r.serving++
	}
	if r.in[t.centre]++; r.in[t.centre] == 1 {
		r.spans++
	}
}

// before returns the replica's part of the last plan. A replica that the plan
// does not know keeps what it holds.
func (w *work) before(r Replica) []placed {
	items, known := w.p.placed[r.ID]
	if known {
		return items
	}
	w.changed = true
	for _, h := range r.Held {
		row, ok := w.byName[h.Name]
		twice := slices.ContainsFunc(items, func(it placed) bool { return it.name == h.Name })
		if ok && !twice && h.State <= ledger.Ready && w.rows[row].Base == h.Base {
			items = append(items, placed{h.Name, h.Base, h.Version, h.MemoryMB, w.now.Add(-w.p.opt.MinServe)})
		}
	}
	return items
}

// settling takes memory that orders still bind, and that no unload can free
// soon, out of what may be planned.
func (w *work) settling(rep *repWork) {
	for _, h := range rep.Held {
		if h.Freed || h.State < ledger.Unloading {
			continue
		}
		planned := slices.ContainsFunc(rep.items, func(it item) bool {
			return w.rows[it.row].Name == h.Name && it.version == h.Version
		})
		if !planned {
			rep.free -= h.MemoryMB
		}
	}
}

// serves reports whether the replica can answer the row now at the version
// that it is to keep.
func (w *work) serves(rep, row int) bool {
	r := &w.reps[rep]
	if r.Leaving {
		return false
	}
	return slices.ContainsFunc(r.items, func(it item) bool { return it.row == row && it.ready })
}

// has reports whether the row is in the replica's target.
func (w *work) has(rep, row int) bool {
	return slices.ContainsFunc(w.reps[rep].items, func(it item) bool { return it.row == row })
}

// add puts the row into the replica's target.
func (w *work) add(rep, row int, cause Cause) {
	r := &w.rows[row]
	w.put(rep, item{row: row, version: r.Version, memory: r.MemoryMB, since: w.now})
	for k, d := range r.unmet { // an estimate until the next flow
		if r.base < 0 {
			w.reps[rep].load[k] += d
			r.unmet[k] = 0
		}
	}
	w.moves = append(w.moves, Move{w.reps[rep].ID, r.Name, r.Version, false, cause})
}

// remove takes the row, and for a model its adapters, out of the target.
func (w *work) remove(rep, row int, cause Cause) {
	r := &w.rows[row]
	for _, a := range r.adapters {
		if w.has(rep, a) {
			w.remove(rep, a, cause)
		}
	}
	at := slices.IndexFunc(w.reps[rep].items, func(it item) bool { return it.row == row })
	it := w.reps[rep].items[at]
	w.reps[rep].items = slices.Delete(w.reps[rep].items, at, at+1)
	w.reps[rep].free += it.memory
	if t := &w.reps[rep]; !t.Leaving {
		r.copies = slices.DeleteFunc(r.copies, func(c int) bool { return c == rep })
		if it.ready {
			r.serving--
		}
		if r.in[t.centre]--; r.in[t.centre] == 0 {
			r.spans--
		}
	}
	w.moves = append(w.moves, Move{w.reps[rep].ID, r.Name, it.version, true, cause})
}
