// Package controlplane is the control goroutine of an edge instance. It owns
// the config, the list of replicas, the state of dispatch, the order lease and
// the plan of loads; it changes them one event at a time, and publishes what
// other services have to do on the kernel's bus. It does no I/O.
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

// Name is the service's name in the kernel.
const Name = "controlplane"

const (
	// queueLength is the number of events that may wait. Traffic sends three
	// events a request, so that the queue holds a second of the greatest load.
	queueLength = 4096
	// tickInterval is the time between looks at the lease, the plan and entries
	// that expire. Orders for adapters do not wait for it.
	tickInterval = 100 * time.Millisecond
)

// Snapshot is what traffic reads without asking the control goroutine. It is
// immutable.
type Snapshot struct {
	Config *catalog.Config // nil until the first config is known
	// Stopping says that the instance is about to end.
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

// event is one message to the control goroutine.
type event interface {
	apply(c *core, now time.Time)
}

// New returns a service that has not been started.
func New(node nodeconfig.Node, logger *log.Logger, registry *metrics.Registry) *Service {
	s := &Service{
		node: node, log: logger, metrics: registry, events: make(chan event, queueLength),
		stop: make(chan struct{}), ended: make(chan struct{}),
	}
	s.snapshot.Store(&Snapshot{})
	registry.Function("control_queue", func() int64 { return int64(len(s.events)) })
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

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
	for {
		select {
		case ev := <-s.events:
			ev.apply(c, time.Now())
		case due := <-ticker.C:
			now := time.Now()
			s.metrics.Histogram("control_delay").Observe(now.Sub(due))
			c.tick(now, bootclock.Now())
		case <-s.stop:
			return
		}
	}
}

// Snapshot returns the newest snapshot.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// post hands an event to the control goroutine. Events after the end are dropped.
func (s *Service) post(ev event) {
	select {
	case s.events <- ev:
	case <-s.ended:
	}
}

// ask posts an event and waits for its answer until ctx ends.
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
