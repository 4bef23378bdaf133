package placement

import (
	"math"
)

// ensureMinimum gives every model its row's minimum of replicas.
func (w *workingPlan) ensureMinimum() {
	for _, row := range w.rowsByImportance {
		r := &w.rows[row]
		for r.Base == "" && len(r.copies) > 0 && len(r.copies) < r.MinReplicas {
			if !w.addCopy(row, CauseMinimum, nil) {
				w.findings.Addf(r.Name, "has %d of %d replicas: no more fit", len(r.copies), r.MinReplicas)
				break
			}
		}
	}
}

// ensureSecondCentre gives every model a replica in a second data centre.
func (w *workingPlan) ensureSecondCentre() {
	if w.centreCount < 2 {
		return
	}
	for _, row := range w.rowsByImportance {
		r := &w.rows[row]
		if r.Base != "" || len(r.copies) == 0 {
			continue
		}
		if r.centresWithCopy >= 2 {
			continue
		}
		elsewhere := func(rep int) bool { return r.copiesPerCentre[w.reps[rep].centreIndex] == 0 }
		if !w.addCopy(row, CauseSpread, elsewhere) {
			w.findings.Addf(r.Name, "is in one data centre only: no replica fits in another")
		}
	}
}

// addCopy adds the row to one allowed replica, with free memory or in place of
// extra copies of other rows, and reports whether it did.
func (w *workingPlan) addCopy(row int, cause Cause, allowed func(rep int) bool) bool {
	r := &w.rows[row]
	if rep, ok := w.bestFreeReplica(row, r.MemoryMB, allowed); ok {
		w.addToTarget(rep, row, cause)
		return true
	}
	e, ok := w.cheapestEviction(row, r.MemoryMB, extraCopy, allowed, anyCandidate)
	if ok {
		w.evict(e)
		w.addToTarget(e.rep, row, cause)
	}
	return ok
}

// placeAdapters adds every adapter without a copy to one replica of its base.
func (w *workingPlan) placeAdapters() {
	for _, row := range w.rowsByImportance {
		r := &w.rows[row]
		if r.baseIndex < 0 || len(r.copies) > 0 || len(w.rows[r.baseIndex].copies) == 0 {
			continue
		}
		onBase := func(rep int) bool { return w.isPlanned(rep, r.baseIndex) }
		if rep, ok := w.bestFreeReplicaOf(w.rows[r.baseIndex].copies, row, r.MemoryMB); ok {
			w.addToTarget(rep, row, CauseAdapter)
			continue
		}
		notBase := func(v candidate) bool { return v.row != r.baseIndex }
		if e, ok := w.cheapestEviction(row, r.MemoryMB, secondCopy, onBase, notBase); ok {
			w.evictWithFindings(e, row)
			w.addToTarget(e.rep, row, CauseAdapter)
			continue
		}
		w.addBaseWithAdapter(row)
	}
}

// addBaseWithAdapter adds the base and the adapter to one more replica. It is
// used when no replica of the base has memory for the adapter.
func (w *workingPlan) addBaseWithAdapter(row int) {
	r := &w.rows[row]
	base := &w.rows[r.baseIndex]
	rep, ok := w.bestFreeReplica(r.baseIndex, base.MemoryMB+r.MemoryMB, nil)
	if !ok {
		w.findings.Addf(r.Name, "does not fit (%d MB) beside its base model %q", r.MemoryMB, base.Name)
		return
	}
	w.addToTarget(rep, r.baseIndex, CauseAdapter)
	w.addToTarget(rep, row, CauseAdapter)
}

// replicateAdapters adds adapters to more replicas of their base where memory is
// free, until each has the largest of two copies, the row's minimum and the
// result of copiesForDemand.
func (w *workingPlan) replicateAdapters() {
	for _, row := range w.rowsByImportance {
		r := &w.rows[row]
		if r.baseIndex < 0 || len(r.copies) == 0 {
			continue
		}
		base := &w.rows[r.baseIndex]
		wantedCopies := min(len(base.copies), max(2, r.MinReplicas, w.copiesForDemand(r, base)))
		for len(r.copies) < wantedCopies {
			rep, ok := w.bestFreeReplicaOf(base.copies, row, r.MemoryMB)
			if !ok {
				break
			}
			w.addToTarget(rep, row, CauseAdapter)
		}
	}
}

// copiesForDemand returns how many of the base's replicas correspond to the
// adapter's share of the base's demand, rounded up. In Static mode it returns 1.
func (w *workingPlan) copiesForDemand(r, base *rowState) int {
	if w.planner.opt.Mode == Static {
		return 1
	}
	own, all := 0.0, 0.0
	for k := range r.demand {
		own += r.demand[k]
		all += base.demand[k]
	}
	if all <= 0 {
		return 1
	}
	return int(math.Ceil(own / all * float64(len(base.copies))))
}
