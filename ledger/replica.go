package ledger

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Replica is the ledger of one replica. It is owned by one goroutine. One
// Replica should be kept for the life of the process, so that it knows which
// of its own orders have not returned when it adopts the record again.
type Replica struct {
	set      Settings
	self     Sender
	holding  bool
	until    time.Time // end of the lease
	capacity int
	entries  []*entry
	target   []Item
	planned  bool // a target has been given
	observed bool // the engine's state was read in this tenure

	sequence uint64
	seen     fleet.Token
	boot     string

	stored   Record // newest record known to be committed
	version  uint64
	write    uint64
	dirty    bool
	saving   *saving
	reading  bool
	storeAt  time.Time // earliest next store call
	order    *order    // decided, and waiting for the commit of the record
	open     map[string]order
	finished map[Sender]time.Time

	// generation counts orders that were sent or returned. A state read that
	// overlaps such a change is not used.
	generation uint64
	readAfter  uint64 // generation of the last read that was used
	query      query
	queryAt    time.Time // earliest next state read
}

// entry is an Entry and what this process knows about it. None of it is
// stored, because times of different processes cannot be compared.
type entry struct {
	Entry
	loadReturned   time.Time // last load order of this tenure returned
	unloadReturned time.Time
	loadsClosed    time.Time // when LoadSenders became empty
	drainSince     time.Time // when Draining was committed
	drainUntil     time.Time
	postponed      int
	retryAt        time.Time // earliest next order
	resident       bool
	ready          bool // resident, serving, and safe from earlier unload orders
	running        int
	readAt         time.Time // when the read that showed this was sent
}

type saving struct {
	record  Record
	order   *order
	unknown bool // the outcome is unknown and the record is read back
}

type order struct {
	engine.Order
	sender Sender
	key    Key
}

type query struct {
	id         uint64
	pending    bool
	at         time.Time
	generation uint64
}

// NewReplica returns the ledger of a replica whose lease is not held yet.
func NewReplica(s Settings) *Replica {
	return &Replica{
		set: s.withDefaults(), capacity: s.CapacityMB,
		open: map[string]order{}, finished: map[Sender]time.Time{},
	}
}

// Step handles one event and returns what has to be done now.
func (r *Replica) Step(now time.Time, ev Event) []Action {
	var sends []Action
	switch ev := ev.(type) {
	case Adopt:
		r.adopt(now, ev)
	case LeaseRenewed:
		if r.holding && ev.Until.After(r.until) {
			r.until = ev.Until
		}
	case LeaseLost:
		r.holding = false
	case Want:
		r.target, r.planned = slices.Clone(ev.Target), true
	case Persisted, PersistFailed, PersistConflict, PersistUnknown, RecordRead, ReadFailed:
		sends = r.storeEvent(now, ev)
	case OrderAnswered:
		if o, ok := r.returned(now, ev.ID); ok {
			r.answered(now, o, ev.Result)
		}
	case OrderFailed:
		if o, ok := r.returned(now, ev.ID); ok {
			if e := r.find(o.key); e != nil {
				e.retryAt = now.Add(r.set.Retry)
			}
		}
	case Observed:
		r.observe(now, ev)
	case ObserveFailed:
		if r.query.pending && r.query.id == ev.Query {
			r.query.pending, r.queryAt = false, now.Add(r.set.Poll)
		}
	case SenderFinished:
		r.senderFinished(now, ev.Sender)
	}
	return append(sends, r.advance(now)...)
}

func (r *Replica) adopt(now time.Time, ev Adopt) {
	if ev.Record.Holder.Epoch >= ev.Self.Epoch || ev.Self.Epoch <= r.self.Epoch {
		return // a newer holder has written, or the epoch is not new
	}
	r.self, r.holding, r.until = ev.Self, true, ev.Until
	r.stored, r.version = ev.Record, ev.Version
	r.seen, r.boot = ev.Record.Seen, ev.Record.BootID
	r.sequence, r.write, r.observed = 0, 0, false
	r.dirty, r.saving, r.order, r.reading, r.storeAt = false, nil, nil, false, time.Time{}
	r.query.pending, r.queryAt = false, time.Time{}
	r.generation++
	r.entries = make([]*entry, len(ev.Record.Entries))
	for i, e := range ev.Record.Entries {
		r.entries[i] = &entry{Entry: cloneEntry(e)}
		if e.State >= Draining {
			r.entries[i].drainSince, r.entries[i].drainUntil = now, now.Add(r.set.DrainDeadline)
		}
	}
	r.forgetSenders()
	// Orders of an earlier tenure of this process are finished when none of
	// them is in the sender's hands.
	for _, s := range r.senders() {
		if s.Instance == r.self.Instance && s.Incarnation == r.self.Incarnation && !r.hasOpen(s) {
			r.finish(now, s)
		}
	}
}

// answered applies the engine's answer. It frees nothing: only a state read does.
func (r *Replica) answered(now time.Time, o order, res engine.OrderResult) {
	if r.seen.Less(res.HighestToken) {
		r.seen, r.dirty = res.HighestToken, true
	}
	if res.HighestToken.Epoch > r.self.Epoch {
		r.holding = false // a successor has sent orders
	}
	if e := r.find(o.key); e != nil {
		e.retryAt = now.Add(r.set.Retry)
		if res.Accepted {
			e.retryAt = now.Add(r.set.Resend)
		}
	}
}

// returned removes an order that the sender will not send again.
func (r *Replica) returned(now time.Time, id string) (order, bool) {
	o, ok := r.open[id]
	if !ok {
		return o, false
	}
	delete(r.open, id)
	r.generation++
	r.queryAt = now
	if o.sender != r.self {
		r.finish(now, o.sender)
		return o, false
	}
	if e := r.find(o.key); e != nil {
		if o.Kind == engine.LoadModel || o.Kind == engine.LoadAdapter {
			e.loadReturned = now
		} else {
			e.unloadReturned = now
		}
	}
	return o, true
}

func (r *Replica) find(k Key) *entry {
	for _, e := range r.entries {
		if e.Key() == k {
			return e
		}
	}
	return nil
}

func (r *Replica) hasOpen(s Sender) bool {
	for _, o := range r.open {
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
