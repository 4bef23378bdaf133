package control

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Status is what one instance knows of the fleet, for operators.
type Status struct {
	Self           fleet.Instance
	TableRevision  uint64
	TableAge       time.Duration // since the store last confirmed the revision
	Ready          bool
	NotReadyReason string
	Isolated       bool
	Instances      []InstanceStatus
	Endpoints      []EndpointStatus
	Leases         []LeaseStatus // held by this instance
	Queues         []QueueStatus // of this instance
	Quarantine     []QuarantineStatus
	Findings       []string // what the placement could not satisfy
}

// InstanceStatus is one instance as this one sees it.
type InstanceStatus struct {
	Instance      fleet.Instance
	State         string // "alive", "suspect" or "dead"
	Leaving       bool
	TableRevision uint64
	HeartbeatAge  time.Duration
}

// EndpointStatus is one endpoint and what it holds.
type EndpointStatus struct {
	Endpoint   fleet.Endpoint
	Shard      string
	Owner      fleet.InstanceID // empty if unknown
	CountedMB  int              // memory that its entries may hold
	Running    int              // by the last load report
	Waiting    int
	InFlight   int // of this instance
	ReportAge  time.Duration
	HasReport  bool
	Trial      bool // kept free for a request that is suspected of crashing endpoints
	Residents  []EntryStatus
	OpenOrders int
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

// QuarantineStatus is one request that crashed endpoints.
type QuarantineStatus struct {
	Fingerprint uint64
	State       string // "suspect", "trial" or "quarantined"
	Losses      int    // endpoints lost
	Until       time.Time
}
