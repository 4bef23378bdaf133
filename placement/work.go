package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/ledger"
)

// workingPlan is the plan that is being computed. Rows and replicas are
// referred to by their indices.
type workingPlan struct {
	planner          *Planner
	now              time.Time
	rows             []rowState
	reps             []replicaState
	byName           map[string]int
	rowsByImportance []int // indices of rows, most important first
	swapsTried       int   // replacements tried in this plan
	replicasChanged  bool  // the set of replicas differs from the last plan
	centreCount      int   // data centres with replicas that are not leaving
	moves            []Move
	findings         finding.List
	// skipMinServeTime allows the eviction of items younger than MinServeTime.
	skipMinServeTime bool
}

// rowState is a row with its demand and its copies in the working plan.
type rowState struct {
	Row
	importanceIndex int
	baseIndex       int   // row of the base model, or -1
	adapterIndexes  []int // rows of the model's adapters
	bundleMB        int   // memory of the model with all its adapters
	demand          [fleet.RankCount]float64
	unmet           [fleet.RankCount]float64
	queued          float64
	copies          []int // replicas that have the row in their target and are not leaving
	servingCopies   int   // copies that serve their target version now
	copiesPerCentre []int // number of copies in each data centre
	centresWithCopy int   // number of data centres with a copy
}

// replicaState is a replica with its target in the working plan.
type replicaState struct {
	Replica
	items       []item
	centreIndex int
	freeMB      int // capacity not used by the target or by entries that are being unloaded
	load        [fleet.RankCount]float64
}

// item is one entry of a replica's target in the working plan.
type item struct {
	row           int
	version       string
	memoryMB      int
	since         time.Time
	ready         bool // the replica serves this version now
	assignedSlots [fleet.RankCount]float64
}

func (p *Planner) newWorkingPlan(now time.Time, in Input) *workingPlan {
	p.updateDemand(now, in.Demand)
	w := &workingPlan{planner: p, now: now, byName: make(map[string]int, len(in.Rows))}
	w.initRows(in)
	w.initReplicas(in)
	return w
}

// initRows sets the rows, their demand and their order of importance.
func (w *workingPlan) initRows(in Input) {
	w.rows = make([]rowState, 0, len(in.Rows))
	for _, r := range in.Rows {
		if _, twice := w.byName[r.Name]; twice {
			w.findings.Addf(r.Name, "row is listed twice; the first counts")
			continue
		}
		w.byName[r.Name] = len(w.rows)
		w.rows = append(w.rows, rowState{Row: r, baseIndex: -1, bundleMB: r.MemoryMB})
	}
	for i := range w.rows {
		r := &w.rows[i]
		if r.Base == "" {
			continue
		}
		if b, ok := w.byName[r.Base]; ok && w.rows[b].Base == "" {
			r.baseIndex = b
			w.rows[b].adapterIndexes = append(w.rows[b].adapterIndexes, i)
			w.rows[b].bundleMB += r.MemoryMB
		} else {
			w.findings.Addf(r.Name, "base model %q does not exist", r.Base)
		}
	}
	w.setDemand()
	for _, d := range in.Demand {
		if i, ok := w.byName[d.Name]; ok {
			w.rows[i].queued += d.Queued
		}
	}
	w.rowsByImportance = make([]int, len(w.rows))
	for i := range w.rowsByImportance {
		w.rowsByImportance[i] = i
	}
	slices.SortFunc(w.rowsByImportance, func(a, b int) int { return w.compareRows(a, b) })
	for pos, i := range w.rowsByImportance {
		w.rows[i].importanceIndex = pos
	}
}

// setDemand sets the demand of every row. It adds in a fixed order because the
// sum of floating-point numbers depends on the order.
func (w *workingPlan) setDemand() {
	for i := range w.rows {
		r := &w.rows[i]
		for _, k := range fleet.Ranks() {
			r.demand[k] += w.planner.tracked[demandKey{r.Name, k}].slots
		}
		if r.baseIndex >= 0 { // requests for an adapter run on its base
			for k, d := range r.demand {
				w.rows[r.baseIndex].demand[k] += d
			}
		}
	}
}

// compareRows orders rows by rank, weight and name. It ignores demand, so the
// order is stable.
func (w *workingPlan) compareRows(a, b int) int {
	x, y := &w.rows[a], &w.rows[b]
	return cmp.Or(cmp.Compare(x.Rank, y.Rank), cmp.Compare(y.Weight, x.Weight), cmp.Compare(x.Name, y.Name))
}

