package controlplane

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/retry"
)

const (
	// StateInterval is the usual time between two states that an instance tells the
	// holder: a quarter of the time in which a request with a goal of about a second is
	// served.
	StateInterval = 250 * time.Millisecond
	// manyPeers is the number of instances from which on states come half as often, so
	// that the holder's part of them stays within half of a link of 200 Mbit/s;
	// weakPeers is the same for a weak holder and half of 10 Mbit/s. A state and its
	// answer took 5.3 KB in the mean with 78 instances and 94 replicas
	// (tsn-bandbook-grown, scale-1).
	manyPeers, weakPeers = 500, 24
)

// stateInterval returns the time between two states, by the number of instances and
// whether the holder is weak. The holder says it with its answers.
func stateInterval(peers int, weak bool) time.Duration {
	if peers > manyPeers || (weak && peers > weakPeers) {
		return 2 * StateInterval
	}
	return StateInterval
}

// peerLifetime is the age up to which a peer's state counts.
const peerLifetime = 2 * time.Second

// PeerState is what one instance tells the holder of the order lease.
type PeerState struct {
	Instance string
	Loads    map[string]dispatch.Load    // by replica
	Demand   map[string]residency.Demand // by model
	Versions map[string]uint64
	Paces    map[string]dispatch.Pace // by the size of models
	// Crashes are broken runs by the content of requests.
	Crashes map[uint64]int
	// ListVersion is the version of the list of replicas that the instance knows.
	ListVersion uint64
}

// FleetState is the holder's answer.
type FleetState struct {
	// Holder is empty if the instance does not hold the lease (any more).
	Holder string
	Epoch  uint64
	// LeaseVersion is the version of the lease's row that the holder wrote last.
	LeaseVersion uint64
	// OrdersIn is the time until the holder may order.
	OrdersIn time.Duration
	// Released names the instance if it has held the lease, and has released it.
	Released string
	Loads    map[string]dispatch.Load // of all other instances, by replica
	// Interval is the time between two states of an instance.
	Interval time.Duration
	// Instances is the number of instances that report to the holder, with itself.
	Instances int
	// Versions are the newest rows that the holder has read, by table.
	Versions map[string]uint64
	Paces    map[string]dispatch.Pace // by the size of models
	// Crashes are broken runs at all other instances, by the content of requests.
	Crashes map[uint64]int
	// Moving are the replicas that load or unload a model, with the time until they
	// take orders again.
	Moving map[string]time.Duration
	// Dropping are the models that are being unloaded or will be, by replica.
	Dropping map[string][]string
	// Full are the replicas whose places for adapters are all in use, with these
	// adapters.
	Full map[string][]string
	// Coming is the time until the first copy of a model arrives that is loaded.
	Coming map[string]time.Duration
	// List is what changed in the list of replicas after the peer's version.
	List []catalog.Entry
	// ListVersion is the version of the holder's list, and StoreAge the time since
	// the store last answered the holder.
	ListVersion uint64
	StoreAge    time.Duration
}

type peerState struct {
	loads   map[string]dispatch.Load
	crashes map[uint64]int
	at      time.Time
}

type ownState struct{ answer chan<- PeerState }

// OwnState returns this instance's state for the holder. Demand is what came
// since the last call.
func (s *Service) OwnState(ctx context.Context) (PeerState, error) {
	answer := make(chan PeerState, 1)
	return ask(ctx, s, ownState{answer: answer}, answer)
}

func (e ownState) apply(c *core, now time.Time) {
	e.answer <- PeerState{Instance: c.node.ID, Loads: c.dispatch.OwnLoad(), Demand: c.takeDemand(), Versions: maps.Clone(c.versions), Paces: c.dispatch.Paces(), Crashes: c.dispatch.OwnCrashes(now), ListVersion: c.roster.Version()}
}

type servePeer struct {
	peer   PeerState
	answer chan<- FleetState
}

