package capacity

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/table"
)

// controlHarness runs the control service of node 0 alone in a kernel.
type controlHarness struct {
	synthetic   *syntheticFleet
	kernel      *kernel.Kernel
	service     *control.Service
	listingRead control.ListingRead
	recordsRead control.RecordsRead
	// heartbeats holds the latest heartbeat of each peer in the data centre. The
	// first peer also sends summaries.
	heartbeats    []control.HeartbeatReceived
	idleLoad      float64 // processor seconds per second without posted events
	lastRequestID uint64
}

func newControlHarness(ctx context.Context, nodes int) (*controlHarness, error) {
	s := scaledFleet(nodes, designModels)
	h := &controlHarness{synthetic: s, listingRead: control.ListingRead{Listing: s.listing()}, recordsRead: control.RecordsRead{Ledgers: s.ledgerRecords()}}
	for _, node := range s.dataCentrePeers(0) {
		h.heartbeats = append(h.heartbeats, control.HeartbeatReceived{Heartbeat: s.heartbeat(node, 0)})
	}
	var err error
	if h.kernel, err = kernel.New(); err != nil {
		return nil, err
	}
	h.service = control.New(control.Config{
		Self: s.instance(0), Shards: designShards,
		// Peers are not suspected while no heartbeats are posted.
		Membership: membership.Config{SuspectAfter: time.Hour, DeadAfter: 2 * time.Hour},
	})
	h.kernel.Register(h.service)
	if err := h.kernel.Start(ctx); err != nil {
		return nil, err
	}
	h.service.Post(control.TableRead{Snapshot: table.NewSnapshot(1, s.rows())})
	h.service.Post(h.listingRead)
	h.service.Post(h.recordsRead)
	for i := range h.heartbeats {
		h.postHeartbeat(ctx, i, true)
	}
	h.waitForTicks(ctx)
	return h, nil
}

// postHeartbeat posts the next heartbeat of the peer with index i modulo the
// number of peers.
func (h *controlHarness) postHeartbeat(_ context.Context, i int, summaries bool) {
	latest := &h.heartbeats[i%len(h.heartbeats)]
	latest.Heartbeat.Sequence++
	posted := *latest
	if summaries && i%len(h.heartbeats) == 0 {
		posted.Heartbeat.Summaries = h.synthetic.remoteSummaries(latest.Heartbeat.Sequence)
	}
	h.service.Post(posted)
}

// waitForEvents waits until all earlier events have been handled. It requests
// admission for a row that does not exist, which is refused at once.
func (h *controlHarness) waitForEvents(ctx context.Context) {
	h.lastRequestID++
	_, _ = h.service.Admit(ctx, admission.Request{ID: h.lastRequestID, Row: "none", Pool: "none", Weight: 1})
}

// tickWait is longer than the time between admission views in a large fleet.
const tickWait = 700 * time.Millisecond

// waitForTicks waits until ticks have completed the work that earlier events
// deferred to them.
func (h *controlHarness) waitForTicks(ctx context.Context) {
	h.waitForEvents(ctx)
	time.Sleep(tickWait)
	h.waitForEvents(ctx)
}

// eventCost returns the milliseconds of processor time that one call of post
// adds to the idle load.
func (h *controlHarness) eventCost(ctx context.Context, o Options, post func(n int)) float64 {
	h.waitForTicks(ctx)
	started, before := time.Now(), processorTime()
	n := 0
	for n == 0 || processorTime()-before < o.duration(time.Second) && time.Since(started) < o.duration(4*time.Second) {
		post(n)
		h.waitForEvents(ctx)
		n++
	}
	used := (processorTime() - before).Seconds() - h.idleLoad*time.Since(started).Seconds()
	return max(0, used) * 1e3 / float64(n)
}

// heartbeatLoad returns the milliseconds of processor time per second that one
// heartbeat per tick adds to the idle load.
func (h *controlHarness) heartbeatLoad(ctx context.Context, o Options) float64 {
	h.waitForTicks(ctx)
	ticker := time.NewTicker(time.Second / ticksPerSec)
	defer ticker.Stop()
	started, before := time.Now(), processorTime()
	for n := 0; time.Since(started) < o.duration(5*time.Second); n++ {
		h.postHeartbeat(ctx, n, false)
		<-ticker.C
	}
	h.waitForEvents(ctx)
	seconds := time.Since(started).Seconds()
	return max(0, (processorTime()-before).Seconds()/seconds-h.idleLoad) * 1e3
}

// measureIdleLoad sets idleLoad to the load of the service without posted events.
// The service still decides on heartbeats that are due, but none are sent.
func (h *controlHarness) measureIdleLoad(ctx context.Context, o Options) {
	h.waitForTicks(ctx)
	started, before := time.Now(), processorTime()
	time.Sleep(o.duration(3 * time.Second))
	h.waitForEvents(ctx)
	h.idleLoad = (processorTime() - before).Seconds() / time.Since(started).Seconds()
}

// measureControl measures the control goroutine with all its decision packages
// at its real tick rate.
func measureControl(ctx context.Context, o Options) ([]Line, error) {
	line := func(what string, rate float64, why string) Line {
		return Line{Name: "control: " + what, SizeUnit: "nodes", CostUnit: "ms", DesignSize: designNodes, Budget: Processor, BudgetFactor: rate, Explanation: why}
	}
	lines := []Line{
		line("second without events", 1, "10 ticks, 2 heartbeats decided"),
		line("heartbeat", heartbeatsPerSec*(nodesPerDataCentre-1), "34 mates, 2/s each, without the view"),
		line("second with a heartbeat in every tick", 1, "views are made; on top of a second without events"),
		line("list read", 1, "1/s"),
		line("ledger records read", 1, "1/s"),
		line("load report read", 2*float64(reportReaders)*designReplicas/designNodes, "26 replicas, 2/s each"),
	}
	for _, n := range o.sizes(105, 210, 315, 420) {
		h, err := newControlHarness(ctx, n)
		if err != nil {
			return nil, err
		}
		costs := h.measure(ctx, o)
		if err := h.kernel.Stop(ctx); err != nil {
			return nil, err
		}
		for i, c := range costs {
			lines[i].Samples = append(lines[i].Samples, Sample{float64(n), c})
		}
	}
	return lines, nil
}

func (h *controlHarness) measure(ctx context.Context, o Options) []float64 {
	h.measureIdleLoad(ctx, o)
	heartbeat := h.eventCost(ctx, o, func(n int) { h.postHeartbeat(ctx, n, false) })
	return []float64{
		h.idleLoad * 1e3,
		heartbeat,
		h.heartbeatLoad(ctx, o),
		h.eventCost(ctx, o, func(int) { h.service.Post(h.listingRead) }),
		h.eventCost(ctx, o, func(int) { h.service.Post(h.recordsRead) }),
		h.eventCost(ctx, o, func(n int) {
			report := engine.Report{BootID: "boot-1", Running: n % slots, Slots: slots}
			h.service.Post(control.ReportRead{Endpoint: fleet.EndpointID(replicaID(0)), Report: report, Sent: time.Now()})
		}),
	}
}
