package capacity

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/peer"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// handlerName is the kernel service that takes received messages.
const handlerName = "handler"

// node is an instance that has nothing but membership and the peer service.
// One goroutine owns its membership.
type node struct {
	self    fleet.Instance
	peers   *peer.Service
	kernel  *kernel.Kernel
	inbox   chan membership.Event
	content func() membership.Heartbeat // the next heartbeat's content
	relay   atomic.Bool
}

// Name implements kernel.Service.
func (n *node) Name() string { return handlerName }

// Requires implements kernel.Service.
func (n *node) Requires() []string { return nil }

// Start implements kernel.Service.
func (n *node) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (n *node) Stop(context.Context) error { return nil }

// HandleHeartbeat implements peer.Handler.
func (n *node) HandleHeartbeat(h membership.Heartbeat) {
	n.inbox <- membership.HeartbeatReceived{Heartbeat: h}
}

// HandleNotices implements peer.Handler.
func (n *node) HandleNotices(fleet.Instance, []quarantine.Notice) {}

// EncodedTable implements peer.Handler.
func (n *node) EncodedTable(context.Context) (peer.Snapshot, error) { return peer.Snapshot{}, nil }

// ClaimStatus implements peer.Handler.
func (n *node) ClaimStatus(context.Context, string) (peer.ClaimStatus, error) {
	return peer.ClaimNotInProgress, nil
}

// run owns the membership until ctx ends.
func (n *node) run(ctx context.Context, c membership.Config, listing membership.ListingRead) {
	c.Self = n.self
	state := membership.New(c, time.Now())
	ticker := time.NewTicker(time.Second / ticksPerSec)
	defer ticker.Stop()
	step := func(ev membership.Event) {
		for _, a := range state.Step(time.Now(), ev) {
			if send, ok := a.(membership.SendHeartbeat); ok {
				for _, to := range send.To {
					n.peers.SendHeartbeat(ctx, to.PeerAddress, send.Heartbeat)
				}
			}
		}
	}
	step(listing)
	for {
		select {
		case ev := <-n.inbox:
			step(ev)
		case <-ticker.C:
			if state.HeartbeatDue(time.Now()) {
				n.relay.Store(state.IsRelay())
				step(membership.Tick{Own: n.content()})
			}
		case <-ctx.Done():
			return
		}
	}
}

// mesh is a fleet of nodes in this process on loopback connections.
type mesh struct {
	nodes  []*node
	cancel context.CancelFunc
	ended  chan struct{}
}

// meshOptions are the sizes of a mesh.
type meshOptions struct {
	nodes, dataCentres int
	reports            int // read by each node
	rows               int // with demand on each node
	meshLimit          int
}

func startMesh(ctx context.Context, o meshOptions) (*mesh, error) {
	running, cancel := context.WithCancel(ctx)
	m := &mesh{cancel: cancel, ended: make(chan struct{})}
	var listing membership.ListingRead
	for i := range o.nodes {
		n, err := startNode(ctx, i, o)
		if err != nil {
			return m, fmt.Errorf("start node %d: %w", i, err)
		}
		m.nodes = append(m.nodes, n)
		listing.Instances = append(listing.Instances, listed(n.self))
	}
	for _, n := range m.nodes {
		go func() {
			n.run(running, membership.Config{MaxMeshSize: o.meshLimit}, listing)
			m.ended <- struct{}{}
		}()
	}
	return m, nil
}

func startNode(ctx context.Context, i int, o meshOptions) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := newSynthetic(o.nodes, max(1, o.reports*o.nodes), fullModels)
	s.dataCentres = o.dataCentres
	n := &node{self: s.instance(i), inbox: make(chan membership.Event, 1024)}
	n.self.PeerAddress = listener.Addr().String()
	n.content = s.changing(i, o)
	if n.peers, err = peer.New(peer.Options{Self: n.self, Secret: []byte("capacity"), Listener: listener, HandlerService: handlerName}); err != nil {
		return nil, err
	}
	if n.kernel, err = kernel.New(); err != nil {
		return nil, err
	}
	n.kernel.Register(n)
	n.kernel.Register(n.peers)
	return n, n.kernel.Start(ctx)
}

// changing returns the content of a node's heartbeats at peak load: every
// report is new in each heartbeat, and a row's demand changes when one of its
// requests came or went meanwhile.
func (s *synthetic) changing(node int, o meshOptions) func() membership.Heartbeat {
	h := membership.Heartbeat{TableRevision: 1, Demand: s.demand(o.rows)}
	return func() membership.Heartbeat {
		now := h
		now.Reports = s.reports(o.reports, node)
		now.Demand = append([]membership.RowDemand(nil), h.Demand...)
		const arrivals = fullRequests / fullNodes / heartbeatsPerSec
		for range min(arrivals, o.rows) {
			r := &now.Demand[s.random.IntN(o.rows)]
			r.ArrivalRate *= 0.9 + 0.2*s.random.Float64()
			r.InFlight = max(0, r.InFlight+s.random.IntN(3)-1)
		}
		h.Demand = now.Demand
		return now
	}
}

// stop ends all nodes.
func (m *mesh) stop(ctx context.Context) error {
	m.cancel()
	for range m.nodes {
		<-m.ended
	}
	var first error
	for _, n := range m.nodes {
		if err := n.kernel.Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// meshCost is what a mesh cost per second.
type meshCost struct {
	plain, relay     float64 // KB sent per second by a node of that kind
	sent             float64 // heartbeats sent per second by a node
	processorSeconds float64 // per second and node
	replaced         int64   // heartbeats replaced by newer ones
}

// measureMesh lets a mesh run for d after its first connections.
func measureMesh(ctx context.Context, o meshOptions, settle, d time.Duration) (meshCost, error) {
	m, err := startMesh(ctx, o)
	if err != nil {
		return meshCost{}, err
	}
	time.Sleep(settle)
	type count struct{ bytes, beats int64 }
	start := make([]count, len(m.nodes))
	for i, n := range m.nodes {
		start[i] = count{n.peers.Counters().BytesSent.Load(), n.peers.Counters().HeartbeatsSent.Load()}
	}
	before, began := processorTime(), time.Now()
	time.Sleep(d)
	seconds := time.Since(began).Seconds()
	cost := meshCost{processorSeconds: (processorTime() - before).Seconds() / seconds / float64(o.nodes)}
	plain, relays := 0, 0
	for i, n := range m.nodes {
		c := n.peers.Counters()
		kb := float64(c.BytesSent.Load()-start[i].bytes) / 1e3 / seconds
		cost.sent += float64(c.HeartbeatsSent.Load()-start[i].beats) / seconds / float64(o.nodes)
		cost.replaced += c.HeartbeatsReplaced.Load()
		if n.relay.Load() {
			cost.relay += kb
			relays++
		} else {
			cost.plain += kb
			plain++
		}
	}
	cost.plain /= float64(max(1, plain))
	cost.relay /= float64(max(1, relays))
	return cost, m.stop(ctx)
}
