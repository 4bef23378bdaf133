package residency

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// maxConcurrentAdapterLoads limits the adapters that one replica loads at once.
	maxConcurrentAdapterLoads = 4
	// adapterInUseWindow is the time for which an adapter counts as in use
	// after an instance last reported that it uses the adapter. Instances
	// report four times a second.
	adapterInUseWindow = 700 * time.Millisecond
	// prefetchEvictionFactor is the factor by which the demand for an adapter
	// must exceed the demand for another one whose only copy it evicts. It does
	// not apply to a waiting request whose adapter is on no other replica.
	prefetchEvictionFactor = 2
	// loadTimeMargin is added to the declared load time. Loads take longer
	// while many run.
	loadTimeMargin = 3 * time.Second
	// unloadCheckDelay is the time after which the replica is asked for a
	// report if an unload has not shown in the list.
	unloadCheckDelay = 3 * time.Second
)

// canReceiveOrder reports whether an order can be sent to the replica now.
func (r *replica) canReceiveOrder(now time.Time) bool {
	return r.ordersKnown && r.pendingOrder == nil && !r.reportPending && !now.Before(r.retryAt) && !r.backsOff(now)
}

func (r *replica) backsOff(now time.Time) bool { return now.Before(r.backoffUntil) }

// ModelChanges returns the replicas that load or unload a model, with the expected
// time until they finish. They accept no other order until then.
func (s *State) ModelChanges(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for id, r := range s.replicas {
		switch {
		case r.loading != "" && r.loading != unknownModel:
			out[id] = max(0, r.loadDue.Sub(now))
		case r.isChangingModel():
			out[id] = unloadCheckDelay
		}
	}
	return out
}

// UnloadingModels returns the models that are being unloaded or are about to be, by
// replica.
func (s *State) UnloadingModels() map[string][]string {
	out := make(map[string][]string)
	for id, r := range s.replicas {
		for _, model := range r.models() {
			if r.isEvicting(model) {
				out[id] = append(out[id], model)
			}
		}
	}
	return out
}

// FullReplicas returns the replicas whose adapter slots are all taken by adapters in
// use, with these adapters as MODEL/ADAPTER.
func (s *State) FullReplicas(now time.Time) map[string][]string {
	out := make(map[string][]string)
	for id, r := range s.replicas {
		e := s.engine(r.info.Service)
		if e != nil && e.AdapterSlots > 0 && len(r.adapters) >= e.AdapterSlots && !r.hasIdleAdapter(now) {
			out[id] = slices.Sorted(maps.Keys(r.adapters))
		}
	}
	return out
}

// isChangingModel reports whether a load or unload of a model is in progress.
func (r *replica) isChangingModel() bool { return r.loading != "" || r.unloading != "" }

// idle reports whether a replica can begin a move or prefetch adapters: it can
// receive an order, no move is planned or in progress, and no adapter is
// requested.
func (r *replica) idle(now time.Time) bool {
	return r.canReceiveOrder(now) && !r.isChangingModel() && r.move == nil && len(r.adapterRequests) == 0
}

// RequestAdapter requests an adapter on a replica that holds its model.
func (s *State) RequestAdapter(now time.Time, id, model, name string) []Action {
	r, ok := s.replicas[id]
	if !ok || !r.holds(model) || r.info.Leaving {
		return []Action{{AdapterResult: &AdapterResult{Replica: id, Model: model, Adapter: name, Reason: "replica lacks the model"}}}
	}
	if a := r.adapters[model+"/"+name]; a != nil {
		a.lastUsed = now
		return []Action{{AdapterResult: &AdapterResult{Replica: id, Model: model, Adapter: name, OK: true}, Delay: max(0, a.readyAt.Sub(now))}}
	}
	for i, req := range r.adapterRequests {
		if req.model == model && req.adapter == name {
			r.adapterRequests[i].forRequest = true
			return nil // the result of the first request answers all
		}
	}
	r.adapterRequests = append(r.adapterRequests, adapterRequest{model: model, adapter: name, deadline: now.Add(adapterRequestTimeout), forRequest: true})
	return s.nextAdapterOrder(now, id, r)
}

