// Package burnstore implements the kernel service that counts finished requests
// and model moves, stores the counts of this instance in the platform's object
// store and builds the burn report of the fleet from all stored documents. One
// goroutine owns the counts; traffic goroutines send to it without blocking.
// Package burn decides when to write and computes the report.
package burnstore

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/burn/burncodec"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/gateway"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the kernel name of the service.
const ServiceName = "burn"

const (
	// eventQueueSize limits the requests and moves that wait to be counted. At
	// 1,000 requests/s it covers a 4 s pause of the counting goroutine.
	eventQueueSize = 4096
	tickInterval   = time.Second
	// expiryInterval is the time between passes that delete expired documents. At
	// full size, 26 instances are replaced per hour, so about 26 documents expire
	// per pass.
	expiryInterval = time.Hour
)

// Control provides the snapshot of control state. The service "control"
// implements it.
type Control interface{ Snapshot() *control.Snapshot }

// Config configures the service.
type Config struct {
	Self          fleet.Instance
	Objects       backing.ObjectStore
	WriteInterval time.Duration // minimum time between writes; 0 means 30 s
	Objective     float64       // target share of good requests; 0 means 99%
	Vars          *expvar.Map
}

// counterNames lists the counters, apart from those of requests. New adds them
// with the value 0, so that each is exported from the start.
var counterNames = []string{
	"moves_counted", "moves_dropped",
	"writes", "write_failures", "bytes_written", "documents_read", "read_failures", "bad_documents",
	"documents_deleted", "delete_failures", "reports",
}

// Service counts requests and moves, stores the counts and builds reports. It
// implements kernel.Service and gateway.Recorder.
type Service struct {
	config     Config
	control    Control
	background *worker.Group // runs expiryLoop
	runDone    chan struct{}

	counted         *expvar.Int
	dropped         *expvar.Int
	droppedReported int64 // dropped requests that have been added to the counts; owned by run

	events           chan burn.Event // requests and moves; senders never block
	writeResults     chan burn.Event
	documentRequests chan chan burn.Document
	stopRequests     chan context.Context // the context limits the wait for the final write
	otherDocuments   chan otherDocuments  // holds one value; a report removes it while it uses or refreshes it
}

var (
	_ kernel.Service   = (*Service)(nil)
	_ gateway.Recorder = (*Service)(nil)
)

// New returns a service that has not been started.
func New(c Config) *Service {
	if c.WriteInterval == 0 {
		c.WriteInterval = burn.DefaultWriteInterval
	}
	if c.Objective <= 0 || c.Objective >= 1 { // an objective of 1 has no error budget
		c.Objective = burn.DefaultObjective
	}
	for _, name := range counterNames {
		c.Vars.Add(name, 0)
	}
	s := &Service{
		config: c, background: worker.NewGroup(), runDone: make(chan struct{}),
		events: make(chan burn.Event, eventQueueSize), writeResults: make(chan burn.Event, 1),
		documentRequests: make(chan chan burn.Document), stopRequests: make(chan context.Context, 1), otherDocuments: make(chan otherDocuments, 1),
	}
	s.counted, s.dropped = new(expvar.Int), new(expvar.Int)
	c.Vars.Set("requests_counted", s.counted)
	c.Vars.Set("requests_dropped", s.dropped)
	s.otherDocuments <- otherDocuments{total: burn.NewTotal()}
	return s
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
	if err := kernel.Subscribe(k.Bus(), "burn.moves", s.recordMove); err != nil {
		return err
	}
	go s.run()
	s.background.Go(s.expiryLoop)
	return nil
}

// Stop implements kernel.Service. It writes the counts a final time, and returns an
// error if ctx ends before the write.
func (s *Service) Stop(ctx context.Context) error {
	err := s.background.Stop(ctx)
	s.stopRequests <- ctx
	select {
	case <-s.runDone:
		return err
	case <-ctx.Done():
		return errors.Join(err, fmt.Errorf("write burn counts: %w", ctx.Err()))
	}
}

// Record implements gateway.Recorder. It never blocks: if the event queue is full,
// the request is dropped and counted in requests_dropped.
func (s *Service) Record(r gateway.FinishedRequest) {
	select {
	case s.events <- burn.Ended{Sample: sampleOf(r)}:
	default:
		s.dropped.Add(1)
	}
}

