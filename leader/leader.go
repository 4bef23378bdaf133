// Package leader elects the edge instance that sends orders to replicas: the
// holder of one lease in the shared store. It is a state machine that does no
// I/O and reads no clock. Package lease, by contrast, assigns many shards to the
// instances of the serve program, each with a lease of its own.
//
// Invariant: the orders of two holders arrive at a replica at least Options.HandoverGap
// apart. A holder stops ordering orderWindow after it sent its last confirmed renewal,
// and an order arrives within maxOrderDelay of its sending or not at all. A successor
// acquires the lease only after it was released or has stayed unchanged for one Term. It
// sends its first order at least Options.HandoverGap after the last order can have
// arrived. A holder that stops releases the lease only once each of its orders and of
// those before it is answered, was not sent, or can't arrive any more; else the lease runs
// out. All times are readings of the local boot clock, which advances while the machine is
// suspended.
//
// A restore of the store from a copy begins a new era, in which the row of the lease is
// lost or old. Each record therefore contains the era in which it was written; a record
// of an earlier era says nothing about the last holder, nor does a missing one. The
// successor then waits as it does for a holder that renewed the lease just now. Only the
// last holder goes on without waiting, if no successor can order before it stops.
//
// Invariant: an epoch belongs to one acquisition, and a later one has a higher epoch. Epochs
// contain the era. Within an era the row of the lease does not show which epochs were given
// out: versions of the earlier era are given out again, so an instance that missed the
// restore can replace the row with a record of the earlier era. Each acquisition therefore
// also writes the epoch record of its era, which has a row for each era.
package leader

