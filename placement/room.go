package placement

import (
	"cmp"
	"slices"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// evictionClass is the effect of an eviction on the row, cheapest first.
type evictionClass uint8

const (
	extraCopy  evictionClass = iota // the row keeps its minimum of replicas and its second data centre
	secondCopy                      // the row loses its minimum or second data centre but stays reachable
	soleCopy                        // the row becomes unreachable
)

// classifyEviction returns the class of evicting the row from the replica. A
// copy that cannot serve yet does not make the row reachable.
func (w *workingPlan) classifyEviction(rep, row int) evictionClass {
	r := &w.rows[row]
	others, spans := len(r.copies)-1, r.centresWithCopy
	if r.copiesPerCentre[w.reps[rep].centreIndex] == 1 {
		spans--
	}
	if others == 0 || r.servingCopies == 1 && w.serves(rep, row) {
		return soleCopy
	}
	worst := extraCopy
	if others < max(1, r.MinReplicas) || spans < min(2, w.centreCount) {
		worst = secondCopy
	}
	for _, a := range r.adapterIndexes {
		if w.isPlanned(rep, a) {
			worst = max(worst, w.classifyEviction(rep, a))
		}
	}
	return worst
}

// candidate is an item that can be evicted from a replica. A model is evicted
// together with its adapters.
type candidate struct {
	row       int
	class     evictionClass
	memoryMB  int
	lostValue float64 // value of the demand that no other replica can serve
}

// evictionCandidates returns the items of the replica up to maxClass, cheapest
// first: by class, then the least urgent rank, then lost value and weight.
func (w *workingPlan) evictionCandidates(rep int, maxClass evictionClass) []candidate {
	var out []candidate
	for _, it := range w.reps[rep].items {
		if w.planner.opt.Mode == Hysteresis && !w.skipMinServeTime && w.now.Sub(it.since) < w.planner.opt.MinServeTime && !it.since.Equal(w.now) && maxClass != extraCopy {
			continue
		}
		c := w.classifyEviction(rep, it.row)
		if c > maxClass {
			continue
		}
		v := candidate{row: it.row, class: c, memoryMB: it.memoryMB, lostValue: w.lostValue(rep, it)}
		for _, a := range w.rows[it.row].adapterIndexes {
			for _, o := range w.reps[rep].items {
				if o.row == a {
					v.memoryMB += o.memoryMB
				}
			}
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b candidate) int {
		x, y := &w.rows[a.row], &w.rows[b.row]
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(y.Rank, x.Rank), cmp.Compare(a.lostValue, b.lostValue),
			cmp.Compare(x.Weight, y.Weight), cmp.Compare(b.row, a.row))
	})
	return out
}

// lostValue returns the value of the demand that the item serves and that does
// not fit into the free slots of the row's other replicas.
func (w *workingPlan) lostValue(rep int, it item) float64 {
	r := &w.rows[it.row]
	sum := 0.0
	for k, f := range it.assignedSlots {
		for _, c := range r.copies {
			if c != rep && f > 0 {
				f -= w.reps[c].spareSlots(k)
			}
		}
		sum += rankValue[k] * r.Weight * max(0, f)
	}
	return sum
}

// eviction is a set of candidates on one replica whose removal frees enough memory.
type eviction struct {
	rep             int
	candidates      []candidate
	class           evictionClass
	rank            fleet.Rank // most urgent rank of a candidate
	importanceIndex int        // index of the most important candidate
	lostValue       float64
}

// evictionOn returns the cheapest eviction on the replica that frees need MB.
func (w *workingPlan) evictionOn(rep, need int, maxClass evictionClass, allowed func(candidate) bool) (eviction, bool) {
	r := eviction{rep: rep, rank: fleet.Patient, importanceIndex: len(w.rows)}
	free := w.reps[rep].freeMB
	if free < 0 {
		return r, false
	}
	for _, v := range w.evictionCandidates(rep, maxClass) {
		if free >= need {
			break
		}
		if !allowed(v) || slices.ContainsFunc(r.candidates, func(o candidate) bool { return w.rows[v.row].baseIndex == o.row }) {
			continue
		}
		for _, o := range r.candidates { // a chosen adapter is also part of its base's memory
			if w.rows[o.row].baseIndex == v.row {
				free -= o.memoryMB
			}
		}
		r.candidates = append(r.candidates, v)
		r.class = max(r.class, v.class)
		r.rank = min(r.rank, w.rows[v.row].Rank)
		r.importanceIndex = min(r.importanceIndex, w.rows[v.row].importanceIndex)
		r.lostValue += v.lostValue
		free += v.memoryMB
	}
	return r, free >= need
}

// evict removes the candidates from their replica's target.
func (w *workingPlan) evict(e eviction) {
	for _, v := range e.candidates {
		if w.isPlanned(e.rep, v.row) {
			w.removeFromTarget(e.rep, v.row, CauseEviction)
		}
	}
}

// bestFreeReplica returns the best allowed replica for the row with need MB of
// free memory. It prefers data centres without the row, then the lowest share of
// busy slots, then the most free memory. A nil allowed allows every replica.
func (w *workingPlan) bestFreeReplica(row, need int, allowed func(rep int) bool) (int, bool) {
	best := -1
	for i := range w.reps {
		if w.isBetterFree(i, best, row, need) && (allowed == nil || allowed(i)) && !w.isPlanned(i, row) {
			best = i
		}
	}
	return best, best >= 0
}

// bestFreeReplicaOf is bestFreeReplica limited to the given replicas.
func (w *workingPlan) bestFreeReplicaOf(reps []int, row, need int) (int, bool) {
	best := -1
	for _, i := range reps {
		if w.isBetterFree(i, best, row, need) && !w.isPlanned(i, row) {
			best = i
		}
	}
	return best, best >= 0
}

// isBetterFree reports whether the replica has need MB free and is preferred to
// best for the row. best is -1 if there is none yet.
func (w *workingPlan) isBetterFree(rep, best, row, need int) bool {
	a := &w.reps[rep]
	if a.Leaving || a.freeMB < need {
		return false
	}
	if best < 0 {
		return true
	}
	b, r := &w.reps[best], &w.rows[row]
	if fresh := r.copiesPerCentre[a.centreIndex] == 0; fresh != (r.copiesPerCentre[b.centreIndex] == 0) {
		return fresh
	}
	return cmp.Or(cmp.Compare(a.busyShare(), b.busyShare()), cmp.Compare(b.freeMB, a.freeMB)) < 0
}

// cheapestEviction returns the cheapest eviction that frees need MB for the row
// on any allowed replica. A nil allowedReplica allows every replica.
func (w *workingPlan) cheapestEviction(row, need int, maxClass evictionClass, allowedReplica func(rep int) bool, allowedCandidate func(candidate) bool) (eviction, bool) {
	var best eviction
	found := false
	for i := range w.reps {
		if w.reps[i].Leaving || w.reps[i].CapacityMB < need || allowedReplica != nil && !allowedReplica(i) || w.isPlanned(i, row) {
			continue
		}
		r, ok := w.evictionOn(i, need, maxClass, allowedCandidate)
		if !ok {
			continue
		}
		c := cmp.Or(cmp.Compare(r.class, best.class), cmp.Compare(best.rank, r.rank), cmp.Compare(r.lostValue, best.lostValue),
			cmp.Compare(len(r.candidates), len(best.candidates)), cmp.Compare(best.importanceIndex, r.importanceIndex))
		if !found || c < 0 {
			best, found = r, true
		}
	}
	return best, found
}
