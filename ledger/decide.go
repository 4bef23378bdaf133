package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// advance starts whatever can be started now: a write of the record, the
// next order, or a state read.
func (r *Replica) advance(now time.Time) []Action {
	if !r.mayAct(now) {
		return nil
	}
	r.closeOrders(now)
	if r.observed && r.planned && r.order == nil && r.saving == nil && len(r.open) == 0 {
		r.decide(now)
	}
	var out []Action
	switch {
	case r.reading || now.Before(r.storeAt):
	case r.saving != nil && r.saving.unknown:
		r.reading = true
		out = append(out, ReadRecord{})
	case r.saving == nil && r.dirty:
		out = append(out, r.persist())
	}
	if len(r.open) == 0 && !r.query.pending && !now.Before(r.pollAt()) {
		r.query = query{id: r.query.id + 1, pending: true, at: now, generation: r.generation}
		out = append(out, Query{ID: r.query.id})
	}
	return out
}

// pollAt returns when the engine's state is read next.
func (r *Replica) pollAt() time.Time {
	busy := slices.ContainsFunc(r.entries, func(e *entry) bool {
		return e.State != Ready && !(e.State == Reserved && r.shared(e))
	})
	if at := r.query.at.Add(r.set.Poll); busy && at.Before(r.queryAt) {
		return at
	}
	return r.queryAt
}

// decide changes the entries towards the target and decides at most one order.
func (r *Replica) decide(now time.Time) {
	r.reserve()
	for _, e := range slices.Clone(r.entries) {
		if r.wanted(e) {
			r.keep(e)
		} else {
			r.retire(now, e)
		}
	}
	if r.readAfter != r.generation {
		return // the effect of the last order was not read yet
	}
	for _, e := range r.entries {
		if r.order == nil && !r.wanted(e) {
			r.unload(now, e)
		}
	}
	if r.Counted() > r.capacity {
		return // the engine holds more than was ordered
	}
	for _, it := range r.target {
		if e := r.find(it.Key()); e != nil && r.order == nil && r.wanted(e) {
			r.load(now, e)
		}
	}
}

// reserve adds entries for target items that fit beside everything counted.
func (r *Replica) reserve() {
	counted := r.Counted()
	for _, it := range r.target {
		if r.find(it.Key()) != nil || counted+it.MemoryMB > r.capacity {
			continue
		}
		if it.Base != "" && !slices.ContainsFunc(r.target, func(b Item) bool { return b.Name == it.Base }) {
			continue
		}
		e := &entry{Entry: Entry{Name: it.Name, Base: it.Base, Version: it.Version, MemoryMB: it.MemoryMB}}
		if it.Base != "" && r.set.ChecksTokens {
			e.LoadSenders = []Sender{{}}
		}
		r.entries = append(r.entries, e)
		counted += it.MemoryMB
		r.dirty = true
	}
}

// wanted reports whether the entry is in the target, with its base.
func (r *Replica) wanted(e *entry) bool {
	return slices.ContainsFunc(r.target, func(it Item) bool { return it.Key() == e.Key() }) &&
		(e.Base == "" || slices.ContainsFunc(r.target, func(it Item) bool { return it.Name == e.Base }))
}

// shared reports whether any instance may load the entry on the request path.
func (r *Replica) shared(e *entry) bool { return slices.Contains(e.LoadSenders, Sender{}) }

// keep takes back the removal of a wanted entry as far as the orders that may
// still take effect allow.
func (r *Replica) keep(e *entry) {
	from := e.State
	switch e.State {
	case Draining:
		e.State, e.drainSince, e.postponed = Reserved, time.Time{}, 0
		if e.ready { // no unload order was sent since it was ready
			e.State = Ready
		}
	case Unloading, Settling:
		// Where tokens are ignored, a late unload would cut running requests.
		if r.set.ChecksTokens || len(e.UnloadSenders) == 0 {
			e.State, e.drainSince, e.postponed = Reserved, time.Time{}, 0
		}
	}
	if e.Freed && e.State == Reserved {
		e.State = from // memory must be reserved anew
		r.remove(e)
	}
	if e.State != from {
		r.dirty = true
	}
}

func (r *Replica) remove(e *entry) {
	r.entries = slices.DeleteFunc(r.entries, func(o *entry) bool { return o == e })
	r.dirty = true
}

