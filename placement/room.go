package placement

import (
	"cmp"
	"slices"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// class is what the removal of an item sacrifices, cheapest first.
type class uint8

const (
	extraCopy  class = iota // the row keeps its minimum and its second data centre
	secondCopy              // the row stays reachable
	soleCopy                // the row becomes unreachable
)

// classify returns what is lost when the row leaves the replica. A copy that
// cannot serve yet does not make the row reachable.
func (w *work) classify(rep, row int) class {
	r := &w.rows[row]
	others, spans := len(r.copies)-1, r.spans
	if r.in[w.reps[rep].centre] == 1 {
		spans--
	}
	if others == 0 || r.serving == 1 && w.serves(rep, row) {
		return soleCopy
	}
	worst := extraCopy
	if others < max(1, r.MinReplicas) || spans < min(2, w.centres) {
		worst = secondCopy
	}
	for _, a := range r.adapters {
		if w.has(rep, a) {
			worst = max(worst, w.classify(rep, a))
		}
	}
	return worst
}

// victim is an item that may leave a replica.
type victim struct {
	row    int
	class  class
	memory int
	loss   float64 // worth of the demand that no other replica takes over
}

// victims returns the items of the replica up to the given class, cheapest
// first: by class, then the least urgent rank, then loss and weight.
func (w *work) victims(rep int, up class) []victim {
	var out []victim
	for _, it := range w.reps[rep].items {
		if w.p.opt.Mode == Hysteresis && !w.skipMinServe && w.now.Sub(it.since) < w.p.opt.MinServe && !it.since.Equal(w.now) && up != extraCopy {
			continue
		}
		c := w.classify(rep, it.row)
		if c > up {
			continue
		}
		v := victim{row: it.row, class: c, memory: it.memory, loss: w.loss(rep, it)}
		for _, a := range w.rows[it.row].adapters {
			for _, o := range w.reps[rep].items {
				if o.row == a {
					v.memory += o.memory
				}
			}
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b victim) int {
		x, y := &w.rows[a.row], &w.rows[b.row]
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(y.Rank, x.Rank), cmp.Compare(a.loss, b.loss),
			cmp.Compare(x.Weight, y.Weight), cmp.Compare(b.row, a.row))
	})
	return out
}

// loss returns the worth of the demand that the item serves and that the other
// replicas of its row have no free slots for.
func (w *work) loss(rep int, it item) float64 {
	r := &w.rows[it.row]
	sum := 0.0
	for k, f := range it.flow {
		for _, c := range r.copies {
			if c != rep && f > 0 {
				f -= w.reps[c].spare(k)
			}
		}
		sum += rankWorth[k] * r.Weight * max(0, f)
	}
	return sum
}

// room is a set of victims on one replica that frees enough memory.
type room struct {
	rep     int
	victims []victim
	class   class
	rank    fleet.Rank // most urgent rank of a victim
	order   int        // importance of the most important victim
	loss    float64
}

// roomOn returns the cheapest victims on the replica that free need MB.
func (w *work) roomOn(rep, need int, up class, allowed func(victim) bool) (room, bool) {
	r := room{rep: rep, rank: fleet.Patient, order: len(w.rows)}
	free := w.reps[rep].free
	if free < 0 {
		return r, false
	}
	for _, v := range w.victims(rep, up) {
		if free >= need {
			break
		}
		if !allowed(v) || slices.ContainsFunc(r.victims, func(o victim) bool { return w.rows[v.row].base == o.row }) {
			continue
		}
		for _, o := range r.victims { // an adapter that is chosen already counts once
			if w.rows[o.row].base == v.row {
				free -= o.memory
			}
		}
		r.victims = append(r.victims, v)
		r.class = max(r.class, v.class)
		r.rank = min(r.rank, w.rows[v.row].Rank)
		r.order = min(r.order, w.rows[v.row].order)
		r.loss += v.loss
		free += v.memory
	}
	return r, free >= need
}

// take removes the victims.
func (w *work) take(r room) {
	for _, v := range r.victims {
		if w.has(r.rep, v.row) {
			w.remove(r.rep, v.row, CauseRoom)
		}
	}
}

// freest returns the replica with room for need MB that suits the row best: in
// a data centre without the row, then with the fewest busy slots, then with
// the most free memory.
func (w *work) freest(row, need int, only func(rep int) bool) (int, bool) {
	best := -1
	for i := range w.reps {
		if w.freer(i, best, row, need) && (only == nil || only(i)) && !w.has(i, row) {
			best = i
		}
	}
	return best, best >= 0
}

// freestOf is freest over the given replicas.
func (w *work) freestOf(reps []int, row, need int) (int, bool) {
	best := -1
	for _, i := range reps {
		if w.freer(i, best, row, need) && !w.has(i, row) {
			best = i
		}
	}
	return best, best >= 0
}

// freer reports whether the replica has room and suits the row better than
// best, which is -1 if there is none yet.
func (w *work) freer(rep, best, row, need int) bool {
	a := &w.reps[rep]
	if a.Leaving || a.free < need {
		return false
	}
	if best < 0 {
		return true
	}
	b, r := &w.reps[best], &w.rows[row]
	if fresh := r.in[a.centre] == 0; fresh != (r.in[b.centre] == 0) {
		return fresh
	}
	return cmp.Or(cmp.Compare(a.busy(), b.busy()), cmp.Compare(b.free, a.free)) < 0
}

// cheapest returns the cheapest room for the row over all replicas.
func (w *work) cheapest(row, need int, up class, only func(rep int) bool, allowed func(victim) bool) (room, bool) {
	var best room
	found := false
	for i := range w.reps {
		if w.reps[i].Leaving || w.reps[i].CapacityMB < need || only != nil && !only(i) || w.has(i, row) {
			continue
		}
		r, ok := w.roomOn(i, need, up, allowed)
		if !ok {
			continue
		}
		c := cmp.Or(cmp.Compare(r.class, best.class), cmp.Compare(best.rank, r.rank), cmp.Compare(r.loss, best.loss),
			cmp.Compare(len(r.victims), len(best.victims)), cmp.Compare(best.order, r.order))
		if !found || c < 0 {
			best, found = r, true
		}
	}
	return best, found
}
