// Package controlplane runs the control goroutine of an edge instance. That
// goroutine owns the config, the list of replicas, the dispatch state, the order
// lease and the load plan. It handles one event at a time, publishes an immutable
// snapshot for traffic goroutines, and publishes work for the services that do
// I/O on the kernel's bus. It does no I/O itself. Package control is the
// counterpart for instances started with the serve command; it also owns
// membership, memory ledgers and an admission queue.
package controlplane

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
)

// ServiceName is the service's name in the kernel.
const ServiceName = "controlplane"

const (
	// queueLength bounds the events that wait for the control goroutine. Traffic
	// posts three events per request, so the queue holds one second of peak load.
	queueLength = 4096
	// tickInterval is the period at which the lease, the plan and expiring entries
	// are checked. Orders for adapters are sent without waiting for a tick.
	tickInterval = 100 * time.Millisecond
)

// Snapshot is the immutable state that traffic goroutines read without posting an
// event to the control goroutine.
type Snapshot struct {
	Config *catalog.Config // nil until the first config has been read
	// Limits are the limits of Config. For some time after a change they also allow what
	// earlier limits allowed, because callers may not know the change yet.
	Limits catalog.Limits
	// Stopping is set once the instance has begun to shut down.
	Stopping bool
}

// Service runs the control goroutine. Its methods are safe for concurrent use.
type Service struct {
	node     nodeconfig.Node
	log      *log.Logger
	events   chan event
	snapshot atomic.Pointer[Snapshot]
	metrics  *metrics.Registry
	stop     chan struct{}
	ended    chan struct{}
}

// event is a message that the control goroutine applies to its state.
type event interface {
	apply(c *core, now time.Time)
}

// New returns a Service for node. It handles events once it has been started.
func New(node nodeconfig.Node, logger *log.Logger, registry *metrics.Registry) *Service {
	s := &Service{
		node: node, log: logger, metrics: registry, events: make(chan event, queueLength),
		stop: make(chan struct{}), ended: make(chan struct{}),
	}
	s.snapshot.Store(&Snapshot{})
	registry.Func("control_queue", func() int64 { return int64(len(s.events)) })
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	c := newCore(s.node, s.log, s.metrics, k.Bus(), time.Now())
	c.publish = func(snapshot *Snapshot) { s.snapshot.Store(snapshot) }
	c.post = s.post
	go s.run(c)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	close(s.stop)
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) run(c *core) {
	defer close(s.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wake := time.NewTimer(tickInterval) // for the waiting requests
	defer wake.Stop()
	for {
		select {
		case ev := <-s.events:
			ev.apply(c, time.Now())
		case due := <-ticker.C:
			now := time.Now()
			s.metrics.Histogram("control_delay").Observe(now.Sub(due))
			c.tick(now, bootclock.Now())
		case <-wake.C:
			c.serveAllWaiters(time.Now())
		case <-s.stop:
			return
		}
		if at, ok := c.nextServeTime(); ok {
			wake.Reset(max(time.Until(at), minServePause))
		}
	}
}

// Snapshot returns the most recently published snapshot.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// post queues an event for the control goroutine. It drops the event if the
// goroutine has ended.
func (s *Service) post(ev event) {
	select {
	case s.events <- ev:
	case <-s.ended:
	}
}

// ask posts an event and waits for its answer. It fails if ctx ends or the control
// goroutine has ended.
func ask[T any](ctx context.Context, s *Service, ev event, answer <-chan T) (T, error) {
	var zero T
	select {
	case s.events <- ev:
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-s.ended:
		return zero, context.Canceled
	}
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-s.ended:
		return zero, context.Canceled
	}
}
