package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/rendezvous"
)

const (
	// reservedAdapterSlots is the number of adapter slots that
	// adaptersForFreeSlots leaves free for requests.
	reservedAdapterSlots = 1
	// maxPrefetchPerPlan is the maximum number of adapters that a replica prefetches
	// per plan.
	maxPrefetchPerPlan = 2
	// requestedAdapterDemand is the demand above which an adapter that no
	// replica holds is prefetched. One request keeps the decaying count above
	// it for about ten seconds.
	requestedAdapterDemand = 0.5
	// minPrefetchUtilization is the mean utilization of a model's copies above
	// which its adapters are prefetched into free slots.
	minPrefetchUtilization = 0.02
)

// prefetch loads adapters ahead of requests. Plan calls it with
// requestedAdapters before it moves models, as a replica loads no adapters
// during a move, and with adaptersForFreeSlots afterwards.
func (s *State) prefetch(now time.Time, view *poolView, choose func(*poolView, *replicaView) []adapterCandidate) []Action {
	var actions []Action
	for _, rv := range view.replicas {
		if !rv.replica.idle(now) {
			continue
		}
		next := choose(view, rv)
		for _, a := range next[:min(maxPrefetchPerPlan, len(next))] {
			rv.replica.adapterRequests = append(rv.replica.adapterRequests, adapterRequest{model: a.model, adapter: a.name, deadline: now.Add(adapterRequestTimeout)})
			view.adapters[a.model+"/"+a.name] = true
		}
		actions = append(actions, s.nextAdapterOrder(now, rv.id, rv.replica)...)
	}
	return actions
}

// requestedAdapters returns the adapters of a replica's models that were
// requested recently and that no replica holds, highest demand first. An adapter
// that is not in use may be evicted for them.
func (s *State) requestedAdapters(view *poolView, rv *replicaView) []adapterCandidate {
	var out []adapterCandidate
	for _, m := range rv.replica.info.Models {
		declared := view.engine.Model(m.Name)
		if declared == nil || rv.replica.isEvicting(m.Name) {
			continue
		}
		for _, name := range declared.Adapters {
			key := m.Name + "/" + name
			if demand := s.adapterDemand[key]; demand >= requestedAdapterDemand && !view.adapters[key] {
				out = append(out, adapterCandidate{model: m.Name, name: name, demand: demand})
			}
		}
	}
	slices.SortFunc(out, func(a, b adapterCandidate) int { return cmp.Compare(b.demand, a.demand) })
	return out
}

type adapterCandidate struct {
	model, name string
	demand      float64
	hashScore   uint64
}

// adaptersForFreeSlots returns the adapters to load into a replica's free
// slots. Replicas rank adapters of equal demand differently, so that together
// they cover all of them.
func (s *State) adaptersForFreeSlots(view *poolView, rv *replicaView) []adapterCandidate {
	freeSlots := view.engine.AdapterSlots - reservedAdapterSlots - len(rv.replica.adapters)
	if freeSlots <= 0 {
		return nil
	}
	var out []adapterCandidate
	hash := rendezvous.Hash(rv.id)
	for _, m := range rv.replica.info.Models {
		declared := view.engine.Model(m.Name)
		if declared == nil || rv.replica.isEvicting(m.Name) || s.demand[m.Name].utilization()/float64(max(1, view.heldCopies[m.Name])) < minPrefetchUtilization {
			continue
		}
		for _, name := range declared.Adapters {
			key := m.Name + "/" + name
			if rv.replica.adapters[key] == nil {
				out = append(out, adapterCandidate{m.Name, name, s.adapterDemand[key], rendezvous.Score(rendezvous.Hash(key), hash)})
			}
		}
	}
	slices.SortFunc(out, func(a, b adapterCandidate) int {
		return cmp.Or(cmp.Compare(min(b.demand, 1), min(a.demand, 1)), cmp.Compare(b.hashScore, a.hashScore))
	})
	return out[:min(freeSlots, len(out))]
}
