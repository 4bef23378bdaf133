package dispatch

import (
	"math"
	"time"
)

// Outcome is how one send of a request ended, as far as it concerns the replica.
type Outcome uint8

// The outcomes.
const (
	// Answered means a complete answer that is not the replica's own failure.
	Answered Outcome = iota
	// Failed is a complete answer with the replica's own failure.
	Failed
	// NotExecuted means that the replica said that it did not run the request.
	NotExecuted
	// Misdirected means that the replica is another one or lacks the model.
	Misdirected
	// Unreachable means that no byte of the request was sent.
	Unreachable
	// Silent means that no answer came in time.
	Silent
	// Broken means that the connection ended, or bytes came that are no answer,
	// after the request had been sent.
	Broken
	// Canceled means that the caller left; it says nothing of the replica.
	Canceled
)

var outcomeNames = [...]string{"answered", "failed", "not-executed", "misdirected", "unreachable", "silent", "broken", "canceled"}

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// MayHaveRun reports whether the replica may have run the request.
func (o Outcome) MayHaveRun() bool {
	return o != NotExecuted && o != Misdirected && o != Unreachable
}

const (
	// slowWeight is the weight of the newest answer in a replica's slowness.
	slowWeight = 0.15
	// slowness stays within these bounds, so that a replica is tried again.
	minSlowness, maxSlowness = 0.25, 12.0
	// forgetSlowness draws slowness back to 1, so that what all replicas have in
	// common becomes part of the models' pace.
	forgetSlowness = 0.02
	// typicalWeight is the weight of the newest request in a service's averages.
	typicalWeight = 0.05
)

// Arrived counts a request for a service in its retry budget.
func (s *State) Arrived(now time.Time, req *Request) {
	svc := s.service(req.Service)
	s.budget(svc, now).Request(now)
	if req.PromptTokens > 0 {
		svc.promptTokens = average(svc.promptTokens, float64(req.PromptTokens))
		svc.outputTokens = average(svc.outputTokens, float64(req.OutputTokens))
	}
}

func average(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + typicalWeight*(value-old)
}

// Sent records that a request is on its way to a replica. It returns the
// reading work that the replica is thought to have with it.
func (s *State) Sent(now time.Time, req *Request, d Decision) (reading float64) {
	r, ok := s.replicas[d.Replica.ID]
	if !ok {
		return 0
	}
	if r.asideFor > 0 {
		r.trial = true
	}
	if req.Model != "" {
		r.running[req.Model]++
	}
	if req.Adapter != "" {
		r.inUse[adapterKey(req.Model, req.Adapter)]++
	}
	r.own.Requests++
	r.sentSince++
	reading = s.reading(r, req)
	r.own.Unread[d.Urgency] += reading
	if req.Model != "" {
		svc := s.service(req.Service)
		svc.reading = average(svc.reading, reading)
	}
	r.prefixes.add(now, req.Parts)
	return reading
}

// read takes finished reading work off.
func (r *replica) read(level int, work float64) {
	r.own.Unread[level] = max(0, r.own.Unread[level]-work)
}

// release ends the use of a request's model and adapter.
func (r *replica) release(req *Request) {
	end := func(uses map[string]int, key string) {
		if uses[key]--; uses[key] <= 0 {
			delete(uses, key)
		}
	}
	if req.Model != "" {
		end(r.running, req.Model)
	}
	if req.Adapter != "" {
		end(r.inUse, adapterKey(req.Model, req.Adapter))
	}
}

// FirstByte records the beginning of an answer, took after the send. reading is
// the work that Sent had counted; d is the decision on which it was sent.
func (s *State) FirstByte(now time.Time, req *Request, d Decision, reading float64, took time.Duration) {
	r, ok := s.replicas[d.Replica.ID]
	if !ok {
		return
	}
	r.read(d.Urgency, reading)
	r.heard = now
	svc := s.service(req.Service)
	if svc.typical == 0 {
		svc.typical = took
	}
	svc.typical += time.Duration(typicalWeight * float64(took-svc.typical))
	if d.Expected <= 0 {
		return
	}
	ratio := min(max(float64(took)*r.slowness/float64(d.Expected), minSlowness), maxSlowness)
	s.learnPace(req, d, took)
	r.slowness = math.Exp((1-slowWeight)*math.Log(r.slowness) + slowWeight*math.Log(ratio) - forgetSlowness*math.Log(r.slowness))
}

// SetReport records the load that a replica stated in an answer.
func (s *State) SetReport(now time.Time, replicaID string, report Report) {
	if r, ok := s.replicas[replicaID]; ok {
		r.report, r.reportAt, r.sentSince = report, now, 0
	}
}

// Finished records the end of a send at sentAt. It reports whether the replica is put
// aside because of it.
func (s *State) Finished(now, sentAt time.Time, req *Request, d Decision, outcome Outcome, reading float64) bool {
	if outcome == Answered {
		delete(s.crashes, req.Fingerprint)
	}
	if outcome == Broken {
		s.crashes.add(now, req.Fingerprint)
	}
	r, ok := s.replicas[d.Replica.ID]
	if !ok {
		return false
	}
	r.release(req)
	r.own.Requests = max(0, r.own.Requests-1)
	r.read(d.Urgency, reading)
	switch outcome {
	case Answered:
		r.succeeded()
	case Silent:
		if r.heard.After(sentAt) {
			return false // it answers others: it has much to do, or hangs now and then
		}
		return r.failed(now, false)
	case Failed, Broken:
		return r.failed(now, false)
	case Unreachable:
		return r.failed(now, true)
	case NotExecuted, Misdirected, Canceled:
		r.trial = false
		if outcome == Misdirected && req.Adapter != "" {
			r.setAdapter(req.Model, req.Adapter, false)
		}
	}
	return false
}