// recordMove queues the move if the change plans one, and ignores other changes.
// It never blocks: if the event queue is full, the move is dropped and counted in
// moves_dropped.
func (s *Service) recordMove(_ context.Context, c control.Change) {
	if c.Kind != control.ChangeMovePlanned {
		return
	}
	var m burn.Move
	for _, f := range c.Fields {
		switch f.Name {
		case "action":
			m.Action = f.Value
		case "cause":
			m.Cause = f.Value
		}
	}
	select {
	case s.events <- burn.Moved{Move: m}:
	default:
		s.config.Vars.Add("moves_dropped", 1)
	}
}

// run processes events, writes and requests for the current document until Stop.
// Its goroutine owns the counts.
func (s *Service) run() {
	defer close(s.runDone)
	state := burn.NewState(s.source(), s.config.WriteInterval, time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-s.events:
			s.countEvent(ev)
			s.startWrites(state.Step(time.Now(), ev))
		case ev := <-s.writeResults:
			s.startWrites(state.Step(time.Now(), ev))
		case <-ticker.C:
			s.startWrites(state.Step(time.Now(), s.tickEvent()))
		case reply := <-s.documentRequests:
			reply <- state.Document(time.Now())
		case ctx := <-s.stopRequests:
			s.flush(ctx, state)
			return
		}
	}
}

func (s *Service) source() burn.Source {
	return burn.Source{Instance: s.config.Self.ID, Incarnation: s.config.Self.Incarnation}
}

func (s *Service) countEvent(ev burn.Event) {
	switch ev.(type) {
	case burn.Ended:
		s.counted.Add(1)
	case burn.Moved:
		s.config.Vars.Add("moves_counted", 1)
	}
}

// tickEvent returns burn.Uncounted if requests were dropped since its last call,
// and burn.Tick otherwise.
func (s *Service) tickEvent() burn.Event {
	dropped := s.dropped.Value()
	newlyDropped := dropped - s.droppedReported
	s.droppedReported = dropped
	if newlyDropped > 0 {
		return burn.Uncounted{Samples: uint64(newlyDropped)}
	}
	return burn.Tick{}
}

// startWrites starts the writes among the actions. The state requests no further
// write while one is in progress.
func (s *Service) startWrites(actions []burn.Action) {
	for _, a := range actions {
		if w, ok := a.(burn.Write); ok {
			go func() {
				s.writeResults <- burn.Written{Sequence: w.Document.Sequence, OK: s.writeDocument(context.Background(), w.Document)}
			}()
		}
	}
}

// flush counts the queued events and writes the final document. It first waits
// for a write in progress, and gives up when ctx ends.
func (s *Service) flush(ctx context.Context, state *burn.State) {
	for len(s.events) > 0 {
		ev := <-s.events
		s.countEvent(ev)
		s.startWrites(state.Step(time.Now(), ev))
	}
	s.startWrites(state.Step(time.Now(), s.tickEvent()))
	actions := state.Step(time.Now(), burn.Stopping{})
	for state.Writing() {
		s.startWrites(actions)
		select {
		case ev := <-s.writeResults:
			actions = state.Step(time.Now(), ev)
		case <-ctx.Done():
			return
		}
	}
}

// writeDocument stores a document and reports whether it succeeded.
func (s *Service) writeDocument(ctx context.Context, d burn.Document) bool {
	data, err := burncodec.EncodeDocument(d)
	if err == nil {
		err = s.config.Objects.Put(ctx, objectName(d.Source), data)
	}
	s.config.Vars.Add("writes", 1)
	if err != nil {
		s.config.Vars.Add("write_failures", 1)
		return false
	}
	s.config.Vars.Add("bytes_written", int64(len(data)))
	return true
}

// objectPrefix is the prefix of all document names.
const objectPrefix = "burn/"

// objectName returns the name of an incarnation's document. No other process
// writes this document.
func objectName(s burn.Source) string {
	return fmt.Sprintf("%s%s.%016x", objectPrefix, s.Instance, uint64(s.Incarnation))
}
