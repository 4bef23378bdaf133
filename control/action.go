package control

import (
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/placement"
)

// Action is what the control goroutine asks other services to do. Actions are
// published on the kernel's bus by their type; each is answered by the event
// named in its comment. Actions of the decision packages that need nothing
// beside them are published as they are: lease.Read, lease.Commit,
// membership.SendHeartbeat, quarantine.ReadRecord, quarantine.CommitRecord and
// quarantine.TellPeers.
type Action any

// FetchTable asks for a table of at least the given revision, from the store
// or else from a peer. The answer is TableRead, or nothing.
type FetchTable struct {
	Revision uint64
	From     fleet.Instance // a peer that has it; zero if none is known
}

// AdoptLedger asks to read an endpoint's ledger after its lease was gained.
// The answer is LedgerAdopted.
type AdoptLedger struct {
	Endpoint fleet.EndpointID
	Epoch    uint64
}

// PersistLedger asks to write a ledger record on condition of its version and
// of the epoch of the shard's lease. The answer is a LedgerResult.
type PersistLedger struct {
	Endpoint fleet.EndpointID
	Shard    lease.Shard
	Persist  ledger.Persist
}

// ReadLedger asks to read a ledger record again. The answer is a LedgerResult.
type ReadLedger struct{ Endpoint fleet.EndpointID }

// SendOrder asks to send an order to an engine. The answer is a LedgerResult.
type SendOrder struct {
	Endpoint fleet.Endpoint
	Send     ledger.Send
}

// QueryEngine asks to read an engine's state. The answer is a LedgerResult.
type QueryEngine struct {
	Endpoint fleet.Endpoint
	Query    ledger.Query
}

// AdoptPlan asks to read a pool's plan after its lease was gained. The answer
// is PlanAdopted.
type AdoptPlan struct {
	Pool  string
	Epoch uint64
}

// PersistPlan asks to write a pool's plan on condition of its version and of
// the epoch of the plan's lease. The answer is PlanCommitted.
type PersistPlan struct {
	Pool    string
	Shard   lease.Shard
	Epoch   uint64
	Stored  placement.Stored
	Version uint64 // expected
}

// Probe asks whether an endpoint lives and since which boot. The answer is ProbeDone.
type Probe struct{ Endpoint fleet.Endpoint }

// Change is a change of state for the log.
type Change struct {
	What   string // such as "table adopted"
	Detail []Field
}

// Field is a named detail of a Change.
type Field struct{ Name, Value string }
