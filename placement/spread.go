package placement

import (
	"math"
)

// minimum gives every model the replicas that its row asks for.
func (w *work) minimum() {
	for _, row := range w.order {
		r := &w.rows[row]
		for r.Base == "" && len(r.copies) > 0 && len(r.copies) < r.MinReplicas {
			if !w.another(row, CauseMinimum, nil) {
				w.findings.Addf(r.Name, "has %d of %d replicas: no more fit", len(r.copies), r.MinReplicas)
				break
			}
		}
	}
}

// spread gives every model a replica in a second data centre.
func (w *work) spread() {
	if w.centres < 2 {
		return
	}
	for _, row := range w.order {
		r := &w.rows[row]
		if r.Base != "" || len(r.copies) == 0 {
			continue
		}
		if r.spans >= 2 {
			continue
		}
		elsewhere := func(rep int) bool { return r.in[w.reps[rep].centre] == 0 }
		if !w.another(row, CauseSpread, elsewhere) {
			w.findings.Addf(r.Name, "is in one data centre only: no replica fits in another")
		}
	}
}

// another adds a replica where memory is free, or in place of extra copies.
func (w *work) another(row int, cause Cause, only func(rep int) bool) bool {
	r := &w.rows[row]
	if rep, ok := w.freest(row, r.MemoryMB, only); ok {
		w.add(rep, row, cause)
		return true
	}
	room, ok := w.cheapest(row, r.MemoryMB, extraCopy, only, anyVictim)
	if ok {
		w.take(room)
		w.add(room.rep, row, cause)
	}
	return ok
}

// firstAdapters reserves every adapter on one replica of its base.
func (w *work) firstAdapters() {
	for _, row := range w.order {
		r := &w.rows[row]
		if r.base < 0 || len(r.copies) > 0 || len(w.rows[r.base].copies) == 0 {
			continue
		}
		onBase := func(rep int) bool { return w.has(rep, r.base) }
		if rep, ok := w.freestOf(w.rows[r.base].copies, row, r.MemoryMB); ok {
			w.add(rep, row, CauseAdapter)
			continue
		}
		notBase := func(v victim) bool { return v.row != r.base }
		if room, ok := w.cheapest(row, r.MemoryMB, secondCopy, onBase, notBase); ok {
			w.sacrifice(room, row)
			w.add(room.rep, row, CauseAdapter)
			continue
		}
		w.adapterRoom(row)
	}
}

// adapterRoom places another replica of the base together with the adapter
// when no replica of the base has room for the adapter.
func (w *work) adapterRoom(row int) {
	r := &w.rows[row]
	base := &w.rows[r.base]
	rep, ok := w.freest(r.base, base.MemoryMB+r.MemoryMB, nil)
	if !ok {
		w.findings.Addf(r.Name, "does not fit (%d MB) beside its base model %q", r.MemoryMB, base.Name)
		return
	}
	w.add(rep, r.base, CauseAdapter)
	w.add(rep, row, CauseAdapter)
}

// extraAdapters reserves adapters on more replicas of their base where memory
// is free: on two, and on as many as their part of the base's demand asks for.
func (w *work) extraAdapters() {
	for _, row := range w.order {
		r := &w.rows[row]
		if r.base < 0 || len(r.copies) == 0 {
			continue
		}
		base := &w.rows[r.base]
		want := min(len(base.copies), max(2, r.MinReplicas, w.hotCopies(r, base)))
		for len(r.copies) < want {
			rep, ok := w.freestOf(base.copies, row, r.MemoryMB)
			if !ok {
				break
			}
			w.add(rep, row, CauseAdapter)
		}
	}
}

// hotCopies returns on how many replicas of its base an adapter's demand runs.
func (w *work) hotCopies(r, base *rowWork) int {
	if w.p.opt.Mode == Static {
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