// initReplicas sets the replicas with their items of the previous plan. Items
// whose row no longer exists are removed.
func (w *workingPlan) initReplicas(in Input) {
	centres := map[fleet.DataCentre]int{}
	for _, r := range in.Replicas {
		if _, known := centres[r.DataCentre]; !known && !r.Leaving {
			centres[r.DataCentre] = len(centres)
		}
	}
	w.centreCount = len(centres)
	counts := make([]int, len(w.rows)*w.centreCount)
	for i := range w.rows {
		w.rows[i].copiesPerCentre = counts[i*w.centreCount : (i+1)*w.centreCount]
	}
	w.reps = make([]replicaState, len(in.Replicas))
	for i, r := range in.Replicas {
		rep := &w.reps[i]
		rep.Replica, rep.freeMB, rep.centreIndex = r, r.CapacityMB, centres[r.DataCentre]
		for _, it := range w.previousItems(r) {
			row, ok := w.byName[it.name]
			if !ok || w.rows[row].Base != it.base || it.base != "" && w.rows[row].baseIndex < 0 {
				w.moves = append(w.moves, Move{r.ID, it.name, it.version, true, CauseRowRemoved})
				continue
			}
			kept := item{row: row, version: it.version, memoryMB: it.memoryMB, since: it.since}
			for _, h := range r.Entries {
				if h.Name == it.name && h.Version == it.version {
					kept.memoryMB = max(kept.memoryMB, h.MemoryMB)
					// A reserved adapter is loaded by the request that needs it.
					kept.ready = h.State == ledger.Ready || h.State == ledger.Reserved && h.Base != ""
				}
			}
			w.addItem(i, kept)
		}
		w.reserveUnreleased(rep)
	}
}

// addItem adds the item to the replica and to the counts of its row.
func (w *workingPlan) addItem(rep int, it item) {
	t, r := &w.reps[rep], &w.rows[it.row]
	t.items = append(t.items, it)
	t.freeMB -= it.memoryMB
	if t.Leaving {
		return
	}
	r.copies = append(r.copies, rep)
	if it.ready {
		r.servingCopies++
	}
	if r.copiesPerCentre[t.centreIndex]++; r.copiesPerCentre[t.centreIndex] == 1 {
		r.centresWithCopy++
	}
}

// previousItems returns the replica's items in the last plan. For a replica that
// is not in the plan it returns what the replica holds.
func (w *workingPlan) previousItems(r Replica) []plannedItem {
	items, known := w.planner.planned[r.ID]
	if known {
		return items
	}
	w.replicasChanged = true
	for _, h := range r.Entries {
		row, ok := w.byName[h.Name]
		twice := slices.ContainsFunc(items, func(it plannedItem) bool { return it.name == h.Name })
		if ok && !twice && h.State <= ledger.Ready && w.rows[row].Base == h.Base {
			items = append(items, plannedItem{h.Name, h.Base, h.Version, h.MemoryMB, w.now.Add(-w.planner.opt.MinServeTime)})
		}
	}
	return items
}

// reserveUnreleased subtracts the memory of unloading and settling entries that
// are not in the replica's target from its free memory.
func (w *workingPlan) reserveUnreleased(rep *replicaState) {
	for _, h := range rep.Entries {
		if h.Freed || h.State < ledger.Unloading {
			continue
		}
		planned := slices.ContainsFunc(rep.items, func(it item) bool {
			return w.rows[it.row].Name == h.Name && it.version == h.Version
		})
		if !planned {
			rep.freeMB -= h.MemoryMB
		}
	}
}

// serves reports whether the replica can serve the row now at its target
// version and is not leaving.
func (w *workingPlan) serves(rep, row int) bool {
	r := &w.reps[rep]
	if r.Leaving {
		return false
	}
	return slices.ContainsFunc(r.items, func(it item) bool { return it.row == row && it.ready })
}

// isPlanned reports whether the row is in the replica's target.
func (w *workingPlan) isPlanned(rep, row int) bool {
	return slices.ContainsFunc(w.reps[rep].items, func(it item) bool { return it.row == row })
}

// addToTarget adds the row to the replica's target and records the move.
func (w *workingPlan) addToTarget(rep, row int, cause Cause) {
	r := &w.rows[row]
	w.addItem(rep, item{row: row, version: r.Version, memoryMB: r.MemoryMB, since: w.now})
	for k, d := range r.unmet { // an estimate until distributeDemand runs again
		if r.baseIndex < 0 {
			w.reps[rep].load[k] += d
			r.unmet[k] = 0
		}
	}
	w.moves = append(w.moves, Move{w.reps[rep].ID, r.Name, r.Version, false, cause})
}

// removeFromTarget removes the row, and for a model its adapters, from the
// replica's target and records the moves.
func (w *workingPlan) removeFromTarget(rep, row int, cause Cause) {
	r := &w.rows[row]
	for _, a := range r.adapterIndexes {
		if w.isPlanned(rep, a) {
			w.removeFromTarget(rep, a, cause)
		}
	}
	at := slices.IndexFunc(w.reps[rep].items, func(it item) bool { return it.row == row })
	it := w.reps[rep].items[at]
	w.reps[rep].items = slices.Delete(w.reps[rep].items, at, at+1)
	w.reps[rep].freeMB += it.memoryMB
	if t := &w.reps[rep]; !t.Leaving {
		r.copies = slices.DeleteFunc(r.copies, func(c int) bool { return c == rep })
		if it.ready {
			r.servingCopies--
		}
		if r.copiesPerCentre[t.centreIndex]--; r.copiesPerCentre[t.centreIndex] == 0 {
			r.centresWithCopy--
		}
	}
	w.moves = append(w.moves, Move{w.reps[rep].ID, r.Name, it.version, true, cause})
}
