package control

import (
	"slices"
	"strconv"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/placement"
	"github.com/hyssophaven/hyssophaven/quarantine"
	"github.com/hyssophaven/hyssophaven/retry"
	"github.com/hyssophaven/hyssophaven/table"
)

// Config configures the control state of one instance.
type Config struct {
	Self          fleet.Instance
	Shards        int           // number of shards for the endpoints' ledgers
	MaxOrderDelay time.Duration // longest time an order can be on its way to an engine
	Admission     admission.Config
	Placement     placement.Options
	LoadLimit     placement.LoadLimit // bounds the loads from the weight store over all instances
	Membership    membership.Config
	Lease         lease.Config
	Quarantine    quarantine.Config
}

// core is the control state. It passes each event to the decision packages that
// it concerns, and turns actions of one package into events of another. It does
// no I/O and reads no clock.
type core struct {
	config  Config
	actions []Action
	// replies maps request IDs to the reply channels of pending Admit calls.
	replies map[uint64]chan<- answer

	table table.LocalCopy
	// storeEra is the highest known era of the table service.
	storeEra       uint64
	storeEraKnown  bool
	storeUnsettled bool // the table is not written again in storeEra yet

	listing    backing.Listing
	hasListing bool // the platform's list has been read
	stopping   bool
	replaced   bool // a newer incarnation of this instance is running

	members         *membership.State
	leases          *lease.State
	queue           *admission.Queue
	quarantineState *quarantine.State
	retries         *retry.Budget
	ownership       ownership
	plans           plans
	requests        requests
	reports         map[fleet.EndpointID]report
	demands         []admission.MemberDemand  // demand of every live instance when the view was last built
	demandByRow     map[string][]memberDemand // demands grouped by row

	routes           routes // as of the last view
	reportAssignment reportAssignment
	viewStale        bool
	inFlight         map[fleet.EndpointID]map[fleet.InstanceID][fleet.RankCount]int // as of the last view
	viewBuiltAt      time.Time
	snapshot         *Snapshot
	findings         map[string][]string // placement findings by pool
}

func newCore(c Config, now time.Time) *core {
	c.Membership.Self = c.Self
	c.Lease.Self, c.Lease.Incarnation = c.Self.ID, c.Self.Incarnation
	c.Quarantine.Self, c.Quarantine.Incarnation = c.Self.ID, c.Self.Incarnation
	c.Admission.DataCentre = c.Self.DataCentre
	core := &core{
		config:          c,
		replies:         make(map[uint64]chan<- answer),
		members:         membership.New(c.Membership, now),
		leases:          lease.New(c.Lease),
		queue:           admission.NewQueue(c.Admission),
		quarantineState: quarantine.New(c.Quarantine),
		retries:         retry.New(now, retry.DefaultLimits()),
		ownership:       newOwnership(),
		plans:           newPlans(),
		requests:        newRequests(),
		reports:         make(map[fleet.EndpointID]report),
		findings:        make(map[string][]string),
	}
	core.publish(now)
	return core
}

// step handles one event and returns the resulting actions.
func (c *core) step(now time.Time, ev Event) []Action {
	c.actions = nil
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case arrive:
		c.arrive(now, ev)
	case finish:
		c.finish(now, ev.outcome)
	case cancel:
		c.cancel(now, ev.id)
	case ListingRead:
		c.listingRead(now, ev.Listing)
	case TableHeadRead:
		c.tableHeadRead(now, ev)
	case TableWrittenAgain, TableEditsLost:
		c.reportTableRestore(ev)
	case TableRead:
		c.tableRead(now, ev.Snapshot)
	case HeartbeatReceived:
		c.heartbeatReceived(now, ev.Heartbeat)
	case NoticesReceived:
		c.stepQuarantine(now, quarantine.NoticesReceived{From: ev.From, Notices: ev.Notices})
	case LeaseResult:
		c.stepLeases(now, ev.Event)
	case LedgerResult:
		c.stepLedger(now, ev.Endpoint, ev.Event)
	case LedgerAdopted:
		c.ledgerAdopted(now, ev)
	case RecordsRead:
		c.recordsRead(now, ev)
	case PlanAdopted:
		c.planAdopted(now, ev)
	case PlanCommitted:
		c.planCommitted(now, ev)
	case QuarantineResult:
		c.stepQuarantine(now, ev.Event)
	case ReportRead:
		c.reportRead(now, ev)
	case ProbeDone:
		c.probeDone(now, ev)
	case StopRequested:
		c.stop(now)
	case liftRequest:
		c.stepQuarantine(now, quarantine.QuarantineLifted{Fingerprint: ev.fingerprint})
	case statusRequest:
		ev.reply <- c.status(now)
	}
	return c.actions
}

func (c *core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *core) emitChange(kind string, fields ...Field) {
	c.emit(Change{Kind: kind, Fields: fields})
}

// tick does the work that depends on time alone.
func (c *core) tick(now time.Time) {
	if c.members.HeartbeatDue(now) {
		c.stepMembership(now, membership.Tick{Own: c.ownHeartbeat(now)})
	}
	c.updatePreferences(now)
	c.stepLeases(now, lease.Tick{})
	c.tickOwnership(now)
	c.stepQuarantine(now, quarantine.Tick{})
	c.tickPlans(now)
	c.tickRequests(now)
	if due, ok := c.queue.NextDeadline(); ok && !now.Before(due) {
		c.stepQueue(now, admission.Tick{})
	}
	if c.viewDue(now) {
		c.rebuildView(now)
	}
	c.publish(now)
}