// ServePeer takes over a peer's state and returns that of the other instances.
func (s *Service) ServePeer(ctx context.Context, p PeerState) (FleetState, error) {
	answer := make(chan FleetState, 1)
	return ask(ctx, s, servePeer{peer: p, answer: answer}, answer)
}

func (e servePeer) apply(c *core, now time.Time) {
	if _, ok := c.peers[e.peer.Instance]; !ok {
		c.log.Info("peer seen", "peer", e.peer.Instance)
	}
	c.peers[e.peer.Instance] = &peerState{loads: e.peer.Loads, crashes: e.peer.Crashes, at: now}
	for model, d := range e.peer.Demand {
		c.plan.AddDemand(now, model, d)
	}
	c.useAdapters(now, e.peer.Loads)
	c.dispatch.AdoptPaces(e.peer.Paces)
	c.compareVersions(now, e.peer.Versions)
	e.answer <- c.fleetState(now, e.peer)
}

// fleetState returns what a peer is told.
func (c *core) fleetState(now time.Time, peer PeerState) FleetState {
	state := FleetState{
		Loads: c.fleet.loadsWithout(peer.Loads), Crashes: c.fleet.crashesWithout(peer.Crashes),
		Versions: maps.Clone(c.versions), Paces: c.dispatch.Paces(), Interval: stateInterval(len(c.peers), c.node.Weak()),
		Instances: len(c.peers) + 1,
	}
	row := c.leader.Row()
	if c.leader.Held() {
		state.Holder, state.Epoch, state.LeaseVersion = c.node.ID, c.leader.Epoch(), row.Version
		state.OrdersIn = c.leader.OrdersIn(bootclock.Now())
		state.Moving, state.Dropping, state.Coming = c.plan.Moving(now), c.plan.Dropping(), c.plan.Coming(now)
		state.Full = c.plan.Full(now)
		state.List, state.ListVersion = c.roster.Since(peer.ListVersion), c.roster.Version()
		state.StoreAge = now.Sub(c.storeSeen)
	}
	if row.Released && row.Holder == c.node.ID {
		state.Released, state.Epoch = row.Holder, row.Epoch
	}
	return state
}

// useAdapters tells the plan which adapters are in use.
func (c *core) useAdapters(now time.Time, loads map[string]dispatch.Load) {
	for id, load := range loads {
		for _, key := range load.Adapters {
			model, adapter, _ := strings.Cut(key, "/")
			c.plan.UsedAdapter(now, id, model, adapter)
		}
	}
}

// countRunning tells the plan how many requests run on each replica, by model.
func (c *core) countRunning(now time.Time) {
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
		if now.Sub(p.at) <= peerLifetime {
			add(p.loads)
		}
	}
	c.plan.SetRunning(running)
}

// unreachableBy is the number of instances that must fail to connect to a
// replica before its models are loaded elsewhere: one alone may be cut off.
const unreachableBy = 2

