package control

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Status is one instance's view of the fleet, for operators.
type Status struct {
	Self           fleet.Instance
	TableRevision  uint64
	TableAge       time.Duration // time since the store last confirmed the revision
	Ready          bool
	NotReadyReason string
	Isolated       bool
	Instances      []InstanceStatus
	Endpoints      []EndpointStatus
	Leases         []LeaseStatus // leases held by this instance
	Queues         []QueueStatus // request counts of this instance
	Quarantine     []QuarantineStatus
	Findings       []string // requirements that the placement could not meet
}

// InstanceStatus is the status of one instance as seen by the reporting instance.
type InstanceStatus struct {
	Instance      fleet.Instance
	State         string // "listed", "alive", "suspect" or "dead"
	Leaving       bool
	TableRevision uint64
	HeartbeatAge  time.Duration
}

// EndpointStatus is the status of one endpoint and its resident models and
// adapters.
type EndpointStatus struct {
	Endpoint         fleet.Endpoint
	Shard            string
	Owner            fleet.InstanceID // empty if unknown
	CountedMB        int              // memory counted for its ledger entries
	Running          int              // requests running, as of the last load report
	Waiting          int              // requests waiting, as of the last load report
	InFlight         int              // requests that this instance has in flight on it
	ReportAge        time.Duration
	HasReport        bool
	ReservedForTrial bool // reserved for the trial of a request suspected of crashing endpoints
	Residents        []EntryStatus
	OpenOrders       int
}

// EntryStatus is a model or adapter in the ledger of an endpoint.
type EntryStatus struct {
	Name     string
	Version  string
	MemoryMB int
	State    string // "reserved", "loading", "ready", "draining", "unloading" or "settling"
	Running  int
}

// LeaseStatus is a lease held by this instance.
type LeaseStatus struct {
	Shard      string
	Epoch      uint64
	ExpiresIn  time.Duration
	OpenOrders int
}

// QueueStatus counts the requests of one row on this instance.
type QueueStatus struct {
	Row      string
	Rank     fleet.Rank
	Queued   int
	InFlight int
	Rate     float64 // arrivals per second
}

// QuarantineStatus is the status of request content that crashed endpoints.
type QuarantineStatus struct {
	Fingerprint   uint64
	State         string // "suspect", "trial" or "quarantined"
	EndpointsLost int    // endpoint deaths that the content is suspected of
	Until         time.Time
}
