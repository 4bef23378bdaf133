// Package lease decides which shards this instance owns. Ownership is a record
// in the platform's table service whose epoch serves as fencing token. The
// package compares no clocks of different processes: a holder counts its term
// from before it sent its request, and a challenger counts from when it
// received a record that then stays unchanged. It does no I/O, reads no clock
// and knows no encoding.
package lease

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Shard names what a lease is about, such as "shard/17" or "plan/language-models".
type Shard string

// Record is the lease record of one shard. A shard without a record has never
// been owned.
type Record struct {
	Holder      fleet.InstanceID
	Incarnation fleet.Incarnation
	// Epoch increases with every change of the holder and is the fencing token.
	Epoch uint64
	// Attempt is unique among the writes of one incarnation. It tells a holder
	// which of its own writes took effect when an answer was lost.
	Attempt uint64
	// Released is true when the holder has given the shard up.
	Released bool
}

// Versioned is a record with its version in the store. Version 0 means that
// there is no record.
type Versioned struct {
	Shard   Shard
	Record  Record
	Version uint64
}

// Held is a shard that an instance holds and its epoch.
type Held struct {
	Shard Shard
	Epoch uint64
}

// Preference tells which instance should own a shard.
type Preference struct {
	Shard Shard
	Owner fleet.InstanceID
}

// Outcome is the result of a commit.
type Outcome uint8

// The outcomes of a commit. NotApplied is certain; Unknown is not.
const (
	Applied Outcome = iota
	Conflict
	NotApplied
	Unknown
)

// Event is what the state is told.
type Event interface{ leaseEvent() }

// Tick lets time pass. It should come at least once a second.
type Tick struct{}

// PreferencesChanged replaces the list of all shards and their preferred owners.
type PreferencesChanged struct{ Preferences []Preference }

// ReadResult answers a Read action. Missing records are those of the asked
// shards that are not in Records.
type ReadResult struct {
	ID      uint64
	OK      bool // false: the store could not be read
	Records []Versioned
}

// CommitResult answers a Commit action.
type CommitResult struct {
	ID      uint64
	Outcome Outcome
	// Versions are the new versions of the writes in order, if Applied.
	Versions []uint64
}

// OrdersSettled tells that no order of the shard is open and none will be
// given, in answer to HandOver.
type OrdersSettled struct{ Shard Shard }

// LeaveRequested tells that the instance is stopping: nothing more is
// acquired and everything held is handed over.
type LeaveRequested struct{}

func (Tick) leaseEvent()               {}
func (PreferencesChanged) leaseEvent() {}
func (ReadResult) leaseEvent()         {}
func (CommitResult) leaseEvent()       {}
func (OrdersSettled) leaseEvent()      {}
func (LeaveRequested) leaseEvent()     {}

// Action is what the state asks for.
type Action interface{ leaseAction() }

// Read asks for the records of the given shards. It must be answered by
// exactly one ReadResult with the same ID.
type Read struct {
	ID     uint64
	Shards []Shard
}

// Write replaces the record of a shard if its version is IfVersion; 0 requires
// that there is none.
type Write struct {
	Shard     Shard
	Record    Record
	IfVersion uint64
}

// Commit asks for one transaction of all writes. It must be answered by
// exactly one CommitResult with the same ID.
type Commit struct {
	ID     uint64
	Writes []Write
}

// Gained tells that the instance may act for the shard under the epoch. It
// may be told again for the same epoch after Lost with reason Expired.
type Gained struct {
	Shard Shard
	Epoch uint64
}

// Lost tells that the instance may no longer act for the shard.
type Lost struct {
	Shard  Shard
	Epoch  uint64
	Reason LossReason
}

// HandOver asks that no new order is given for the shard and that
// OrdersSettled is sent when none is open. The lease is still held and renewed.
type HandOver struct{ Shard Shard }

// HandOverCancelled withdraws HandOver: this instance is preferred again.
type HandOverCancelled struct{ Shard Shard }

func (Read) leaseAction()              {}
func (Commit) leaseAction()            {}
func (Gained) leaseAction()            {}
func (Lost) leaseAction()              {}
func (HandOver) leaseAction()          {}
func (HandOverCancelled) leaseAction() {}

// LossReason tells why a shard was lost.
type LossReason uint8

// The reasons for a loss.
const (
	Expired    LossReason = iota // not renewed in time; may be gained again
	TakenOver                    // the record shows another holder
	HandedOver                   // released by this instance
)

// Config holds the constants of the lease rule.
type Config struct {
	Self        fleet.InstanceID
	Incarnation fleet.Incarnation
	Seed        uint64 // for jitter

	Term       time.Duration // default 15 s
	RenewEvery time.Duration // default 4 s
	// WatchEvery is the period of reading records that this instance waits to
	// take over. Default 2 s.
	WatchEvery time.Duration
	// HandOverAfter is how long another instance must be preferred without a
	// break before a shard is handed over to it, so that a member that comes
	// and goes moves nothing. Default 5 s.
	HandOverAfter time.Duration
	// AcquireJitter spreads the first reads of newly preferred shards, so that
	// instances started together don't reach the store in one burst. Default 1 s.
	AcquireJitter time.Duration
	MaxAcquire    int // shards acquired per step; default 16
	MaxBatch      int // records per transaction or read; default 128
	// ResultTimeout is how long a result may be missing before the outcome
	// counts as unknown. Default 10 s.
	ResultTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDuration(&c.Term, 15*time.Second)
	setDuration(&c.RenewEvery, 4*time.Second)
	setDuration(&c.WatchEvery, 2*time.Second)
	setDuration(&c.HandOverAfter, 5*time.Second)
	setDuration(&c.AcquireJitter, time.Second)
	setDuration(&c.ResultTimeout, 10*time.Second)
	if c.MaxAcquire == 0 {
		c.MaxAcquire = 16
	}
	if c.MaxBatch == 0 {
		c.MaxBatch = 128
	}
	return c
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// actFor is how long a holder may act, counted from before its request was sent.
func (c Config) actFor() time.Duration { return c.Term * 2 / 3 }

// challengeAfter is how long a record must stay unchanged before take-over.
func (c Config) challengeAfter() time.Duration { return c.Term + c.Term/10 }
