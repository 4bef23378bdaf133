package controlplane

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/rowstore"
	"github.com/hyssophaven/hyssophaven/suspect"
)

const (
	// StateInterval is the usual time between two states that an instance sends to
	// the holder. A request with a latency target of about a second spans four of
	// them.
	StateInterval = 250 * time.Millisecond
	// maxPeersAtFullRate is the number of peers above which states are exchanged half
	// as often, so that the holder's traffic stays within half of a 200 Mbit/s link.
	// maxPeersAtFullRateConstrained is the limit for a holder with few resources and
	// half of a 10 Mbit/s link. A state and its answer average 5.3 KB with 78 instances
	// and 94 replicas.
	maxPeersAtFullRate, maxPeersAtFullRateConstrained = 500, 24
)

// stateInterval returns the time between two states of an instance, given the number
// of peers and whether the holder has few resources. The holder sends it with its
// answers.
func stateInterval(peers int, constrained bool) time.Duration {
	if peers > maxPeersAtFullRate || (constrained && peers > maxPeersAtFullRateConstrained) {
		return 2 * StateInterval
	}
	return StateInterval
}

// peerLifetime is the age at which a peer's last state is discarded.
const peerLifetime = 2 * time.Second

// PeerState is the state that an instance sends to the holder of the order lease.
type PeerState struct {
	Instance        string
	Loads           map[string]dispatch.Load           // load in flight, by replica
	Demand          map[string]residency.Demand        // demand since the last state, by model
	TableVersions   map[string]rowstore.Version        // newest row versions read, by table
	LatencyProfiles map[string]dispatch.LatencyProfile // by model size
	// Crashes holds the instance's crash counts, by request fingerprint.
	Crashes map[uint64]int
	// Suspects holds the instance's records of prompt parts that may crash replicas.
	Suspects suspect.Report
	// ListVersion is the version up to which the instance has applied all changes of the
	// list of replicas.
	ListVersion rowstore.Version
	// ConfigVersion is the version of the instance's config; 0 if it has none.
	ConfigVersion int64
}

// FleetState is the answer to a PeerState. It comes from the holder of the order
// lease, or from an instance that was taken for the holder.
type FleetState struct {
	// Holder is the id of the answering instance, or empty if it does not hold the
	// lease.
	Holder string
	Epoch  uint64
	// LeaseVersion is the version of the lease row that the holder last wrote.
	LeaseVersion rowstore.Version
	// TimeUntilOrders is the time until the holder may send orders.
	TimeUntilOrders time.Duration
	// ReleasedBy is the id of the answering instance if it has released the lease.
	ReleasedBy string
	// Loads is the load that all other instances have in flight, by replica.
	Loads map[string]dispatch.Load
	// Interval is the time that an instance must leave between two states it sends.
	Interval time.Duration
	// Instances is the number of instances that report to the holder, including the
	// holder.
	Instances int
	// TableVersions holds the newest row versions that the holder has read, by table.
	TableVersions   map[string]rowstore.Version
	LatencyProfiles map[string]dispatch.LatencyProfile // by model size
	// Crashes holds the crash counts of all other instances, by request fingerprint.
	// Those below dispatch.MinPeerCrashes are left out.
	Crashes map[uint64]int
	// Suspects holds the suspected and blocked prompt parts. It comes from the holder only,
	// and is nil if the holder's version does not decide on them.
	Suspects *suspect.Decisions
	// ModelChanges holds the replicas that are loading or unloading a model, with the
	// time until they accept orders again.
	ModelChanges map[string]time.Duration
	// UnloadingModels holds the models that are being or will be unloaded, by replica.
	UnloadingModels map[string][]string
	// FullReplicas holds the replicas whose adapter slots are all in use, with the
	// adapters that use them.
	FullReplicas map[string][]string
	// ModelArrivals is the time until the first copy of a model finishes loading, by
	// model.
	ModelArrivals map[string]time.Duration
	// List holds the entries that changed after the peer's list version.
	List []catalog.Entry
	// ListIsWhole is set if List holds all entries, because the holder does not know
	// which have been removed since the peer's list version.
	ListIsWhole bool
	// ListVersion is the version of the holder's list.
	ListVersion rowstore.Version
	// PendingRemovals holds the ids and versions of the removed entries that the holder keeps
	// because they can have lapsed while it did not reach the store. Whether a peer keeps
	// them follows from its own gap.
	PendingRemovals []catalog.Entry
	// Config is the row of the holder's config if it is newer than the peer's. A restored
	// store shows an older one until the operator writes it again.
	Config []byte
	// ListAge is the time since the holder's list was current.
	ListAge time.Duration
	// ConfigVersion is the version of the holder's config, and ConfigAge the time since it
	// was last known to be the newest one; negative if the holder does not tell.
	ConfigVersion int64
	ConfigAge     time.Duration
}

