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
	// maxComing is the number of adapters that a replica takes at the same time.
	maxComing = 4
	// adapterRecent is the time for which an adapter counts as in use after it
	// was seen in use: instances tell what they use four times a second.
	adapterRecent = 700 * time.Millisecond
	// adapterPriority is how many times as much an adapter must be asked for as one
	// that gives way to it ahead of a request.
	adapterPriority = 2
	// loadMargin is added to the declared time of a load: it takes longer while
	// many loads run.
	loadMargin = 3 * time.Second
	// unloadPatience is the time after which an unload is checked by a report.
	unloadPatience = 3 * time.Second
)

// free reports whether a replica can get an order now.
func (r *replica) free(now time.Time) bool {
	return r.known && r.sent == nil && !r.asked && !now.Before(r.retryAt)
}

// Moving returns the replicas that load or unload a model, with the time until
// that is probably done. They take no other order before.
func (s *State) Moving(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for id, r := range s.replicas {
		switch {
		case r.loading != "" && r.loading != unknownModel:
			out[id] = max(0, r.due.Sub(now))
		case r.moving():
			out[id] = unloadPatience
		}
	}
	return out
}

// Dropping returns the models that are being unloaded or will be, by replica.
func (s *State) Dropping() map[string][]string {
	out := make(map[string][]string)
	for id, r := range s.replicas {
		for _, model := range r.models() {
			if r.givesWay(model) {
				out[id] = append(out[id], model)
			}
		}
	}
	return out
}

// Full returns the adapters of the replicas whose places are all taken by adapters
// in use, by replica, as MODEL/ADAPTER.
func (s *State) Full(now time.Time) map[string][]string {
	out := make(map[string][]string)
	for id, r := range s.replicas {
		e := s.engine(r.info.Service)
		if e != nil && e.AdapterSlots > 0 && len(r.adapters) >= e.AdapterSlots && !r.hasIdleAdapter(now) {
			out[id] = slices.Sorted(maps.Keys(r.adapters))
		}
	}
	return out
}

// moving reports whether a load or unload of a model is in progress.
func (r *replica) moving() bool { return r.loading != "" || r.dropping != "" }

// idle reports whether a replica can begin a move or load adapters ahead of use:
// nothing is in progress there, and no adapter is asked for.
func (r *replica) idle(now time.Time) bool {
	return r.free(now) && !r.moving() && r.move == nil && len(r.wishes) == 0
}

// advance sends the next adapter order of a replica, if there is one.
func (s *State) advance(now time.Time, id string, r *replica) []Action {
	var actions []Action
	for len(r.wishes) > 0 {
		w := r.wishes[0]
		switch {
		case now.After(w.until):
			actions = append(actions, r.answerWish(id, "no adapter in time", 0))
			continue
		case r.adapters[w.model+"/"+w.adapter] != nil:
			arrives := r.adapters[w.model+"/"+w.adapter].readyAt.Sub(now)
			actions = append(actions, r.answerWish(id, "", max(0, arrives)))
			continue
		case r.moving():
			actions = append(actions, r.answerWish(id, "replica is loading a model", 0))
			continue
		case !r.known:
			return append(actions, s.ask(now, id, r)...)
		case !r.free(now):
			return actions
		}
		order := s.adapterOrder(now, id, r, w)
		if order == nil {
			s.noPlace[w.model+"/"+w.adapter] = now
			return append(actions, r.answerWish(id, "no place for the adapter", 0))
		}
		r.sent = order
		return append(actions, Action{Order: order})
	}
	return actions
}

// answerWish ends the first wish, after delay. An empty reason means success.
func (r *replica) answerWish(id, reason string, delay time.Duration) Action {
	w := r.wishes[0]
	r.wishes = r.wishes[1:]
	result := &AdapterResult{Replica: id, Model: w.model, Adapter: w.adapter, OK: reason == "", Reason: reason}
	return Action{Ready: result, Delay: delay}
}

