package ledger

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Replica is the ledger of one replica. It is not safe for concurrent use. One
// Replica should be kept for the lifetime of the process, so that it knows which
// of its own orders are outstanding when it acquires the lease again.
type Replica struct {
	settings   Settings
	self       Sender
	holdsLease bool
	leaseUntil time.Time // end of the lease
	capacity   int
	entries    []*entry
	target     []Item
	hasTarget  bool // a target was set
	stateKnown bool // the engine's state has been read in this tenure
	// lostOrders is Record.LostOrders. It ends with a state read that was requested
	// after lostOrdersUntil.
	lostOrders      bool
	lostOrdersUntil time.Time

	lastSequence uint64
	highestToken fleet.Token
	bootID       string

	stored          Record // newest record known to be committed
	storedVersion   uint64
	lastWrite       uint64
	dirty           bool
	pendingWrite    *pendingWrite
	readPending     bool
	nextStoreCallAt time.Time // earliest next store call
	decidedOrder    *order    // will be sent once the record is committed
	outstanding     map[string]order
	finishedAt      map[Sender]time.Time

	// generation changes whenever an order is sent, answered or fails, a drain is
	// committed or a tenure starts. A state read that spans a change is discarded.
	generation      uint64
	readGeneration  uint64 // generation of the last state read that was applied
	stateRead       stateReadRequest
	nextStateReadAt time.Time // earliest next state read
}

// entry is an Entry with state that only this process knows. That state is not
// stored, because times of different processes cannot be compared.
type entry struct {
	Entry
	loadReturnedAt   time.Time // when the last load order of this tenure was answered or failed
	unloadReturnedAt time.Time
	loadsClosedAt    time.Time // when LoadSenders was cleared
	drainStart       time.Time // when Draining was committed
	drainDeadline    time.Time
	drainOverruns    int
	retryAt          time.Time // earliest time of the next order
	resident         bool
	ready            bool // resident, serving, and protected from earlier unload orders
	running          int
	readSentAt       time.Time // when the last state read that was applied was requested
}

type pendingWrite struct {
	record         Record
	order          *order
	outcomeUnknown bool // the record is read to learn whether the write was applied
}

type order struct {
	engine.Order
	sender Sender
	key    Key
}

type stateReadRequest struct {
	id         uint64
	pending    bool
	sentAt     time.Time
	generation uint64
}

// NewReplica returns the ledger of a replica whose lease is not held yet. It
// emits no actions before the first LeaseAcquired.
func NewReplica(s Settings) *Replica {
	return &Replica{
		settings: s.withDefaults(), capacity: s.CapacityMB,
		outstanding: map[string]order{}, finishedAt: map[Sender]time.Time{},
	}
}

// Step handles one event and returns the actions that are due now.
func (r *Replica) Step(now time.Time, ev Event) []Action {
	var sends []Action
	switch ev := ev.(type) {
	case LeaseAcquired:
		r.handleLeaseAcquired(now, ev)
	case LeaseRenewed:
		if r.holdsLease && ev.Until.After(r.leaseUntil) {
			r.leaseUntil = ev.Until
		}
	case LeaseLost:
		r.holdsLease = false
	case TargetChanged:
		r.target, r.hasTarget = slices.Clone(ev.Target), true
	case Persisted, PersistFailed, PersistConflict, PersistUnknown, RecordRead, RecordReadFailed:
		sends = r.handleStoreEvent(now, ev)
	case OrderAnswered:
		if o, ok := r.completeOrder(now, ev.ID); ok {
			r.handleOrderResult(now, o, ev.Result)
		}
	case OrderFailed:
		if o, ok := r.completeOrder(now, ev.ID); ok {
			if e := r.findEntry(o.key); e != nil {
				e.retryAt = now.Add(r.settings.RetryDelay)
			}
		}
	case StateRead:
		r.applyEngineState(now, ev)
	case StateReadFailed:
		if r.stateRead.pending && r.stateRead.id == ev.ReadID {
			r.stateRead.pending, r.nextStateReadAt = false, now.Add(r.settings.PollInterval)
		}
	case SenderFinished:
		r.handleSenderFinished(now, ev.Sender)
	}
	return append(sends, r.advance(now)...)
}

