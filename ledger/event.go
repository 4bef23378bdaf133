package ledger

import (
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// Event is something that happened to the replica, its record or its lease.
type Event interface{ event() }

// Adopt starts a tenure after the lease of the replica's shard was won with a
// new epoch. The record must have been read after that. Version 0 means that
// no record exists.
type Adopt struct {
	Record  Record
	Version uint64
	Self    Sender // this process and the epoch it won
	Until   time.Time
}

// LeaseRenewed extends the time until which orders may be sent.
type LeaseRenewed struct{ Until time.Time }

// LeaseLost ends the tenure. Orders in the sender's hands are still reported
// with OrderAnswered or OrderFailed.
type LeaseLost struct{}

// Want sets what the replica should hold, most important first. A model and
// its adapters are separate items.
type Want struct{ Target []Item }

// Persisted reports that the write was committed with the given version.
type Persisted struct {
	Write   uint64
	Epoch   uint64
	Version uint64
}

// PersistFailed reports that the write was certainly not applied.
type PersistFailed struct{ Write, Epoch uint64 }

// PersistConflict reports that a condition of the write did not hold.
type PersistConflict struct{ Write, Epoch uint64 }

// PersistUnknown reports that the write may have been applied.
type PersistUnknown struct{ Write, Epoch uint64 }

// RecordRead answers ReadRecord. Version 0 means that no record exists.
type RecordRead struct {
	Record  Record
	Version uint64
}

// ReadFailed reports that the record could not be read.
type ReadFailed struct{}

// OrderAnswered reports the engine's answer to an order.
type OrderAnswered struct {
	ID     string
	Result engine.OrderResult
}

// OrderFailed reports that sending an order ended without an answer.
// NotExecuted is true only when the order certainly has no effect, now or later.
type OrderFailed struct {
	ID          string
	NotExecuted bool
}

// Observed answers Query with the engine's state.
type Observed struct {
	Query uint64
	State engine.State
}

// ObserveFailed reports that the engine's state could not be read.
type ObserveFailed struct{ Query uint64 }

// SenderFinished reports that an incarnation will send no more orders that it
// was given under epochs up to Epoch: it released the lease, reported a later
// epoch, left the platform's list or was replaced by a newer incarnation. It
// has an effect only for senders named in the record, and may be repeated.
type SenderFinished struct{ Sender Sender }

// Tick lets time pass.
type Tick struct{}

func (Adopt) event()           {}
func (LeaseRenewed) event()    {}
func (LeaseLost) event()       {}
func (Want) event()            {}
func (Persisted) event()       {}
func (PersistFailed) event()   {}
func (PersistConflict) event() {}
func (PersistUnknown) event()  {}
func (RecordRead) event()      {}
func (ReadFailed) event()      {}
func (OrderAnswered) event()   {}
func (OrderFailed) event()     {}
func (Observed) event()        {}
func (ObserveFailed) event()   {}
func (SenderFinished) event()  {}
func (Tick) event()            {}

// Action is something the owner has to do.
type Action interface{ action() }

// Persist asks to write the record on condition that its stored version is
// Expected (0: it does not exist) and that the lease has the epoch of
// Record.Holder. The answer is Persisted, PersistFailed, PersistConflict or
// PersistUnknown with Record.Write and Record.Holder.Epoch.
type Persist struct {
	Record   Record
	Expected uint64
}

// ReadRecord asks to read the stored record. The answer is RecordRead or ReadFailed.
type ReadRecord struct{}

// Send asks to send an order. The sender compares the time with NotAfter right
// before it sends, and reports OrderFailed with NotExecuted if it is past.
// Every Send is answered with OrderAnswered or OrderFailed, also after LeaseLost.
type Send struct {
	Order    engine.Order
	NotAfter time.Time
}

// Query asks to read the engine's state. The read must start after the action
// was returned. The answer is Observed or ObserveFailed.
type Query struct{ ID uint64 }

func (Persist) action()    {}
func (ReadRecord) action() {}
func (Send) action()       {}
func (Query) action()      {}

// EntryStatus is an entry as shown to operators and the planner.
type EntryStatus struct {
	Entry
	Running int // requests in progress at the last state read
	// Postponed counts the drain deadlines that passed while requests ran.
	Postponed int
}

// ViewEntry is an entry as routing sees it.
type ViewEntry struct {
	Name     string
	Base     string
	Version  string
	MemoryMB int
	// Servable is true when requests may be sent now.
	Servable bool
	// Loadable is true for an adapter that any instance may order to be
	// loaded, with the view's Token, before it sends a request.
	Loadable bool
}

// View is the ledger of a replica as routing sees it.
type View struct {
	Replica fleet.EndpointID
	// Token is the highest token that the engine is known to have seen.
	Token   fleet.Token
	Entries []ViewEntry
}