// MarkAdapterUsed records that an adapter is in use, which protects it from
// eviction.
func (s *State) MarkAdapterUsed(now time.Time, id, model, name string) {
	if r, ok := s.replicas[id]; ok {
		if a := r.adapters[model+"/"+name]; a != nil {
			a.lastUsed = now
		}
	}
}

// nextAdapterOrder returns the replica's next adapter order, and the results of
// adapter requests that are fulfilled or have failed.
func (s *State) nextAdapterOrder(now time.Time, id string, r *replica) []Action {
	var actions []Action
	for len(r.adapterRequests) > 0 {
		req := r.adapterRequests[0]
		switch {
		case now.After(req.deadline):
			actions = append(actions, r.finishAdapterRequest(id, "no adapter in time", 0))
			continue
		case r.adapters[req.model+"/"+req.adapter] != nil:
			remaining := r.adapters[req.model+"/"+req.adapter].readyAt.Sub(now)
			actions = append(actions, r.finishAdapterRequest(id, "", max(0, remaining)))
			continue
		case r.isChangingModel():
			actions = append(actions, r.finishAdapterRequest(id, "replica is loading a model", 0))
			continue
		case r.backsOff(now):
			actions = append(actions, r.finishAdapterRequest(id, "replica backs off", 0))
			continue
		case !r.ordersKnown:
			return append(actions, s.requestReport(now, id, r)...)
		case !r.canReceiveOrder(now):
			return actions
		}
		order := s.newAdapterOrder(now, id, r, req)
		if order == nil {
			s.unplacedAdapters[req.model+"/"+req.adapter] = now
			return append(actions, r.finishAdapterRequest(id, "no place for the adapter", 0))
		}
		r.pendingOrder = order
		return append(actions, Action{Order: order})
	}
	return actions
}

// finishAdapterRequest removes the replica's first adapter request and returns
// its result, to be delivered after delay. An empty reason means success.
func (r *replica) finishAdapterRequest(id, reason string, delay time.Duration) Action {
	req := r.adapterRequests[0]
	r.adapterRequests = r.adapterRequests[1:]
	result := &AdapterResult{Replica: id, Model: req.model, Adapter: req.adapter, OK: reason == "", Reason: reason}
	return Action{AdapterResult: result, Delay: delay}
}

// newAdapterOrder returns the order to load an adapter, or to unload another one
// first if the adapter does not fit or too many are being loaded. It returns nil
// if no adapter can be evicted.
func (s *State) newAdapterOrder(now time.Time, id string, r *replica, req adapterRequest) *Order {
	e := s.engine(r.info.Service)
	if e == nil {
		return nil
	}
	order := &Order{
		Replica: id, Address: r.info.Address, Operation: Load, Model: req.model, Adapter: req.adapter,
		ExpectedOrders: r.acceptedOrders, Reason: "adapter wanted",
	}
	fits := s.usedMB(r, e)+s.adapterMB(r, req.model) <= e.WeightsMB
	if len(r.adapters) < e.AdapterSlots && fits && r.loadingAdapterCount(now) < maxConcurrentAdapterLoads {
		return order
	}
	evicted := s.adapterToEvict(now, r, req)
	if evicted == "" {
		return nil
	}
	order.Operation = Unload
	order.Model, order.Adapter, _ = strings.Cut(evicted, "/")
	order.Reason = "place for another adapter"
	return order
}

func (r *replica) loadingAdapterCount(now time.Time) int {
	n := 0
	for _, a := range r.adapters {
		if now.Before(a.readyAt) {
			n++
		}
	}
	return n
}

// inUse reports whether requests use the adapter.
func (a *adapter) inUse(now time.Time) bool { return now.Sub(a.lastUsed) <= adapterInUseWindow }