// adapterOrder returns the load of an adapter, or the unload that makes a place
// for it, or nil if there is no place.
func (s *State) adapterOrder(now time.Time, id string, r *replica, w wish) *Order {
	e := s.engine(r.info.Service)
	if e == nil {
		return nil
	}
	order := &Order{
		Replica: id, Address: r.info.Address, Operation: Load, Model: w.model, Adapter: w.adapter,
		Expected: r.orders, Reason: "adapter wanted",
	}
	fits := s.usedMB(r, e)+s.adapterMB(r, w.model) <= e.WeightsMB
	if len(r.adapters) < e.AdapterSlots && fits && r.comingAdapters(now) < maxComing {
		return order
	}
	victim := s.idleAdapter(now, r, w)
	if victim == "" {
		return nil
	}
	order.Operation = Unload
	order.Model, order.Adapter, _ = strings.Cut(victim, "/")
	order.Reason = "place for another adapter"
	return order
}

func (r *replica) comingAdapters(now time.Time) int {
	n := 0
	for _, a := range r.adapters {
		if now.Before(a.readyAt) {
			n++
		}
	}
	return n
}

// inUse reports whether requests use an adapter.
func (a *adapter) inUse(now time.Time) bool { return now.Sub(a.used) <= adapterRecent }

func (r *replica) hasIdleAdapter(now time.Time) bool {
	for _, a := range r.adapters {
		if !a.inUse(now) {
			return true
		}
	}
	return false
}

// idleAdapter returns the adapter that gives way to a wish, or "" if there is none:
// one that is not in use, with another copy if there is such, and asked for
// least. The only copy of an adapter that is asked for gives way to a request whose
// adapter is nowhere, or to one that is asked for much more; otherwise replicas
// would take each other's adapters for ever.
func (s *State) idleAdapter(now time.Time, r *replica, w wish) string {
	victim, copied := "", false
	for _, key := range slices.Sorted(maps.Keys(r.adapters)) {
		if r.adapters[key].inUse(now) {
			continue
		}
		elsewhere := s.heldElsewhere(r, key)
		if victim == "" || (elsewhere && !copied) || (elsewhere == copied && s.missedLess(r, key, victim)) {
			victim, copied = key, elsewhere
		}
	}
	if victim == "" || copied || s.adapterDemand[victim] < requestedDemand {
		return victim
	}
	wanted := w.model + "/" + w.adapter
	urgent := w.requested && !s.heldElsewhere(r, wanted)
	if urgent || s.adapterDemand[victim]*adapterPriority < s.adapterDemand[wanted] {
		return victim
	}
	return ""
}

// missedLess reports whether one adapter of a replica is asked for less than another,
// or as much but longer ago.
func (s *State) missedLess(r *replica, key, other string) bool {
	c := cmp.Compare(s.adapterDemand[key], s.adapterDemand[other])
	return cmp.Or(c, r.adapters[key].used.Compare(r.adapters[other].used)) < 0
}

// heldElsewhere reports whether a replica that stays holds an adapter too.
func (s *State) heldElsewhere(r *replica, key string) bool {
	for _, other := range s.replicas {
		if other != r && !other.info.Leaving && !other.down && other.adapters[key] != nil {
			return true
		}
	}
	return false
}

// usedMB returns the memory that models and adapters take, with what may still come.
func (s *State) usedMB(r *replica, e *catalog.Engine) float64 {
	used := 0.0
	for _, name := range r.models() {
		if declared := e.Model(name); declared != nil {
			used += declared.WeightsMB
		} else {
			return e.WeightsMB // an unknown model leaves no room that is certain
		}
	}
	if r.loading != "" && !r.holds(r.loading) {
		if m := e.Model(r.loading); m != nil {
			used += m.WeightsMB
		}
	}
	for _, a := range r.adapters {
		used += a.size
	}
	return used
}

