package placement

import (
	"slices"
)

// anyCandidate is a filter that allows every candidate.
func anyCandidate(candidate) bool { return true }

// trimOverCapacity removes the least important items from replicas whose targets
// exceed the capacity. This happens when a model takes more memory than its row
// states or a replica reports less.
func (w *workingPlan) trimOverCapacity() {
	for i := range w.reps {
		rep := &w.reps[i]
		planned := 0
		for _, it := range rep.items {
			planned += it.memoryMB
		}
		for planned > rep.CapacityMB && len(rep.items) > 0 {
			last := slices.MaxFunc(rep.items, func(a, b item) int { return w.rows[a.row].importanceIndex - w.rows[b.row].importanceIndex })
			before := rep.freeMB
			w.removeFromTarget(i, last.row, CauseEviction)
			planned -= rep.freeMB - before
		}
	}
}

// updateVersions plans the change to the table's version for every row that has
// another version in a target.
func (w *workingPlan) updateVersions() {
	stale := make([]bool, len(w.rows))
	for i := range w.reps {
		for _, it := range w.reps[i].items {
			stale[it.row] = stale[it.row] || it.version != w.rows[it.row].Version
		}
	}
	for _, row := range w.rowsByImportance {
		if stale[row] {
			w.updateRowVersion(row)
		}
	}
}

// updateRowVersion changes the row's version on replicas where the new version
// fits together with the old one. Where it does not, it replaces the old version
// in place, which interrupts at most one serving copy of the row per plan, and only
// while another replica serves the row.
func (w *workingPlan) updateRowVersion(row int) {
	r := &w.rows[row]
	changed := false
	for _, i := range slices.Clone(r.copies) {
		rep := &w.reps[i]
		j := slices.IndexFunc(rep.items, func(it item) bool { return it.row == row && it.version != r.Version })
		if j < 0 {
			continue
		}
		it := &rep.items[j]
		fitsTogether := rep.freeMB >= r.MemoryMB
		servedElsewhere := !changed && slices.ContainsFunc(r.copies, func(c int) bool { return c != i && w.serves(c, row) })
		inPlace := rep.freeMB+it.memoryMB >= r.MemoryMB && (servedElsewhere || !w.serves(i, row))
		if !fitsTogether && !inPlace {
			w.placeVersionElsewhere(row)
			continue
		}
		rep.freeMB += it.memoryMB - r.MemoryMB
		if fitsTogether {
			rep.freeMB = min(rep.freeMB, rep.freeMB-it.memoryMB) // both versions count until the old one is unloaded
		} else {
			changed = true
		}
		if it.ready && !rep.Leaving {
			r.servingCopies--
		}
		it.version, it.memoryMB, it.since, it.ready = r.Version, r.MemoryMB, w.now, false
		w.moves = append(w.moves, Move{rep.ID, r.Name, r.Version, false, CauseVersion})
	}
}

// placeVersionElsewhere adds the new version of a row to another replica, so that
// the old version can be replaced once that replica serves.
func (w *workingPlan) placeVersionElsewhere(row int) {
	r := &w.rows[row]
	if slices.ContainsFunc(r.copies, func(c int) bool { return w.plannedVersion(c, row) == r.Version }) {
		return // another copy already has the new version as its target
	}
	if r.baseIndex >= 0 {
		return
	}
	if rep, ok := w.bestFreeReplica(row, r.MemoryMB, nil); ok {
		w.addToTarget(rep, row, CauseVersion)
		return
	}
	if e, ok := w.cheapestEviction(row, r.MemoryMB, extraCopy, nil, anyCandidate); ok {
		w.evict(e)
		w.addToTarget(e.rep, row, CauseVersion)
		return
	}
	// An accepted edit has precedence over the second data centre of another row
	// and over MinServeTime. The other row gets its copy back after the old version
	// is unloaded.
	w.skipMinServeTime = true
	e, ok := w.cheapestEviction(row, r.MemoryMB, secondCopy, nil, anyCandidate)
	w.skipMinServeTime = false
	if ok {
		w.evict(e)
		w.addToTarget(e.rep, row, CauseVersion)
		return
	}
	w.findings.Addf(r.Name, "version %s waits: it fits neither beside the version in service nor on another replica", r.Version)
}