// peerState is the part of a peer's last state that is kept.
type peerState struct {
	loads      map[string]dispatch.Load
	crashes    map[uint64]int
	receivedAt time.Time
}

type ownState struct{ answer chan<- PeerState }

// OwnState returns this instance's state for the holder. Its demand is what has
// accumulated since the last call.
func (s *Service) OwnState(ctx context.Context) (PeerState, error) {
	answer := make(chan PeerState, 1)
	return ask(ctx, s, ownState{answer: answer}, answer)
}

func (e ownState) apply(c *core, now time.Time) {
	e.answer <- PeerState{Instance: c.node.ID, Loads: c.dispatch.OwnLoad(), Demand: c.drainDemand(), TableVersions: maps.Clone(c.tableVersions), LatencyProfiles: c.dispatch.LatencyProfiles(), Crashes: c.dispatch.OwnCrashes(now), Suspects: c.dispatch.Suspects().Report(now), ListVersion: c.replicaList.AppliedVersion(), ConfigVersion: c.configVersion()}
}

type servePeer struct {
	peer   PeerState
	answer chan<- FleetState
}

// ServePeer records a peer's state and returns the state of the rest of the fleet.
func (s *Service) ServePeer(ctx context.Context, p PeerState) (FleetState, error) {
	answer := make(chan FleetState, 1)
	return ask(ctx, s, servePeer{peer: p, answer: answer}, answer)
}

func (e servePeer) apply(c *core, now time.Time) {
	if _, ok := c.peers[e.peer.Instance]; !ok {
		c.log.Info("peer seen", "peer", e.peer.Instance)
	}
	c.peers[e.peer.Instance] = &peerState{loads: e.peer.Loads, crashes: e.peer.Crashes, receivedAt: now}
	c.addDemand(now, e.peer.Demand)
	c.recordAdapterUse(now, e.peer.Loads)
	c.dispatch.Suspects().Merge(now, e.peer.Instance, e.peer.Suspects)
	c.dispatch.AdoptLatencyProfiles(e.peer.LatencyProfiles)
	c.checkFeedLag(now, e.peer.TableVersions)
	e.answer <- c.fleetState(now, e.peer)
}

