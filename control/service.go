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
	// tickInterval is the period of Tick events, and so the longest delay of
	// timeouts and periodic work.
	tickInterval = 100 * time.Millisecond
	// inboxLength is the capacity of the event queue. When it is full, senders
	// block, which slows traffic down but loses no events.
	inboxLength = 4096
)

// errStopped is returned by Status after the control goroutine has ended.
var errStopped = errors.New("control: service is stopped")

// Service runs the control goroutine. It implements kernel.Service and Control.
type Service struct {
	config   Config
	inbox    chan Event
	quit     chan struct{}
	done     chan struct{}
	snapshot atomic.Pointer[Snapshot]
	bus      *kernel.Bus
	counters counters
	observe  func(Event, time.Duration) // called with each event and its handling time, unless nil
}

// New returns a service; Start starts its control goroutine.
func New(c Config) *Service {
	s := &Service{
		config: c,
		inbox:  make(chan Event, inboxLength),
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
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
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run is the control goroutine. No other goroutine accesses the core.
func (s *Service) run() {
	defer close(s.done)
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

// handle passes an event to the core, publishes the resulting actions and stores
// the new snapshot.
func (s *Service) handle(core *core, ev Event) {
	now := time.Now()
	actions := core.step(now, ev)
	for _, a := range actions {
		_ = kernel.PublishAny(s.bus, a) // fails only on a closed bus, when no service is left to act
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

// Post sends an event to the control goroutine. It blocks while the inbox is
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
		// This also revokes a grant that was made in the meantime.
		s.Post(cancel{id: r.ID})
		return admission.Grant{}, ctx.Err()
	case <-s.done:
		return admission.Grant{}, &admission.Refusal{Reason: admission.ReasonStopping, RetryAfter: stoppingRetryAfter}
	}
}

// Finish implements Control.
func (s *Service) Finish(o admission.Outcome) { s.Post(finish{outcome: o}) }

// Snapshot implements Control.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Status returns this instance's view of the fleet.
func (s *Service) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	s.Post(statusRequest{reply: reply})
	select {
	case status := <-reply:
		return status, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-s.done:
		return Status{}, errStopped
	}
}

// LiftQuarantine ends the quarantine of the request content with the given
// fingerprint. It does not wait until the control goroutine has done so.
func (s *Service) LiftQuarantine(_ context.Context, fingerprint uint64) error {
	s.Post(liftRequest{fingerprint: quarantine.Fingerprint(fingerprint)})
	return nil
}
