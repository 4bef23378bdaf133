package placement

import (
	"slices"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// maxDistributionRounds limits the rounds in which the demand of a rank is
// distributed. More rounds changed the served share by less than 1%.
const maxDistributionRounds = 4

// rankValue is the value of one slot of demand served, per rank.
var rankValue = [fleet.RankCount]float64{100, 10, 1}

// distributeDemand estimates how the demand of every model is distributed over
// its replicas. More urgent ranks get slots first, because engines schedule by
// priority. Within a rank a model's demand goes to replicas in proportion to
// their free slots.
func (w *workingPlan) distributeDemand() {
	for i := range w.rows {
		w.rows[i].unmet = w.rows[i].demand
		slices.Sort(w.rows[i].copies)
	}
	for i := range w.reps {
		w.reps[i].load = [fleet.RankCount]float64{}
		for j := range w.reps[i].items {
			w.reps[i].items[j].assignedSlots = [fleet.RankCount]float64{}
		}
	}
	weights := make([]float64, len(w.rows))
	for k := range fleet.RankCount {
		for range maxDistributionRounds {
			clear(weights)
			if !w.distributeRound(k, weights) {
				break
			}
		}
	}
}

// distributeRound assigns unmet demand of one rank in proportion to free slots
// and reports whether any was assigned. weights must be zero for every row.
func (w *workingPlan) distributeRound(k int, weights []float64) bool {
	for i := range w.reps {
		spare := w.reps[i].spareSlots(k)
		for _, it := range w.reps[i].items {
			weights[it.row] += spare
		}
	}
	assignedAny := false
	for i := range w.reps {
		rep := &w.reps[i]
		spare, sum := rep.spareSlots(k), 0.0
		if spare <= 0 {
			continue
		}
		for _, it := range rep.items {
			if r := &w.rows[it.row]; r.baseIndex < 0 {
				sum += r.unmet[k] * spare / weights[it.row]
			}
		}
		if sum <= 0 {
			continue
		}
		part := min(1, spare/sum) * spare
		for j := range rep.items {
			it := &rep.items[j]
			if r := &w.rows[it.row]; r.baseIndex < 0 && r.unmet[k] > 0 {
				slots := r.unmet[k] / weights[it.row] * part
				it.assignedSlots[k] += slots
				rep.load[k] += slots
				assignedAny = true
			}
		}
	}
	w.recomputeUnmet(k)
	return assignedAny
}

// recomputeUnmet recomputes the unmet demand of a rank from the assigned slots.
func (w *workingPlan) recomputeUnmet(k int) {
	for i := range w.rows {
		w.rows[i].unmet[k] = w.rows[i].demand[k]
	}
	for i := range w.reps {
		for _, it := range w.reps[i].items {
			if r := &w.rows[it.row]; r.baseIndex < 0 {
				r.unmet[k] = max(0, r.unmet[k]-it.assignedSlots[k])
				if r.unmet[k] < 1e-6 {
					r.unmet[k] = 0
				}
			}
		}
	}
}

// spareSlots returns the slots that are not used by the load of rank k and of
// more urgent ranks. It is 0 for a leaving replica.
func (r *replicaState) spareSlots(k int) float64 {
	if r.Leaving {
		return 0
	}
	s := float64(r.Slots)
	for _, l := range r.load[:k+1] {
		s -= l
	}
	return max(0, s)
}

// busyShare returns the share of the replica's slots in use, or 1 without slots.
func (r *replicaState) busyShare() float64 {
	if r.Slots == 0 {
		return 1
	}
	sum := 0.0
	for _, l := range r.load {
		sum += l
	}
	return sum / float64(r.Slots)
}
