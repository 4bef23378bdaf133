package controlplane

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/dispatch"
)

// Flight is one attempt to serve a request on a replica.
type Flight struct {
	Request  *dispatch.Request
	Decision dispatch.Decision
	// PrefillWork is the estimated prefill work that the request still needs on the
	// replica. It is 0 after the first byte.
	PrefillWork float64
	SentAt      time.Time
	// List is the evidence that the replica was listed when the request was sent.
	List ListEvidence
	// HeadSeen is set by traffic, before Finish, if the head of an answer has arrived.
	HeadSeen bool
	// EventsBegun is set by traffic, before Finish, if the first bytes of a stream's events
	// have arrived. A request that crashes its replica gets no event.
	EventsBegun bool
	// InvalidAnswer is set by traffic, before Finish, if the answer was broken off for
	// what it held. Its replica has not crashed.
	InvalidAnswer bool
	// begunAt is when the answer began, and settled whether it has gone on for
	// suspect.SettleTime. The control goroutine owns both.
	begunAt time.Time
	settled bool
}

// AdmissionRequest holds a request for Admit and the history of earlier attempts.
type AdmissionRequest struct {
	Request *dispatch.Request
	// Tried holds the replicas that were chosen for the request so far. Delivered is
	// the number of attempts that reached a replica, and PossibleRuns the number that
	// a replica may have started to run.
	Tried                   []string
	Delivered, PossibleRuns int
	// Rejected holds those of Tried that answered that they have not run the request.
	Rejected []string
	// Waited is set if an earlier decision made the request wait.
	Waited bool
	// FromSilent is set if the request is to be taken over from a silent replica.
	FromSilent bool
}

// isFirst reports whether no decision has been made on the request yet.
func (r AdmissionRequest) isFirst() bool { return len(r.Tried) == 0 && !r.Waited }

func (r AdmissionRequest) history() dispatch.History {
	return dispatch.History{Tried: r.Tried, Delivered: r.Delivered, PossibleRuns: r.PossibleRuns, FromSilent: r.FromSilent, Rejected: r.Rejected}
}

// Admission is the answer to an AdmissionRequest. Flight is nil unless the request
// is to be sent.
type Admission struct {
	Decision dispatch.Decision
	Flight   *Flight
	// Waited is how long the request waited in the queue of its service, and WaitCause why.
	Waited    time.Duration
	WaitCause dispatch.Cause
}

type admit struct {
	ctx     context.Context // of the caller of Admit
	request AdmissionRequest
	answer  chan<- Admission
	waiter  *dispatch.Waiter // nil unless the request is in the queue; owned by the control goroutine
}

// Admit decides whether and where a request is sent, and counts a sent request as in
// flight on its replica. A request that waits in the queue of its service is answered when it
// is sent or refused. The end of the flight must be reported with Finish.
//
// If ctx ends while the control goroutine decides, the request can count as in flight.
// Its flight is then finished in the background.
func (s *Service) Admit(ctx context.Context, r AdmissionRequest) (Admission, error) {
	answer := make(chan Admission, 1)
	e := &admit{ctx: ctx, request: r, answer: answer}
	select {
	case s.events <- e:
	case <-ctx.Done():
		return Admission{}, ctx.Err()
	case <-s.ended:
		return Admission{}, context.Canceled
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		go s.finishUnused(e, answer)
		return Admission{}, ctx.Err()
	case <-s.ended:
		return Admission{}, context.Canceled
	}
}

// finishUnused finishes the flight of an admission that nobody waits for.
func (s *Service) finishUnused(e *admit, answer <-chan Admission) {
	s.post(withdraw{admit: e})
	select {
	case a := <-answer:
		if a.Flight != nil {
			s.Finish(a.Flight, dispatch.NotExecuted, nil)
		}
	case <-s.ended:
	}
}

func (e *admit) apply(c *core, now time.Time) {
	if e.ctx.Err() != nil {
		e.answer <- Admission{} // nobody waits for it
		return
	}
	first := e.request.isFirst()
	if first && !c.takeQuota(now, e) {
		return
	}
	e.decide(c, now, first)
}

// decide answers a request that is within its customer's limit. first is set for the first
// decision about it.
func (e *admit) decide(c *core, now time.Time, first bool) {
	req := e.request.Request
	if first {
		c.dispatch.RecordArrival(now, req)
	}
	if c.dispatch.HoldsRequests(req.Service) && !e.request.FromSilent {
		c.submit(now, e)
		return
	}
	e.answer <- c.admission(now, e.request, c.dispatch.Choose(now, req, e.request.history()), first)
}