// findUnreachable tells the plan which replicas can't be reached.
func (c *core) findUnreachable(now time.Time) {
	count := make(map[string]int)
	for id, load := range c.dispatch.OwnLoad() {
		if load.Unreachable {
			count[id]++
		}
	}
	for _, p := range c.peers {
		if now.Sub(p.at) > peerLifetime {
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
		if n >= unreachableBy {
			down = append(down, id)
		}
	}
	c.plan.SetUnreachable(down)
}

// sumPeers sums what all instances have in flight, and hands the part of the
// others to dispatch. It runs at each tick, not for each peer, so that its cost
// does not grow with the square of the number of instances.
func (c *core) sumPeers(now time.Time) {
	if len(c.peers) == 0 {
		return
	}
	others := newFleetSum()
	for name, p := range c.peers {
		if now.Sub(p.at) > peerLifetime {
			c.log.Info("peer lost", "peer", name, "last_seen", now.Sub(p.at))
			delete(c.peers, name)
			continue
		}
		others.add(p.loads, p.crashes)
	}
	if now.Sub(c.holderSeen) > c.holderSilence() { // no other holder tells more
		c.setPeerLoads(now, others.loads)
		c.dispatch.SetPeerCrashes(maps.Clone(others.crashes))
	}
	if c.leader.Held() {
		c.setInstances(len(c.peers) + 1)
	}
	others.add(c.dispatch.OwnLoad(), c.dispatch.OwnCrashes(now))
	c.fleet = others
}

// setInstances divides the slack of the retry budget among the instances.
func (c *core) setInstances(n int) {
	if n != c.instances {
		c.instances = n
		c.dispatch.SetRetries(retryLimits(c.node.Bounds, n))
	}
}

// retryLimits returns an instance's part of the retries that all may send: of the
// allowed ratio, and of the slack half as a rate and half as a burst. Instances that
// have just started do not know how many they are.
func retryLimits(b nodeconfig.Bounds, instances int) retry.Limits {
	part := b.RetrySlack / 2 / float64(max(instances, assumedInstances))
	return retry.Limits{
		Window: b.RetryWindow, Ratio: budgetShare * b.RetryRatio,
		MinPerSecond: part / b.RetryWindow.Seconds(), Burst: part,
	}
}

func (c *core) setPeerLoads(now time.Time, sum map[string]dispatch.Load) {
	for _, r := range c.roster.Replicas() {
		c.dispatch.SetPeerLoad(now, r.ID, sum[r.ID])
	}
}

// fleetSum is what instances have in flight, and broken runs by content.
type fleetSum struct {
	loads   map[string]dispatch.Load
	crashes map[uint64]int
}

func newFleetSum() fleetSum {
	return fleetSum{loads: make(map[string]dispatch.Load), crashes: make(map[uint64]int)}
}

func (f fleetSum) add(loads map[string]dispatch.Load, crashes map[uint64]int) {
	for id, l := range loads {
		f.loads[id] = f.loads[id].Plus(l)
	}
	for content, n := range crashes {
		f.crashes[content] += n
	}
}

// loadsWithout returns the sum without one instance's part, which may have
// changed since the sum was made.
func (f fleetSum) loadsWithout(own map[string]dispatch.Load) map[string]dispatch.Load {
	out := make(map[string]dispatch.Load, len(f.loads))
	for id, l := range f.loads {
		if l = l.Minus(own[id]); l.Requests > 0 {
			out[id] = l
		}
	}
	return out
}

// crashesWithout returns the counts of broken runs of the others that matter to an
// instance.
func (f fleetSum) crashesWithout(own map[uint64]int) map[uint64]int {
	out := make(map[uint64]int, len(f.crashes))
	for content, n := range f.crashes {
		if n -= own[content]; n >= dispatch.MinPeerCrashes {
			out[content] = n
		}
	}
	return out
}

// setStateInterval takes over the time between two answers of the holder. A holder of
// another version may not say it.
func (c *core) setStateInterval(d time.Duration) {
	if d > 0 {
		c.stateInterval = d
		c.leader.SetContactInterval(d)
	}
}

// FleetSeen is the holder's answer to this instance's state.
type FleetSeen struct{ State FleetState }

func (e FleetSeen) apply(c *core, now time.Time) {
	c.leader.Contact(bootclock.Now(), e.State.Holder, e.State.Epoch, e.State.LeaseVersion)
	if e.State.Released != "" {
		c.leader.HolderStops(bootclock.Now(), e.State.Released, e.State.Epoch)
	}
	if e.State.Holder != "" {
		c.holderSeen, c.holderOrders = now, now.Add(e.State.OrdersIn)
		c.setStateInterval(e.State.Interval)
		c.setInstances(e.State.Instances)
	}
	c.takeList(now, e.State)
	c.compareVersions(now, e.State.Versions)
	c.setPeerLoads(now, e.State.Loads)
	c.dispatch.SetMoving(now, e.State.Moving, e.State.Dropping)
	c.dispatch.SetComing(now, e.State.Coming)
	c.dispatch.SetFull(e.State.Full)
	c.dispatch.AdoptPaces(e.State.Paces)
	c.dispatch.SetPeerCrashes(e.State.Crashes)
}
