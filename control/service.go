package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// ServiceName is the name of the control service on the kernel.
const ServiceName = "control"

const (
	// tickInterval bounds how late anything that depends on time happens.
	tickInterval = 100 * time.Millisecond
	// inboxLength is the number of events that may wait; senders beyond it
	// wait themselves, which slows traffic down instead of losing events.
	inboxLength = 4096
)

// errStopped is returned to callers after the control goroutine has ended.
var errStopped = errors.New("control: service is stopped")

// Service runs the control goroutine. It implements kernel.Service and Control.
type Service struct {
	config   Config
	inbox    chan Event
	quit     chan struct{}
	ended    chan struct{}
	snapshot atomic.Pointer[Snapshot]
	bus      *kernel.Bus
	counters counters
	observe  func(Event, time.Duration) // for measurements; may be nil
}

// New returns a service that is not started yet.
func New(c Config) *Service {
	s := &Service{
		config: c,
		inbox:  make(chan Event, inboxLength),
		quit:   make(chan struct{}),
		ended:  make(chan struct{}),
	}
	s.counters = newCounters(func() int { return len(s.inbox) })
	s.snapshot.Store(&Snapshot{Self: c.Self, NotReadyReason: "starting"})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return nil }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.bus = k.Bus()
	go s.run()
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	close(s.quit)
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run is the control goroutine, the only one that touches the core.
func (s *Service) run() {
	defer close(s.ended)
	core := newCore(s.config, time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-s.inbox:
			s.handle(core, ev)
		case <-ticker.C:
			s.handle(core, Tick{})
		case <-s.quit:
			core.refuseAll(admission.ReasonStopping)
			return
		}
	}
}

func (s *Service) handle(core *core, ev Event) {
	now := time.Now()
	actions := core.step(now, ev)
	for _, a := range actions {
		_ = kernel.PublishAny(s.bus, a) // fails only after the bus was closed, when nobody is left to act
	}
	if core.snapshot != s.snapshot.Load() {
		s.snapshot.Store(core.snapshot)
		s.counters.snapshots.Add(1)
	}
	s.counters.events.Add(1)
	s.counters.actions.Add(int64(len(actions)))
	if s.observe != nil {
		s.observe(ev, time.Since(now))
	}
}

// Post sends an event to the control goroutine. It waits while the inbox is
// full and does nothing after the service has stopped.
func (s *Service) Post(ev Event) {
	select {
	case s.inbox <- ev:
	case <-s.quit:
	}
}

// Admit implements Control.
func (s *Service) Admit(ctx context.Context, r admission.Request) (admission.Grant, error) {
	reply := make(chan answer, 1)
	select {
	case s.inbox <- arrive{request: r, reply: reply}:
	case <-ctx.Done():
		return admission.Grant{}, ctx.Err()
	case <-s.quit:
		return admission.Grant{}, &admission.Refusal{Reason: admission.ReasonStopping, RetryAfter: stoppingRetryAfter}
	}
	select {
	case a := <-reply:
		if a.refusal != nil {
			return admission.Grant{}, a.refusal
		}
		return a.grant, nil
	case <-ctx.Done():
		// A grant that was made meanwhile is taken back by the same event.
		s.Post(cancel{id: r.ID})
		return admission.Grant{}, ctx.Err()
	case <-s.ended:
		return admission.Grant{}, &admission.Refusal{Reason: admission.ReasonStopping, RetryAfter: stoppingRetryAfter}
	}
}

// Finish implements Control.
func (s *Service) Finish(o admission.Outcome) { s.Post(finish{outcome: o}) }

// Snapshot implements Control.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Status returns what this instance knows of the fleet.
func (s *Service) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	s.Post(statusRequest{reply: reply})
	select {
	case status := <-reply:
		return status, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-s.ended:
		return Status{}, errStopped
	}
}

// LiftQuarantine ends the quarantine of a request's content.
func (s *Service) LiftQuarantine(_ context.Context, fingerprint uint64) error {
	s.Post(liftRequest{fingerprint: quarantine.Fingerprint(fingerprint)})
	return nil
}
