// Package leader decides which instance gives orders to replicas: the holder of
// one lease in the shared store. It is a state machine without I/O that never
// reads a clock.
//
// Invariant: two instances never order within the turn time of each other. A
// holder stops ordering a term after it sent its last confirmed renewal; a
// successor takes over only after it has seen the lease unchanged for a term,
// and orders only a turn later. Times are readings of one instance's own clock,
// which goes on while the machine is suspended.
package leader

import (
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
)

const (
	// Term is how long a holder may order after a renewal. It lasts through
	// three renewals at a store that answers 60 times slower than usual (0.25 s).
	Term = 2 * time.Second
	// renewEvery leaves two renewals that may fail within a term.
	renewEvery = 650 * time.Millisecond
	// turnMargin is added to the turn for orders that are on their way.
	turnMargin = 200 * time.Millisecond
	// contactTimeout is the shortest silence of the holder after which the lease is
	// read, and contactAnswers the number of its answers that must be missing.
	contactTimeout = 900 * time.Millisecond
	contactAnswers = 3
	// reluctance is the time for which an instance leaves a free lease to others
	// that are stronger.
	reluctance = 600 * time.Millisecond
	// readRetry is the time between reads while the store fails.
	readRetry = 500 * time.Millisecond
)

// Lease is the lease as the store holds it.
type Lease struct {
	Holder  string `json:"holder"`
	Address string `json:"address"` // of the holder's peer listener, as host:port
	Epoch   uint64 `json:"epoch"`
	// Start tells the holder's processes apart.
	Start int64 `json:"start"`
	// Settled says that the turn after the predecessor is over, so that the holder
	// may order.
	Settled bool `json:"settled,omitempty"`
	// Released says that the holder will not order any more.
	Released bool `json:"released,omitempty"`
}

// Row is the lease with its version; version 0 means that there is none.
type Row struct {
	Lease
	Version uint64
}

// Action is what the owner of the state has carried out.
type Action uint8

// The actions.
const (
	None Action = iota
	ReadLease
	WriteLease
)

// Write is a conditional write of the lease.
type Write struct {
	Lease   Lease
	Version uint64 // required version of the row
}

// State is one instance's view of the lease. It is not safe for concurrent use.
type State struct {
	self      Lease
	options   Options
	silence   time.Duration // of the holder after which the lease is read
	freeSince bootclock.Time

	row       Row
	known     bool           // row was read
	rowAt     bootclock.Time // when this version was seen first
	contact   bootclock.Time // last sign of life of the holder
	pending   bool           // a read or write is on its way
	pendingAt bootclock.Time // when it was sent
	nextRead  bootclock.Time

	held      bool
	heldUntil bootclock.Time
	orderFrom bootclock.Time
	renewAt   bootclock.Time
	stopping  bool
	next      Write
}

// Options are the fixed inputs of a state.
type Options struct {
	// Turn is the shortest time between the orders of two holders.
	Turn time.Duration
	// Reluctant instances take a free lease a little later than others, because the
	// holder has more to do.
	Reluctant bool
}

// New returns the state of an instance that holds nothing.
func New(id, address string, start int64, options Options) *State {
	return &State{self: Lease{Holder: id, Address: address, Start: start}, options: options, silence: contactTimeout}
}

// SetContactInterval records the time between two answers of the holder.
func (s *State) SetContactInterval(d time.Duration) {
	s.silence = max(contactTimeout, contactAnswers*d)
}

// Row returns the lease as last seen.
func (s *State) Row() Row { return s.row }

// Held reports whether this instance holds the lease, as far as it knows.
func (s *State) Held() bool { return s.held }

// Epoch returns the epoch of orders.
func (s *State) Epoch() uint64 { return s.row.Epoch }

// OrderUntil returns the time before which this instance may order; it may not
// order at all if ok is false.
func (s *State) OrderUntil(now bootclock.Time) (until bootclock.Time, ok bool) {
	if !s.held || s.stopping || now < s.orderFrom || now >= s.heldUntil {
		return 0, false
	}
	return s.heldUntil, true
}

// Contact records a sign of life of the holder, which names the version of the
// row that it wrote last. A successor counts the term from when it heard of that
// version.
func (s *State) Contact(now bootclock.Time, holder string, epoch, version uint64) {
	if !s.known || s.row.Holder != holder || s.row.Epoch != epoch {
		return
	}
	s.contact = now
	if version > s.row.Version {
		s.row.Version, s.rowAt = version, now
	}
}

// HolderStops records that the holder said that it has released the lease. The
// row is read at once.
func (s *State) HolderStops(now bootclock.Time, holder string, epoch uint64) {
	if s.known && !s.row.Released && s.row.Holder == holder && s.row.Epoch == epoch {
		s.contact, s.nextRead = 0, now
	}
}

// OrdersIn returns the time until some instance may order again, as far as this
// one knows; 0 if one may order now or nothing is known.
func (s *State) OrdersIn(now bootclock.Time) time.Duration {
	switch {
	case s.held && now >= s.heldUntil:
		return renewEvery // the store has not confirmed a renewal for a term
	case s.held:
		return max(0, s.orderFrom.Sub(now))
	case !s.known || s.row.Version == 0 || now.Sub(s.contact) < s.silence:
		return 0
	}
	return max(0, s.successorFrom().Sub(now))
}

