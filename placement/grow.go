package placement

import (
	"cmp"
	"slices"
)

// growRounds bounds the rounds of flow and growth in one plan.
const growRounds = 8

// grow adds replicas for demand that the present ones cannot serve, the most
// valuable first, until no addition gains enough.
func (w *work) grow() {
	left := w.p.opt.MaxMoves
	if left == 0 {
		left = max(4, len(w.reps)/100)
	}
	for range growRounds {
		w.flow()
		added := 0
		for _, row := range w.shortRows() {
			for left > 0 && w.growRow(row) {
				added++
				left--
			}
		}
		if added == 0 || left == 0 {
			return
		}
	}
}

// shortRows returns the models with unmet demand, the most valuable first.
func (w *work) shortRows() []int {
	var out []int
	value := make([]float64, len(w.rows))
	for i := range w.rows {
		r := &w.rows[i]
		for k, u := range r.unmet {
			value[i] += rankWorth[k] * r.Weight * u
		}
		if r.Base == "" && len(r.copies) > 0 && value[i] > w.leastGain(i) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(value[b], value[a]), cmp.Compare(w.rows[a].order, w.rows[b].order))
	})
	return out
}

// growRow adds one replica of the row if that gains enough. Free memory is
// used first; then items whose rows stay reachable make room.
func (w *work) growRow(row int) bool {
	r := &w.rows[row]
	best, bestGain := -1, w.leastGain(row)
	for i := range w.reps {
		if rep := &w.reps[i]; !rep.Leaving && rep.free >= r.MemoryMB && !w.has(i, row) {
			if g := w.gain(i, row, nil); g > bestGain {
				best, bestGain = i, g
			}
		}
	}
	if best >= 0 {
		w.grown(best, row)
		return true
	}
	var bestRoom room
	bestNet, found := w.leastGain(row), false
	for i := range w.reps {
		if w.reps[i].Leaving || w.reps[i].CapacityMB < r.MemoryMB || w.has(i, row) || w.gainAtMost(i, row) <= bestNet {
			continue
		}
		room, ok := w.roomOn(i, r.MemoryMB, extraCopy, w.served(i))
		if !ok {
			continue
		}
		margin := 1 + w.p.opt.Margin
		if w.p.opt.Mode == Greedy {
			margin = 1
		}
		if net := w.gain(i, row, room.victims) - room.loss*margin; net > bestNet {
			bestRoom, bestNet, found = room, net, true
		}
	}
	return found && w.swaps < maxSwaps && w.swap(bestRoom, row)
}

// maxSwaps bounds the replacements tried in one plan, because each one
// computes the flow of the whole fleet.
const maxSwaps = 16

// swap replaces the victims by the row if the worth of all demand served grows
// by more than the margin of what the victims lose. The estimates that chose
// the victims ignore that several rows share free slots; without this check
// two rows could replace each other for ever.
func (w *work) swap(r room, row int) bool {
	w.swaps++
	before := w.worth()
	undo := w.checkpoint(r, row)
	w.take(r)
	w.add(r.rep, row, CauseDemand)
	w.flow()
	least := max(w.leastGain(row), w.p.opt.Margin*r.loss)
	if w.p.opt.Mode == Greedy {
		least = w.leastGain(row) / 10
	}
	if w.worth()-before > least {
		return true
	}
	undo()
	w.flow()
	return false
}

// worth returns the worth of all demand that the plan serves.
func (w *work) worth() float64 {
	sum := 0.0
	for i := range w.rows {
		if r := &w.rows[i]; r.base < 0 {
			for k := range r.demand {
				sum += rankWorth[k] * r.Weight * (r.demand[k] - r.unmet[k])
			}
		}
	}
	return sum
}

// checkpoint returns a function that takes back a replacement.
func (w *work) checkpoint(r room, row int) func() {
	rep := &w.reps[r.rep]
	items, free, moves := slices.Clone(rep.items), rep.free, len(w.moves)
	held := map[int]rowWork{}
	save := func(row int) {
		r := w.rows[row]
		r.copies, r.in = slices.Clone(r.copies), slices.Clone(r.in)
		held[row] = r
	}
	save(row)
	for _, v := range r.victims {
		save(v.row)
		for _, a := range w.rows[v.row].adapters {
			save(a)
		}
	}
	return func() {
		rep.items, rep.free, w.moves = items, free, w.moves[:moves]
		for row, r := range held {
			w.rows[row] = r
		}
	}
}

// served allows victims that have been in the plan for the least time.
func (w *work) served(rep int) func(victim) bool {
	return func(v victim) bool {
		for _, it := range w.reps[rep].items {
			if it.row == v.row {
				return w.p.opt.Mode == Greedy || w.now.Sub(it.since) >= w.p.opt.MinServe
			}
		}
		return false
	}
}

// leastGain is the worth of half a slot of the row's least urgent demand.
func (w *work) leastGain(row int) float64 {
	r := &w.rows[row]
	least := 0.0
	for k, d := range r.demand {
		if d > 0 {
			least = rankWorth[k] * r.Weight * slotMargin
		}
	}
	return least
}

// gainAtMost returns the gain if every other item left the replica.
func (w *work) gainAtMost(rep, row int) float64 {
	r, left, sum := &w.rows[row], float64(w.reps[rep].Slots), 0.0
	for k, u := range r.unmet {
		take := min(u, left)
		left -= take
		sum += rankWorth[k] * r.Weight * take
	}
	return sum
}

// gain returns the worth of the unmet demand that the replica could serve
// without the victims.
func (w *work) gain(rep, row int, out []victim) float64 {
	r, target := &w.rows[row], &w.reps[rep]
	sum, used := 0.0, 0.0
	for k, u := range r.unmet {
		spare := target.spare(k) - used
		for _, it := range target.items {
			if slices.ContainsFunc(out, func(v victim) bool { return v.row == it.row }) {
				for _, f := range it.flow[:k+1] {
					spare += f
				}
			}
		}
		take := max(0, min(u, spare))
		used += take
		sum += rankWorth[k] * r.Weight * take
	}
	return sum
}

// grown adds the row and moves unmet demand to the replica.
func (w *work) grown(rep, row int) {
	r := &w.rows[row]
	unmet := r.unmet
	var flow [len(unmet)]float64
	for k, u := range unmet {
		flow[k] = min(u, w.reps[rep].spare(k))
	}
	load := w.reps[rep].load
	w.add(rep, row, CauseDemand)
	items := w.reps[rep].items
	items[len(items)-1].flow = flow
	for k := range unmet {
		load[k] += flow[k]
		r.unmet[k] = unmet[k] - flow[k]
	}
	w.reps[rep].load = load
}
