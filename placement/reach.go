package placement

import (
	"slices"
)

func anyVictim(victim) bool { return true }

// trim removes the least important items from replicas whose capacity is
// exceeded, because a model turned out larger or the replica smaller.
func (w *work) trim() {
	for i := range w.reps {
		rep := &w.reps[i]
		planned := 0
		for _, it := range rep.items {
			planned += it.memory
		}
		for planned > rep.CapacityMB && len(rep.items) > 0 {
			last := slices.MaxFunc(rep.items, func(a, b item) int { return w.rows[a.row].order - w.rows[b.row].order })
			before := rep.free
			w.remove(i, last.row, CauseRoom)
			planned -= rep.free - before
		}
	}
}

// versions moves rows to the version of the table, where the new version fits
// beside the old one or another replica serves the row meanwhile.
func (w *work) versions() {
	stale := make([]bool, len(w.rows))
	for i := range w.reps {
		for _, it := range w.reps[i].items {
			stale[it.row] = stale[it.row] || it.version != w.rows[it.row].Version
		}
	}
	for _, row := range w.order {
		if stale[row] {
			w.version(row)
		}
	}
}

func (w *work) version(row int) {
	r := &w.rows[row]
	changed := false
	for _, i := range slices.Clone(r.copies) {
		rep := &w.reps[i]
		j := slices.IndexFunc(rep.items, func(it item) bool { return it.row == row && it.version != r.Version })
		if j < 0 {
			continue
		}
		it := &rep.items[j]
		beside := rep.free >= r.MemoryMB
		elsewhere := !changed && slices.ContainsFunc(r.copies, func(c int) bool { return c != i && w.serves(c, row) })
		inPlace := rep.free+it.memory >= r.MemoryMB && (elsewhere || !w.serves(i, row))
		if !beside && !inPlace {
			w.versionElsewhere(row)
			continue
		}
		rep.free += it.memory - r.MemoryMB
		if beside {
			rep.free = min(rep.free, rep.free-it.memory) // both count until the old one is unloaded
		} else {
			changed = true
		}
		if it.ready && !rep.Leaving {
			r.serving--
		}
		it.version, it.memory, it.since, it.ready = r.Version, r.MemoryMB, w.now, false
		w.moves = append(w.moves, Move{rep.ID, r.Name, r.Version, false, CauseVersion})
	}
}

// versionElsewhere places the new version of a row on another replica, so that
// the old one can be replaced once that serves.
func (w *work) versionElsewhere(row int) {
	r := &w.rows[row]
	if slices.ContainsFunc(r.copies, func(c int) bool { return w.versionOn(c, row) == r.Version }) {
		return // on its way
	}
	if r.base >= 0 {
		return
	}
	if rep, ok := w.freest(row, r.MemoryMB, nil); ok {
		w.add(rep, row, CauseVersion)
		return
	}
	if room, ok := w.cheapest(row, r.MemoryMB, extraCopy, nil, anyVictim); ok {
		w.take(room)
		w.add(room.rep, row, CauseVersion)
		return
	}
	// An accepted edit goes before the second data centre of another row, which
	// comes back when the old version has left, and does not wait for MinServe.
	w.skipMinServe = true
	room, ok := w.cheapest(row, r.MemoryMB, secondCopy, nil, anyVictim)
	w.skipMinServe = false
	if ok {
		w.take(room)
		w.add(room.rep, row, CauseVersion)
		return
	}
	w.findings.Addf(r.Name, "version %s waits: it fits neither beside the version in service nor on another replica", r.Version)
}

func (w *work) versionOn(rep, row int) string {
	for _, it := range w.reps[rep].items {
		if it.row == row {
			return it.version
		}
	}
	return ""
}

// reach gives every model a replica, the most important first.
func (w *work) reach() {
	for _, row := range w.order {
		if r := &w.rows[row]; r.Base == "" && len(r.copies) == 0 && !w.reachRow(row) {
			w.findings.Addf(r.Name, "does not fit on any replica (%d MB): it is loaded when requests wait for it", r.MemoryMB)
		}
	}
}

func (w *work) reachRow(row int) bool {
	r := &w.rows[row]
	for _, need := range []int{r.bundle, r.MemoryMB} {
		if rep, ok := w.freest(row, need, nil); ok {
			w.add(rep, row, CauseReach)
			return true
		}
	}
	if room, ok := w.cheapest(row, r.MemoryMB, extraCopy, nil, anyVictim); ok {
		w.take(room)
		w.add(room.rep, row, CauseReach)
		return true
	}
	if w.relocate(row) {
		return true
	}
	if room, ok := w.cheapest(row, r.MemoryMB, secondCopy, nil, anyVictim); ok {
		w.sacrifice(room, row)
		w.add(room.rep, row, CauseReach)
		return true
	}
	cause, allowed := CauseReach, func(v victim) bool { return v.class < soleCopy || w.rows[v.row].order > r.order && w.lower(v.row, row) }
	if r.queued > 0 {
		cause, allowed = CauseShare, func(v victim) bool { return v.class < soleCopy || w.rows[v.row].queued == 0 || w.lower(v.row, row) }
	}
	if room, ok := w.cheapest(row, r.MemoryMB, soleCopy, nil, allowed); ok {
		w.sacrifice(room, row)
		w.add(room.rep, row, cause)
		return true
	}
	return false
}

// lower reports whether row a is of a less urgent rank than b, or of the same
// rank and less weight.
func (w *work) lower(a, b int) bool {
	x, y := &w.rows[a], &w.rows[b]
	return x.Rank > y.Rank || x.Rank == y.Rank && x.Weight < y.Weight
}

// sacrifice takes the room and reports what is lost.
func (w *work) sacrifice(room room, row int) {
	for _, v := range room.victims {
		what := "its second data centre or minimum"
		if v.class == soleCopy {
			what = "its only replica"
		}
		if v.class > extraCopy {
			w.findings.Addf(w.rows[v.row].Name, "loses %s on %s to %q", what, w.reps[room.rep].ID, w.rows[row].Name)
		}
	}
	w.take(room)
}

// relocate makes room for the row by moving one model to a replica where it
// fits. A model that serves is copied first and removed by a later plan.
func (w *work) relocate(row int) bool {
	need := w.rows[row].MemoryMB
	for i := range w.reps {
		rep := &w.reps[i]
		if rep.Leaving || rep.free < 0 {
			continue
		}
		for _, it := range rep.items {
			o := &w.rows[it.row]
			if o.base >= 0 || rep.free+it.memory < need || len(o.copies) != 1 || it.version != o.Version {
				continue
			}
			if slices.ContainsFunc(o.adapters, func(a int) bool { return w.has(i, a) }) {
				continue
			}
			to, ok := w.freest(it.row, it.memory, func(c int) bool { return c != i })
			if !ok {
				continue
			}
			w.add(to, it.row, CauseRoom)
			if it.ready {
				return false // the next plan uses the room
			}
			w.remove(i, it.row, CauseRoom)
			w.add(i, row, CauseReach)
			return true
		}
	}
	return false
}
