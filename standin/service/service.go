// Package standinservice is a stand-in for a plain service beside the engines:
// a booking application whose POST calls are not idempotent. Every execution
// is appended to a ledger, so that tests can count what ran. One goroutine
// owns its state.
package standinservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/engine/enginehttp"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	"github.com/hyssophaven/hyssophaven/internal/owner"
)

// Config is the behaviour of a Service.
type Config struct {
	ID string // names the replica in answers and load reports
	// Work is the time of one call.
	Work time.Duration
	// Slots is the number of calls that run at once; 0 means 64. Others wait.
	Slots int
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	config  Config
	owner   *owner.Goroutine
	slots   chan struct{}
	handler http.Handler

	// The fields below belong to the owner goroutine.
	ledger   Ledger
	faults   Faults
	running  int
	waiting  int
	reports  uint64
	leaving  bool
	executed map[execution]int
}

type execution struct{ call, reference string }

// New returns a running service. Close ends it.
func New(c Config) *Service {
	if c.Slots <= 0 {
		c.Slots = 64
	}
	s := &Service{config: c, owner: owner.Start(), slots: make(chan struct{}, c.Slots), executed: make(map[execution]int)}
	r := chi.NewRouter()
	r.Post("/bookings", s.execute)
	r.Post("/holds", s.execute)
	r.Get("/slots", s.listSlots)
	r.Get("/ledger", s.getLedger)
	r.Get("/faults", s.getFaults)
	r.Put("/faults", s.putFaults)
	r.Mount("/", enginehttp.NewReportHandler(s))
	s.handler = r
	return s
}

// Handler serves the booking calls and the load report, and for tests
// GET /ledger and GET and PUT /faults.
func (s *Service) Handler() http.Handler { return s.handler }

// Close ends the service.
func (s *Service) Close() { s.owner.Close() }

// SetLeaving sets the leaving mark in the load report.
func (s *Service) SetLeaving(leaving bool) { s.owner.Do(func() { s.leaving = leaving }) }

// Report returns the load of the service.
func (s *Service) Report(context.Context) (engine.Report, error) {
	var out engine.Report
	s.owner.Do(func() {
		s.reports++
		out = engine.Report{
			TakenAt: time.Now(), Sequence: s.reports, BootID: "service-" + s.config.ID, Leaving: s.leaving,
			Running: s.running, Waiting: s.waiting, Slots: s.config.Slots,
		}
	})
	return out, nil
}

// enter waits for a slot. The caller must call leave if it reports true.
func (s *Service) enter(ctx context.Context) bool {
	s.owner.Do(func() { s.waiting++ })
	entered := false
	select {
	case s.slots <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	s.owner.Do(func() {
		s.waiting--
		if entered {
			s.running++
		}
	})
	return entered
}

func (s *Service) leave() {
	s.owner.Do(func() { s.running-- })
	<-s.slots
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// maxBody bounds the body of a call.
const maxBody = 1 << 20

type bookingMessage struct {
	Reference string `json:"reference"`
}

type confirmationMessage struct {
	Reference    string `json:"reference"`
	Confirmation uint64 `json:"confirmation"`
	Replica      string `json:"replica"`
}

// execute runs a call that is not idempotent. Once it has begun it runs to its
// end, also if the caller goes away.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var m bookingMessage
	if err == nil {
		err = json.Unmarshal(body, &m)
	}
	if err != nil || m.Reference == "" {
		jsonhttp.Fail(w, http.StatusBadRequest, jsonhttp.Error{Code: "bad_request", Message: "a JSON body with a reference is required", Executed: "no"})
		return
	}
	if !s.enter(r.Context()) {
		return
	}
	defer s.leave()
	f := s.takeFault()
	if f.refuse {
		refuse(w)
		return
	}
	sleep(context.WithoutCancel(r.Context()), s.config.Work+f.delay)
	var sequence uint64
	s.owner.Do(func() { sequence = s.record(r.Method+" "+r.URL.Path, m.Reference) })
	sleep(r.Context(), f.answerDelay)
	answer(w, f, http.StatusCreated, confirmationMessage{Reference: m.Reference, Confirmation: sequence, Replica: s.config.ID})
}

func refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	jsonhttp.Fail(w, http.StatusServiceUnavailable, jsonhttp.Error{Code: "unavailable", Message: "refused on demand", Executed: "no"})
}

// answer answers an executed call with m in JSON unless f prevents it.
func answer(w http.ResponseWriter, f fault, status int, m any) {
	switch {
	case f.cut:
		panic(http.ErrAbortHandler)
	case f.garbage:
		writeGarbage(w)
	default:
		jsonhttp.Answer(w, status, m)
	}
}

// writeGarbage answers with bytes that are not HTTP.
func writeGarbage(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write([]byte("\x00\x17garbage\r\n\r\n"))
	_ = conn.Close()
}

type slotsMessage struct {
	Date  string   `json:"date"`
	Slots []string `json:"slots"`
}

// listSlots answers an idempotent call.
func (s *Service) listSlots(w http.ResponseWriter, r *http.Request) {
	date := r.URL.Query().Get("date")
	if _, err := time.Parse(time.DateOnly, date); err != nil {
		jsonhttp.Fail(w, http.StatusBadRequest, jsonhttp.Error{Code: "bad_request", Message: "date must have the form 2006-01-02", Executed: "no"})
		return
	}
	if !s.enter(r.Context()) {
		return
	}
	defer s.leave()
	f := s.takeFault()
	if f.refuse {
		refuse(w)
		return
	}
	sleep(r.Context(), s.config.Work+f.delay+f.answerDelay)
	answer(w, f, http.StatusOK, slotsMessage{Date: date, Slots: []string{"09:00", "10:30", "14:00"}})
}
