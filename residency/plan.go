package residency

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// minStoreLoads is the lower bound of maxStoreLoads, whatever the rate of
	// the weight store.
	minStoreLoads = 6
	// evictionNotice is the time between the decision to unload a recently
	// requested model and the order. Instances are notified four times a second.
	evictionNotice = 300 * time.Millisecond
	// moveTimeout is the time after which a move is abandoned if its load has
	// not begun. Its unloads wait up to maxDrainTime for running requests.
	moveTimeout = 10 * time.Second
)

// Plan returns the orders that are due now, at most one per replica, the reports
// to request, and the results of adapter requests that have ended.
func (s *State) Plan(now time.Time) []Action {
	s.decayDemand(now)
	var actions []Action
	for id, r := range s.replicas {
		actions = append(actions, s.checkReplica(now, id, r)...)
	}
	if s.config == nil {
		return actions
	}
	for _, service := range s.config.Services {
		if service.Engine != nil {
			view := s.newPoolView(now, service)
			s.updateMissingSince(now, view)
			actions = append(actions, s.prefetch(now, view, s.requestedAdapters)...)
			actions = append(actions, s.planMoves(now, view)...)
			actions = append(actions, s.prefetch(now, view, s.adaptersForFreeSlots)...)
		}
	}
	return actions
}

// updateMissingSince records when each model was first found without a copy.
func (s *State) updateMissingSince(now time.Time, view *poolView) {
	for i := range view.engine.Models {
		name := view.engine.Models[i].Name
		if _, known := s.missingSince[name]; len(view.copies[name]) > 0 {
			delete(s.missingSince, name)
		} else if !known {
			s.missingSince[name] = now
		}
	}
}

// timeWithoutCopy returns the time for which a model has had no copy.
func (s *State) timeWithoutCopy(now time.Time, model string) time.Duration {
	if since, ok := s.missingSince[model]; ok {
		return now.Sub(since)
	}
	return 0
}

// checkReplica requests a report from a replica whose state is uncertain or
// whose load or unload is overdue. Otherwise it continues with its adapter
// requests.
func (s *State) checkReplica(now time.Time, id string, r *replica) []Action {
	if now.Before(r.retryAt) || r.pendingOrder != nil {
		return nil
	}
	overdue := (r.loading != "" && now.After(r.loadOverdueAt)) || (r.unloading != "" && now.After(r.unloadOverdueAt))
	if (!r.ordersKnown || overdue) && !r.backsOff(now) {
		r.loadOverdueAt, r.unloadOverdueAt = now.Add(unloadCheckDelay), now.Add(unloadCheckDelay)
		return s.requestReport(now, id, r)
	}
	return s.nextAdapterOrder(now, id, r)
}

// planMoves continues the moves in progress, and starts new ones for the needed
// copies with the highest gain first.
func (s *State) planMoves(now time.Time, view *poolView) []Action {
	var actions []Action
	for _, rv := range view.replicas {
		actions = append(actions, s.nextMoveOrder(now, view.engine, rv.id, rv.replica)...)
	}
	for range view.replicas {
		orders, started := s.startBestMove(now, view)
		actions = append(actions, orders...)
		if !started {
			break
		}
	}
	return actions
}

// storeLoadsInProgress returns the number of loads from the weight store that
// are in progress.
func (view *poolView) storeLoadsInProgress() int {
	n := 0
	for _, rv := range view.replicas {
		if rv.replica.loading != "" && rv.replica.loadFromStore {
			n++
		}
	}
	return n
}

// startBestMove starts the best move for the first needed copy that has one. It
// returns false if none has.
func (s *State) startBestMove(now time.Time, view *poolView) ([]Action, bool) {
	for _, n := range s.neededCopies(view) {
		o := s.bestMove(view, n, s.canStartStoreLoad(now, view))
		if o == nil {
			continue
		}
		rv := o.target
		rv.replica.move = &move{model: n.model, evictions: o.evictions, unloadNotBefore: now, deadline: now.Add(moveTimeout), reason: n.reason}
		if slices.ContainsFunc(o.evictions, func(v string) bool { return s.demand[v].requestedWithin(now, recentDemandWindow) }) {
			rv.replica.move.unloadNotBefore = now.Add(evictionNotice)
		}
		view.applyMove(rv, rv.replica.move)
		return s.nextMoveOrder(now, view.engine, rv.id, rv.replica), true
	}
	return nil, false
}

// canStartStoreLoad reports whether one more load from the weight store may
// begin.
func (s *State) canStartStoreLoad(now time.Time, view *poolView) bool {
	return view.storeLoadsInProgress() < view.maxStoreLoads() && s.storeLoadBucket.hasToken(now, view.engine.LoadsPerSecond, s.limits)
}

// nextMoveOrder returns the next order of the replica's move: an unload that
// makes room, or the load. It returns nothing while the move has to wait.
func (s *State) nextMoveOrder(now time.Time, e *catalog.Engine, id string, r *replica) []Action {
	if r.backsOff(now) {
		r.move = nil // another replica can be chosen for the copy
	}
	m := r.move
	if m == nil || !r.canReceiveOrder(now) || r.isChangingModel() {
		return nil
	}
	m.evictions = slices.DeleteFunc(m.evictions, func(v string) bool { return !r.holds(v) })
	order := &Order{Replica: id, Address: r.info.Address, Operation: Load, Model: m.model.Name, ExpectedOrders: r.acceptedOrders, Reason: m.reason}
	switch {
	case now.After(m.deadline) || r.holds(m.model.Name):
		r.move = nil
		return nil
	case len(m.evictions) > 0 && (now.Before(m.unloadNotBefore) || (r.runningRequests[m.evictions[0]] > 0 && now.Before(m.unloadNotBefore.Add(maxDrainTime)))):
		return nil
	case len(m.evictions) > 0:
		order.Operation, order.Model = Unload, m.evictions[0]
		order.Reason = "room for " + m.model.Name
	case s.usedMB(r, e)+m.model.WeightsMB > e.WeightsMB:
		r.move = nil
		return nil
	default:
		order.FromStore = !r.hasLocalWeights(m.model.Name)
		if order.FromStore && !s.storeLoadBucket.takeToken(now, e.LoadsPerSecond, s.limits) {
			return nil
		}
		r.move = nil
	}
	r.pendingOrder = order
	return []Action{{Order: order}}
}

// maxStoreLoads returns the maximum number of concurrent loads from the weight
// store: as many as begin at its rate during the mean load time, and at a slow store
// at most maxStoreLoadShare of the replicas.
func (view *poolView) maxStoreLoads() int {
	e := view.engine
	var sum time.Duration
	for i := range e.Models {
		sum += e.Models[i].StoreLoadTime
	}
	if len(e.Models) == 0 {
		return minStoreLoads
	}
	mean := sum.Seconds() / float64(len(e.Models))
	loads := max(minStoreLoads, int(e.LoadsPerSecond*mean))
	if view.slowStore {
		loads = min(loads, max(1, int(maxStoreLoadShare*float64(len(view.replicas)))))
	}
	return loads
}
