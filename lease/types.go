// Package lease decides which shards this instance of the serve program owns.
// Each shard has a lease record in the platform's table service, with an epoch as
// fencing token. Package leader, by contrast, elects one instance of the edge
// program by a single lease. Package lease does no I/O and reads no clock; package
// leaserecord encodes the records.
//
// Clocks of different processes are never compared: a holder measures its term from
// the time at which it requested the write, and a challenger takes a lease over
// after it has seen an unchanged record for longer than a term.
package lease

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Shard is the name of a unit of work with one owner, such as "shard/17" or
// "plan/language-models".
type Shard string

// Record is the lease record of one shard. A shard without a record has had no
// holder yet.
type Record struct {
	Holder      fleet.InstanceID
	Incarnation fleet.Incarnation
	// Epoch is the fencing token. It increases with every change of the holder.
	Epoch uint64
	// Attempt is unique among the writes of one incarnation. After a lost answer
	// it shows the holder which of its writes took effect.
	Attempt uint64
	// Released is true if the holder has released the lease.
	Released bool
	// Era is the era of the store that the write was made for. A record with
	// another era is one that a restore of the store brought back.
	Era uint64
}

// VersionedRecord is a record with its version in the store. Version 0 means that no
// record exists.
type VersionedRecord struct {
	Shard   Shard
	Record  Record
	Version uint64
}

// HeldShard is a shard that an instance holds, and the epoch of its lease.
type HeldShard struct {
	Shard Shard
	Epoch uint64
}

// Preference is the instance that should own a shard.
type Preference struct {
	Shard Shard
	Owner fleet.InstanceID
}

// CommitOutcome is the result of a commit.
type CommitOutcome uint8

// The outcomes of a commit.
const (
	Applied    CommitOutcome = iota
	Conflict                 // the version of a record did not match
	NotApplied               // nothing was applied and nothing will be
	Unknown                  // the writes may have been applied or may still be applied later
)

// Event is an input of State.Step.
type Event interface{ leaseEvent() }

// Tick triggers whatever is due at the current time. It should be sent at least
// once a second.
type Tick struct{}

// PreferencesChanged replaces the list of all shards and their preferred owners.
type PreferencesChanged struct{ Preferences []Preference }

// ReadResult answers a Read action. Requested shards that are not in Records have
// no record.
type ReadResult struct {
	ID      uint64
	OK      bool   // false: the store could not be read
	Era     uint64 // era of the store, for shards without a record
	Records []VersionedRecord
}

// CommitResult answers a Commit action.
type CommitResult struct {
	ID      uint64
	Outcome CommitOutcome
	// Versions are the new versions in the order of the writes, if Outcome is
	// Applied.
	Versions []uint64
}

// OrdersClosed answers HandOver: no order of the shard is open and none will be
// sent.
type OrdersClosed struct{ Shard Shard }

// LeaveRequested reports that the instance is stopping. It acquires no more shards
// and hands over all shards that it holds.
type LeaveRequested struct{}

func (Tick) leaseEvent()               {}
func (PreferencesChanged) leaseEvent() {}
func (ReadResult) leaseEvent()         {}
func (CommitResult) leaseEvent()       {}
func (OrdersClosed) leaseEvent()       {}
func (LeaveRequested) leaseEvent()     {}

// Action is a request of State.Step that its caller carries out.
type Action interface{ leaseAction() }

// Read requests the records of the given shards. It must be answered by exactly
// one ReadResult with the same ID.
type Read struct {
	ID     uint64
	Shards []Shard
}

// Write replaces the record of a shard if its version is IfVersion. IfVersion 0
// requires that no record exists.
type Write struct {
	Shard     Shard
	Record    Record
	IfVersion uint64
}

// Commit requests one transaction with all writes. It must be answered by exactly
// one CommitResult with the same ID.
type Commit struct {
	ID     uint64
	Writes []Write
}

// Gained reports that the instance can act for the shard under the epoch. It can
// be reported again for the same epoch, for example after Lost with reason Expired.
type Gained struct {
	Shard Shard
	Epoch uint64
	// Continues is the epoch under which this process acted until the store was
	// restored, if no other process has had the lease since; otherwise 0.
	Continues uint64
}

// Lost reports that the instance must no longer act for the shard.
type Lost struct {
	Shard  Shard
	Epoch  uint64
	Reason LossReason
}

// HandOver requests that no new order is sent for the shard, and OrdersClosed
// once no order is open. Until then the lease is held and renewed.
type HandOver struct{ Shard Shard }

// HandOverCancelled cancels HandOver, because this instance is preferred again.
type HandOverCancelled struct{ Shard Shard }

func (Read) leaseAction()              {}
func (Commit) leaseAction()            {}
func (Gained) leaseAction()            {}
func (Lost) leaseAction()              {}
func (HandOver) leaseAction()          {}
func (HandOverCancelled) leaseAction() {}

// LossReason is the reason why a shard was lost.
type LossReason uint8

// The reasons for the loss of a shard.
const (
	Expired    LossReason = iota // not renewed in time; can be gained again under the same epoch
	TakenOver                    // the record names another holder
	HandedOver                   // released by this instance
	// StoreRestored means that the record was lost when the store was restored.
	// The lease can be acquired again at once, under another epoch.
	StoreRestored
)

// Config configures a State. A zero duration or count selects the default.
type Config struct {
	Self        fleet.InstanceID
	Incarnation fleet.Incarnation
	Seed        uint64 // for jitter

	// Term is how long a written record is protected against takeover.
	// The holder can act for two thirds of it. Default 15 s.
	Term          time.Duration
	RenewInterval time.Duration // interval between renewals; default 4 s
	// WatchInterval is the interval between reads of a record that this instance
	// waits to take over. Default 2 s.
	WatchInterval time.Duration
	// HandOverDelay is how long another instance must be preferred
	// without interruption before a shard is handed over to it, so that a
	// flapping member moves no shards. Default 5 s.
	HandOverDelay time.Duration
	// AcquireJitter is the maximum random delay of the first read of a newly
	// preferred shard. It prevents a burst of reads from instances that start
	// together. Default 1 s.
	AcquireJitter time.Duration
	MaxAcquire    int // shards being acquired at the same time; default 16
	MaxBatch      int // records per transaction or read; default 128
	// ResultTimeout is the time after which the outcome of an unanswered request
	// is treated as unknown. Default 10 s.
	ResultTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.Term, 15*time.Second)
	setDefault(&c.RenewInterval, 4*time.Second)
	setDefault(&c.WatchInterval, 2*time.Second)
	setDefault(&c.HandOverDelay, 5*time.Second)
	setDefault(&c.AcquireJitter, time.Second)
	setDefault(&c.ResultTimeout, 10*time.Second)
	if c.MaxAcquire == 0 {
		c.MaxAcquire = 16
	}
	if c.MaxBatch == 0 {
		c.MaxBatch = 128
	}
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// actDuration returns how long a holder can act, measured from the time at which
// it requested the write.
func (c Config) actDuration() time.Duration { return c.Term * 2 / 3 }

// challengeDelay returns how long a record must stay unchanged before
// another instance takes the lease over.
func (c Config) challengeDelay() time.Duration { return c.Term + c.Term/10 }

var lossReasonNames = [...]string{"expired", "taken over", "handed over", "store restored"}

// String returns the name of the reason, as in log lines.
func (r LossReason) String() string {
	if int(r) < len(lossReasonNames) {
		return lossReasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}
