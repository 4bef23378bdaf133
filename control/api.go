// Package control runs the control goroutine of an instance. That goroutine
// owns all mutable control state: the table, membership, leases, memory
// ledgers, the plan, the admission queue, quarantine and the retry budget. It
// composes the decision packages, handles one event at a time, publishes an
// immutable snapshot for traffic goroutines and hands actions to the services
// that do I/O. It does no I/O itself.
package control

import (
	"context"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

// Control is what traffic goroutines see of the control goroutine. It is safe
// for concurrent use.
type Control interface {
	// Admit waits until the request may run. The error is an
	// *admission.Refusal, or ctx.Err() if the caller gave up first; in both
	// cases the request has not run and holds no slot.
	Admit(ctx context.Context, r admission.Request) (admission.Grant, error)
	// Finish reports the end of a granted request. It must be called exactly
	// once for each grant.
	Finish(o admission.Outcome)
	// Snapshot returns the newest published snapshot.
	Snapshot() *Snapshot
}

// Snapshot is the control state as traffic goroutines see it. It is immutable.
type Snapshot struct {
	Self      fleet.Instance
	Table     *table.Snapshot
	Endpoints []fleet.Endpoint
	// Ready is true when the instance should get new callers.
	Ready bool
	// NotReadyReason says why Ready is false.
	NotReadyReason string
	// Isolated is true when neither the store nor any listed peer has been
	// reached for so long that a newer table may be in force elsewhere.
	Isolated bool
	// AliveIncarnations holds the incarnation of every live instance.
	AliveIncarnations map[fleet.InstanceID]fleet.Incarnation
	// Routable holds the name of every row that some endpoint serves.
	Routable map[string]bool
	// ReadReports are the endpoints whose load reports this instance reads.
	ReadReports []fleet.Endpoint
	// PeerAddresses are the peer listeners of all other known instances.
	PeerAddresses []string
}