func (r *replica) hasIdleAdapter(now time.Time) bool {
	for _, a := range r.adapters {
		if !a.inUse(now) {
			return true
		}
	}
	return false
}

// adapterToEvict returns the adapter to unload for an adapter request, or "" if
// there is none. Adapters in use are never evicted. Those with a copy on
// another replica come first, then those with the least demand. The only copy
// of an adapter in demand is evicted only for a waiting request whose adapter
// is on no other replica, or for an adapter in much higher demand: otherwise
// replicas would evict each other's adapters endlessly.
func (s *State) adapterToEvict(now time.Time, r *replica, req adapterRequest) string {
	candidate, hasOtherCopy := "", false
	for _, key := range slices.Sorted(maps.Keys(r.adapters)) {
		if r.adapters[key].inUse(now) {
			continue
		}
		elsewhere := s.heldElsewhere(r, key)
		if candidate == "" || (elsewhere && !hasOtherCopy) || (elsewhere == hasOtherCopy && s.hasLessDemand(r, key, candidate)) {
			candidate, hasOtherCopy = key, elsewhere
		}
	}
	if candidate == "" || hasOtherCopy || s.adapterDemand[candidate] < requestedAdapterDemand {
		return candidate
	}
	key := req.model + "/" + req.adapter
	isUnavailable := req.forRequest && !s.heldElsewhere(r, key)
	if isUnavailable || s.adapterDemand[candidate]*prefetchEvictionFactor < s.adapterDemand[key] {
		return candidate
	}
	return ""
}

// hasLessDemand reports whether an adapter of the replica is in less demand
// than another one, or in equal demand and used less recently.
func (s *State) hasLessDemand(r *replica, key, other string) bool {
	c := cmp.Compare(s.adapterDemand[key], s.adapterDemand[other])
	return cmp.Or(c, r.adapters[key].lastUsed.Compare(r.adapters[other].lastUsed)) < 0
}

// heldElsewhere reports whether another replica, which is reachable and not
// leaving, holds the adapter.
func (s *State) heldElsewhere(r *replica, key string) bool {
	for _, other := range s.replicas {
		if other != r && !other.info.Leaving && !other.unreachable && other.adapters[key] != nil {
			return true
		}
	}
	return false
}

// usedMB returns the memory that models and adapters occupy, including loads
// that are in progress.
func (s *State) usedMB(r *replica, e *catalog.Engine) float64 {
	used := 0.0
	for _, name := range r.models() {
		if declared := e.Model(name); declared != nil {
			used += declared.WeightsMB
		} else {
			return e.WeightsMB // the size of an undeclared model is unknown, so the memory counts as full
		}
	}
	if r.loading != "" && !r.holds(r.loading) {
		if m := e.Model(r.loading); m != nil {
			used += m.WeightsMB
		}
	}
	for _, a := range r.adapters {
		used += a.sizeMB
	}
	return used
}

// HandleOutcome records the outcome of an order and returns the follow-up actions.
func (s *State) HandleOutcome(now time.Time, order *Order, outcome Outcome) []Action {
	r, ok := s.replicas[order.Replica]
	if !ok || r.pendingOrder != order {
		return nil
	}
	r.pendingOrder, r.unanswered = nil, nil
	switch outcome {
	case Accepted:
		r.acceptedOrders++
		s.applyOrder(now, r, order, outcome)
	case AlreadyApplied:
		if order.Operation == Unload && order.Adapter != "" {
			r.acceptedOrders++ // the replica has unloaded an unused adapter immediately
			s.applyOrder(now, r, order, outcome)
			break
		}
		// The replica's state differs from the one recorded here.
		return s.markUncertain(now, r, order)
	case Unsent, Rejected:
		r.retryAt = now.Add(retryDelay)
		return append(r.failAdapterRequest(order), s.nextAdapterOrder(now, order.Replica, r)...)
	case Busy, Fenced, OtherReplica, Unknown:
		return s.markUncertain(now, r, order)
	}
	return s.nextAdapterOrder(now, order.Replica, r)
}