import (
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

const (
	// Term is the time after which a lease that is not renewed is free. It covers three
	// renewals if the store answers in 0.25 s, 60 times the usual time.
	Term = 2 * time.Second
	// renewInterval is the time between renewals. Two renewals can fail within a
	// Term without loss of the lease.
	renewInterval = 650 * time.Millisecond
	// handoverMargin is added to Options.HandoverGap after a release.
	handoverMargin = 200 * time.Millisecond
	// The lease is read after missedAnswers answers of the holder are overdue, but
	// not before minContactTimeout without contact.
	minContactTimeout = 900 * time.Millisecond
	missedAnswers     = 3
	// acquisitionDelay is the time for which an instance with DelayAcquisition leaves
	// a free lease to instances with more capacity.
	acquisitionDelay = 600 * time.Millisecond
	// readRetryInterval is the time between reads while calls to the store fail.
	readRetryInterval = 500 * time.Millisecond
	// maxHolderUnknown bounds HolderExpected. Besides acquisitionDelay, it covers a
	// read, a write that conflicts and a second read, each requested up to 0.1 s late
	// and answered within another 0.1 s.
	maxHolderUnknown = acquisitionDelay + 600*time.Millisecond
	// epochsPerEra is the distance between the first epochs of two eras. The holder does
	// not change a million times in an era.
	epochsPerEra = 1 << 20
)

// State is one instance's view of the lease. It is not safe for concurrent use.
type State struct {
	self           Lease
	options        Options
	contactTimeout time.Duration  // time without contact after which the lease is read
	freeSince      bootclock.Time // when the lease was first seen free, with DelayAcquisition

	row         Row
	rowKnown    bool           // row has been read
	rowSince    bootclock.Time // when this version was first seen
	lastContact bootclock.Time // when the holder was last known to be alive
	pending     bool           // a read or write is in flight
	sentAt      bootclock.Time // when the last call was sent
	nextRead    bootclock.Time // earliest time of the next read or acquisition

	callFailed   bool           // the last call was not answered
	unknownSince bootclock.Time // last time the holder was known, or start of the wait for it

	era        uint64 // newest era of the store that was seen
	eraKnown   bool
	eraChanged bool // the store was restored while this process ran
	// resumes is true if this instance was the last holder when it learned of the era, until
	// resumeUntil.
	resumes bool

	held      bool
	heldUntil bootclock.Time // end of the last term
	orderFrom bootclock.Time // earliest time of an order
	orders    orderFates
	// handoverDone is HandoverDone of the last confirmed write.
	handoverDone bool
	renewAt      bootclock.Time // when the next renewal is due
	stopping     bool
	nextWrite    Write
}

// Options configures a State.
type Options struct {
	// HandoverGap is the minimum time between the orders of two holders.
	HandoverGap time.Duration
	// DelayAcquisition delays the acquisition of a free lease, so that an instance
	// with more capacity acquires it first: the holder has more work than others.
	DelayAcquisition bool
	// FirstStart is true if the deployment starts for the first time: a lease that does
	// not exist within a Term of StartedAt has never existed.
	FirstStart bool
	StartedAt  bootclock.Time // start of the process
}

// New returns the State of an instance that does not hold the lease. start is the
// start time of its process in Unix nanoseconds.
func New(id, address string, start int64, options Options) *State {
	return &State{self: Lease{Holder: id, Address: address, ProcessStart: start}, options: options, contactTimeout: minContactTimeout}
}

// SetContactInterval sets the expected time between two answers of the holder.
func (s *State) SetContactInterval(d time.Duration) {
	s.contactTimeout = max(minContactTimeout, missedAnswers*d)
}

// Row returns the last known row of the lease.
func (s *State) Row() Row { return s.row }

// Held reports whether this instance believes that it holds the lease.
func (s *State) Held() bool { return s.held }

// WithinTerm reports whether this instance holds the lease and no other instance can have
// acquired it.
func (s *State) WithinTerm(now bootclock.Time) bool { return s.held && now < s.heldUntil }

// Epoch returns the epoch of the lease, which is the fencing token of orders.
func (s *State) Epoch() uint64 { return s.row.Epoch }

// HolderExpected reports whether the holder is not known yet, but probably will be
// within maxHolderUnknown: the lease has not been read or has just changed hands, and
// the store has not failed to answer.
func (s *State) HolderExpected(now bootclock.Time) bool {
	if s.holderKnown() || s.callFailed || s.stopping {
		return false
	}
	return s.unknownSince == 0 || now.Sub(s.unknownSince) < maxHolderUnknown
}

func (s *State) holderKnown() bool { return s.rowKnown && s.row.current() }

// recordAnswer records that the store answered a call.
func (s *State) recordAnswer(now bootclock.Time) {
	if s.callFailed || s.holderKnown() {
		s.callFailed, s.unknownSince = false, now
	}
}

// RecordContact records a message from the holder, which contains the version that
// the holder wrote last. A successor counts the term from the time at which it
// first received that version.
func (s *State) RecordContact(now bootclock.Time, holder string, epoch uint64, version rowstore.Version) {
	if s.eraKnown {
		s.RecordEra(now, version.Era())
	}
	if !s.rowKnown || version.Era() < s.era || s.row.Holder != holder || s.row.Epoch != epoch {
		return
	}
	s.lastContact = now
	if version > s.row.Version {
		s.row.Version, s.rowSince = version, now
	}
}

// RecordRelease records the holder's message that it has released the lease. The
// next Tick reads the row.
func (s *State) RecordRelease(now bootclock.Time, holder string, epoch uint64) {
	if s.rowKnown && !s.row.Released && s.row.Holder == holder && s.row.Epoch == epoch {
		s.lastContact, s.nextRead = 0, now
	}
}

// Stop ends the orders of this instance and makes Tick release the lease, if this
// instance holds it, as soon as no order can arrive any more. The instance neither renews
// the lease nor acquires it again.
func (s *State) Stop() { s.stopping, s.renewAt = true, 0 }

// Tick returns the call to the store that is due now. The caller reports its
// result with RecordRead, RecordWritten or RecordFailure; until then, Tick returns
// None.
func (s *State) Tick(now bootclock.Time) Action {
	if s.unknownSince == 0 {
		s.unknownSince = now
	}
	if s.pending {
		return None
	}
	s.resumes = s.resumes && now < s.resumeUntil() // later, a successor can order
	switch {
	case s.held:
		return s.tickHolder(now)
	case s.stopping:
		return None
	case s.holderAlive(now), now < s.nextRead:
		return None
	case s.rowKnown && s.leaseFree(now):
		if s.delaysAcquisition(now) {
			return None
		}
		next := s.self
		next.Era = s.row.Version.Era()
		next.Epoch = max(s.row.Epoch, s.row.Epochs.Last, next.Era*epochsPerEra) + 1
		next.HandoverDone = s.writtenBySelf() && s.row.HandoverDone || s.resumesLease() && now >= s.orderFrom
		return s.startWrite(now, Write{Lease: next, GivesEpoch: true, EpochsVersion: s.row.Epochs.Version})
	}
	s.nextRead = now.Add(readRetryInterval)
	return s.startCall(now, ReadLease)
}

// holderAlive reports whether the holder was in contact recently and has renewed
// the lease within a term. Contact alone is not enough: a holder that has lost
// the store can still reach its peers, but stops ordering at the end of its term.
func (s *State) holderAlive(now bootclock.Time) bool {
	return s.rowKnown && now.Sub(s.lastContact) < s.contactTimeout && now.Sub(s.rowSince) < Term
}

func (s *State) tickHolder(now bootclock.Time) Action {
	next := s.row.Lease
	next.HandoverDone = next.HandoverDone || now >= s.orderFrom
	switch {
	case s.stopping && now >= s.heldUntil:
		s.held = false
		return None
	case now < s.renewAt, s.stopping && !s.orders.settled(now):
		return None
	case s.stopping:
		next.Released = true
	}
	return s.startWrite(now, Write{Lease: next})
}

func (s *State) startCall(now bootclock.Time, a Action) Action {
	s.pending, s.sentAt = true, now
	return a
}

func (s *State) startWrite(now bootclock.Time, w Write) Action {
	w.Version = s.row.Version
	s.nextWrite = w
	return s.startCall(now, WriteLease)
}

// NextWrite returns the write that belongs to the last WriteLease returned by Tick.
func (s *State) NextWrite() Write { return s.nextWrite }

// leaseFree reports whether the lease can be acquired: it never existed, was released,
// was written by an earlier process of this instance, is resumed by this instance, or was
// not renewed for a term.
func (s *State) leaseFree(now bootclock.Time) bool {
	return s.neverHeld() || s.released() || s.writtenBySelf() || s.resumesLease() || now.Sub(s.rowSince) >= Term
}

// delaysAcquisition reports whether this instance still leaves the free lease to
// others because of DelayAcquisition.
func (s *State) delaysAcquisition(now bootclock.Time) bool {
	if !s.options.DelayAcquisition || s.writtenBySelf() || s.resumesLease() {
		return false
	}
	if s.freeSince == 0 || s.freeSince < s.rowSince {
		s.freeSince = now
	}
	return now.Sub(s.freeSince) < acquisitionDelay
}

// writtenBySelf reports whether this instance wrote the row, in this process or an
// earlier one.
func (s *State) writtenBySelf() bool {
	return s.row.current() && s.row.Holder == s.self.Holder && s.row.Address == s.self.Address
}

// RecordRead records the result of a read.
func (s *State) RecordRead(now bootclock.Time, row Row) {
	s.pending = false
	s.recordAnswer(now)
	s.RecordEra(now, row.Version.Era())
	if row.Version.Era() < s.era || s.rowKnown && row.Version < s.row.Version {
		return // a stale read
	}
	if s.rowKnown && row.Version == s.row.Version {
		s.nextRead = s.rowSince.Add(Term)
		return
	}
	if s.held && !(row.Holder == s.self.Holder && row.ProcessStart == s.self.ProcessStart && row.Epoch == s.row.Epoch) {
		s.held = false
	}
	s.row, s.rowKnown, s.rowSince = row, true, now
	if s.held {
		return // a renewal took effect without an answer; the term is extended by the next one
	}
	// A new holder gets one contact timeout before the lease is read again.
	s.nextRead = now
	if !s.leaseFree(now) {
		s.lastContact = now
		s.nextRead = now.Add(s.contactTimeout)
	}
}

// RecordWritten records that the last write was confirmed, with the new version of
// the row. A write that belongs to another era than its version is void: its condition
// held by accident or its effect is lost, and its epoch is one of the other era.
func (s *State) RecordWritten(now bootclock.Time, version rowstore.Version) {
	s.pending = false
	s.recordAnswer(now)
	sent := s.sentAt
	s.RecordEra(now, version.Era())
	if version.Era() != s.era || s.nextWrite.Lease.Era != s.era {
		s.held, s.rowKnown, s.nextRead = false, false, now
		return
	}
	row := Row{Lease: s.nextWrite.Lease, Version: version, Epochs: s.row.Epochs}
	if s.nextWrite.GivesEpoch {
		row.Epochs = EpochRecord{Last: row.Epoch, Version: version}
	}
	if s.nextWrite.Lease.Released {
		s.held = false
		s.row = row
		return
	}
	if !s.held {
		s.orderFrom = max(s.firstOrderTime(now), s.ownOrdersArriveBy(now))
		if !s.neverHeld() && !s.released() {
			s.orders.waitUntil(ordersArriveBy(s.rowSince))
		}
	}
	s.row, s.rowKnown, s.rowSince = row, true, now
	s.held, s.heldUntil, s.renewAt, s.resumes = true, sent.Add(Term), sent.Add(renewInterval), false
	s.handoverDone = s.nextWrite.Lease.HandoverDone
	if s.stopping {
		s.renewAt = now
	}
}

// RecordRejected records that the store rejected a write for a reason that does not
// concern the lease. The next Tick repeats the write.
func (s *State) RecordRejected(now bootclock.Time) {
	s.pending = false
	s.recordAnswer(now)
	s.renewAt = now
}

// RecordFailure records that the last read or write failed, perhaps after it took
// effect. conflict is true if the row had another version than a write required; the
// lease is then read before the next write. Other failed calls are retried.
func (s *State) RecordFailure(now bootclock.Time, conflict bool) {
	s.pending = false
	s.nextRead = now.Add(readRetryInterval)
	if conflict {
		s.recordAnswer(now)
		s.held, s.rowKnown = false, false
		s.nextRead = now
		return
	}
	s.callFailed = true
	if s.held {
		s.renewAt = now.Add(renewInterval / 2)
	}
}
