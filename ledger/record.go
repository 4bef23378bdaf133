// Package ledger decides what is loaded on and unloaded from one replica so
// that its accelerator memory is never overcommitted. It keeps the record of
// reserved memory, the orders that may still take effect and the proof that
// they cannot any more. It does no I/O and reads no clock; package
// ledgerrecord encodes the record for the table service.
package ledger

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// State is the state of an entry.
type State uint8

// The states of an entry. Memory counts in all of them, except for a settling
// entry that is marked Freed.
const (
	Reserved  State = iota // memory is reserved; the owner has no load order on the way
	Loading                // a load order may have been sent
	Ready                  // the engine showed the entry ready
	Draining               // no new requests; running ones finish
	Unloading              // an unload order may have been sent
	Settling               // the engine shows the entry absent, but orders may still take effect
)

var stateNames = [...]string{"reserved", "loading", "ready", "draining", "unloading", "settling"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// ParseState returns the state with the given name.
func ParseState(name string) (State, error) {
	for i, n := range stateNames {
		if n == name {
			return State(i), nil
		}
	}
	return 0, fmt.Errorf("unknown ledger state %q", name)
}

// Key identifies an entry on a replica.
type Key struct {
	Name    string
	Version string
}

// Sender is a holder of the replica's lease that may have sent an order. The
// zero Sender stands for any instance, which may load a reserved adapter on an
// engine that checks tokens.
type Sender struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	Epoch       uint64
}

// Entry is a model or adapter at a version with the memory it needs.
type Entry struct {
	Name     string
	Base     string // empty for a model
	Version  string
	MemoryMB int
	State    State
	// Freed marks a settling entry that no longer counts. It stays in the
	// record until its unload orders cannot take effect any more.
	Freed bool
	// LoadToken and UnloadToken are the highest tokens of orders that may
	// have been sent for the entry.
	LoadToken   fleet.Token
	UnloadToken fleet.Token
	// LoadSenders and UnloadSenders name who may have sent an order that can
	// still take effect.
	LoadSenders   []Sender
	UnloadSenders []Sender
}

// Key returns the key of the entry.
func (e Entry) Key() Key { return Key{e.Name, e.Version} }

// Record is the stored state of one replica's ledger. Every order is in the
// record before it is sent.
type Record struct {
	Replica fleet.EndpointID
	Holder  Sender // who wrote the record
	Write   uint64 // number of the write under Holder's epoch
	Seen    fleet.Token
	BootID  string
	Entries []Entry
}

// Item is a model or adapter that a replica should hold.
type Item struct {
	Name     string
	Base     string // empty for a model
	Version  string
	MemoryMB int
}

// Key returns the key of the item.
func (i Item) Key() Key { return Key{i.Name, i.Version} }

// Settings describe one replica and the bounds its ledger works with. A
// duration of zero selects the default.
type Settings struct {
	Replica    fleet.EndpointID
	CapacityMB int
	// OverheadMB is the memory that the engine uses beside its residents.
	OverheadMB int
	// ChecksTokens is true when the engine refuses orders with an old token.
	ChecksTokens bool
	// TokensSurviveRestart is true when the engine still refuses old tokens
	// after it restarted. Without it a token proves that an order is closed
	// only until the next restart, so memory also waits for MaxOrderDelay.
	TokensSurviveRestart bool

	MaxOrderDelay time.Duration // longest time from sending an order to its effect
	MaxViewAge    time.Duration // oldest view from which an instance loads an adapter
	DrainNotice   time.Duration // time until every instance has stopped sending requests to a draining entry
	DrainDeadline time.Duration // after it a drain that has not ended is reported as postponed
	Poll          time.Duration // between state reads while something changes
	IdlePoll      time.Duration // between state reads otherwise
	Retry         time.Duration // before a failed order or store call is repeated
	Resend        time.Duration // before an acknowledged order without visible effect is repeated
}

// Defaults of Settings.
const (
	DefaultMaxOrderDelay = 5 * time.Minute
	DefaultMaxViewAge    = 15 * time.Second
	DefaultDrainNotice   = 3 * time.Second // bound of invariant I6
	DefaultDrainDeadline = time.Minute
	DefaultPoll          = time.Second
	DefaultIdlePoll      = 5 * time.Second
	DefaultRetry         = time.Second
	DefaultResend        = 30 * time.Second
)

func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.MaxOrderDelay, DefaultMaxOrderDelay}, {&s.MaxViewAge, DefaultMaxViewAge},
		{&s.DrainNotice, DefaultDrainNotice}, {&s.DrainDeadline, DefaultDrainDeadline},
		{&s.Poll, DefaultPoll}, {&s.IdlePoll, DefaultIdlePoll},
		{&s.Retry, DefaultRetry}, {&s.Resend, DefaultResend},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return s
}
