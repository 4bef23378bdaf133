// Package control runs the control goroutine of an instance started with the
// serve command. That goroutine owns all mutable control state: the table,
// membership, leases, memory ledgers, plans, the admission queue, quarantine and
// the retry budget. It handles one event at a time with the decision packages,
// publishes an immutable snapshot for traffic goroutines, and publishes actions
// for the services that do I/O. It does no I/O itself. Package controlplane is
// the counterpart for edge instances, which keep no membership, memory ledgers or
// admission queue.
package control

import (
	"context"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

// Control is the interface of the control goroutine for traffic goroutines. It
// is safe for concurrent use.
type Control interface {
	// Admit blocks until the request may run. The error is an
	// *admission.Refusal, or ctx.Err() if ctx ends first. In both cases the
	// request has not run and holds no slot.
	Admit(ctx context.Context, r admission.Request) (admission.Grant, error)
	// Finish reports the end of a granted request. It must be called exactly
	// once for each grant.
	Finish(o admission.Outcome)
	// Snapshot returns the latest published snapshot.
	Snapshot() *Snapshot
}

// Snapshot is an immutable copy of the control state that traffic goroutines use.
type Snapshot struct {
	Self      fleet.Instance
	Table     *table.Snapshot
	Endpoints []fleet.Endpoint
	// Ready reports whether the instance should receive new callers.
	Ready bool
	// NotReadyReason is the reason why Ready is false, or empty.
	NotReadyReason string
	// Isolated reports whether the instance has reached neither the store nor
	// any listed peer for so long that other instances may already use a newer
	// table.
	Isolated bool
	// AliveIncarnations maps every live instance to its incarnation.
	AliveIncarnations map[fleet.InstanceID]fleet.Incarnation
	// RoutableRows is the set of rows that at least one endpoint serves.
	RoutableRows map[string]bool
	// ReportEndpoints lists the endpoints whose load reports this instance reads.
	ReportEndpoints []fleet.Endpoint
	// StoreEra is the era of the table service. StoreUnsettled is set from the time at
	// which the era rises until all instances have had time to write their claims again.
	StoreEra       uint64
	StoreUnsettled bool
	// PeerAddresses lists the peer listeners of all other known instances.
	PeerAddresses []string
}
