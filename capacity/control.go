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

// controlRig is a control service of node 0 without the services around it.
type controlRig struct {
	fleet   *synthetic
	kernel  *kernel.Kernel
	service *control.Service
	listing control.ListingRead
	records control.RecordsRead
	beats   []control.HeartbeatReceived // of the mates; the first with summaries
	idle    float64                     // processor seconds per second without events
	request uint64
}

func newControlRig(ctx context.Context, nodes int) (*controlRig, error) {
	s := scaled(nodes, fullModels)
	r := &controlRig{fleet: s, listing: control.ListingRead{Listing: s.listing()}, records: control.RecordsRead{Ledgers: s.records()}}
	for _, node := range s.mates(0) {
		r.beats = append(r.beats, control.HeartbeatReceived{Heartbeat: s.heartbeat(node, 0)})
	}
	var err error
	if r.kernel, err = kernel.New(); err != nil {
		return nil, err
	}
	r.service = control.New(control.Config{
		Self: s.instance(0), Shards: fullShards,
		// The mates stay alive while nothing is heard of them.
		Membership: membership.Config{SuspectAfter: time.Hour, DeadAfter: 2 * time.Hour},
	})
	r.kernel.Register(r.service)
	if err := r.kernel.Start(ctx); err != nil {
		return nil, err
	}
	r.service.Post(control.TableRead{Snapshot: table.NewSnapshot(1, s.rows())})
	r.service.Post(r.listing)
	r.service.Post(r.records)
	for i := range r.beats {
		r.beat(ctx, i, true)
	}
	r.settle(ctx)
	return r, nil
}

// beat posts the next heartbeat of a mate.
func (r *controlRig) beat(_ context.Context, i int, summaries bool) {
	b := &r.beats[i%len(r.beats)]
	b.Heartbeat.Sequence++
	posted := *b
	if summaries && i%len(r.beats) == 0 {
		posted.Heartbeat.Summaries = r.fleet.foreign(b.Heartbeat.Sequence)
	}
	r.service.Post(posted)
}

// barrier waits until all events posted before were handled. It asks for a
// service that does not exist, which is refused at once.
func (r *controlRig) barrier(ctx context.Context) {
	r.request++
	_, _ = r.service.Admit(ctx, admission.Request{ID: r.request, Row: "none", Pool: "none", Weight: 1})
}

// settleTime is longer than the time between views of a large fleet.
const settleTime = 700 * time.Millisecond

// settle waits until ticks have handled what earlier events left to them.
func (r *controlRig) settle(ctx context.Context) {
	r.barrier(ctx)
	time.Sleep(settleTime)
	r.barrier(ctx)
}

// perEvent returns the milliseconds of processor time that one call of post
// adds to those of an idle service.
func (r *controlRig) perEvent(ctx context.Context, o Options, post func(n int)) float64 {
	r.settle(ctx)
	started, before := time.Now(), processorTime()
	n := 0
	for n == 0 || processorTime()-before < o.duration(time.Second) && time.Since(started) < o.duration(4*time.Second) {
		post(n)
		r.barrier(ctx)
		n++
	}
	used := (processorTime() - before).Seconds() - r.idle*time.Since(started).Seconds()
	return max(0, used) * 1e3 / float64(n)
}

// perSecond returns the milliseconds of processor time per second that a
// heartbeat in every tick adds to those of an idle service.
func (r *controlRig) perSecond(ctx context.Context, o Options) float64 {
	r.settle(ctx)
	ticker := time.NewTicker(time.Second / ticksPerSec)
	defer ticker.Stop()
	started, before := time.Now(), processorTime()
	for n := 0; time.Since(started) < o.duration(5*time.Second); n++ {
		r.beat(ctx, n, false)
		<-ticker.C
	}
	r.barrier(ctx)
	seconds := time.Since(started).Seconds()
	return max(0, (processorTime()-before).Seconds()/seconds-r.idle) * 1e3
}

// measureIdle measures the service without events. Heartbeats that are due
// are still decided, but nobody sends them.
func (r *controlRig) measureIdle(ctx context.Context, o Options) {
	r.settle(ctx)
	started, before := time.Now(), processorTime()
	time.Sleep(o.duration(3 * time.Second))
	r.barrier(ctx)
	r.idle = (processorTime() - before).Seconds() / time.Since(started).Seconds()
}

// measureControl measures the control goroutine with all decision packages
// in it, on its real ticks.
func measureControl(ctx context.Context, o Options) ([]Line, error) {
	line := func(what string, rate float64, why string) Line {
		return Line{Name: "control: " + what, Varied: "nodes", Unit: "ms", Full: fullNodes, Budget: Processor, Rate: rate, Why: why}
	}
	lines := []Line{
		line("second without events", 1, "10 ticks, 2 heartbeats decided"),
		line("heartbeat", heartbeatsPerSec*(perDataCentre-1), "34 mates, 2/s each, without the view"),
		line("second with a heartbeat in every tick", 1, "views are made; on top of a second without events"),
		line("list read", 1, "1/s"),
		line("ledger records read", 1, "1/s"),
		line("load report read", 2*float64(reportReaders)*fullReplicas/fullNodes, "26 replicas, 2/s each"),
	}
	for _, n := range o.sizes(105, 210, 315, 420) {
		r, err := newControlRig(ctx, n)
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

func (r *controlRig) measure(ctx context.Context, o Options) []float64 {
	r.measureIdle(ctx, o)
	heartbeat := r.perEvent(ctx, o, func(n int) { r.beat(ctx, n, false) })
	return []float64{
		r.idle * 1e3,
		heartbeat,
		r.perSecond(ctx, o),
		r.perEvent(ctx, o, func(int) { r.service.Post(r.listing) }),
		r.perEvent(ctx, o, func(int) { r.service.Post(r.records) }),
		r.perEvent(ctx, o, func(n int) {
			report := engine.Report{BootID: "boot-1", Running: n % slots, Slots: slots}
			r.service.Post(control.ReportRead{Endpoint: fleet.EndpointID(replicaID(0)), Report: report, Sent: time.Now()})
		}),
	}
}
