package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// poolView is a snapshot of where a service's models are and how loaded its
// replicas are. Plan updates it with each move that it starts.
type poolView struct {
	poolTraits
	state    *State
	now      time.Time
	engine   *catalog.Engine
	replicas []*replicaView // usable replicas, sorted by id
	// copies lists the replicas that hold a model or will hold it, by model.
	copies     map[string][]*replicaView
	heldCopies map[string]int
	// adapters is the set of adapters that any replica holds or has a request
	// for, as MODEL/ADAPTER.
	adapters map[string]bool
	// unplacedAdapters counts, by model, the adapters that recently found no free
	// slot, and adaptersInUse the adapters in use on any replica.
	unplacedAdapters, adaptersInUse map[string]int
}

// replicaView is one replica in a poolView.
type replicaView struct {
	id      string
	replica *replica
	// models are those that the replica holds or will hold, without those that
	// are being unloaded or are about to be.
	models      []string
	loadByModel map[string]float64 // utilization by model
	load        float64            // sum of loadByModel
	freeMB      float64            // memory available for another model
	// freeAdapterSlots counts the slots that hold no adapter in use.
	freeAdapterSlots int
	// evictionCandidates caches the result of evictionCandidatesOn. It is nil
	// until computed.
	evictionCandidates []evictionCandidate
}

// newPoolView returns the current view of a service's replicas.
func (s *State) newPoolView(now time.Time, service *catalog.Service) *poolView {
	view := &poolView{
		state: s, now: now, engine: service.Engine,
		copies: make(map[string][]*replicaView), heldCopies: make(map[string]int), adapters: make(map[string]bool), unplacedAdapters: make(map[string]int), adaptersInUse: make(map[string]int),
	}
	for id, r := range s.replicas {
		if r.info.Service == service.Name && !r.info.Leaving && !r.unreachable {
			view.addReplica(id, r)
		}
	}
	view.poolTraits = newPoolTraits(s.config, service.Engine, len(view.replicas))
	slices.SortFunc(view.replicas, func(a, b *replicaView) int { return cmp.Compare(a.id, b.id) })
	for key := range s.unplacedAdapters {
		model, _, _ := strings.Cut(key, "/")
		view.unplacedAdapters[model]++
	}
	view.distributeWork()
	return view
}

func (view *poolView) addReplica(id string, r *replica) {
	rv := &replicaView{id: id, replica: r, loadByModel: make(map[string]float64), freeMB: view.engine.WeightsMB - view.state.usedMB(r, view.engine)}
	view.replicas = append(view.replicas, rv)
	for _, name := range r.models() {
		switch {
		case r.isEvicting(name):
			rv.freeMB += view.weightsMB(name)
		case r.loading != name:
			view.heldCopies[name]++
			view.addCopy(rv, name)
		}
	}
	if incoming := r.incomingModel(view.now); incoming != "" {
		if r.loading != incoming {
			rv.freeMB -= view.weightsMB(incoming)
		}
		view.addCopy(rv, incoming)
	}
	rv.freeAdapterSlots = view.engine.AdapterSlots
	for key, a := range r.adapters {
		view.adapters[key] = true
		if a.inUse(view.now) {
			model, _, _ := strings.Cut(key, "/")
			view.adaptersInUse[model]++
			rv.freeAdapterSlots--
		}
	}
	for _, req := range r.adapterRequests {
		view.adapters[req.model+"/"+req.adapter] = true
	}
}

// weightsMB returns the size of a model's weights, or 0 if the model is not
// declared.
func (view *poolView) weightsMB(model string) float64 {
	if declared := view.engine.Model(model); declared != nil {
		return declared.WeightsMB
	}
	return 0
}

// addCopy records that a replica holds a model or will hold it.
func (view *poolView) addCopy(rv *replicaView, model string) {
	if !slices.Contains(rv.models, model) {
		rv.models = append(rv.models, model)
		view.copies[model] = append(view.copies[model], rv)
	}
}

// removeCopy records that a replica no longer holds a model.
func (view *poolView) removeCopy(rv *replicaView, model string) {
	isModel := func(name string) bool { return name == model }
	rv.models = slices.DeleteFunc(rv.models, isModel)
	view.copies[model] = slices.DeleteFunc(view.copies[model], func(other *replicaView) bool { return other == rv })
	view.heldCopies[model]--
}

// applyMove updates the view with a move that has been started.
func (view *poolView) applyMove(rv *replicaView, m *move) {
	for _, v := range m.evictions {
		view.removeCopy(rv, v)
		rv.freeMB += view.weightsMB(v)
	}
	view.addCopy(rv, m.model.Name)
	rv.freeMB -= m.model.WeightsMB
	view.distributeWork()
	for _, other := range view.replicas {
		other.evictionCandidates = nil
	}
}

// unplacedShare estimates the share of a model's adapter requests that would
// find no slot if there were extraSlots more. It compares the adapters that
// found no slot with those in use.
func (view *poolView) unplacedShare(model string, extraSlots int) float64 {
	unplaced := view.unplacedAdapters[model]
	if unplaced <= extraSlots {
		return 0
	}
	return float64(unplaced-extraSlots) / float64(unplaced+view.adaptersInUse[model])
}

// copyCounts returns the number of replicas that hold a model, and the number
// that will hold it.
func (view *poolView) copyCounts(model string) (held, incoming int) {
	return view.heldCopies[model], len(view.copies[model]) - view.heldCopies[model]
}
