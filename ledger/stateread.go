package ledger

import (
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// applyEngineState applies a read of the engine's state. A read during which an
// order was sent, answered or failed is discarded, because it may show the state
// before or after that order.
func (r *Replica) applyEngineState(now time.Time, ev StateRead) {
	q := r.stateRead
	if !q.pending || q.id != ev.ReadID {
		return
	}
	r.stateRead.pending = false
	if q.generation != r.generation || !r.holdsLease {
		r.nextStateReadAt = now
		return
	}
	st := ev.State
	r.nextStateReadAt = now.Add(r.settings.IdlePollInterval)
	if r.highestToken.Less(st.HighestToken) {
		r.highestToken, r.dirty = st.HighestToken, true
	}
	if st.HighestToken.Epoch > r.self.Epoch {
		r.holdsLease = false // a successor has sent orders
		return
	}
	if st.MemoryMB > 0 && st.MemoryMB < r.settings.CapacityMB {
		r.capacity = st.MemoryMB
	} else {
		r.capacity = r.settings.CapacityMB
	}
	if st.BootID != r.bootID {
		if r.bootID != "" {
			r.handleEngineRestart()
		}
		r.bootID, r.dirty = st.BootID, true
	}
	r.stateKnown, r.readGeneration = true, r.generation
	r.addUnknownResidents(st)
	unaccountedMB := st.UsedMB - r.settings.OverheadMB
	for _, res := range st.Residents {
		unaccountedMB -= res.MemoryMB
	}
	for _, e := range r.entries {
		r.updateEntry(now, e, st, q.sentAt)
	}
	r.freeEntries(st, q.sentAt, unaccountedMB)
	// The engine has an entry for whatever a lost order loaded.
	fenced := r.tokensCloseOrders() && st.HighestToken.Epoch == r.self.Epoch
	if r.lostOrders && (fenced || !q.sentAt.Before(r.lostOrdersUntil)) {
		r.lostOrders, r.dirty = false, true
	}
}

// handleEngineRestart returns ready and loading entries to Reserved, so that they
// are loaded again. Orders sent before the restart can still take effect and stay
// open.
func (r *Replica) handleEngineRestart() {
	for _, e := range r.entries {
		if e.State == Ready || e.State == Loading {
			e.State, e.retryAt = Reserved, time.Time{}
		}
	}
}

// addUnknownResidents adds entries for residents without one, such as models
// that the engine loaded at its start.
func (r *Replica) addUnknownResidents(st engine.State) {
	for _, res := range st.Residents {
		if r.findEntry(Key{res.Name, res.Version}) != nil {
			continue
		}
		state := Loading
		if res.Ready {
			state = Ready
		}
		r.entries = append(r.entries, &entry{Entry: Entry{
			Name: res.Name, Base: res.Base, Version: res.Version, MemoryMB: res.MemoryMB, State: state,
		}})
		r.dirty = true
	}
}

// updateEntry applies a state read that was requested at sentAt to one entry.
func (r *Replica) updateEntry(now time.Time, e *entry, st engine.State, sentAt time.Time) {
	var res engine.Resident
	e.resident, e.readSentAt = false, sentAt
	for _, c := range st.Residents {
		if c.Name == e.Name && c.Version == e.Version {
			res, e.resident = c, true
		}
	}
	if e.resident && (res.MemoryMB > e.MemoryMB || e.Freed) {
		e.MemoryMB, e.Freed, r.dirty = max(res.MemoryMB, e.MemoryMB), false, true
	}
	tokenReached := func(t fleet.Token) bool { return !r.settings.ChecksTokens || !st.HighestToken.Less(t) }
	e.running, e.ready = res.Running, e.resident && res.Ready && tokenReached(e.LoadToken)
	previous := e.State
	switch e.State {
	case Reserved:
		if e.ready && r.anyInstanceCanLoad(e) && !e.LoadToken.Less(e.UnloadToken) {
			e.State = Ready // loaded on the request path
		}
	case Loading:
		switch {
		case e.ready:
			e.State = Ready
		case e.resident && tokenReached(e.LoadToken):
			e.retryAt = now.Add(r.settings.ResendDelay) // the load is in progress
		}
	case Ready:
		if !e.resident {
			e.State = Reserved // the engine dropped it
		}
	case Unloading:
		if !e.resident && (!r.tokensCloseOrders() || tokenReached(e.UnloadToken)) {
			e.State = Settling
		}
	case Settling:
		if e.resident {
			e.State = Unloading // a late load order took effect
		}
	}
	if r.tokensCloseOrders() && e.LoadToken.Less(st.HighestToken) && e.State >= Unloading {
		if len(e.LoadSenders) > 0 {
			e.LoadSenders, e.loadsClosedAt = nil, sentAt
		}
		e.UnloadSenders = nil
	}
	if e.State != previous {
		e.retryAt, r.dirty = time.Time{}, true
	}
}

// tokensCloseOrders reports whether the engine permanently rejects orders with
// lower tokens than the highest that it has received.
func (r *Replica) tokensCloseOrders() bool {
	return r.settings.ChecksTokens && r.settings.TokensSurviveRestart
}

// freeEntries removes entries that the engine does not hold and that no order can
// load again. On an engine that ignores tokens, it only marks them as freed while
// an unload order can still take effect. The state read, requested at sentAt, must
// have started after the load orders were closed. unaccountedMB is the memory used
// by the engine beyond its overhead and residents; nothing is freed while it is
// positive.
func (r *Replica) freeEntries(st engine.State, sentAt time.Time, unaccountedMB int) {
	kept := r.entries[:0]
	for _, e := range r.entries {
		releasable := e.State == Settling && !e.resident && len(e.LoadSenders) == 0 &&
			!sentAt.Before(e.loadsClosedAt) && unaccountedMB <= 0
		switch {
		case releasable && (r.settings.ChecksTokens || len(e.UnloadSenders) == 0):
			r.dirty = true
			continue
		case releasable && !e.Freed:
			e.Freed, r.dirty = true, true
		}
		kept = append(kept, e)
	}
	clear(r.entries[len(kept):])
	r.entries = kept
}
