package controlplane

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/dispatch"
)

// Flight is one send of a request to a replica.
type Flight struct {
	Request  *dispatch.Request
	Decision dispatch.Decision
	// Reading is the reading work that the replica is thought to have with it.
	Reading float64
	SentAt  time.Time
}

// Query asks where to send a request.
type Query struct {
	Request *dispatch.Request
	// Tried are the replicas that were chosen for it. Arrivals of these sends
	// reached a replica, and Ran replicas may have run it.
	Tried         []string
	Arrivals, Ran int
	// Waited says that the request has been asked about before, and has waited since.
	Waited bool
}

// Admission is the answer to a Query. Flight is nil if the request is refused.
type Admission struct {
	Decision dispatch.Decision
	Flight   *Flight
}

type admit struct {
	query  Query
	answer chan<- Admission
}

// Admit decides where a request is sent and counts it as in flight there; the
// caller reports its end with Finish.
func (s *Service) Admit(ctx context.Context, q Query) (Admission, error) {
	answer := make(chan Admission, 1)
	return ask(ctx, s, admit{query: q, answer: answer}, answer)
}

func (e admit) apply(c *core, now time.Time) {
	req := e.query.Request
	first := len(e.query.Tried) == 0 && !e.query.Waited
	if first {
		c.dispatch.Arrived(now, req)
	}
	d := c.dispatch.Choose(now, req, dispatch.History{Tried: e.query.Tried, Arrivals: e.query.Arrivals, Ran: e.query.Ran})
	if first {
		c.countDemand(req, d)
	}
	if e.query.Arrivals > 0 {
		c.countRetry(d)
	}
	if d.Verdict != dispatch.Send {
		e.answer <- Admission{Decision: d}
		return
	}
	reading := c.dispatch.Sent(now, req, d)
	if req.Adapter != "" {
		c.plan.UsedAdapter(now, d.Replica.ID, req.Model, req.Adapter)
	}
	e.answer <- Admission{Decision: d, Flight: &Flight{Request: req, Decision: d, Reading: reading, SentAt: now}}
}

// countRetry counts a decision on a request that has reached a replica before.
func (c *core) countRetry(d dispatch.Decision) {
	result := "sent"
	switch {
	case d.Cause == dispatch.CauseBudget:
		result = "over-budget"
	case d.Verdict == dispatch.Refuse:
		result = "not-possible"
	}
	c.metrics.Counter("retries", "result", result).Add(1)
}

type firstByte struct {
	flight *Flight
	took   time.Duration
	report *dispatch.Report
}

// FirstByte reports that the answer of a flight has begun, took after its send.
func (s *Service) FirstByte(f *Flight, took time.Duration, report *dispatch.Report) {
	s.post(firstByte{flight: f, took: took, report: report})
}

func (e firstByte) apply(c *core, now time.Time) {
	f := e.flight
	c.dispatch.FirstByte(now, f.Request, f.Decision, f.Reading, e.took)
	f.Reading = 0
	if e.report != nil {
		c.dispatch.SetReport(now, f.Decision.Replica.ID, *e.report)
	}
}

type finish struct {
	flight  *Flight
	outcome dispatch.Outcome
	report  *dispatch.Report
}

// Finish reports the end of a flight. report is the load that the replica
// stated, or nil.
func (s *Service) Finish(f *Flight, outcome dispatch.Outcome, report *dispatch.Report) {
	s.post(finish{flight: f, outcome: outcome, report: report})
}

func (e finish) apply(c *core, now time.Time) {
	f := e.flight
	id := f.Decision.Replica.ID
	if e.report != nil {
		c.dispatch.SetReport(now, id, *e.report)
	}
	if c.dispatch.Finished(now, f.SentAt, f.Request, f.Decision, e.outcome, f.Reading) {
		c.metrics.Counter("replicas_put_aside", "outcome", e.outcome.String()).Add(1)
		c.log.Warn("replica put aside", "replica", id, "request", f.Request.ID, "outcome", e.outcome.String(), "load_age", f.Decision.LoadAge)
	}
}
