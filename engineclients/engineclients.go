// Package engineclients calls model engines for the control goroutine: it sends
// orders, reads states and load reports, and probes endpoints. It owns the engine
// clients and shares them with the request path. Package engine only declares the
// client interface and its messages, and enginehttp implements it. Package
// actuator is the counterpart for edge instances.
package engineclients

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the name of the service on the kernel.
const ServiceName = "engines"

const (
	// orderTimeout limits the wait for the answer to an order. The outcome of an
	// order that times out is unknown.
	orderTimeout = 30 * time.Second
	readTimeout  = 2 * time.Second // limit of one read of a state or load report
	probeTimeout = time.Second
	// maxConcurrentReportReads limits the load reports that are read at the same time.
	maxConcurrentReportReads = 16
)

// Control is the part of the service "control" that the service uses.
type Control interface {
	Post(control.Event)
	Snapshot() *control.Snapshot
}

// DialFunc returns a client for an endpoint. It must not block.
type DialFunc func(fleet.Endpoint) engine.Client

// Config holds the dial function, the read interval and the counters of the
// service.
type Config struct {
	Dial           DialFunc
	ReportInterval time.Duration // between the end of one round of report reads and the next
	Vars           *expvar.Map
}

// Service executes the engine calls that the control goroutine publishes on the
// kernel's bus and holds the engine clients. It implements kernel.Service.
type Service struct {
	config  Config
	control Control
	group   *worker.Group
	clients sync.Map // address to engine.Client
}

// counterNames lists all counters. New adds each with 0, so that they are exported
// before the first event.
var counterNames = []string{"orders_sent", "orders_not_sent", "orders_failed", "report_reads", "report_failures"}

// New returns a service that is not started yet.
func New(c Config) *Service {
	for _, name := range counterNames {
		c.Vars.Add(name, 0)
	}
	return &Service{config: c, group: worker.NewGroup()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{control.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.control, err = kernel.Lookup[Control](k, control.ServiceName); err != nil {
		return err
	}
	b := k.Bus()
	err = errors.Join(
		worker.Subscribe(s.group, b, "engines.order", s.sendOrder),
		worker.Subscribe(s.group, b, "engines.query", s.readState),
		worker.Subscribe(s.group, b, "engines.probe", s.probeEndpoint),
	)
	if err != nil {
		return err
	}
	s.group.Every(s.config.ReportInterval, nil, s.readReports)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// Client returns the client for the endpoint's address, which is created on first
// use and shared.
func (s *Service) Client(e fleet.Endpoint) engine.Client {
	if c, ok := s.clients.Load(e.Address); ok {
		return c.(engine.Client)
	}
	c, _ := s.clients.LoadOrStore(e.Address, s.config.Dial(e))
	return c.(engine.Client)
}

// sendOrder sends one order and posts its outcome. It checks NotAfter, the end of
// the lease, immediately before sending, because this goroutine can have been
// paused since the order was decided.
func (s *Service) sendOrder(ctx context.Context, a control.SendOrder) {
	reply := func(ev ledger.Event) {
		s.control.Post(control.LedgerResult{Endpoint: a.Endpoint.ID, Event: ev})
	}
	if a.Endpoint.Address == "" || !time.Now().Before(a.EngineOrder.NotAfter) {
		s.config.Vars.Add("orders_not_sent", 1)
		reply(ledger.OrderFailed{ID: a.EngineOrder.Order.ID, NotExecuted: true})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s.config.Vars.Add("orders_sent", 1)
	result, err := s.Client(a.Endpoint).Order(ctx, a.EngineOrder.Order)
	if err != nil {
		s.config.Vars.Add("orders_failed", 1)
		var e *engine.Error
		reply(ledger.OrderFailed{ID: a.EngineOrder.Order.ID, NotExecuted: errors.As(err, &e) && e.Executed == engine.ExecutedNo})
		return
	}
	reply(ledger.OrderAnswered{ID: a.EngineOrder.Order.ID, Result: result})
}

// readState reads the state of an engine and posts it, or that the read failed.
func (s *Service) readState(ctx context.Context, a control.ReadEngineState) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var ev ledger.Event = ledger.StateReadFailed{ReadID: a.Read.ID}
	if a.Endpoint.Address != "" {
		if state, err := s.Client(a.Endpoint).State(ctx); err == nil {
			ev = ledger.StateRead{ReadID: a.Read.ID, State: state}
		}
	}
	s.control.Post(control.LedgerResult{Endpoint: a.Endpoint.ID, Event: ev})
}

// probeEndpoint reads an endpoint's state and posts whether it answered, with its
// boot ID.
func (s *Service) probeEndpoint(ctx context.Context, a control.ProbeEndpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := s.Client(a.Endpoint).State(ctx)
	s.control.Post(control.ProbeDone{Endpoint: a.Endpoint.ID, OK: err == nil, BootID: state.BootID})
}

// readReports reads the load reports of the endpoints that are assigned to this
// instance, up to maxConcurrentReportReads at the same time.
func (s *Service) readReports(ctx context.Context) {
	semaphore := make(chan struct{}, maxConcurrentReportReads)
	var wg sync.WaitGroup
	for _, e := range s.control.Snapshot().ReportEndpoints {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			s.readReport(ctx, e)
		})
	}
	wg.Wait()
}

// readReport reads one load report and posts it.
func (s *Service) readReport(ctx context.Context, e fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	report, err := s.Client(e).Report(ctx)
	s.config.Vars.Add("report_reads", 1)
	if err != nil {
		s.config.Vars.Add("report_failures", 1)
		return
	}
	s.control.Post(control.ReportRead{Endpoint: e.ID, Report: report, Sent: sent})
}
