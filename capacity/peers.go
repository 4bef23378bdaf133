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

// handlerName is the name of the kernel service that handles received messages.
const handlerName = "handler"

// meshNode is an instance that runs only membership and the peer service. One
// goroutine owns its membership state.
type meshNode struct {
	self          fleet.Instance
	peers         *peer.Service
	kernel        *kernel.Kernel
	inbox         chan membership.Event
	nextHeartbeat func() membership.Heartbeat // returns the content of the next heartbeat
	isRelay       atomic.Bool
}

// Name implements kernel.Service.
func (n *meshNode) Name() string { return handlerName }

// Requires implements kernel.Service.
func (n *meshNode) Requires() []string { return nil }

// Start implements kernel.Service.
func (n *meshNode) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (n *meshNode) Stop(context.Context) error { return nil }

// HandleHeartbeat implements peer.Handler.
func (n *meshNode) HandleHeartbeat(h membership.Heartbeat) {
	n.inbox <- membership.HeartbeatReceived{Heartbeat: h}
}

// HandleNotices implements peer.Handler.
func (n *meshNode) HandleNotices(fleet.Instance, []quarantine.Notice) {}

// EncodedTable implements peer.Handler.
func (n *meshNode) EncodedTable(context.Context) (peer.Snapshot, error) { return peer.Snapshot{}, nil }

// ClaimStatus implements peer.Handler.
func (n *meshNode) ClaimStatus(context.Context, string) (peer.ClaimStatus, error) {
	return peer.ClaimNotInProgress, nil
}

// run owns the membership state and processes its events until ctx is cancelled.
func (n *meshNode) run(ctx context.Context, c membership.Config, listing membership.ListingRead) {
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
				n.isRelay.Store(state.IsRelay())
				step(membership.Tick{Own: n.nextHeartbeat()})
			}
		case <-ctx.Done():
			return
		}
	}
}

// mesh is a set of nodes in this process that are connected over loopback.
type mesh struct {
	nodes     []*meshNode
	cancel    context.CancelFunc
	nodeEnded chan struct{}
}

// meshOptions sets the sizes of a mesh. The field names appear in progress output.
type meshOptions struct {
	nodes, dataCentres int
	reports            int // reports read by each node
	rows               int // rows with demand on each node
	meshLimit          int
}

func startMesh(ctx context.Context, o meshOptions) (*mesh, error) {
	runCtx, cancel := context.WithCancel(ctx)
	m := &mesh{cancel: cancel, nodeEnded: make(chan struct{})}
	var listing membership.ListingRead
	for i := range o.nodes {
		n, err := startNode(ctx, i, o)
		if err != nil {
			return m, fmt.Errorf("start node %d: %w", i, err)
		}
		m.nodes = append(m.nodes, n)
		listing.Instances = append(listing.Instances, listedInstance(n.self))
	}
	for _, n := range m.nodes {
		go func() {
			n.run(runCtx, membership.Config{MaxMeshSize: o.meshLimit}, listing)
			m.nodeEnded <- struct{}{}
		}()
	}
	return m, nil
}

func startNode(ctx context.Context, i int, o meshOptions) (*meshNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := newSyntheticFleet(o.nodes, max(1, o.reports*o.nodes), designModels)
	s.dataCentres = o.dataCentres
	n := &meshNode{self: s.instance(i), inbox: make(chan membership.Event, 1024)}
	n.self.PeerAddress = listener.Addr().String()
	n.nextHeartbeat = s.heartbeatSource(i, o)
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

// heartbeatSource returns a function that generates the contents of a node's
// heartbeats at peak load. Every report changes in each heartbeat. The demand
// changes for as many random rows as requests arrive between two heartbeats.
func (s *syntheticFleet) heartbeatSource(node int, o meshOptions) func() membership.Heartbeat {
	previous := membership.Heartbeat{TableRevision: 1, Demand: s.demand(o.rows)}
	return func() membership.Heartbeat {
		next := previous
		next.Reports = s.reports(o.reports, node)
		next.Demand = append([]membership.RowDemand(nil), previous.Demand...)
		const arrivals = designRequestRate / designNodes / heartbeatsPerSec
		for range min(arrivals, o.rows) {
			r := &next.Demand[s.random.IntN(o.rows)]
			r.ArrivalRate *= 0.9 + 0.2*s.random.Float64()
			r.InFlight = max(0, r.InFlight+s.random.IntN(3)-1)
		}
		previous.Demand = next.Demand
		return next
	}
}

// stop stops all nodes and returns the first error.
func (m *mesh) stop(ctx context.Context) error {
	m.cancel()
	for range m.nodes {
		<-m.nodeEnded
	}
	var first error
	for _, n := range m.nodes {
		if err := n.kernel.Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// meshCost holds the costs of a mesh in its steady state.
type meshCost struct {
	memberKB, relayKB  float64 // mean KB sent per second by a node that is no relay, and by a relay
	heartbeatsSent     float64 // heartbeats sent per second and node
	processorSeconds   float64 // processor time per second and node
	heartbeatsReplaced int64   // queued heartbeats replaced by newer ones, since the start
}

// measureMesh starts a mesh, waits for settleTime and measures its costs over the
// given duration.
func measureMesh(ctx context.Context, o meshOptions, settleTime, duration time.Duration) (meshCost, error) {
	m, err := startMesh(ctx, o)
	if err != nil {
		return meshCost{}, err
	}
	time.Sleep(settleTime)
	type count struct{ bytes, beats int64 }
	start := make([]count, len(m.nodes))
	for i, n := range m.nodes {
		start[i] = count{n.peers.Counters().BytesSent.Load(), n.peers.Counters().HeartbeatsSent.Load()}
	}
	before, started := processorTime(), time.Now()
	time.Sleep(duration)
	seconds := time.Since(started).Seconds()
	cost := meshCost{processorSeconds: (processorTime() - before).Seconds() / seconds / float64(o.nodes)}
	members, relays := 0, 0
	for i, n := range m.nodes {
		c := n.peers.Counters()
		kb := float64(c.BytesSent.Load()-start[i].bytes) / 1e3 / seconds
		cost.heartbeatsSent += float64(c.HeartbeatsSent.Load()-start[i].beats) / seconds / float64(o.nodes)
		cost.heartbeatsReplaced += c.HeartbeatsReplaced.Load()
		if n.isRelay.Load() {
			cost.relayKB += kb
			relays++
		} else {
			cost.memberKB += kb
			members++
		}
	}
	cost.memberKB /= float64(max(1, members))
	cost.relayKB /= float64(max(1, relays))
	return cost, m.stop(ctx)
}
