package ledger

import (
	"slices"
	"time"
)

// senders returns every sender named in the entries, without the zero Sender.
func (r *Replica) senders() []Sender {
	var out []Sender
	for _, e := range r.entries {
		for _, list := range [][]Sender{e.LoadSenders, e.UnloadSenders} {
			for _, s := range list {
				if s != (Sender{}) && !slices.Contains(out, s) {
					out = append(out, s)
				}
			}
		}
	}
	return out
}

// senderFinished notes the end of every known sender that the event covers.
func (r *Replica) senderFinished(now time.Time, f Sender) {
	for _, s := range r.senders() {
		if s.Instance == f.Instance && s.Incarnation == f.Incarnation && s.Epoch <= f.Epoch && s != r.self {
			r.finish(now, s)
		}
	}
}

// finish keeps the first time at which s was known to be finished.
func (r *Replica) finish(now time.Time, s Sender) {
	if _, ok := r.finished[s]; !ok {
		r.finished[s] = now
	}
}

// forgetSenders drops notes about senders that no entry names.
func (r *Replica) forgetSenders() {
	named := r.senders()
	for s := range r.finished {
		if !slices.Contains(named, s) {
			delete(r.finished, s)
		}
	}
}

// closeOrders removes the senders of orders that can no longer take effect,
// because every sender is finished and MaxOrderDelay has passed since.
func (r *Replica) closeOrders(now time.Time) {
	for _, e := range r.entries {
		if len(e.LoadSenders) > 0 && r.delayPassed(now, e, e.LoadSenders, e.loadReturned) {
			e.LoadSenders, e.loadsClosed, r.dirty = nil, now, true
		}
		if len(e.UnloadSenders) > 0 && r.delayPassed(now, e, e.UnloadSenders, e.unloadReturned) {
			e.UnloadSenders, r.dirty = nil, true
		}
	}
}

// delayPassed reports whether no order of the senders can still take effect.
// returned is when the last such order of this tenure returned.
func (r *Replica) delayPassed(now time.Time, e *entry, senders []Sender, returned time.Time) bool {
	for _, s := range senders {
		last, known := r.finished[s]
		switch s {
		case r.self:
			last, known = returned, !r.orderOutstanding(e.Key())
		case Sender{}:
			// Other instances may load the adapter until they have seen that
			// it is retired.
			last, known = e.drainSince.Add(r.set.MaxViewAge), !e.drainSince.IsZero()
		}
		if !known || now.Before(last.Add(r.set.MaxOrderDelay)) {
			return false
		}
	}
	return true
}

// orderOutstanding reports whether an order for the entry is decided or sent
// and has not returned.
func (r *Replica) orderOutstanding(k Key) bool {
	for _, o := range r.open {
		if o.key == k {
			return true
		}
	}
	return r.order != nil && r.order.key == k ||
		r.saving != nil && r.saving.order != nil && r.saving.order.key == k
}
