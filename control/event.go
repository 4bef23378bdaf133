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

// Event is an input of the control goroutine. Services send events with Post.
type Event interface{ controlEvent() }

// Tick triggers the work that depends on time. The control goroutine generates
// it itself.
type Tick struct{}

// ListingRead carries the platform's list of instances and endpoints.
type ListingRead struct{ Listing backing.Listing }

// TableHeadRead reports that the newest table revision in the store was Revision at
// some time after Sent.
type TableHeadRead struct {
	Revision uint64
	Era      uint64 // era of the table service
	Sent     time.Time
}

// TableWrittenAgain reports that this instance wrote the first table after a restore
// of the table service.
type TableWrittenAgain struct {
	From     uint64 // revision that the table was made from
	Revision uint64
	Rows     int // rows that the restored table lacked or had with another content
}

// TableEditsLost reports that the table in force was made from revision After, while
// this instance had adopted revision Last of an earlier era of the table service.
type TableEditsLost struct{ After, Last uint64 }

// TableRead carries a table snapshot from the store, a peer or the object store.
type TableRead struct{ Snapshot *table.Snapshot }

// HeartbeatReceived carries a heartbeat from a peer.
type HeartbeatReceived struct{ Heartbeat membership.Heartbeat }

// NoticesReceived carries urgent notices from a peer about requests suspected of
// crashing endpoints.
type NoticesReceived struct {
	From    fleet.InstanceID
	Notices []quarantine.Notice
}

// LeaseResult is the answer to a lease action.
type LeaseResult struct{ Event lease.Event }

// LedgerResult is the answer to a ledger action for one endpoint.
type LedgerResult struct {
	Endpoint fleet.EndpointID
	Event    ledger.Event
}

// LedgerAdopted is the answer to AdoptLedger. Version 0 means that there is no
// record.
type LedgerAdopted struct {
	Endpoint  fleet.EndpointID
	Epoch     uint64
	Continues uint64 // see lease.Gained
	OK        bool   // false if the record could not be read
	Record    ledger.Record
	Version   uint64
}

// RecordsRead carries the stored ledgers and plans of the fleet.
type RecordsRead struct {
	Ledgers []ledger.Record
	Plans   []PoolPlan
}

// PoolPlan is the stored plan of one pool. Version 0 means that there is none.
type PoolPlan struct {
	Pool    string
	Stored  placement.StoredPlan
	Version uint64
}

// PlanAdopted is the answer to AdoptPlan.
type PlanAdopted struct {
	Plan  PoolPlan
	Epoch uint64
	OK    bool // false if the record could not be read
}

// PlanCommitted is the answer to PersistPlan. Applied is false if the write
// failed or its outcome is unknown.
type PlanCommitted struct {
	Pool    string
	Epoch   uint64
	Applied bool
	Version uint64
}

// QuarantineResult is the answer to a quarantine action.
type QuarantineResult struct{ Event quarantine.Event }

// ReportRead carries a load report that this instance has read.
type ReportRead struct {
	Endpoint fleet.EndpointID
	Report   engine.Report
	Sent     time.Time // when the read was started
}

// ProbeDone is the answer to ProbeEndpoint. OK is false if the endpoint could not be
// reached.
type ProbeDone struct {
	Endpoint fleet.EndpointID
	OK       bool
	BootID   string
}

// StopRequested marks the instance as not ready and gives up its leases.
type StopRequested struct{}

// arrive requests admission; the answer is sent to reply.
type arrive struct {
	request admission.Request
	reply   chan<- answer
}

// answer is the result of an Admit call: a refusal, or a grant if refusal is nil.
type answer struct {
	grant   admission.Grant
	refusal *admission.Refusal
}

// finish reports the end of a granted request.
type finish struct{ outcome admission.Outcome }

// cancel withdraws a request that its caller has given up.
type cancel struct{ id uint64 }

// statusRequest asks for a Status; the answer is sent to reply.
type statusRequest struct{ reply chan<- Status }

// liftRequest ends the quarantine of a fingerprint.
type liftRequest struct{ fingerprint quarantine.Fingerprint }

func (Tick) controlEvent()              {}
func (ListingRead) controlEvent()       {}
func (TableHeadRead) controlEvent()     {}
func (TableRead) controlEvent()         {}
func (TableWrittenAgain) controlEvent() {}
func (TableEditsLost) controlEvent()    {}
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
