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
)

// peerLifetime is the age up to which a peer's state counts.
const peerLifetime = 2 * time.Second

// PeerState is what one instance tells the holder of the order lease.
type PeerState struct {
	Instance string                      `json:"instance"`
	Loads    map[string]dispatch.Load    `json:"loads"`  // by replica
	Demand   map[string]residency.Demand `json:"demand"` // by model
	Versions map[string]uint64           `json:"versions"`
	Paces    map[string]float64          `json:"paces"` // by the size of models
	// Crashes are broken runs by the content of requests.
	Crashes map[uint64]int `json:"crashes,omitempty"`
	// ListVersion is the version of the list of replicas that the instance knows.
	ListVersion uint64 `json:"list_version"`
}

// FleetState is the holder's answer.
type FleetState struct {
	Holder string                   `json:"holder"`
	Epoch  uint64                   `json:"epoch"`
	Loads  map[string]dispatch.Load `json:"loads"` // of all other instances, by replica
	// Versions are the newest rows that the holder has read, by table.
	Versions map[string]uint64  `json:"versions"`
	Paces    map[string]float64 `json:"paces"` // by the size of models
	// Crashes are broken runs at all other instances, by the content of requests.
	Crashes map[uint64]int `json:"crashes,omitempty"`
	// Moving are the replicas that load or unload a model.
	Moving []string `json:"moving"`
	// Dropping are the models that are being unloaded or will be, by replica.
	Dropping map[string]string `json:"dropping"`
	// List is what changed in the list of replicas after the peer's version.
	List []catalog.Entry `json:"list,omitempty"`
	// ListVersion is the version of the holder's list, and StoreAge the time since
	// the store last answered the holder.
	ListVersion uint64        `json:"list_version"`
	StoreAge    time.Duration `json:"store_age"`
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
	c.sumPeers(now)
	c.compareVersions(now, e.peer.Versions)
	c.dispatch.SetPeerCrashes(c.othersCrashes(now, c.node.ID))
	state := FleetState{Loads: c.othersLoad(now, e.peer.Instance), Versions: maps.Clone(c.versions), Paces: c.dispatch.Paces(), Crashes: c.othersCrashes(now, e.peer.Instance)}
	if c.leader.Held() {
		state.Holder, state.Epoch = c.node.ID, c.leader.Epoch()
		state.Moving, state.Dropping = c.plan.Moving(), c.plan.Dropping()
		state.List, state.ListVersion = c.roster.Since(e.peer.ListVersion), c.roster.Version()
		state.StoreAge = now.Sub(c.storeSeen)
	}
	e.answer <- state
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

// sumPeers hands the load of all peers to dispatch.
func (c *core) sumPeers(now time.Time) {
	sum := make(map[string]dispatch.Load)
	for name, p := range c.peers {
		if now.Sub(p.at) > peerLifetime {
			c.log.Info("peer lost", "peer", name, "last_seen", now.Sub(p.at))
			delete(c.peers, name)
			continue
		}
		addLoads(sum, p.loads)
	}
	c.setPeerLoads(now, sum)
}

func (c *core) setPeerLoads(now time.Time, sum map[string]dispatch.Load) {
	for _, r := range c.roster.Replicas() {
		c.dispatch.SetPeerLoad(now, r.ID, sum[r.ID])
	}
}

// othersLoad returns the load of all instances but one.
func (c *core) othersLoad(now time.Time, except string) map[string]dispatch.Load {
	sum := c.dispatch.OwnLoad()
	for name, p := range c.peers {
		if name != except && now.Sub(p.at) <= peerLifetime {
			addLoads(sum, p.loads)
		}
	}
	return sum
}

// othersCrashes returns the broken runs at all instances but one.
func (c *core) othersCrashes(now time.Time, except string) map[uint64]int {
	sum := make(map[uint64]int)
	if except != c.node.ID {
		sum = c.dispatch.OwnCrashes(now)
	}
	for name, p := range c.peers {
		if name == except || now.Sub(p.at) > peerLifetime {
			continue
		}
		for content, n := range p.crashes {
			sum[content] += n
		}
	}
	return sum
}

func addLoads(sum, loads map[string]dispatch.Load) {
	for id, l := range loads {
		s := sum[id]
		s.Requests += l.Requests
		for level, work := range l.Unread {
			s.Unread[level] += work
		}
		sum[id] = s
	}
}

// FleetSeen is the holder's answer to this instance's state.
type FleetSeen struct{ State FleetState }

func (e FleetSeen) apply(c *core, now time.Time) {
	c.leader.Contact(bootclock.Now(), e.State.Holder, e.State.Epoch)
	c.takeList(now, e.State)
	c.compareVersions(now, e.State.Versions)
	c.setPeerLoads(now, e.State.Loads)
	c.dispatch.SetMoving(e.State.Moving, e.State.Dropping)
	c.dispatch.AdoptPaces(e.State.Paces)
	c.dispatch.SetPeerCrashes(e.State.Crashes)
}
