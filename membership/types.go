// Package membership decides which instances are alive, from the platform's
// lagging list and from heartbeats; to whom heartbeats go; and which instance
// is chosen for a piece of shared work. It does no I/O, reads no clock and
// knows no encoding.
package membership

import (
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// Heartbeat is what an instance tells its peers about itself. It is immutable
// once passed on.
type Heartbeat struct {
	Member        fleet.Instance
	Sequence      uint64 // increases with every heartbeat of one incarnation
	TableRevision uint64
	TableAge      time.Duration // since the store last confirmed the revision
	Leaving       bool
	Leases        []lease.Held
	Demand        []RowDemand        // at most one per row
	InFlight      []EndpointInFlight // of this instance, at most one per endpoint
	Reports       []EndpointReport   // at most one per endpoint
	WantedLoads   int                // loads that the instance's shards want from the weight store now
	Retries       RetryCounts
	Suspects      []quarantine.Notice
	// Summaries describe data centres, as a relay sees them.
	Summaries []Summary
}

// RowDemand is the demand for one table row.
type RowDemand struct {
	Row         string
	ArrivalRate float64 // requests per second
	Queued      int
	InFlight    int
	Slots       float64 // what the arrivals occupy in the long run, at least Queued + InFlight
}

// EndpointInFlight counts the requests that an instance has in flight on an
// endpoint.
type EndpointInFlight struct {
	Endpoint fleet.EndpointID
	InFlight [fleet.RankCount]int
}

// RetryCounts are the counts behind the retry ratio, over the last 10 s.
type RetryCounts struct {
	Requests int
	Retries  int
}

// EndpointReport is the load report of one endpoint as its reader passes it on.
type EndpointReport struct {
	Endpoint  fleet.EndpointID
	BootID    string
	Age       time.Duration // since the report was taken
	Running   int
	Waiting   int
	Slots     int
	Leaving   bool
	Residents []Resident
}

// Resident is a model or adapter on an endpoint.
type Resident struct {
	Name    string
	Version string
	Ready   bool
}

// Summary is a relay's view of its own data centre, for the other ones.
type Summary struct {
	DataCentre fleet.DataCentre
	Relay      fleet.InstanceID
	// RelayIncarnation and Sequence order the summaries of one relay.
	RelayIncarnation fleet.Incarnation
	Sequence         uint64
	TableRevision    uint64         // highest of the members
	Members          []MemberDigest // members that are not dead
	Demand           []RowDemand    // sums over the members
	Reports          []EndpointReport
	WantedLoads      int
	Retries          RetryCounts
}

// MemberDigest is one member of a data centre in a summary.
type MemberDigest struct {
	Member     fleet.Instance
	Leaving    bool
	Suspect    bool
	StoreStale bool // the store did not confirm the revision lately
	Leases     []lease.Held
}

// Status is how sure it is that a member runs.
type Status uint8

// The statuses of a member.
const (
	Listed  Status = iota // in the platform's list, not heard of yet
	Alive                 // heard of within SuspectAfter
	Suspect               // not heard of for SuspectAfter
	Dead                  // not heard of for DeadAfter
)

var statusNames = [...]string{"listed", "alive", "suspect", "dead"}

// String returns the status in lower case.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// Member is what is known of one instance.
type Member struct {
	Instance  fleet.Instance // Incarnation is 0 until it was heard of
	Status    Status
	Leaving   bool
	InList    bool // named by the newest list that was read
	LastHeard time.Time
	// Heartbeat is the newest one and HeartbeatAt when it was received. Members
	// that are known only through a relay have none.
	Heartbeat   *Heartbeat
	HeartbeatAt time.Time
}

// Event is what the state is told.
type Event interface{ membershipEvent() }

// ListingRead carries the instances of the platform's list.
type ListingRead struct{ Instances []backing.ListedInstance }

// HeartbeatReceived carries a heartbeat of a peer.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// StoreContact tells that the table service answered a call that was sent at Sent.
type StoreContact struct{ Sent time.Time }

// Tick lets time pass. Own is the current content of this instance's
// heartbeat; Member, Sequence, Leaving and Summaries are filled in.
type Tick struct{ Own Heartbeat }

// LeaveRequested tells that this instance is stopping.
type LeaveRequested struct{}

func (ListingRead) membershipEvent()       {}
func (HeartbeatReceived) membershipEvent() {}
func (StoreContact) membershipEvent()      {}
func (Tick) membershipEvent()              {}
func (LeaveRequested) membershipEvent()    {}

// Action is what the state asks for.
type Action interface{ membershipAction() }

// SendHeartbeat asks to send a heartbeat to the given instances.
type SendHeartbeat struct {
	To        []fleet.Instance
	Heartbeat Heartbeat
}

// MemberChanged tells that status, incarnation, leaving mark or presence in
// the list of another instance changed. Before is zero for a new member.
type MemberChanged struct {
	Before, After Member
}

// MemberForgotten tells that a dead member is no longer kept.
type MemberForgotten struct{ Member Member }

// RevisionSeen tells that a peer has a higher table revision than any before.
type RevisionSeen struct {
	Revision uint64
	Member   fleet.Instance
}

// IsolationChanged tells that the instance became cut off, or is not any more.
type IsolationChanged struct{ Isolated bool }

// Replaced tells that a newer incarnation of this instance runs. This process
// must give no more orders.
type Replaced struct{ By fleet.Instance }

func (SendHeartbeat) membershipAction()    {}
func (MemberChanged) membershipAction()    {}
func (MemberForgotten) membershipAction()  {}
func (RevisionSeen) membershipAction()     {}
func (IsolationChanged) membershipAction() {}
func (Replaced) membershipAction()         {}

// Config holds the constants of membership.
type Config struct {
	Self           fleet.Instance
	HeartbeatEvery time.Duration // default 500 ms
	SuspectAfter   time.Duration // default 2 s
	DeadAfter      time.Duration // default 5 s
	ForgetAfter    time.Duration // dead and not listed; default 10 min
	IsolatedAfter  time.Duration // default 8 s
	SummaryEvery   time.Duration // default 1 s
	// StoreStaleAfter is the age of the last confirmation by the store after
	// which a member is not preferred as owner of a shard while others are
	// fresher, since it could not renew a lease. Default 15 s.
	StoreStaleAfter time.Duration
	// ListLag is the longest time that a running instance may be missing from
	// the platform's list after its start. Default 30 s.
	ListLag       time.Duration
	MeshLimit     int // members up to which all send to all; default 40
	Relays        int // relays per data centre beyond MeshLimit; default 2
	ReportReaders int // instances that read one endpoint's report; default 2
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.HeartbeatEvery, 500 * time.Millisecond},
		{&c.SuspectAfter, 2 * time.Second},
		{&c.DeadAfter, 5 * time.Second},
		{&c.ForgetAfter, 10 * time.Minute},
		{&c.IsolatedAfter, 8 * time.Second},
		{&c.SummaryEvery, time.Second},
		{&c.StoreStaleAfter, 15 * time.Second},
		{&c.ListLag, 30 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	for _, n := range []struct {
		field *int
		value int
	}{{&c.MeshLimit, 40}, {&c.Relays, 2}, {&c.ReportReaders, 2}} {
		if *n.field == 0 {
			*n.field = n.value
		}
	}
	return c
}
