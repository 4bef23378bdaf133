package placement

import (
	"cmp"
	"slices"
)

// maxGrowRounds limits how often one plan distributes demand and adds replicas.
const maxGrowRounds = 8

// addReplicasForDemand adds replicas for demand that the current ones cannot
// serve, most valuable first, until no addition gains enough.
func (w *workingPlan) addReplicasForDemand() {
	left := w.planner.opt.MaxMoves
	if left == 0 {
		left = max(4, len(w.reps)/100)
	}
	for range maxGrowRounds {
		w.distributeDemand()
		added := 0
		for _, row := range w.modelsWithUnmetDemand() {
			for left > 0 && w.addReplicaForDemand(row) {
				added++
				left--
			}
		}
		if added == 0 || left == 0 {
			return
		}
	}
}

// modelsWithUnmetDemand returns the reachable models whose unmet demand is
// worth more than their minimum gain, most valuable first.
func (w *workingPlan) modelsWithUnmetDemand() []int {
	var out []int
	value := make([]float64, len(w.rows))
	for i := range w.rows {
		r := &w.rows[i]
		for k, u := range r.unmet {
			value[i] += rankValue[k] * r.Weight * u
		}
		if r.Base == "" && len(r.copies) > 0 && value[i] > w.minGain(i) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(value[b], value[a]), cmp.Compare(w.rows[a].importanceIndex, w.rows[b].importanceIndex))
	})
	return out
}

// addReplicaForDemand adds one replica of the row if that gains enough, and
// reports whether it did. It uses free memory first and otherwise evicts extra
// copies of other rows.
func (w *workingPlan) addReplicaForDemand(row int) bool {
	r := &w.rows[row]
	best, bestGain := -1, w.minGain(row)
	for i := range w.reps {
		if rep := &w.reps[i]; !rep.Leaving && rep.freeMB >= r.MemoryMB && !w.isPlanned(i, row) {
			if g := w.gainedValue(i, row, nil); g > bestGain {
				best, bestGain = i, g
			}
		}
	}
	if best >= 0 {
		w.addAndAssign(best, row)
		return true
	}
	var bestEviction eviction
	bestNet, found := w.minGain(row), false
	for i := range w.reps {
		if w.reps[i].Leaving || w.reps[i].CapacityMB < r.MemoryMB || w.isPlanned(i, row) || w.maxGain(i, row) <= bestNet {
			continue
		}
		e, ok := w.evictionOn(i, r.MemoryMB, extraCopy, w.minServeFilter(i))
		if !ok {
			continue
		}
		margin := 1 + w.planner.opt.Margin
		if w.planner.opt.Mode == Greedy {
			margin = 1
		}
		if net := w.gainedValue(i, row, e.candidates) - e.lostValue*margin; net > bestNet {
			bestEviction, bestNet, found = e, net, true
		}
	}
	return found && w.swapsTried < maxSwaps && w.trySwap(bestEviction, row)
}

// maxSwaps limits the replacements tried in one plan, because each one
// distributes the demand of the whole fleet again.
const maxSwaps = 16

// trySwap replaces the evicted items by the row if the value of all demand
// served grows by more than the margin of the value they lose. The estimate that
// chose them ignores that several rows share free slots; without this check two
// rows could replace each other forever.
func (w *workingPlan) trySwap(e eviction, row int) bool {
	w.swapsTried++
	before := w.servedValue()
	undo := w.checkpoint(e, row)
	w.evict(e)
	w.addToTarget(e.rep, row, CauseDemand)
	w.distributeDemand()
	least := max(w.minGain(row), w.planner.opt.Margin*e.lostValue)
	if w.planner.opt.Mode == Greedy {
		least = w.minGain(row) / 10
	}
	if w.servedValue()-before > least {
		return true
	}
	undo()
	w.distributeDemand()
	return false
}

// servedValue returns the value of all demand that the plan serves.
func (w *workingPlan) servedValue() float64 {
	sum := 0.0
	for i := range w.rows {
		if r := &w.rows[i]; r.baseIndex < 0 {
			for k := range r.demand {
				sum += rankValue[k] * r.Weight * (r.demand[k] - r.unmet[k])
			}
		}
	}
	return sum
}

// checkpoint returns a function that undoes the replacement of the evicted items
// by the row.
func (w *workingPlan) checkpoint(e eviction, row int) func() {
	rep := &w.reps[e.rep]
	items, free, moves := slices.Clone(rep.items), rep.freeMB, len(w.moves)
	savedRows := map[int]rowState{}
	save := func(row int) {
		e := w.rows[row]
		e.copies, e.copiesPerCentre = slices.Clone(e.copies), slices.Clone(e.copiesPerCentre)
		savedRows[row] = e
	}
	save(row)
	for _, v := range e.candidates {
		save(v.row)
		for _, a := range w.rows[v.row].adapterIndexes {
			save(a)
		}
	}
	return func() {
		rep.items, rep.freeMB, w.moves = items, free, w.moves[:moves]
		for row, e := range savedRows {
			w.rows[row] = e
		}
	}
}

// minServeFilter returns a filter for candidates that have been in the plan for
// MinServeTime. In Greedy mode it accepts every item of the replica.
func (w *workingPlan) minServeFilter(rep int) func(candidate) bool {
	return func(v candidate) bool {
		for _, it := range w.reps[rep].items {
			if it.row == v.row {
				return w.planner.opt.Mode == Greedy || w.now.Sub(it.since) >= w.planner.opt.MinServeTime
			}
		}
		return false
	}
}

// minGain returns the value of slotMargin slots of the row's least urgent demand.
func (w *workingPlan) minGain(row int) float64 {
	r := &w.rows[row]
	least := 0.0
	for k, d := range r.demand {
		if d > 0 {
			least = rankValue[k] * r.Weight * slotMargin
		}
	}
	return least
}

// maxGain returns the value of the unmet demand that the replica could serve if
// it held only the row.
func (w *workingPlan) maxGain(rep, row int) float64 {
	r, left, sum := &w.rows[row], float64(w.reps[rep].Slots), 0.0
	for k, u := range r.unmet {
		slots := min(u, left)
		left -= slots
		sum += rankValue[k] * r.Weight * slots
	}
	return sum
}

// gainedValue returns the value of the unmet demand that the replica could serve
// after the eviction.
func (w *workingPlan) gainedValue(rep, row int, evicted []candidate) float64 {
	r, target := &w.rows[row], &w.reps[rep]
	sum, used := 0.0, 0.0
	for k, u := range r.unmet {
		spare := target.spareSlots(k) - used
		for _, it := range target.items {
			if slices.ContainsFunc(evicted, func(v candidate) bool { return v.row == it.row }) {
				for _, f := range it.assignedSlots[:k+1] {
					spare += f
				}
			}
		}
		slots := max(0, min(u, spare))
		used += slots
		sum += rankValue[k] * r.Weight * slots
	}
	return sum
}

// addAndAssign adds the row to the replica and assigns it the unmet demand that
// fits into the replica's spare slots.
func (w *workingPlan) addAndAssign(rep, row int) {
	r := &w.rows[row]
	unmet := r.unmet
	var assigned [len(unmet)]float64
	for k, u := range unmet {
		assigned[k] = min(u, w.reps[rep].spareSlots(k))
	}
	load := w.reps[rep].load
	w.addToTarget(rep, row, CauseDemand)
	items := w.reps[rep].items
	items[len(items)-1].assignedSlots = assigned
	for k := range unmet {
		load[k] += assigned[k]
		r.unmet[k] = unmet[k] - assigned[k]
	}
	w.reps[rep].load = load
}