// fleetState returns the answer to a peer's state. It includes the plan and the list
// of replicas only on the holder of the order lease.
func (c *core) fleetState(now time.Time, peer PeerState) FleetState {
	state := FleetState{
		Loads: c.fleet.loadsWithout(peer.Loads), Crashes: c.fleet.crashesWithout(peer.Crashes),
		TableVersions: maps.Clone(c.tableVersions), LatencyProfiles: c.dispatch.LatencyProfiles(), Interval: stateInterval(len(c.peers), c.node.AvoidLease()),
		Instances: len(c.peers) + 1, ConfigAge: -1,
	}
	row := c.leader.Row()
	if c.leader.Held() {
		state.Holder, state.Epoch, state.LeaseVersion = c.node.ID, c.leader.Epoch(), row.Version
		state.TimeUntilOrders = c.leader.TimeUntilOrders(bootclock.Now())
		state.ModelChanges, state.UnloadingModels, state.ModelArrivals = c.plan.ModelChanges(now), c.plan.UnloadingModels(), c.plan.ModelArrivals(now)
		state.FullReplicas = c.plan.FullReplicas(now)
		state.List, state.ListIsWhole = c.listSince(peer.ListVersion)
		state.ListVersion, state.PendingRemovals = c.replicaList.Version(), c.replicaList.PendingRemovals()
		state.ListAge = now.Sub(c.listCurrentAt)
		state.ConfigVersion, state.ConfigAge = c.configVersion(), c.configState.age(now)
		if peer.ConfigVersion > 0 && peer.ConfigVersion < c.configVersion() {
			state.Config = c.configValue
		}
		decisions := c.dispatch.Suspects().DecisionsFor(now, peer.Instance)
		state.Suspects = &decisions
	}
	if row.Released && row.Holder == c.node.ID {
		state.ReleasedBy, state.Epoch = row.Holder, row.Epoch
	}
	return state
}

// recordAdapterUse records in the load plan which adapters are in use.
func (c *core) recordAdapterUse(now time.Time, loads map[string]dispatch.Load) {
	for id, load := range loads {
		for _, key := range load.Adapters {
			model, adapter, _ := strings.Cut(key, "/")
			c.plan.MarkAdapterUsed(now, id, model, adapter)
		}
	}
}

// updateRunning gives the load plan the number of requests that run on each replica,
// by model.
func (c *core) updateRunning(now time.Time) {
	running := make(map[string]map[string]int)
	add := func(loads map[string]dispatch.Load) {
		for id, load := range loads {
			if running[id] == nil {
				running[id] = make(map[string]int, len(load.Models))
			}
			for model, n := range load.Models {
				running[id][model] += n
			}
		}
	}
	add(c.dispatch.OwnLoad())
	for _, p := range c.peers {
		if now.Sub(p.receivedAt) <= peerLifetime {
			add(p.loads)
		}
	}
	c.plan.SetRunning(running)
}

// minUnreachableReports is the number of instances that must fail to connect to a
// replica before its models are loaded elsewhere. A single instance may itself be
// partitioned.
const minUnreachableReports = 2

// updateUnreachable gives the load plan the replicas that at least
// minUnreachableReports instances can't connect to.
func (c *core) updateUnreachable(now time.Time) {
	count := make(map[string]int)
	for id, load := range c.dispatch.OwnLoad() {
		if load.Unreachable {
			count[id]++
		}
	}
	for _, p := range c.peers {
		if now.Sub(p.receivedAt) > peerLifetime {
			continue
		}
		for id, load := range p.loads {
			if load.Unreachable {
				count[id]++
			}
		}
	}
	var down []string
	for id, n := range count {
		if n >= minUnreachableReports {
			down = append(down, id)
		}
	}
	c.plan.SetUnreachable(down)
}

// updateFleetSum discards expired peers, sums the load in flight of all instances,
// and passes the load of the other instances to dispatch. It runs on each tick
// rather than for each peer state, so that its cost does not grow with the square of
// the number of instances.
func (c *core) updateFleetSum(now time.Time) {
	if len(c.peers) == 0 {
		return
	}
	others := newFleetSum()
	for name, p := range c.peers {
		if now.Sub(p.receivedAt) > peerLifetime {
			c.log.Info("peer lost", "peer", name, "last_seen", now.Sub(p.receivedAt))
			delete(c.peers, name)
			continue
		}
		others.add(p.loads, p.crashes)
	}
	if now.Sub(c.holderSeenAt) > c.maxHolderSilence() { // no holder sends the whole fleet's load
		c.setPeerLoads(now, others.loads)
		c.dispatch.SetPeerCrashes(maps.Clone(others.crashes))
	}
	if c.leader.Held() {
		c.setInstances(len(c.peers) + 1)
	}
	others.add(c.dispatch.OwnLoad(), c.dispatch.OwnCrashes(now))
	c.fleet = others
}