// Stop ends this instance's term. The next Tick releases a held lease.
func (s *State) Stop() { s.stopping = true }

// Tick returns what is to be done now. The outcome of a read or write comes
// back through Seen, Written or Failed.
func (s *State) Tick(now bootclock.Time) Action {
	if s.pending {
		return None
	}
	switch {
	case s.held:
		return s.tickHolder(now)
	case s.stopping:
		return None
	case s.holderLives(now), now < s.nextRead:
		return None
	case s.known && s.mayTake(now):
		if s.waits(now) {
			return None
		}
		next := s.self
		next.Epoch = s.row.Epoch + 1
		next.Settled = s.ownBefore() && s.row.Settled
		return s.write(now, next)
	}
	s.nextRead = now.Add(readRetry)
	return s.start(now, ReadLease)
}

// holderLives reports whether the holder was heard of lately and has renewed the
// lease: one that is cut off from the store may still reach its peers, and stops
// ordering at the end of its term.
func (s *State) holderLives(now bootclock.Time) bool {
	return s.known && now.Sub(s.contact) < s.silence && now.Sub(s.rowAt) < Term
}

func (s *State) tickHolder(now bootclock.Time) Action {
	if s.stopping {
		next := s.row.Lease
		next.Released = true
		s.held = false
		return s.write(now, next)
	}
	if now < s.renewAt {
		return None
	}
	next := s.row.Lease
	next.Settled = next.Settled || now >= s.orderFrom
	return s.write(now, next)
}

func (s *State) start(now bootclock.Time, a Action) Action {
	s.pending, s.pendingAt = true, now
	return a
}

func (s *State) write(now bootclock.Time, lease Lease) Action {
	s.next = Write{Lease: lease, Version: s.row.Version}
	return s.start(now, WriteLease)
}

// Next returns the write that Tick asked for.
func (s *State) Next() Write { return s.next }

// mayTake reports whether the lease is free: there is none, it was released,
// it belongs to an earlier process of this instance, or it was not renewed for
// a term.
func (s *State) mayTake(now bootclock.Time) bool {
	return s.row.Version == 0 || s.row.Released || s.ownBefore() || now.Sub(s.rowAt) >= Term
}

// waits reports whether this instance leaves the free lease to others for now.
func (s *State) waits(now bootclock.Time) bool {
	if !s.options.Reluctant || s.ownBefore() {
		return false
	}
	if s.freeSince == 0 || s.freeSince < s.rowAt {
		s.freeSince = now
	}
	return now.Sub(s.freeSince) < reluctance
}

func (s *State) ownBefore() bool {
	return s.row.Holder == s.self.Holder && s.row.Address == s.self.Address
}

// Seen takes over the lease as the store holds it.
func (s *State) Seen(now bootclock.Time, row Row) {
	s.pending = false
	if s.known && row.Version < s.row.Version {
		return // the store answered from the past
	}
	if s.known && row.Version == s.row.Version {
		s.nextRead = s.rowAt.Add(Term)
		return
	}
	if s.held && !(row.Holder == s.self.Holder && row.Start == s.self.Start && row.Epoch == s.row.Epoch) {
		s.held = false
	}
	s.row, s.known, s.rowAt = row, true, now
	if s.held {
		return // a renewal without an answer was carried out; it counts from the next one
	}
	// A newly seen holder gets the time to make contact before it is doubted.
	s.nextRead = now
	if !s.mayTake(now) {
		s.contact = now
		s.nextRead = now.Add(s.silence)
	}
}

// Written takes over the confirmation of the last write.
func (s *State) Written(now bootclock.Time, version uint64) {
	s.pending = false
	sent := s.pendingAt
	if s.stopping || s.next.Lease.Released {
		s.held = false
		s.row = Row{Lease: s.next.Lease, Version: version}
		return
	}
	if !s.held {
		s.orderFrom = s.takeFrom(now)
	}
	s.row, s.known, s.rowAt = Row{Lease: s.next.Lease, Version: version}, true, now
	s.held, s.heldUntil, s.renewAt = true, sent.Add(Term), sent.Add(renewEvery)
}

// takeFrom returns the time from which a new holder may order. The predecessor
// gave its last order at most a term after the lease was seen first as it was.
func (s *State) takeFrom(now bootclock.Time) bootclock.Time {
	switch {
	case s.row.Version == 0, s.ownBefore() && s.row.Settled:
		return now
	case s.ownBefore():
		// An own lease that is not settled is a take-over of which the answer was
		// lost, or after which this instance started again.
		return s.rowAt.Add(s.options.Turn + turnMargin)
	}
	return s.successorFrom()
}

// successorFrom returns the time from which a successor of the lease's holder
// may order: a turn after it was released, or after its term.
func (s *State) successorFrom() bootclock.Time {
	if s.row.Released {
		return s.rowAt.Add(s.options.Turn + turnMargin)
	}
	return s.rowAt.Add(Term + s.options.Turn + turnMargin)
}

// Failed records that the last read or write had no effect, or an unknown one.
// The lease is read again.
func (s *State) Failed(now bootclock.Time, conflict bool) {
	s.pending = false
	s.nextRead = now.Add(readRetry)
	if conflict {
		// The row changed; it must be read before the next write.
		s.held, s.known = false, false
		s.nextRead = now
		return
	}
	if s.held {
		s.renewAt = now.Add(renewEvery / 2)
	}
}