// Answered takes over the answer to an order.
func (s *State) Answered(now time.Time, order *Order, outcome Outcome) []Action {
	r, ok := s.replicas[order.Replica]
	if !ok || r.sent != order {
		return nil
	}
	r.sent = nil
	switch outcome {
	case Accepted:
		r.orders++
		s.carriedOut(now, r, order, outcome)
	case AlreadyHolds:
		if order.Operation == Unload && order.Adapter != "" {
			r.orders++ // an adapter that is not in use is dropped at once
			s.carriedOut(now, r, order, outcome)
			break
		}
		// The replica was not as it was thought to be.
		return s.uncertain(now, r, order)
	case Unsent, Rejected:
		r.retryAt = now.Add(unknownHold)
		return append(r.dropWish(order), s.advance(now, order.Replica, r)...)
	case Busy, Fenced, OtherReplica, Unknown:
		return s.uncertain(now, r, order)
	}
	return s.advance(now, order.Replica, r)
}

// uncertain asks the replica before its next order. A load that may still come
// is counted in memory until then.
func (s *State) uncertain(now time.Time, r *replica, order *Order) []Action {
	r.known = false
	if order.Operation == Load && order.Adapter == "" {
		r.loading, r.readyAt = order.Model, now.Add(loadMargin)
	}
	r.touched = now
	return append(r.dropWish(order), s.ask(now, order.Replica, r)...)
}

// dropWish ends the wish for the order's adapter without success.
func (r *replica) dropWish(order *Order) []Action {
	i := slices.IndexFunc(r.wishes, func(w wish) bool { return w.model == order.Model && w.adapter == order.Adapter })
	if i < 0 {
		return nil
	}
	w := r.wishes[i]
	r.wishes = slices.Delete(r.wishes, i, i+1)
	return []Action{{Ready: &AdapterResult{Replica: order.Replica, Model: w.model, Adapter: w.adapter, Reason: "order not carried out"}}}
}

// carriedOut records the effect of an accepted order.
func (s *State) carriedOut(now time.Time, r *replica, order *Order, outcome Outcome) {
	r.touched = now
	key := order.Model + "/" + order.Adapter
	switch {
	case order.Adapter != "" && order.Operation == Load:
		mb := s.adapterMB(r, order.Model)
		ready := now.Add(adapterBase + time.Duration(mb*float64(adapterPerMB)))
		r.adapters[key] = &adapter{readyAt: ready, used: now, size: mb}
	case order.Adapter != "" && outcome == Accepted:
		// It stays until the requests that use it end; the report shows when.
		r.known = false
	case order.Adapter != "":
		delete(r.adapters, key)
	case order.Operation == Load:
		takes := s.loadTime(r, order.Model)
		r.fromStore = order.FromStore
		r.loading, r.due, r.readyAt = order.Model, now.Add(takes), now.Add(takes+loadMargin)
	default:
		r.dropping, r.dropBy = order.Model, now.Add(unloadPatience)
		r.reported = slices.DeleteFunc(r.reported, func(m catalog.Resident) bool { return m.Name == order.Model })
	}
}

// loadTime returns the declared time of a load, by where the replica has the
// weights.
func (s *State) loadTime(r *replica, model string) time.Duration {
	e := s.engine(r.info.Service)
	if e == nil || e.Model(model) == nil {
		return 0
	}
	m := e.Model(model)
	switch {
	case slices.Contains(r.info.InMemory, model) && m.WarmTime > 0:
		return m.WarmTime
	case slices.Contains(r.info.OnDisk, model) && m.DiskTime > 0:
		return m.DiskTime
	}
	return m.LoadTime
}

// Coming returns the time until the first copy of a model arrives, for the
// models that are being loaded or for which room is made.
func (s *State) Coming(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, r := range s.replicas {
		model, in := "", time.Duration(0)
		switch {
		case r.loading != "" && r.loading != unknownModel:
			model, in = r.loading, max(0, r.due.Sub(now))
		case r.move != nil && !now.After(r.move.until):
			model = r.move.model.Name
			in = s.loadTime(r, model)
			if len(r.move.victims) > 0 {
				in += announceTime
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