// setPeerLoads gives dispatch the load of the other instances on every replica.
func (c *core) setPeerLoads(now time.Time, sum map[string]dispatch.Load) {
	for _, r := range c.replicaList.Replicas() {
		c.dispatch.SetPeerLoad(now, r.ID, sum[r.ID])
	}
}

// fleetSum holds the sums over instances of the load in flight, by replica, and of
// crash counts, by request fingerprint.
type fleetSum struct {
	loads   map[string]dispatch.Load
	crashes map[uint64]int
}

func newFleetSum() fleetSum {
	return fleetSum{loads: make(map[string]dispatch.Load), crashes: make(map[uint64]int)}
}

func (f fleetSum) add(loads map[string]dispatch.Load, crashes map[uint64]int) {
	for id, l := range loads {
		f.loads[id] = f.loads[id].Add(l)
	}
	for fingerprint, n := range crashes {
		f.crashes[fingerprint] += n
	}
}

// loadsWithout returns the loads without those of one instance. These may have
// changed since the sum was computed, so differences are cut off at zero.
func (f fleetSum) loadsWithout(own map[string]dispatch.Load) map[string]dispatch.Load {
	out := make(map[string]dispatch.Load, len(f.loads))
	for id, l := range f.loads {
		if l = l.Sub(own[id]); l.Requests > 0 {
			out[id] = l
		}
	}
	return out
}

// crashesWithout returns the crash counts of the other instances that reach
// dispatch.MinPeerCrashes; lower counts change no decision.
func (f fleetSum) crashesWithout(own map[uint64]int) map[uint64]int {
	out := make(map[uint64]int, len(f.crashes))
	for fingerprint, n := range f.crashes {
		if n -= own[fingerprint]; n >= dispatch.MinPeerCrashes {
			out[fingerprint] = n
		}
	}
	return out
}

// setStateInterval sets the time between two answers from the holder. It ignores 0,
// which means that a holder of another version did not send the field.
func (c *core) setStateInterval(d time.Duration) {
	if d > 0 {
		c.stateInterval = d
		c.leader.SetContactInterval(d)
	}
}

// FleetSeen delivers the answer to a PeerState that this instance sent at SentAt.
type FleetSeen struct {
	State  FleetState
	SentAt time.Time
}

func (e FleetSeen) apply(c *core, now time.Time) {
	c.leader.RecordContact(bootclock.Now(), e.State.Holder, e.State.Epoch, e.State.LeaseVersion)
	if e.State.ReleasedBy != "" {
		c.leader.RecordRelease(bootclock.Now(), e.State.ReleasedBy, e.State.Epoch)
	}
	if e.State.Holder != "" {
		c.holderSeenAt, c.holderCanOrderAt = now, now.Add(e.State.TimeUntilOrders)
		c.setStateInterval(e.State.Interval)
		c.setInstances(e.State.Instances)
		if e.State.Suspects != nil {
			c.decisionsSeenAt = now
			c.logPartChanges(c.dispatch.Suspects().Adopt(now, *e.State.Suspects), e.State.Holder)
		}
	}
	c.adoptHolderConfig(e.State, e.SentAt)
	c.adoptHolderList(now, e.State, e.SentAt)
	c.checkFeedLag(now, e.State.TableVersions)
	c.setPeerLoads(now, e.State.Loads)
	c.dispatch.SetModelChanges(now, e.State.ModelChanges, e.State.UnloadingModels)
	c.dispatch.SetModelArrivals(now, e.State.ModelArrivals)
	c.dispatch.SetFullReplicas(e.State.FullReplicas)
	c.dispatch.AdoptLatencyProfiles(e.State.LatencyProfiles)
	c.dispatch.SetPeerCrashes(e.State.Crashes)
	c.serveAllWaiters(now)
}
