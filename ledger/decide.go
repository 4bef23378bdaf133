package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// advance returns the actions that are due: a write or read of the record and a
// read of the engine's state. It also decides the next order.
func (r *Replica) advance(now time.Time) []Action {
	if !r.leaseValid(now) {
		return nil
	}
	r.closeOrders(now)
	if r.stateKnown && r.hasTarget && r.decidedOrder == nil && r.pendingWrite == nil && len(r.outstanding) == 0 {
		r.reconcile(now)
	}
	var out []Action
	switch {
	case r.readPending || now.Before(r.nextStoreCallAt):
	case r.pendingWrite != nil && r.pendingWrite.outcomeUnknown:
		r.readPending = true
		out = append(out, ReadRecord{})
	case r.pendingWrite == nil && r.dirty:
		out = append(out, r.startWrite())
	}
	if len(r.outstanding) == 0 && !r.stateRead.pending && !now.Before(r.nextPollAt()) {
		r.stateRead = stateReadRequest{id: r.stateRead.id + 1, pending: true, sentAt: now, generation: r.generation}
		out = append(out, ReadState{ID: r.stateRead.id})
	}
	return out
}

// nextPollAt returns the time of the next read of the engine's state.
func (r *Replica) nextPollAt() time.Time {
	busy := slices.ContainsFunc(r.entries, func(e *entry) bool {
		return e.State != Ready && !(e.State == Reserved && r.anyInstanceCanLoad(e))
	})
	if at := r.stateRead.sentAt.Add(r.settings.PollInterval); busy && at.Before(r.nextStateReadAt) {
		return at
	}
	return r.nextStateReadAt
}

// reconcile moves the entries towards the target and decides at most one order.
func (r *Replica) reconcile(now time.Time) {
	if !r.lostOrders { // lost load orders need the memory that no entry has
		r.addReservations()
	}
	for _, e := range slices.Clone(r.entries) {
		if r.inTarget(e) {
			r.cancelRemoval(e)
		} else {
			r.startRemoval(now, e)
		}
	}
	if r.readGeneration != r.generation {
		return // the effect of the last order has not been read yet
	}
	for _, e := range r.entries {
		if r.decidedOrder == nil && !r.inTarget(e) {
			r.orderUnload(now, e)
		}
	}
	if r.lostOrders || r.CountedMB() > r.capacity {
		return // the engine holds, or can come to hold, more than was ordered
	}
	for _, it := range r.target {
		if e := r.findEntry(it.Key()); e != nil && r.decidedOrder == nil && r.inTarget(e) {
			r.orderLoad(now, e)
		}
	}
}

// addReservations adds an entry for each target item whose memory fits into the
// remaining capacity and whose base, if it has one, is in the target.
func (r *Replica) addReservations() {
	counted := r.CountedMB()
	for _, it := range r.target {
		if r.findEntry(it.Key()) != nil || counted+it.MemoryMB > r.capacity {
			continue
		}
		if it.Base != "" && !slices.ContainsFunc(r.target, func(b Item) bool { return b.Name == it.Base }) {
			continue
		}
		e := &entry{Entry: Entry{Name: it.Name, Base: it.Base, Version: it.Version, MemoryMB: it.MemoryMB}}
		if it.Base != "" && r.settings.ChecksTokens {
			e.LoadSenders = []Sender{{}}
		}
		r.entries = append(r.entries, e)
		counted += it.MemoryMB
		r.dirty = true
	}
}

// inTarget reports whether the target contains the entry and, for an adapter,
// its base.
func (r *Replica) inTarget(e *entry) bool {
	return slices.ContainsFunc(r.target, func(it Item) bool { return it.Key() == e.Key() }) &&
		(e.Base == "" || slices.ContainsFunc(r.target, func(it Item) bool { return it.Name == e.Base }))
}

// anyInstanceCanLoad reports whether every instance, not only the lease holder,
// can load the entry on the request path.
func (r *Replica) anyInstanceCanLoad(e *entry) bool { return slices.Contains(e.LoadSenders, Sender{}) }

// cancelRemoval cancels the removal of an entry that is in the target again, as
// far as the orders that can still take effect allow.
func (r *Replica) cancelRemoval(e *entry) {
	previous := e.State
	switch e.State {
	case Draining:
		e.State, e.drainStart, e.drainOverruns = Reserved, time.Time{}, 0
		if e.ready { // no unload order was sent after it became ready
			e.State = Ready
		}
	case Unloading, Settling:
		// On an engine that ignores tokens, a late unload would abort running
		// requests.
		if r.settings.ChecksTokens || len(e.UnloadSenders) == 0 {
			e.State, e.drainStart, e.drainOverruns = Reserved, time.Time{}, 0
		}
	}
	if e.Freed && e.State == Reserved {
		e.State = previous // its memory must be reserved again
		r.remove(e)
	}
	if e.State != previous {
		r.dirty = true
	}
}

