package ledger

import (
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// observe applies a state read. Reads that overlap an order that was sent or
// returned are dropped, because their place in the order of events is unknown.
func (r *Replica) observe(now time.Time, ev Observed) {
	q := r.query
	if !q.pending || q.id != ev.Query {
		return
	}
	r.query.pending = false
	if q.generation != r.generation || !r.holding {
		r.queryAt = now
		return
	}
	st := ev.State
	r.queryAt = now.Add(r.set.IdlePoll)
	if r.seen.Less(st.HighestToken) {
		r.seen, r.dirty = st.HighestToken, true
	}
	if st.HighestToken.Epoch > r.self.Epoch {
		r.holding = false // a successor has sent orders
		return
	}
	if st.MemoryMB > 0 && st.MemoryMB < r.set.CapacityMB {
		r.capacity = st.MemoryMB
	} else {
		r.capacity = r.set.CapacityMB
	}
	if st.BootID != r.boot {
		if r.boot != "" {
			r.restarted()
		}
		r.boot, r.dirty = st.BootID, true
	}
	r.observed, r.readAfter = true, r.generation
	r.addUnknown(st)
	unaccounted := st.UsedMB - r.set.OverheadMB
	for _, res := range st.Residents {
		unaccounted -= res.MemoryMB
	}
	for _, e := range r.entries {
		r.observeEntry(now, e, st, q.at)
	}
	r.free(st, q.at, unaccounted)
}

// restarted makes what was resident load again. Orders sent before the restart
// may still take effect, so nothing is closed.
func (r *Replica) restarted() {
	for _, e := range r.entries {
		if e.State == Ready || e.State == Loading {
			e.State, e.retryAt = Reserved, time.Time{}
		}
	}
}

// addUnknown counts residents that no entry names, such as models that the
// engine was started with.
func (r *Replica) addUnknown(st engine.State) {
	for _, res := range st.Residents {
		if r.find(Key{res.Name, res.Version}) != nil {
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

func (r *Replica) observeEntry(now time.Time, e *entry, st engine.State, at time.Time) {
	var res engine.Resident
	e.resident, e.readAt = false, at
	for _, c := range st.Residents {
		if c.Name == e.Name && c.Version == e.Version {
			res, e.resident = c, true
		}
	}
	if e.resident && (res.MemoryMB > e.MemoryMB || e.Freed) {
		e.MemoryMB, e.Freed, r.dirty = max(res.MemoryMB, e.MemoryMB), false, true
	}
	fenced := func(t fleet.Token) bool { return !r.set.ChecksTokens || !st.HighestToken.Less(t) }
	e.running, e.ready = res.Running, e.resident && res.Ready && fenced(e.LoadToken)
	from := e.State
	switch e.State {
	case Reserved:
		if e.ready && r.shared(e) && !e.LoadToken.Less(e.UnloadToken) {
			e.State = Ready // loaded by a request
		}
	case Loading:
		switch {
		case e.ready:
			e.State = Ready
		case e.resident && fenced(e.LoadToken):
			e.retryAt = now.Add(r.set.Resend) // the load is in progress
		}
	case Ready:
		if !e.resident {
			e.State = Reserved // lost by the engine
		}
	case Unloading:
		if !e.resident && (!r.tokensProve() || fenced(e.UnloadToken)) {
			e.State = Settling
		}
	case Settling:
		if e.resident {
			e.State = Unloading // a late load took effect
		}
	}
	if r.tokensProve() && e.LoadToken.Less(st.HighestToken) && e.State >= Unloading {
		if len(e.LoadSenders) > 0 {
			e.LoadSenders, e.loadsClosed = nil, at
		}
		e.UnloadSenders = nil
	}
	if e.State != from {
		e.retryAt, r.dirty = time.Time{}, true
	}
}

// tokensProve reports whether a token that the engine has seen closes orders
// with lower tokens for good.
func (r *Replica) tokensProve() bool { return r.set.ChecksTokens && r.set.TokensSurviveRestart }

// free drops entries that the engine does not hold and that no order can bring
// back. The read must have been sent after the load orders were closed.
func (r *Replica) free(st engine.State, at time.Time, unaccounted int) {
	kept := r.entries[:0]
	for _, e := range r.entries {
		proven := e.State == Settling && !e.resident && len(e.LoadSenders) == 0 &&
			!at.Before(e.loadsClosed) && unaccounted <= 0
		switch {
		case proven && (r.set.ChecksTokens || len(e.UnloadSenders) == 0):
			r.dirty = true
			continue
		case proven && !e.Freed:
			e.Freed, r.dirty = true, true
		}
		kept = append(kept, e)
	}
	clear(r.entries[len(kept):])
	r.entries = kept
}
