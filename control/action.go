package control

import (
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/placement"
)

// Action asks another service to do I/O for the control goroutine. Actions are
// published on the kernel's bus by their type; the answer is the event named in
// the action's comment. Actions of the decision packages that need no further
// data are published unchanged: lease.Read, lease.Commit,
// membership.SendHeartbeat, quarantine.ReadRecord, quarantine.CommitRecord and
// quarantine.NotifyPeers.
type Action any

// FetchTable asks to read the table, because the given revision is known to exist.
// It is read from the store or, if the store does not answer, from a peer. The
// answer is TableRead; there is none if both fail.
type FetchTable struct {
	Revision uint64
	From     fleet.Instance // a peer that has the revision; zero if none is known
}

// WriteClaimsAgain asks to write the claims of keyed calls again that a restore of
// the table service lost. There is no answer.
type WriteClaimsAgain struct{ Era uint64 }

// AdoptLedger asks to read an endpoint's ledger after this instance gained the
// lease of its shard. The answer is LedgerAdopted.
type AdoptLedger struct {
	Endpoint  fleet.EndpointID
	Epoch     uint64
	Continues uint64 // see lease.Gained
}

// PersistLedger asks to write a ledger record if its stored version and the
// epoch of the shard's lease are as expected. The answer is a LedgerResult.
type PersistLedger struct {
	Endpoint fleet.EndpointID
	Shard    lease.Shard
	Persist  ledger.Persist
}

// ReadLedger asks to read a ledger record after a write with an unknown outcome.
// The answer is a LedgerResult.
type ReadLedger struct{ Endpoint fleet.EndpointID }

// SendOrder asks to send an order to an engine. The answer is a LedgerResult.
type SendOrder struct {
	Endpoint    fleet.Endpoint
	EngineOrder ledger.EngineOrder
}

// ReadEngineState asks to read an engine's state. The answer is a LedgerResult.
type ReadEngineState struct {
	Endpoint fleet.Endpoint
	Read     ledger.ReadState
}

// AdoptPlan asks to read a pool's plan after this instance gained the plan's
// lease. The answer is PlanAdopted.
type AdoptPlan struct {
	Pool  string
	Epoch uint64
}

// PersistPlan asks to write a pool's plan if its stored version and the epoch of
// the plan's lease are as expected. The answer is PlanCommitted.
type PersistPlan struct {
	Pool    string
	Shard   lease.Shard
	Epoch   uint64
	Stored  placement.StoredPlan
	Version uint64 // expected version in the store
}

// ProbeEndpoint asks for an endpoint's boot ID, which shows whether it has died.
// The answer is ProbeDone.
type ProbeEndpoint struct{ Endpoint fleet.Endpoint }

// Change reports a change of control state, to be logged and counted.
type Change struct {
	Kind   string // the kind of change, such as "table adopted"
	Fields []Field
}

// Field is a named detail of a Change.
type Field struct{ Name, Value string }
