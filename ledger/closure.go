package ledger

import (
	"slices"
	"time"
)

// senders returns the distinct senders of all entries, without the zero Sender.
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

// handleSenderFinished marks every sender that the event covers as finished.
func (r *Replica) handleSenderFinished(now time.Time, f Sender) {
	for _, s := range r.senders() {
		if s.Instance == f.Instance && s.Incarnation == f.Incarnation && s.Epoch <= f.Epoch && s != r.self {
			r.markFinished(now, s)
		}
	}
}

// markFinished records the first time at which s was known to be finished.
func (r *Replica) markFinished(now time.Time, s Sender) {
	if _, ok := r.finishedAt[s]; !ok {
		r.finishedAt[s] = now
	}
}

// pruneFinished deletes the finish times of senders that no entry lists.
func (r *Replica) pruneFinished() {
	listed := r.senders()
	for s := range r.finishedAt {
		if !slices.Contains(listed, s) {
			delete(r.finishedAt, s)
		}
	}
}

// closeOrders removes the senders of orders that can no longer take effect,
// because MaxOrderDelay has passed since any of them could last be sent.
func (r *Replica) closeOrders(now time.Time) {
	for _, e := range r.entries {
		if len(e.LoadSenders) > 0 && r.delayPassed(now, e, e.LoadSenders, e.loadReturnedAt) {
			e.LoadSenders, e.loadsClosedAt, r.dirty = nil, now, true
		}
		if len(e.UnloadSenders) > 0 && r.delayPassed(now, e, e.UnloadSenders, e.unloadReturnedAt) {
			e.UnloadSenders, r.dirty = nil, true
		}
	}
}

// delayPassed reports whether MaxOrderDelay has passed for the orders of all
// senders, so that none can still take effect. returned is the time at which the
// last such order of this tenure was answered or failed.
func (r *Replica) delayPassed(now time.Time, e *entry, senders []Sender, returned time.Time) bool {
	for _, s := range senders {
		last, known := r.finishedAt[s]
		switch s {
		case r.self:
			last, known = returned, !r.orderOutstanding(e.Key())
		case Sender{}:
			// Other instances can load the adapter until their view shows that
			// it is draining.
			last, known = e.drainStart.Add(r.settings.MaxViewAge), !e.drainStart.IsZero()
		}
		if !known || now.Before(last.Add(r.settings.MaxOrderDelay)) {
			return false
		}
	}
	return true
}

// orderOutstanding reports whether an order for the entry is decided, or is sent
// and has neither been answered nor failed.
func (r *Replica) orderOutstanding(k Key) bool {
	for _, o := range r.outstanding {
		if o.key == k {
			return true
		}
	}
	return r.decidedOrder != nil && r.decidedOrder.key == k ||
		r.pendingWrite != nil && r.pendingWrite.order != nil && r.pendingWrite.order.key == k
}
