// Package ledger decides which models and adapters are loaded on and unloaded
// from one replica, so that its accelerator memory is never overcommitted. It
// owns the record of reserved memory and of the orders that can still take
// effect. It frees memory only after the engine reports an entry as absent and no
// load order for it can still take effect. It does no I/O and reads no clock;
// package ledgerrecord encodes the record for the table service.
package ledger

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// State is the state of an entry.
type State uint8

// The states of an entry. Its memory counts in every state, unless the entry is
// settling and marked Freed.
const (
	Reserved  State = iota // memory is reserved; the owner has no load order in transit
	Loading                // a load order may have been sent
	Ready                  // the engine reported the entry as ready
	Draining               // gets no new requests; running requests finish
	Unloading              // an unload order may have been sent
	Settling               // the engine reported the entry as absent, but orders can still take effect
)

var stateNames = [...]string{"reserved", "loading", "ready", "draining", "unloading", "settling"}

// String returns the name of the state, as it is stored.
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

// Key identifies an entry within the ledger of a replica.
type Key struct {
	Name    string
	Version string
}

// Sender is a holder of the replica's lease that may have sent an order. The
// zero Sender stands for every instance: on an engine that checks tokens, any
// instance can load a reserved adapter.
type Sender struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	Epoch       uint64
}

// Entry is one version of a model or adapter, with its memory and load state.
type Entry struct {
	Name     string
	Base     string // empty for a model
	Version  string
	MemoryMB int
	State    State
	// Freed is true for a settling entry whose memory no longer counts. The entry
	// stays in the record until its unload orders can no longer take effect.
	Freed bool
	// LoadToken and UnloadToken are the highest tokens of orders that may
	// have been sent for the entry.
	LoadToken   fleet.Token
	UnloadToken fleet.Token
	// LoadSenders and UnloadSenders list the senders of orders that can still
	// take effect.
	LoadSenders   []Sender
	UnloadSenders []Sender
}

// Key returns the key of the entry.
func (e Entry) Key() Key { return Key{e.Name, e.Version} }

// Record is the stored state of one replica's ledger. Every order is recorded
// before it is sent.
type Record struct {
	Replica      fleet.EndpointID
	Holder       Sender      // lease holder that wrote the record
	Write        uint64      // number of the write under Holder's epoch
	HighestToken fleet.Token // highest token that the engine has reported
	BootID       string      // changes when the engine restarts
	// LostOrders is true if load orders can still take effect that are in no entry,
	// because a restore of the store lost their record.
	LostOrders bool
	Entries    []Entry
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

// Settings describes one replica and the time limits of its ledger. A zero
// duration selects the default.
type Settings struct {
	Replica    fleet.EndpointID
	CapacityMB int
	// OverheadMB is the memory that the engine uses in addition to its residents.
	OverheadMB int
	// ChecksTokens is true if the engine rejects orders with an old token.
	ChecksTokens bool
	// TokensSurviveRestart is true if the engine still rejects old tokens after a
	// restart. Otherwise a token excludes older orders only until the next
	// restart, so memory is freed only after MaxOrderDelay has passed too.
	TokensSurviveRestart bool

	MaxOrderDelay    time.Duration // maximum time from sending an order to its effect
	MaxViewAge       time.Duration // maximum age of a view from which an instance loads an adapter
	DrainNotice      time.Duration // time until every instance has stopped sending requests to a draining entry
	DrainDeadline    time.Duration // a longer drain is counted in DrainOverruns; no request is cut off
	PollInterval     time.Duration // interval between state reads while entries change
	IdlePollInterval time.Duration // interval between state reads otherwise
	RetryDelay       time.Duration // delay before a failed order or store call is repeated
	ResendDelay      time.Duration // delay before an acknowledged order without visible effect is repeated
}

// Defaults of Settings.
const (
	DefaultMaxOrderDelay    = 5 * time.Minute
	DefaultMaxViewAge       = 15 * time.Second
	DefaultDrainNotice      = 3 * time.Second // bound of invariant I6 on new work for a leaving endpoint
	DefaultDrainDeadline    = time.Minute
	DefaultPollInterval     = time.Second
	DefaultIdlePollInterval = 5 * time.Second
	DefaultRetryDelay       = time.Second
	DefaultResendDelay      = 30 * time.Second
)

func (s Settings) withDefaults() Settings {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.MaxOrderDelay, DefaultMaxOrderDelay}, {&s.MaxViewAge, DefaultMaxViewAge},
		{&s.DrainNotice, DefaultDrainNotice}, {&s.DrainDeadline, DefaultDrainDeadline},
		{&s.PollInterval, DefaultPollInterval}, {&s.IdlePollInterval, DefaultIdlePollInterval},
		{&s.RetryDelay, DefaultRetryDelay}, {&s.ResendDelay, DefaultResendDelay},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return s
}