// admission carries out the decision on a request. first is set if it is to be counted in the
// demand for its model.
func (c *core) admission(now time.Time, r AdmissionRequest, d dispatch.Decision, first bool) Admission {
	req := r.Request
	if first {
		c.countDemand(req, d)
	}
	if r.Delivered > 0 {
		c.countRetry(d)
	}
	if first && d.Verdict == dispatch.Refuse {
		c.returnQuota(now, req)
	}
	if d.Verdict != dispatch.Send {
		return Admission{Decision: d}
	}
	prefillWork := c.dispatch.RecordSend(now, req, d)
	if req.Adapter != "" {
		c.plan.MarkAdapterUsed(now, d.Replica.ID, req.Model, req.Adapter)
	}
	return Admission{Decision: d, Flight: &Flight{Request: req, Decision: d, PrefillWork: prefillWork, SentAt: now, List: c.listEvidence(now, d.Replica.ID)}}
}

// countRetry counts the decision on a request that has already reached a replica.
func (c *core) countRetry(d dispatch.Decision) {
	result := "sent"
	switch {
	case d.Cause == dispatch.CauseRetryBudget:
		result = "over-budget"
	case d.Verdict == dispatch.Refuse:
		result = "not-possible"
	}
	c.metrics.Counter("retries", "result", result).Add(1)
}

type firstByte struct {
	flight  *Flight
	elapsed time.Duration
	report  *dispatch.Report
}

// FirstByte reports the time from the send of a flight to the first byte of its
// answer. report is the load that the replica stated, or nil.
func (s *Service) FirstByte(f *Flight, elapsed time.Duration, report *dispatch.Report) {
	s.post(firstByte{flight: f, elapsed: elapsed, report: report})
}

func (e firstByte) apply(c *core, now time.Time) {
	f := e.flight
	if e.report != nil && e.report.Slowness <= 0 {
		c.dispatch.SetReport(now, f.Decision.Replica.ID, *e.report)
	}
	c.dispatch.RecordFirstByte(now, f.Request, f.Decision, f.PrefillWork, e.elapsed)
	f.PrefillWork, f.begunAt = 0, now
	c.serveWaiters(now, f.Request.Service)
}

type silence struct {
	flight *Flight
	ended  bool
}

// Silent reports that the answer to a flight is silent, and GoesOn that it is no longer.
func (s *Service) Silent(f *Flight) { s.post(silence{flight: f}) }

// GoesOn reports that an answer that was silent goes on.
func (s *Service) GoesOn(f *Flight) { s.post(silence{flight: f, ended: true}) }

func (e silence) apply(c *core, now time.Time) {
	id := e.flight.Decision.Replica.ID
	if e.ended {
		c.dispatch.RecordProgress(id)
		return
	}
	c.dispatch.RecordSilence(now, id)
}

type settled struct{ flight *Flight }

// Settled reports that the answer to a flight has gone on for suspect.SettleTime after
// its first byte.
func (s *Service) Settled(f *Flight) { s.post(settled{flight: f}) }

func (e settled) apply(c *core, _ time.Time) { c.settle(e.flight) }

// settle records that the answer to a flight shows that its prompt crashes no replica.
func (c *core) settle(f *Flight) {
	if !f.settled && !f.begunAt.IsZero() {
		f.settled = true
		c.dispatch.RecordSettled(f.begunAt, f.Request, f.Decision)
	}
}

type finish struct {
	flight  *Flight
	outcome dispatch.Outcome
	report  *dispatch.Report
}

// Finish reports the end of a flight. report is the load that the replica stated, or
// nil.
func (s *Service) Finish(f *Flight, outcome dispatch.Outcome, report *dispatch.Report) {
	s.post(finish{flight: f, outcome: outcome, report: report})
}

func (e finish) apply(c *core, now time.Time) {
	f := e.flight
	id := f.Decision.Replica.ID
	if e.report != nil && e.report.Slowness <= 0 && (f.begunAt.IsZero() || !c.dispatch.HoldsRequests(f.Request.Service)) {
		c.dispatch.SetReport(now, id, *e.report) // old by now if the answer has begun, and would hold requests back
	}
	switch {
	case e.outcome == dispatch.Answered:
		c.settle(f)
	case e.outcome == dispatch.ConnectionBroken && !f.settled && !f.InvalidAnswer:
		c.dispatch.RecordBreak(now, f.Request, f.Decision, f.HeadSeen && !f.EventsBegun)
	}
	if c.dispatch.RecordEnd(now, f.SentAt, f.Request, f.Decision, e.outcome, f.PrefillWork) {
		c.metrics.Counter("replicas_put_aside", "outcome", e.outcome.String()).Add(1)
		c.log.Warn("replica put aside", "replica", id, "request", f.Request.ID, "outcome", e.outcome.String(), "load_age", f.Decision.LoadAge)
	}
	c.serveWaiters(now, f.Request.Service)
}