func (c *core) stop(now time.Time) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.emitChange(ChangeStopRequested)
	c.stepMembership(now, membership.LeaveRequested{})
	c.stepLeases(now, lease.LeaveRequested{})
	c.publish(now)
}

func (c *core) listingRead(now time.Time, l backing.Listing) {
	same := c.hasListing && slices.Equal(c.listing.Endpoints, l.Endpoints)
	if same {
		l.Endpoints = c.listing.Endpoints // keeps results cached for these endpoints valid
	}
	c.listing, c.hasListing = l, true
	if !same {
		c.computeShards()
	}
	c.stepMembership(now, membership.ListingRead{Instances: l.Instances})
	c.endpointsChanged(now)
	if !same {
		c.rebuildView(now)
	}
	c.publish(now)
}

func (c *core) tableHeadRead(now time.Time, ev TableHeadRead) {
	c.noteStoreEra(now, ev)
	c.stepMembership(now, membership.StoreAnswered{Sent: ev.Sent})
	c.table.NoteConfirmation(ev.Revision, ev.Sent)
	if c.table.NoteRevision(ev.Revision) && ev.Revision > 0 {
		c.emit(FetchTable{Revision: ev.Revision})
	}
}

func (c *core) tableRead(now time.Time, s *table.Snapshot) {
	if !c.table.Adopt(s) {
		return
	}
	c.emitChange(ChangeTableAdopted, Field{"revision", strconv.FormatUint(s.Revision, 10)})
	c.rebuildView(now)
	c.publish(now)
}

// stepMembership passes an event to the membership state and handles its actions.
func (c *core) stepMembership(now time.Time, ev membership.Event) {
	for _, a := range c.members.Step(now, ev) {
		switch a := a.(type) {
		case membership.MemberChanged:
			c.memberChanged(now, a)
		case membership.RevisionSeen:
			if c.table.NoteRevision(a.Revision) {
				c.emit(FetchTable{Revision: a.Revision, From: a.Member})
			}
		case membership.IsolationChanged:
			c.emitChange(ChangeIsolation, Field{"isolated", strconv.FormatBool(a.Isolated)})
			c.publish(now)
		case membership.Replaced:
			c.replaced = true
			c.emitChange(ChangeReplaced)
			c.stop(now)
		case membership.SendHeartbeat:
			c.emit(a)
		}
	}
}

func (c *core) memberChanged(now time.Time, a membership.MemberChanged) {
	if a.Before.Status != a.After.Status {
		c.emitChange(instanceChangeKind(a.After.Status), Field{"instance", string(a.After.Instance.ID)})
	}
	if a.After.Status == membership.Dead {
		c.retries.RemovePeer(a.After.Instance.ID)
	}
	c.stepQuarantine(now, quarantine.MembersChanged{Alive: c.members.AliveIncarnations()})
	c.viewStale = true
}

func (c *core) heartbeatReceived(now time.Time, h membership.Heartbeat) {
	c.stepMembership(now, membership.HeartbeatReceived{Heartbeat: h})
	c.applyPeerConfirmation(now, h)
	c.retries.SetPeerCounts(now, h.Member.ID, retry.Counts{Requests: uint32(h.Retries.Requests), Retries: uint32(h.Retries.Retries)})
	c.stepQuarantine(now, quarantine.NoticesReceived{From: h.Member.ID, Complete: true, Notices: h.Suspects})
	c.viewStale = true
}

// applyPeerConfirmation records the confirmation that a peer got from the store:
// the peer's table revision was the newest one at least TableAge before the
// heartbeat was received.
func (c *core) applyPeerConfirmation(now time.Time, h membership.Heartbeat) {
	if h.TableAge > 0 && h.TableAge < unconfirmedTableAge {
		c.table.NoteConfirmation(h.TableRevision, now.Add(-h.TableAge))
	}
}

// unconfirmedTableAge is the reported age of a table that the store has never
// confirmed.
const unconfirmedTableAge = 1000 * time.Hour

// tableAge returns the time since the store last confirmed the table revision.
func (c *core) tableAge(now time.Time) time.Duration {
	at := c.table.ConfirmedAt()
	if at.IsZero() {
		return unconfirmedTableAge
	}
	return now.Sub(at)
}

func (c *core) tableRevision() uint64 {
	if s := c.table.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// endpoint returns the listed endpoint with the given id.
func (c *core) endpoint(id fleet.EndpointID) (fleet.Endpoint, bool) {
	for _, e := range c.listing.Endpoints {
		if e.ID == id {
			return e, true
		}
	}
	return fleet.Endpoint{}, false
}

func (c *core) ledgerSettings(e fleet.Endpoint) ledger.Settings {
	return ledger.Settings{
		Replica: e.ID, CapacityMB: e.MemoryMB, ChecksTokens: e.ChecksTokens,
		MaxOrderDelay: c.config.MaxOrderDelay,
	}
}
