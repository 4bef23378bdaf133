package ledger

import (
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Event is an input of Replica.Step: a change of the replica, its record, its
// target or its lease.
type Event interface{ event() }

// LeaseAcquired starts a tenure after this process acquired the lease of the replica's
// shard under a new epoch. The record must have been read after the acquisition.
// Version 0 means that no record exists.
type LeaseAcquired struct {
	Record  Record
	Version uint64
	Self    Sender    // this process and the acquired epoch
	Until   time.Time // end of the lease
	// Restored is true if the store was restored since Record was written, so that
	// later records can be lost.
	Restored bool
	// Continues is the epoch of the tenure of this process that a restore of the
	// store ended, if no other process had the lease since; otherwise 0.
	Continues uint64
}

// LeaseRenewed sets the end of the lease to Until if that is later.
type LeaseRenewed struct{ Until time.Time }

// LeaseLost ends the tenure. Outstanding orders are still reported with
// OrderAnswered or OrderFailed.
type LeaseLost struct{}

// TargetChanged sets the target: the items that the replica should hold, most
// important first. A model and its adapters are separate items.
type TargetChanged struct{ Target []Item }

// Persisted reports that the write was committed with the given version.
type Persisted struct {
	Write   uint64
	Epoch   uint64
	Version uint64
}

// PersistFailed reports that the write was not applied and never will be.
type PersistFailed struct{ Write, Epoch uint64 }

// PersistConflict reports that a precondition of the write was not met.
type PersistConflict struct{ Write, Epoch uint64 }

// PersistUnknown reports that the write may have been applied.
type PersistUnknown struct{ Write, Epoch uint64 }

// RecordRead returns the record that ReadRecord requested. Version 0 means that
// no record exists.
type RecordRead struct {
	Record  Record
	Version uint64
}

// RecordReadFailed reports that the record could not be read.
type RecordReadFailed struct{}

// OrderAnswered reports the engine's answer to an order.
type OrderAnswered struct {
	ID     string
	Result engine.OrderResult
}

// OrderFailed reports that no answer to an order was received. NotExecuted is
// true only if the order has no effect, now or later.
type OrderFailed struct {
	ID          string
	NotExecuted bool
}

// StateRead returns the engine's state that ReadState requested.
type StateRead struct {
	ReadID uint64
	State  engine.State
}

// StateReadFailed reports that the engine's state could not be read.
type StateReadFailed struct{ ReadID uint64 }

// SenderFinished reports that an incarnation sends no more orders of epochs up
// to Epoch: it released the lease, reported a later epoch, left the platform's
// instance list or was replaced by a newer incarnation. The event affects only
// senders in the record and can be repeated.
type SenderFinished struct{ Sender Sender }

// Tick triggers whatever is due at the current time.
type Tick struct{}

func (LeaseAcquired) event()    {}
func (LeaseRenewed) event()     {}
func (LeaseLost) event()        {}
func (TargetChanged) event()    {}
func (Persisted) event()        {}
func (PersistFailed) event()    {}
func (PersistConflict) event()  {}
func (PersistUnknown) event()   {}
func (RecordRead) event()       {}
func (RecordReadFailed) event() {}
func (OrderAnswered) event()    {}
func (OrderFailed) event()      {}
func (StateRead) event()        {}
func (StateReadFailed) event()  {}
func (SenderFinished) event()   {}
func (Tick) event()             {}

// Action is a request of Replica.Step that its caller carries out.
type Action interface{ action() }

// Persist requests a write of the record, on condition that the stored version
// is Expected (0: no record exists) and that the lease has the epoch of
// Record.Holder. The answer is Persisted, PersistFailed, PersistConflict or
// PersistUnknown with Record.Write and Record.Holder.Epoch.
type Persist struct {
	Record   Record
	Expected uint64
}

// ReadRecord requests the stored record. The answer is RecordRead or RecordReadFailed.
type ReadRecord struct{}

// EngineOrder requests that an order is sent. The sender checks NotAfter immediately
// before it sends, and reports OrderFailed with NotExecuted once that time has
// passed. Every EngineOrder is answered with OrderAnswered or OrderFailed, even
// after LeaseLost.
type EngineOrder struct {
	Order    engine.Order
	NotAfter time.Time
}

// ReadState requests the engine's state. The read must start after Step returned the
// action. The answer is StateRead or StateReadFailed.
type ReadState struct{ ID uint64 }

func (Persist) action()     {}
func (ReadRecord) action()  {}
func (EngineOrder) action() {}
func (ReadState) action()   {}

// EntryStatus is an entry with its running requests, for operators and the planner.
type EntryStatus struct {
	Entry
	Running int // requests in progress at the last state read
	// DrainOverruns is the number of drain deadlines that passed while requests ran.
	DrainOverruns int
}

// ViewEntry is the part of an entry that routing uses.
type ViewEntry struct {
	Name     string
	Base     string
	Version  string
	MemoryMB int
	// Servable is true if requests can be sent now.
	Servable bool
	// Loadable is true for an adapter that any instance can load, by an order
	// with the view's Token, before it sends a request.
	Loadable bool
}

// View is the part of a replica's ledger that routing uses.
type View struct {
	Replica fleet.EndpointID
	// Token is the highest token that the engine has reported.
	Token   fleet.Token
	Entries []ViewEntry
}
