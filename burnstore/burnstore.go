// Package burnstore is the service that counts served requests, keeps the
// counts in the platform's object store and builds the burn report of the
// fleet. Its own goroutine owns the counts; traffic goroutines hand requests
// over without waiting. The decisions are those of package burn.
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

// ServiceName is the name of the service on the kernel.
const ServiceName = "burn"

const (
	// samplesWaiting bounds the requests that wait to be counted. At 1,000
	// requests/s it covers a pause of the counting goroutine of 4 s.
	samplesWaiting = 4096
	tickInterval   = time.Second
	// expiryInterval is the time between searches for documents to delete. At
	// full size 26 instances are replaced in it.
	expiryInterval = time.Hour
)

// Control is what the service needs of the service "control".
type Control interface{ Snapshot() *control.Snapshot }

// Config sets up the service.
type Config struct {
	Self          fleet.Instance
	Objects       backing.ObjectStore
	WriteInterval time.Duration // least time between writes; 0 means 30 s
	Objective     float64       // share of requests that should be good; 0 means 99%
	Vars          *expvar.Map
}

// counterNames are the counters beside those of requests, so that each is
// exported from the start.
var counterNames = []string{
	"moves_counted", "moves_dropped",
	"writes", "write_failures", "bytes_written", "documents_read", "read_failures", "bad_documents",
	"documents_deleted", "delete_failures", "reports",
}

// Service implements kernel.Service and gateway.Recorder.
type Service struct {
	config  Config
	control Control
	group   *worker.Group // reads and deletions
	ended   chan struct{}

	counted *expvar.Int
	dropped *expvar.Int
	told    int64 // dropped requests that the counting goroutine has told of

	events  chan burn.Event // requests and moves; senders never wait
	written chan burn.Event
	current chan chan burn.Document
	quit    chan context.Context // the context bounds the last write
	others  chan others          // holds one value, which the reporting goroutine takes out
}

var (
	_ kernel.Service   = (*Service)(nil)
	_ gateway.Recorder = (*Service)(nil)
)

// New returns a service that is not started yet.
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
		config: c, group: worker.NewGroup(), ended: make(chan struct{}),
		events: make(chan burn.Event, samplesWaiting), written: make(chan burn.Event, 1),
		current: make(chan chan burn.Document), quit: make(chan context.Context, 1), others: make(chan others, 1),
	}
	s.counted, s.dropped = new(expvar.Int), new(expvar.Int)
	c.Vars.Set("requests_counted", s.counted)
	c.Vars.Set("requests_dropped", s.dropped)
	s.others <- others{total: burn.NewTotal()}
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
	if err := kernel.Subscribe(k.Bus(), "burn.moves", s.changed); err != nil {
		return err
	}
	go s.run()
	s.group.Go(s.expireLoop)
	return nil
}

// Stop implements kernel.Service. It writes the counts a last time.
func (s *Service) Stop(ctx context.Context) error {
	err := s.group.Stop(ctx)
	s.quit <- ctx
	select {
	case <-s.ended:
		return err
	case <-ctx.Done():
		return errors.Join(err, fmt.Errorf("write burn counts: %w", ctx.Err()))
	}
}

// Record implements gateway.Recorder. A request that can't be handed over at
// once is dropped and counted as such.
func (s *Service) Record(r gateway.FinishedRequest) {
	select {
	case s.events <- burn.Ended{Sample: sampleOf(r)}:
	default:
		s.dropped.Add(1)
	}
}

// changed counts the model moves among the changes of control state.
func (s *Service) changed(_ context.Context, c control.Change) {
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

// run is the goroutine that owns the counts.
func (s *Service) run() {
	defer close(s.ended)
	state := burn.NewState(s.source(), s.config.WriteInterval, time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-s.events:
			s.count(ev)
			s.do(state.Step(time.Now(), ev))
		case ev := <-s.written:
			s.do(state.Step(time.Now(), ev))
		case <-ticker.C:
			s.do(state.Step(time.Now(), s.tick()))
		case reply := <-s.current:
			reply <- state.Document(time.Now())
		case ctx := <-s.quit:
			s.finish(ctx, state)
			return
		}
	}
}

func (s *Service) source() burn.Source {
	return burn.Source{Instance: s.config.Self.ID, Incarnation: s.config.Self.Incarnation}
}

func (s *Service) count(ev burn.Event) {
	switch ev.(type) {
	case burn.Ended:
		s.counted.Add(1)
	case burn.Moved:
		s.config.Vars.Add("moves_counted", 1)
	}
}

// tick returns the event of a tick, which tells of requests that were dropped.
func (s *Service) tick() burn.Event {
	dropped := s.dropped.Value()
	lost := dropped - s.told
	s.told = dropped
	if lost > 0 {
		return burn.Uncounted{Samples: uint64(lost)}
	}
	return burn.Tick{}
}

// do starts the writes that the state asks for, of which there is one at a time.
func (s *Service) do(actions []burn.Action) {
	for _, a := range actions {
		if w, ok := a.(burn.Write); ok {
			go func() {
				s.written <- burn.Written{Sequence: w.Document.Sequence, OK: s.write(context.Background(), w.Document)}
			}()
		}
	}
}

// finish counts what still waits and writes the document a last time, after a
// write that is in progress.
func (s *Service) finish(ctx context.Context, state *burn.State) {
	for len(s.events) > 0 {
		ev := <-s.events
		s.count(ev)
		s.do(state.Step(time.Now(), ev))
	}
	s.do(state.Step(time.Now(), s.tick()))
	actions := state.Step(time.Now(), burn.Stopping{})
	for state.Writing() {
		s.do(actions)
		select {
		case ev := <-s.written:
			actions = state.Step(time.Now(), ev)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) write(ctx context.Context, d burn.Document) bool {
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

// prefix is the start of the names of all documents.
const prefix = "burn/"

// objectName returns the name of an incarnation's document. No other process
// writes under it.
func objectName(s burn.Source) string {
	return fmt.Sprintf("%s%s.%016x", prefix, s.Instance, uint64(s.Incarnation))
}