func (r *Replica) handleLeaseAcquired(now time.Time, ev LeaseAcquired) {
	if ev.Record.Holder.Epoch >= ev.Self.Epoch || ev.Self.Epoch <= r.self.Epoch {
		return // a newer holder wrote the record, or the epoch is not new
	}
	newest := ev.Record
	if continues := ev.Continues != 0 && ev.Continues == r.self.Epoch; continues {
		newest = r.record()
	} else {
		r.lostOrders = ev.Record.LostOrders || ev.Restored
		r.lostOrdersUntil = now.Add(r.settings.MaxOrderDelay)
	}
	r.self, r.holdsLease, r.leaseUntil = ev.Self, true, ev.Until
	r.stored, r.storedVersion = ev.Record, ev.Version
	r.highestToken, r.bootID = newest.HighestToken, newest.BootID
	r.lastSequence, r.lastWrite, r.stateKnown = 0, 0, false
	r.dirty, r.pendingWrite, r.decidedOrder, r.readPending, r.nextStoreCallAt = ev.Restored, nil, nil, false, time.Time{}
	r.stateRead.pending, r.nextStateReadAt = false, time.Time{}
	r.generation++
	r.entries = make([]*entry, len(newest.Entries))
	for i, e := range newest.Entries {
		r.entries[i] = &entry{Entry: cloneEntry(e)}
		if e.State >= Draining {
			r.entries[i].drainStart, r.entries[i].drainDeadline = now, now.Add(r.settings.DrainDeadline)
		}
	}
	r.pruneFinished()
	// An earlier tenure of this process is finished if none of its orders is
	// outstanding.
	for _, s := range r.senders() {
		if s.Instance == r.self.Instance && s.Incarnation == r.self.Incarnation && !r.hasOutstanding(s) {
			r.markFinished(now, s)
		}
	}
}

// handleOrderResult applies the engine's answer to an order. It frees no memory:
// only a state read does.
func (r *Replica) handleOrderResult(now time.Time, o order, res engine.OrderResult) {
	if r.highestToken.Less(res.HighestToken) {
		r.highestToken, r.dirty = res.HighestToken, true
	}
	if res.HighestToken.Epoch > r.self.Epoch {
		r.holdsLease = false // a successor has sent orders
	}
	if e := r.findEntry(o.key); e != nil {
		e.retryAt = now.Add(r.settings.RetryDelay)
		if res.Accepted {
			e.retryAt = now.Add(r.settings.ResendDelay)
		}
	}
}

// completeOrder removes an outstanding order that was answered or failed. It
// returns false for orders that are unknown or of an earlier tenure.
func (r *Replica) completeOrder(now time.Time, id string) (order, bool) {
	o, ok := r.outstanding[id]
	if !ok {
		return o, false
	}
	delete(r.outstanding, id)
	r.generation++
	r.nextStateReadAt = now
	if o.sender != r.self {
		r.markFinished(now, o.sender)
		return o, false
	}
	if e := r.findEntry(o.key); e != nil {
		if o.Kind == engine.LoadModel || o.Kind == engine.LoadAdapter {
			e.loadReturnedAt = now
		} else {
			e.unloadReturnedAt = now
		}
	}
	return o, true
}

func (r *Replica) findEntry(k Key) *entry {
	for _, e := range r.entries {
		if e.Key() == k {
			return e
		}
	}
	return nil
}

func (r *Replica) hasOutstanding(s Sender) bool {
	for _, o := range r.outstanding {
		if o.sender == s {
			return true
		}
	}
	return false
}

func cloneEntry(e Entry) Entry {
	e.LoadSenders, e.UnloadSenders = slices.Clone(e.LoadSenders), slices.Clone(e.UnloadSenders)
	return e
}
