// Package standinservice implements a stand-in for a service that is not a model
// engine: a booking application whose POST calls are not idempotent. It appends
// every execution to a ledger, so that tests can count executions. A single
// goroutine owns its state.
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

// Config configures a Service.
type Config struct {
	ID string // identifies the replica in answers and load reports
	// CallTime is the execution time of a call.
	CallTime time.Duration
	// Slots is the maximum number of concurrent calls; 0 means 64. Further calls
	// wait for a slot.
	Slots int
}

// Service is a stand-in for a booking application. It is safe for concurrent use.
type Service struct {
	config        Config
	owner         *owner.Goroutine
	slotSemaphore chan struct{}
	handler       http.Handler

	// The fields below belong to the owner goroutine.
	ledger          Ledger
	faults          Faults
	running         int
	waiting         int
	reportCount     uint64
	leaving         bool
	executionCounts map[execution]int
}

type execution struct{ call, reference string }

// New starts a Service. The caller must call Close to stop it.
func New(c Config) *Service {
	if c.Slots <= 0 {
		c.Slots = 64
	}
	s := &Service{config: c, owner: owner.Start(), slotSemaphore: make(chan struct{}, c.Slots), executionCounts: make(map[execution]int)}
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

// Handler returns the handler for the booking calls and the load report. For
// tests it also serves GET /ledger, GET /faults and PUT /faults.
func (s *Service) Handler() http.Handler { return s.handler }

// Close stops the service.
func (s *Service) Close() { s.owner.Close() }

// SetLeaving sets whether load reports mark the service as leaving.
func (s *Service) SetLeaving(leaving bool) { s.owner.Do(func() { s.leaving = leaving }) }

// Report returns the current load of the service.
func (s *Service) Report(context.Context) (engine.Report, error) {
	var out engine.Report
	s.owner.Do(func() {
		s.reportCount++
		out = engine.Report{
			TakenAt: time.Now(), Sequence: s.reportCount, BootID: "service-" + s.config.ID, Leaving: s.leaving,
			Running: s.running, Waiting: s.waiting, Slots: s.config.Slots,
		}
	})
	return out, nil
}

// acquireSlot waits for a free slot. It returns false if ctx ends first. After it
// returns true the caller must call releaseSlot.
func (s *Service) acquireSlot(ctx context.Context) bool {
	s.owner.Do(func() { s.waiting++ })
	acquired := false
	select {
	case s.slotSemaphore <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	s.owner.Do(func() {
		s.waiting--
		if acquired {
			s.running++
		}
	})
	return acquired
}

func (s *Service) releaseSlot() {
	s.owner.Do(func() { s.running-- })
	<-s.slotSemaphore
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// maxBodyBytes is the maximum size of a request body in bytes.
const maxBodyBytes = 1 << 20

type bookingMessage struct {
	Reference string `json:"reference"`
}

type confirmationMessage struct {
	Reference    string `json:"reference"`
	Confirmation uint64 `json:"confirmation"`
	Replica      string `json:"replica"`
}

// execute handles a non-idempotent call. After the execution has begun, it is
// completed and recorded even if the caller disconnects.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var m bookingMessage
	if err == nil {
		err = json.Unmarshal(body, &m)
	}
	if err != nil || m.Reference == "" {
		jsonhttp.WriteError(w, http.StatusBadRequest, jsonhttp.Error{Code: "bad_request", Message: "a JSON body with a reference is required", Executed: "no"})
		return
	}
	if !s.acquireSlot(r.Context()) {
		return
	}
	defer s.releaseSlot()
	f := s.nextFault()
	if f.refuse {
		writeRefusal(w)
		return
	}
	sleep(context.WithoutCancel(r.Context()), s.config.CallTime+f.delay)
	var sequence uint64
	s.owner.Do(func() { sequence = s.recordExecution(r.Method+" "+r.URL.Path, m.Reference) })
	sleep(r.Context(), f.answerDelay)
	writeAnswer(w, f, http.StatusCreated, confirmationMessage{Reference: m.Reference, Confirmation: sequence, Replica: s.config.ID})
}

func writeRefusal(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	jsonhttp.WriteError(w, http.StatusServiceUnavailable, jsonhttp.Error{Code: "unavailable", Message: "refused on demand", Executed: "no"})
}

// writeAnswer answers an executed call with m as JSON, unless f closes the
// connection or replaces the answer by garbage.
func writeAnswer(w http.ResponseWriter, f fault, status int, m any) {
	switch {
	case f.dropAnswer:
		panic(http.ErrAbortHandler)
	case f.garbage:
		writeGarbage(w)
	default:
		jsonhttp.WriteJSON(w, status, m)
	}
}

// writeGarbage writes bytes that are not HTTP and closes the connection.
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

// listSlots handles the idempotent call for the free slots of a date.
func (s *Service) listSlots(w http.ResponseWriter, r *http.Request) {
	date := r.URL.Query().Get("date")
	if _, err := time.Parse(time.DateOnly, date); err != nil {
		jsonhttp.WriteError(w, http.StatusBadRequest, jsonhttp.Error{Code: "bad_request", Message: "date must have the form 2006-01-02", Executed: "no"})
		return
	}
	if !s.acquireSlot(r.Context()) {
		return
	}
	defer s.releaseSlot()
	f := s.nextFault()
	if f.refuse {
		writeRefusal(w)
		return
	}
	sleep(r.Context(), s.config.CallTime+f.delay+f.answerDelay)
	writeAnswer(w, f, http.StatusOK, slotsMessage{Date: date, Slots: []string{"09:00", "10:30", "14:00"}})
}