// markUncertain requests a report from the replica before its next order. Until
// the report arrives, memory is reserved for a model load that may still take
// place.
func (s *State) markUncertain(now time.Time, r *replica, order *Order) []Action {
	r.ordersKnown = false
	if order.Operation == Load && order.Adapter == "" {
		r.loading, r.loadOverdueAt, r.unanswered = order.Model, now.Add(loadTimeMargin), order
	}
	r.lastUpdate = now
	return append(r.failAdapterRequest(order), s.requestReport(now, order.Replica, r)...)
}

// failAdapterRequest removes the request for the order's adapter and returns
// its failure.
func (r *replica) failAdapterRequest(order *Order) []Action {
	i := slices.IndexFunc(r.adapterRequests, func(req adapterRequest) bool { return req.model == order.Model && req.adapter == order.Adapter })
	if i < 0 {
		return nil
	}
	req := r.adapterRequests[i]
	r.adapterRequests = slices.Delete(r.adapterRequests, i, i+1)
	return []Action{{AdapterResult: &AdapterResult{Replica: order.Replica, Model: req.model, Adapter: req.adapter, Reason: "order not carried out"}}}
}

// applyOrder records the effect of an accepted order.
func (s *State) applyOrder(now time.Time, r *replica, order *Order, outcome Outcome) {
	r.lastUpdate = now
	key := order.Model + "/" + order.Adapter
	switch {
	case order.Adapter != "" && order.Operation == Load:
		mb := s.adapterMB(r, order.Model)
		ready := now.Add(adapterLoadBase + time.Duration(mb*float64(adapterLoadPerMB)))
		r.adapters[key] = &adapter{readyAt: ready, lastUsed: now, sizeMB: mb}
	case order.Adapter != "" && outcome == Accepted:
		// The adapter stays loaded until the requests that use it end, which
		// only a report shows.
		r.ordersKnown = false
	case order.Adapter != "":
		delete(r.adapters, key)
	case order.Operation == Load:
		loadTime := s.loadTime(r, order.Model)
		r.loadFromStore = order.FromStore
		r.loading, r.loadDue, r.loadOverdueAt = order.Model, now.Add(loadTime), now.Add(loadTime+loadTimeMargin)
	default:
		r.unloading, r.unloadOverdueAt = order.Model, now.Add(unloadCheckDelay)
		r.reportedModels = slices.DeleteFunc(r.reportedModels, func(m catalog.LoadedModel) bool { return m.Name == order.Model })
	}
}

// loadTime returns the declared load time of a model, which depends on where
// the replica has the weights.
func (s *State) loadTime(r *replica, model string) time.Duration {
	e := s.engine(r.info.Service)
	if e == nil || e.Model(model) == nil {
		return 0
	}
	m := e.Model(model)
	switch {
	case slices.Contains(r.info.InMemory, model) && m.MemoryLoadTime > 0:
		return m.MemoryLoadTime
	case slices.Contains(r.info.OnDisk, model) && m.DiskLoadTime > 0:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}

// ModelArrivals returns the time until the first incoming copy of a model is ready,
// for models that are being loaded or have a planned move.
func (s *State) ModelArrivals(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, r := range s.replicas {
		model, in := "", time.Duration(0)
		switch {
		case r.loading != "" && r.loading != unknownModel:
			model, in = r.loading, max(0, r.loadDue.Sub(now))
		case r.move != nil && !now.After(r.move.deadline):
			model = r.move.model.Name
			in = s.loadTime(r, model)
			if len(r.move.evictions) > 0 {
				in += evictionNotice
			}
		default:
			continue
		}
		if other, ok := out[model]; !ok || in < other {
			out[model] = in
		}
	}
	return out
}