// retire starts the removal of an entry that is not wanted.
func (r *Replica) retire(now time.Time, e *entry) {
	switch e.State {
	case Reserved:
		if e.LoadToken == (fleet.Token{}) && len(e.LoadSenders) == 0 && !e.resident {
			r.remove(e) // no load order was ever sent
			return
		}
	case Loading, Ready:
	case Draining:
		if !e.drainUntil.IsZero() && !now.Before(e.drainUntil) {
			e.postponed++
			e.drainUntil = now.Add(r.set.DrainDeadline)
		}
		return
	default:
		return
	}
	if r.replacing(e) {
		return
	}
	e.State, e.drainSince, e.drainUntil, r.dirty = Draining, time.Time{}, time.Time{}, true
}

// replacing reports whether e serves until a new version is ready beside it.
// When both do not fit, the old version makes room at once.
func (r *Replica) replacing(e *entry) bool {
	sum, found := e.MemoryMB, false
	for _, it := range r.target {
		sum += it.MemoryMB
		if it.Name == e.Name {
			n := r.find(it.Key())
			found = n == nil || n.State != Ready
		}
	}
	return found && sum <= r.capacity
}

// unload orders the removal of a drained entry.
func (r *Replica) unload(now time.Time, e *entry) {
	if now.Before(e.retryAt) || e.Base == "" && r.adaptersInUse(e) {
		return
	}
	switch e.State {
	case Draining:
		if e.drainSince.IsZero() || e.readAt.Before(e.drainSince.Add(r.set.DrainNotice)) || e.running > 0 {
			return
		}
		if !e.resident && !r.tokensProve() {
			e.State, r.dirty = Settling, true // nothing to unload
			return
		}
	case Unloading:
	default:
		return
	}
	kind := engine.UnloadModel
	if e.Base != "" {
		kind = engine.UnloadAdapter
	}
	if r.shared(e) {
		e.LoadToken = r.lastToken() // requests may have used any earlier token
	}
	o := r.newOrder(e, kind)
	e.State, e.UnloadToken = Unloading, o.Token
	e.UnloadSenders = addSender(e.UnloadSenders, r.self)
}

// adaptersInUse reports whether adapters still need e as their base: they have
// requests running, or are on their way out and go first. An adapter that stays
// wanted beside a draining base serves nothing and must not keep the base, or
// a version that replaces it in place would never be loaded.
func (r *Replica) adaptersInUse(e *entry) bool {
	for _, o := range r.entries {
		if o.Name == e.Name && o != e && o.State == Ready {
			return false // another version of the base takes over
		}
	}
	return slices.ContainsFunc(r.entries, func(o *entry) bool {
		return o.Base == e.Name && o.State < Settling && (o.State >= Draining || o.running > 0)
	})
}

// load orders a reserved entry to be loaded, or repeats an order without effect.
func (r *Replica) load(now time.Time, e *entry) {
	if now.Before(e.retryAt) || e.State != Reserved && e.State != Loading {
		return
	}
	kind := engine.LoadModel
	if e.Base != "" {
		kind = engine.LoadAdapter
		if !r.Servable(e.Base) || r.shared(e) && e.State == Reserved && !e.LoadToken.Less(e.UnloadToken) {
			return // requests load it when they need it
		}
	}
	if !r.set.ChecksTokens && len(e.UnloadSenders) > 0 {
		return
	}
	o := r.newOrder(e, kind)
	e.State, e.LoadToken = Loading, o.Token
	e.LoadSenders = addSender(e.LoadSenders, r.self)
	if e.Base != "" && r.set.ChecksTokens {
		e.LoadSenders = addSender(e.LoadSenders, Sender{})
	}
}

func (r *Replica) lastToken() fleet.Token {
	return fleet.Token{Epoch: r.self.Epoch, Sequence: r.sequence}
}

func (r *Replica) newOrder(e *entry, kind engine.OrderKind) *order {
	r.sequence++
	t := r.lastToken()
	r.order = &order{sender: r.self, key: e.Key(), Order: engine.Order{
		ID:    fmt.Sprintf("%s/%d/%d", r.set.Replica, t.Epoch, t.Sequence),
		Token: t, Kind: kind, Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB,
	}}
	r.dirty = true
	return r.order
}

func addSender(list []Sender, s Sender) []Sender {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}
