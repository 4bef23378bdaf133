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

// controlHarness runs the control service of node 0 without the services that
// it normally works with.
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
	r := &controlHarness{synthetic: s, listingRead: control.ListingRead{Listing: s.listing()}, recordsRead: control.RecordsRead{Ledgers: s.ledgerRecords()}}
	for _, node := range s.dataCentrePeers(0) {
		r.heartbeats = append(r.heartbeats, control.HeartbeatReceived{Heartbeat: s.heartbeat(node, 0)})
	}
	var err error
	if r.kernel, err = kernel.New(); err != nil {
		return nil, err
	}
	r.service = control.New(control.Config{
		Self: s.instance(0), Shards: designShards,
		// Peers are not suspected while no heartbeats are posted.
		Membership: membership.Config{SuspectAfter: time.Hour, DeadAfter: 2 * time.Hour},
	})
	r.kernel.Register(r.service)
	if err := r.kernel.Start(ctx); err != nil {
		return nil, err
	}
	r.service.Post(control.TableRead{Snapshot: table.NewSnapshot(1, s.rows())})
	r.service.Post(r.listingRead)
	r.service.Post(r.recordsRead)
	for i := range r.heartbeats {
		r.postHeartbeat(ctx, i, true)
	}
	r.waitForTicks(ctx)
	return r, nil
}

// postHeartbeat posts the next heartbeat of the peer with index i modulo the
// number of peers.
func (r *controlHarness) postHeartbeat(_ context.Context, i int, summaries bool) {
	b := &r.heartbeats[i%len(r.heartbeats)]
	b.Heartbeat.Sequence++
	posted := *b
	if summaries && i%len(r.heartbeats) == 0 {
		posted.Heartbeat.Summaries = r.synthetic.remoteSummaries(b.Heartbeat.Sequence)
	}
	r.service.Post(posted)
}

// waitForEvents waits until all earlier events were handled. It requests admission
// for a row that does not exist, which is refused at once.
func (r *controlHarness) waitForEvents(ctx context.Context) {
	r.lastRequestID++
	_, _ = r.service.Admit(ctx, admission.Request{ID: r.lastRequestID, Row: "none", Pool: "none", Weight: 1})
}

// tickWait is longer than the time between admission views in a large fleet.
const tickWait = 700 * time.Millisecond

// waitForTicks waits until ticks have completed the work that earlier events
// deferred to them.
func (r *controlHarness) waitForTicks(ctx context.Context) {
	r.waitForEvents(ctx)
	time.Sleep(tickWait)
	r.waitForEvents(ctx)
}

// eventCost returns the processor time of one call of post in milliseconds,
// without that of an idle service.
func (r *controlHarness) eventCost(ctx context.Context, o Options, post func(n int)) float64 {
	r.waitForTicks(ctx)
	started, before := time.Now(), processorTime()
	n := 0
	for n == 0 || processorTime()-before < o.duration(time.Second) && time.Since(started) < o.duration(4*time.Second) {
		post(n)
		r.waitForEvents(ctx)
		n++
	}
	used := (processorTime() - before).Seconds() - r.idleLoad*time.Since(started).Seconds()
	return max(0, used) * 1e3 / float64(n)
}

// heartbeatLoad returns the milliseconds of processor time per second that one
// heartbeat per tick costs, without those of an idle service.
func (r *controlHarness) heartbeatLoad(ctx context.Context, o Options) float64 {
	r.waitForTicks(ctx)
	ticker := time.NewTicker(time.Second / ticksPerSec)
	defer ticker.Stop()
	started, before := time.Now(), processorTime()
	for n := 0; time.Since(started) < o.duration(5*time.Second); n++ {
		r.postHeartbeat(ctx, n, false)
		<-ticker.C
	}
	r.waitForEvents(ctx)
	seconds := time.Since(started).Seconds()
	return max(0, (processorTime()-before).Seconds()/seconds-r.idleLoad) * 1e3
}

// measureIdleLoad sets idleLoad to the load of the service without posted events.
// The service still decides on heartbeats that are due, but none are sent.
func (r *controlHarness) measureIdleLoad(ctx context.Context, o Options) {
	r.waitForTicks(ctx)
	started, before := time.Now(), processorTime()
	time.Sleep(o.duration(3 * time.Second))
	r.waitForEvents(ctx)
	r.idleLoad = (processorTime() - before).Seconds() / time.Since(started).Seconds()
}

// measureControl measures the control goroutine with all its decision packages
// at its real tick rate.
func measureControl(ctx context.Context, o Options) ([]Line, error) {
	line := func(what string, rate float64, why string) Line {
		return Line{Name: "control: " + what, Varied: "nodes", Unit: "ms", Full: designNodes, Budget: Processor, Rate: rate, Why: why}
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
		r, err := newControlHarness(ctx, n)
		if err != nil {
			return nil, err
		}
		costs := r.measure(ctx, o)
		if err := r.kernel.Stop(ctx); err != nil {
			return nil, err
		}
		for i, c := range costs {
			lines[i].Samples = append(lines[i].Samples, Sample{float64(n), c})
		}
	}
	return lines, nil
}

func (r *controlHarness) measure(ctx context.Context, o Options) []float64 {
	r.measureIdleLoad(ctx, o)
	heartbeat := r.eventCost(ctx, o, func(n int) { r.postHeartbeat(ctx, n, false) })
	return []float64{
		r.idleLoad * 1e3,
		heartbeat,
		r.heartbeatLoad(ctx, o),
		r.eventCost(ctx, o, func(int) { r.service.Post(r.listingRead) }),
		r.eventCost(ctx, o, func(int) { r.service.Post(r.recordsRead) }),
		r.eventCost(ctx, o, func(n int) {
			report := engine.Report{BootID: "boot-1", Running: n % slots, Slots: slots}
			r.service.Post(control.ReportRead{Endpoint: fleet.EndpointID(replicaID(0)), Report: report, Sent: time.Now()})
		}),
	}
}
