package control

import (
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/placement"
	"github.com/hyssophaven/hyssophaven/quarantine"
	"github.com/hyssophaven/hyssophaven/table"
)

// Event is what the control goroutine is told. Services send events with Post.
type Event interface{ controlEvent() }

// Tick lets time pass. The control goroutine makes it itself.
type Tick struct{}

// ListingRead carries the platform's list.
type ListingRead struct{ Listing backing.Listing }

// HeadRead tells that the store's newest table revision was Revision at some
// time after Sent.
type HeadRead struct {
	Revision uint64
	Sent     time.Time
}

// TableRead carries a table snapshot from the store, a peer or the object store.
type TableRead struct{ Snapshot *table.Snapshot }

// HeartbeatReceived carries a heartbeat of a peer.
type HeartbeatReceived struct{ Heartbeat membership.Heartbeat }

// NoticesReceived carries urgent notices of a peer about crashing requests.
type NoticesReceived struct {
	From    fleet.InstanceID
	Notices []quarantine.Notice
}

// LeaseResult answers a lease action.
type LeaseResult struct{ Event lease.Event }

// LedgerResult answers a ledger action for one endpoint.
type LedgerResult struct {
	Endpoint fleet.EndpointID
	Event    ledger.Event
}

// LedgerAdopted answers AdoptLedger. Version 0 means that there is no record.
type LedgerAdopted struct {
	Endpoint fleet.EndpointID
	Epoch    uint64
	OK       bool // false: the store could not be read
	Record   ledger.Record
	Version  uint64
}

// RecordsRead carries the stored ledgers and plans of the fleet.
type RecordsRead struct {
	Ledgers []ledger.Record
	Plans   []PoolPlan
}

// PoolPlan is the stored plan of one pool. Version 0 means that there is none.
type PoolPlan struct {
	Pool    string
	Stored  placement.Stored
	Version uint64
}

// PlanAdopted answers AdoptPlan.
type PlanAdopted struct {
	Plan  PoolPlan
	Epoch uint64
	OK    bool
}

// PlanCommitted answers PersistPlan. Applied is false if the outcome is not known.
type PlanCommitted struct {
	Pool    string
	Epoch   uint64
	Applied bool
	Version uint64
}

// QuarantineResult answers a quarantine action.
type QuarantineResult struct{ Event quarantine.Event }

// ReportRead carries a load report that this instance read.
type ReportRead struct {
	Endpoint fleet.EndpointID
	Report   engine.Report
	Sent     time.Time // when the read was started
}

// ProbeDone answers Probe. OK is false if the endpoint could not be reached.
type ProbeDone struct {
	Endpoint fleet.EndpointID
	OK       bool
	BootID   string
}

// StopRequested makes the instance not ready and gives up its leases.
type StopRequested struct{}

type arrive struct {
	request admission.Request
	reply   chan<- answer
}

// answer is the end of an Admit call.
type answer struct {
	grant   admission.Grant
	refusal *admission.Refusal
}

type finish struct{ outcome admission.Outcome }

type cancel struct{ id uint64 }

type statusRequest struct{ reply chan<- Status }

type liftRequest struct{ fingerprint quarantine.Fingerprint }

func (Tick) controlEvent()              {}
func (ListingRead) controlEvent()       {}
func (HeadRead) controlEvent()          {}
func (TableRead) controlEvent()         {}
func (HeartbeatReceived) controlEvent() {}
func (NoticesReceived) controlEvent()   {}
func (LeaseResult) controlEvent()       {}
func (LedgerResult) controlEvent()      {}
func (LedgerAdopted) controlEvent()     {}
func (RecordsRead) controlEvent()       {}
func (PlanAdopted) controlEvent()       {}
func (PlanCommitted) controlEvent()     {}
func (QuarantineResult) controlEvent()  {}
func (ReportRead) controlEvent()        {}
func (ProbeDone) controlEvent()         {}
func (StopRequested) controlEvent()     {}
func (arrive) controlEvent()            {}
func (finish) controlEvent()            {}
func (cancel) controlEvent()            {}
func (statusRequest) controlEvent()     {}
func (liftRequest) controlEvent()       {}