// plannedVersion returns the row's version in the replica's target, or "".
func (w *workingPlan) plannedVersion(rep, row int) string {
	for _, it := range w.reps[rep].items {
		if it.row == row {
			return it.version
		}
	}
	return ""
}

// ensureReachable gives every model at least one replica, most important first.
func (w *workingPlan) ensureReachable() {
	for _, row := range w.rowsByImportance {
		if r := &w.rows[row]; r.Base == "" && len(r.copies) == 0 && !w.makeReachable(row) {
			w.findings.Addf(r.Name, "does not fit on any replica (%d MB): it is loaded when requests wait for it", r.MemoryMB)
		}
	}
}

// makeReachable adds the row to one replica and reports whether it did. It uses,
// in this order: free memory, extra copies of other rows, relocation of a model,
// second copies, and sole copies. A sole copy is evicted only if its row is less
// important, or if its row has no queued requests and the added row has some.
func (w *workingPlan) makeReachable(row int) bool {
	r := &w.rows[row]
	for _, need := range []int{r.bundleMB, r.MemoryMB} {
		if rep, ok := w.bestFreeReplica(row, need, nil); ok {
			w.addToTarget(rep, row, CauseUnreachable)
			return true
		}
	}
	if e, ok := w.cheapestEviction(row, r.MemoryMB, extraCopy, nil, anyCandidate); ok {
		w.evict(e)
		w.addToTarget(e.rep, row, CauseUnreachable)
		return true
	}
	if w.relocate(row) {
		return true
	}
	if e, ok := w.cheapestEviction(row, r.MemoryMB, secondCopy, nil, anyCandidate); ok {
		w.evictWithFindings(e, row)
		w.addToTarget(e.rep, row, CauseUnreachable)
		return true
	}
	cause, allowed := CauseUnreachable, func(v candidate) bool {
		return v.class < soleCopy || w.rows[v.row].importanceIndex > r.importanceIndex && w.lessImportant(v.row, row)
	}
	if r.queued > 0 {
		cause, allowed = CauseTimeSharing, func(v candidate) bool {
			return v.class < soleCopy || w.rows[v.row].queued == 0 || w.lessImportant(v.row, row)
		}
	}
	if e, ok := w.cheapestEviction(row, r.MemoryMB, soleCopy, nil, allowed); ok {
		w.evictWithFindings(e, row)
		w.addToTarget(e.rep, row, cause)
		return true
	}
	return false
}

// lessImportant reports whether row a has a less urgent rank than b, or the same
// rank and less weight.
func (w *workingPlan) lessImportant(a, b int) bool {
	x, y := &w.rows[a], &w.rows[b]
	return x.Rank > y.Rank || x.Rank == y.Rank && x.Weight < y.Weight
}

// evictWithFindings evicts the candidates for the row and adds a finding for each
// row that loses more than an extra copy.
func (w *workingPlan) evictWithFindings(e eviction, row int) {
	for _, v := range e.candidates {
		lost := "its second data centre or minimum"
		if v.class == soleCopy {
			lost = "its only replica"
		}
		if v.class > extraCopy {
			w.findings.Addf(w.rows[v.row].Name, "loses %s on %s to %q", lost, w.reps[e.rep].ID, w.rows[row].Name)
		}
	}
	w.evict(e)
}

// relocate frees memory for the row by moving one model to another replica with
// free memory, and reports whether the row was added. A model that serves is
// first added to the other replica and removed by a later plan.
func (w *workingPlan) relocate(row int) bool {
	need := w.rows[row].MemoryMB
	for i := range w.reps {
		rep := &w.reps[i]
		if rep.Leaving || rep.freeMB < 0 {
			continue
		}
		for _, it := range rep.items {
			o := &w.rows[it.row]
			if o.baseIndex >= 0 || rep.freeMB+it.memoryMB < need || len(o.copies) != 1 || it.version != o.Version {
				continue
			}
			if slices.ContainsFunc(o.adapterIndexes, func(a int) bool { return w.isPlanned(i, a) }) {
				continue
			}
			to, ok := w.bestFreeReplica(it.row, it.memoryMB, func(c int) bool { return c != i })
			if !ok {
				continue
			}
			w.addToTarget(to, it.row, CauseEviction)
			if it.ready {
				return false // a later plan uses the memory
			}
			w.removeFromTarget(i, it.row, CauseEviction)
			w.addToTarget(i, row, CauseUnreachable)
			return true
		}
	}
	return false
}