func (r *Replica) remove(e *entry) {
	r.entries = slices.DeleteFunc(r.entries, func(o *entry) bool { return o == e })
	r.dirty = true
}

// startRemoval starts the removal of an entry that is not in the target.
func (r *Replica) startRemoval(now time.Time, e *entry) {
	switch e.State {
	case Reserved:
		if e.LoadToken == (fleet.Token{}) && len(e.LoadSenders) == 0 && !e.resident {
			r.remove(e) // no load order was ever sent
			return
		}
	case Loading, Ready:
	case Draining:
		if !e.drainDeadline.IsZero() && !now.Before(e.drainDeadline) {
			e.drainOverruns++
			e.drainDeadline = now.Add(r.settings.DrainDeadline)
		}
		return
	default:
		return
	}
	if r.servesUntilReplaced(e) {
		return
	}
	e.State, e.drainStart, e.drainDeadline, r.dirty = Draining, time.Time{}, time.Time{}, true
}

// servesUntilReplaced reports whether e stays in service until its new version
// is ready. If e does not fit into memory together with the target, it is removed
// first.
func (r *Replica) servesUntilReplaced(e *entry) bool {
	sum, found := e.MemoryMB, false
	for _, it := range r.target {
		sum += it.MemoryMB
		if it.Name == e.Name {
			n := r.findEntry(it.Key())
			found = n == nil || n.State != Ready
		}
	}
	return found && sum <= r.capacity
}

// orderUnload decides the order to unload a drained entry, or repeats one
// without effect.
func (r *Replica) orderUnload(now time.Time, e *entry) {
	if now.Before(e.retryAt) || e.Base == "" && r.neededByAdapters(e) {
		return
	}
	switch e.State {
	case Draining:
		if e.drainStart.IsZero() || e.readSentAt.Before(e.drainStart.Add(r.settings.DrainNotice)) || e.running > 0 {
			return
		}
		if !e.resident && !r.tokensCloseOrders() {
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
	if r.anyInstanceCanLoad(e) {
		e.LoadToken = r.lastToken() // instances may have sent load orders with any token up to this one
	}
	o := r.newOrder(e, kind)
	e.State, e.UnloadToken = Unloading, o.Token
	e.UnloadSenders = addSender(e.UnloadSenders, r.self)
}

// neededByAdapters reports whether e must stay loaded as the base of adapters that
// have running requests or are being removed, since adapters are unloaded before
// their base. An adapter in the target whose base is draining serves nothing and
// must not keep the base loaded: otherwise a version that replaces the base in
// the same memory would never be loaded.
func (r *Replica) neededByAdapters(e *entry) bool {
	for _, o := range r.entries {
		if o.Name == e.Name && o != e && o.State == Ready {
			return false // another version of the base is ready
		}
	}
	return slices.ContainsFunc(r.entries, func(o *entry) bool {
		return o.Base == e.Name && o.State < Settling && (o.State >= Draining || o.running > 0)
	})
}

// orderLoad decides the order to load a reserved entry, or repeats one without
// effect.
func (r *Replica) orderLoad(now time.Time, e *entry) {
	if now.Before(e.retryAt) || e.State != Reserved && e.State != Loading {
		return
	}
	kind := engine.LoadModel
	if e.Base != "" {
		kind = engine.LoadAdapter
		if !r.Servable(e.Base) || r.anyInstanceCanLoad(e) && e.State == Reserved && !e.LoadToken.Less(e.UnloadToken) {
			return // instances load it on the request path
		}
	}
	if !r.settings.ChecksTokens && len(e.UnloadSenders) > 0 {
		return
	}
	o := r.newOrder(e, kind)
	e.State, e.LoadToken = Loading, o.Token
	e.LoadSenders = addSender(e.LoadSenders, r.self)
	if e.Base != "" && r.settings.ChecksTokens {
		e.LoadSenders = addSender(e.LoadSenders, Sender{})
	}
}

func (r *Replica) lastToken() fleet.Token {
	return fleet.Token{Epoch: r.self.Epoch, Sequence: r.lastSequence}
}

func (r *Replica) newOrder(e *entry, kind engine.OrderKind) *order {
	r.lastSequence++
	t := r.lastToken()
	r.decidedOrder = &order{sender: r.self, key: e.Key(), Order: engine.Order{
		ID:    fmt.Sprintf("%s/%d/%d", r.settings.Replica, t.Epoch, t.Sequence),
		Token: t, Kind: kind, Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB,
	}}
	r.dirty = true
	return r.decidedOrder
}

func addSender(list []Sender, s Sender) []Sender {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}
