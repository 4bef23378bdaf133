// Package membership decides which instances are alive, which of them receive
// heartbeats, and which one is preferred as owner of a shard or as reader of a
// load report. It owns the member list, built from heartbeats and from the
// platform's instance list, which lags. It does no I/O, reads no clock and
// knows no encoding: package instancelist reads the list, package gossip passes
// heartbeats on, and package lease decides ownership.
package membership

import (
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// Heartbeat carries the state of an instance to its peers. It must not be
// changed after it is sent.
type Heartbeat struct {
	Member        fleet.Instance
	Sequence      uint64 // increases with every heartbeat of one incarnation
	TableRevision uint64
	TableAge      time.Duration // time since the table service last confirmed the revision
	Leaving       bool
	Leases        []lease.HeldShard
	Demand        []RowDemand        // at most one per row
	InFlight      []EndpointInFlight // requests of the sending instance, at most one per endpoint
	Reports       []EndpointReport   // at most one per endpoint
	WantedLoads   int                // pending and running loads from the weight store
	Retries       RetryCounts
	Suspects      []quarantine.Notice
	// Summaries describe whole data centres. Only relays send them.
	Summaries []Summary
}

// RowDemand is the demand for one table row.
type RowDemand struct {
	Row         string
	ArrivalRate float64 // requests per second
	Queued      int
	InFlight    int
	Slots       float64 // steady-state occupancy of the arrivals, at least Queued + InFlight
}

// EndpointInFlight counts the requests that an instance has in flight on an
// endpoint.
type EndpointInFlight struct {
	Endpoint fleet.EndpointID
	InFlight [fleet.RankCount]int
}

// RetryCounts holds the counts of the last 10 s from which the retry ratio is
// computed.
type RetryCounts struct {
	Requests int
	Retries  int
}

// EndpointReport is the load report of one endpoint, as forwarded by the
// instance that read it.
type EndpointReport struct {
	Endpoint  fleet.EndpointID
	BootID    string
	Age       time.Duration // time since the read of the report started
	Running   int
	Waiting   int
	Slots     int
	Leaving   bool
	Residents []Resident
}

// Resident is a model or adapter in an endpoint's memory.
type Resident struct {
	Name    string
	Version string
	Ready   bool
}

// Summary describes a data centre to the others, as one of its relays sees it.
type Summary struct {
	DataCentre fleet.DataCentre
	Relay      fleet.InstanceID
	// RelayIncarnation and Sequence order the summaries of one relay.
	RelayIncarnation fleet.Incarnation
	Sequence         uint64
	TableRevision    uint64          // highest revision among the members
	Members          []MemberSummary // all members that are not dead
	Demand           []RowDemand     // sums over the members
	Reports          []EndpointReport
	WantedLoads      int
	Retries          RetryCounts
}

// MemberSummary describes one member in a summary.
type MemberSummary struct {
	Member     fleet.Instance
	Leaving    bool
	Suspect    bool
	StoreStale bool // TableAge is at least StoreStaleAfter
	Leases     []lease.HeldShard
}

// Status classifies a member by the time since it was last heard of.
type Status uint8

// The statuses of a member.
const (
	Listed  Status = iota // in the platform's list, but not heard of yet
	Alive                 // last heard of less than SuspectAfter ago
	Suspect               // last heard of at least SuspectAfter ago
	Dead                  // last heard of at least DeadAfter ago
)

var statusNames = [...]string{"listed", "alive", "suspect", "dead"}

// String returns the status in lower case.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// Member is the known state of another instance.
type Member struct {
	Instance  fleet.Instance // Incarnation is 0 until the instance is heard of
	Status    Status
	Leaving   bool
	InList    bool // the platform's list, as last read, contains the instance
	LastHeard time.Time
	// Heartbeat is the newest heartbeat, received at HeartbeatAt. It is nil for
	// members that are known only from summaries.
	Heartbeat   *Heartbeat
	HeartbeatAt time.Time
}

// Event is an input of State.Step.
type Event interface{ membershipEvent() }

// ListingRead carries the instances of the platform's list.
type ListingRead struct{ Instances []backing.ListedInstance }

// HeartbeatReceived carries a heartbeat of a peer.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// StoreAnswered reports that the table service answered a call sent at Sent.
type StoreAnswered struct{ Sent time.Time }

// Tick updates statuses and sends heartbeats that are due. Own is the current
// content of this instance's heartbeat; State fills in Member, Sequence,
// Leaving and Summaries.
type Tick struct{ Own Heartbeat }

// LeaveRequested reports that this instance is stopping.
type LeaveRequested struct{}

func (ListingRead) membershipEvent()       {}
func (HeartbeatReceived) membershipEvent() {}
func (StoreAnswered) membershipEvent()     {}
func (Tick) membershipEvent()              {}
func (LeaveRequested) membershipEvent()    {}

// Action is a request or notification that State.Step returns.
type Action interface{ membershipAction() }

// SendHeartbeat requests that Heartbeat is sent to the instances in To.
type SendHeartbeat struct {
	To        []fleet.Instance
	Heartbeat Heartbeat
}

// MemberChanged reports that the status, the instance, the leaving mark or the
// presence in the platform's list changed for a member. Before is zero for a
// new member.
type MemberChanged struct {
	Before, After Member
}

// MemberRemoved reports that a member missing from the platform's list was
// removed, because it was silent for RemoveAfter or had never been heard of.
type MemberRemoved struct{ Member Member }

// RevisionSeen reports that a heartbeat or summary received from Member carries
// a higher table revision than any before.
type RevisionSeen struct {
	Revision uint64
	Member   fleet.Instance
}

// IsolationChanged reports that this instance became isolated or reconnected.
// See State.Isolated.
type IsolationChanged struct{ Isolated bool }

// Replaced reports that a newer incarnation of this instance runs. This process
// must send no more orders.
type Replaced struct{ By fleet.Instance }

func (SendHeartbeat) membershipAction()    {}
func (MemberChanged) membershipAction()    {}
func (MemberRemoved) membershipAction()    {}
func (RevisionSeen) membershipAction()     {}
func (IsolationChanged) membershipAction() {}
func (Replaced) membershipAction()         {}

// Config holds the identity of this instance and the limits of State. Zero
// limits are replaced by their defaults.
type Config struct {
	Self              fleet.Instance
	HeartbeatInterval time.Duration // default 500 ms
	SuspectAfter      time.Duration // default 2 s
	DeadAfter         time.Duration // default 5 s
	RemoveAfter       time.Duration // silence after which dead members not in the list are removed; default 10 min
	IsolatedAfter     time.Duration // time without contact to the store and all peers; default 8 s
	SummaryInterval   time.Duration // default 1 s
	// A member whose TableAge is at least StoreStaleAfter is not preferred as owner
	// of a shard while other members are below it, since it could not renew a
	// lease. Default 15 s.
	StoreStaleAfter time.Duration
	// MaxListLag is the longest time that a running instance can be missing from
	// the platform's list after its start. Default 30 s.
	MaxListLag          time.Duration
	MaxMeshSize         int // maximum number of instances in a full mesh; default 40
	RelaysPerDataCentre int // relays per data centre beyond MaxMeshSize; default 2
	ReadersPerEndpoint  int // instances that read one endpoint's report; default 2
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.HeartbeatInterval, 500 * time.Millisecond},
		{&c.SuspectAfter, 2 * time.Second},
		{&c.DeadAfter, 5 * time.Second},
		{&c.RemoveAfter, 10 * time.Minute},
		{&c.IsolatedAfter, 8 * time.Second},
		{&c.SummaryInterval, time.Second},
		{&c.StoreStaleAfter, 15 * time.Second},
		{&c.MaxListLag, 30 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	for _, n := range []struct {
		field *int
		value int
	}{{&c.MaxMeshSize, 40}, {&c.RelaysPerDataCentre, 2}, {&c.ReadersPerEndpoint, 2}} {
		if *n.field == 0 {
			*n.field = n.value
		}
	}
	return c
}
