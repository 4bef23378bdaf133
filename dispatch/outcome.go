package dispatch

import (
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/suspect"
)

// Outcome classifies the end of one send of a request.
type Outcome uint8

const (
	// Answered is a complete answer that does not report a failure of the replica.
	Answered Outcome = iota
	// Failed is a complete answer that reports a failure of the replica.
	Failed
	// NotExecuted is an answer stating that the replica did not run the request.
	NotExecuted
	// Misdirected means that another replica answered at the address, or that the
	// replica lacks the model or the adapter.
	Misdirected
	// Unreachable means that no byte of the request was sent.
	Unreachable
	// TimedOut means that no answer came in time.
	TimedOut
	// ConnectionBroken means that the connection ended or invalid bytes arrived
	// after the request had been sent.
	ConnectionBroken
	// Canceled means that the caller left; it is no evidence about the replica.
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
	// latencyRatioWeight is the weight of the newest answer in a replica's
	// latencyRatio.
	latencyRatioWeight = 0.15
	// latencyRatio stays within these bounds, so that a slow replica still gets
	// requests.
	minLatencyRatio, maxLatencyRatio = 0.25, 12.0
	// latencyRatioDecay pulls latencyRatio towards 1 with each answer, so that
	// deviations common to all replicas go into the models' latency profiles
	// instead.
	latencyRatioDecay = 0.02
	// averageWeight is the weight of the newest request in a service's moving
	// averages.
	averageWeight = 0.05
)

// RecordArrival counts a request in the retry budget of its service and in the
// averages of prompt and output tokens.
func (s *State) RecordArrival(now time.Time, req *Request) {
	svc := s.service(req.Service)
	s.retryBudget(svc, now).CountRequest(now)
	if req.PromptTokens > 0 {
		svc.avgPromptTokens = movingAverage(svc.avgPromptTokens, float64(req.PromptTokens))
		svc.avgOutputTokens = movingAverage(svc.avgOutputTokens, float64(req.OutputTokens))
	}
}

func movingAverage(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + averageWeight*(value-old)
}

// RecordSend records that a request is sent to the replica of a decision. It returns
// the prefill work counted for it, to be passed to RecordFirstByte and RecordEnd.
func (s *State) RecordSend(now time.Time, req *Request, d Decision) (prefill float64) {
	r, ok := s.replicas[d.Replica.ID]
	if !ok {
		return 0
	}
	if r.ejectionTime > 0 {
		r.probing = true
	}
	if req.Model != "" {
		r.modelRequests[req.Model]++
	}
	if req.Adapter != "" {
		r.adapterRequests[adapterKey(req.Model, req.Adapter)]++
	}
	s.suspects.RecordSend(req.SharedParts)
	r.ownLoad.Requests++
	r.sentSinceReport++
	prefill = s.prefillWork(r, req)
	r.ownLoad.PendingPrefill[d.Urgency] += prefill
	if req.Model != "" {
		svc := s.service(req.Service)
		svc.avgPrefill = movingAverage(svc.avgPrefill, prefill)
	}
	r.prefixes.add(now, req.Parts)
	return prefill
}

// finishPrefill subtracts finished prefill work from this instance's load on the
// replica.
func (r *replica) finishPrefill(level int, work float64) {
	r.ownLoad.PendingPrefill[level] = max(0, r.ownLoad.PendingPrefill[level]-work)
}

// releaseModelAndAdapter removes a request from the counts of its model and adapter.
func (r *replica) releaseModelAndAdapter(req *Request) {
	decrement := func(uses map[string]int, key string) {
		if uses[key]--; uses[key] <= 0 {
			delete(uses, key)
		}
	}
	if req.Model != "" {
		decrement(r.modelRequests, req.Model)
	}
	if req.Adapter != "" {
		decrement(r.adapterRequests, adapterKey(req.Model, req.Adapter))
	}
}

// RecordFirstByte records that an answer began, with the time that it took since the
// send. prefill is the work that RecordSend returned; d is the decision of the send.
func (s *State) RecordFirstByte(now time.Time, req *Request, d Decision, prefill float64, took time.Duration) {
	r, ok := s.replicas[d.Replica.ID]
	if !ok {
		return
	}
	r.finishPrefill(d.Urgency, prefill)
	r.lastAnswerAt, r.silentAt = now, time.Time{}
	svc := s.service(req.Service)
	if svc.avgTTFB == 0 {
		svc.avgTTFB = took
	}
	svc.avgTTFB += time.Duration(averageWeight * float64(took-svc.avgTTFB))
	if d.Expected <= 0 {
		return
	}
	ratio := min(max(float64(took)*r.latencyRatio/float64(d.Expected), minLatencyRatio), maxLatencyRatio)
	s.learnLatency(req, d, took)
	r.latencyRatio = math.Exp((1-latencyRatioWeight)*math.Log(r.latencyRatio) + latencyRatioWeight*math.Log(ratio) - latencyRatioDecay*math.Log(r.latencyRatio))
}

// RecordSettled records that an answer, which began at begun, has gone on long enough
// to clear the parts of its prompt.
func (s *State) RecordSettled(begun time.Time, req *Request, d Decision) {
	s.suspects.RecordSettled(begun, d.Replica.ID, req.SharedParts)
}

// RecordBreak records that a send ended as ConnectionBroken before its answer had
// settled. began tells whether it broke between the head and the first event of its answer.
func (s *State) RecordBreak(now time.Time, req *Request, d Decision, began bool) {
	s.suspects.RecordBreak(now, d.Replica.ID, req.SharedParts, began)
}

// Suspects returns the records of prompt parts that may crash replicas.
func (s *State) Suspects() *suspect.State { return s.suspects }

// SetReport records the load report that came with a replica's answer.
func (s *State) SetReport(now time.Time, replicaID string, report Report) {
	if r, ok := s.replicas[replicaID]; ok {
		r.report, r.reportAt, r.sentSinceReport = report, now, 0
	}
}

// RecordEnd records the end of a send that began at sentAt. It reports whether the
// outcome ejected the replica. prefill is the work that RecordSend returned, or 0
// if RecordFirstByte has subtracted it.
func (s *State) RecordEnd(now, sentAt time.Time, req *Request, d Decision, outcome Outcome, prefill float64) bool {
	if outcome == Answered {
		delete(s.crashes, req.Fingerprint)
	}
	if outcome == ConnectionBroken {
		s.crashes.add(now, req.Fingerprint)
	}
	r, ok := s.replicas[d.Replica.ID]
	if !ok {
		return false
	}
	r.releaseModelAndAdapter(req)
	r.ownLoad.Requests = max(0, r.ownLoad.Requests-1)
	r.finishPrefill(d.Urgency, prefill)
	switch outcome {
	case Answered:
		r.recordSuccess()
	case TimedOut:
		if r.lastAnswerAt.After(sentAt) {
			return false // it has answered another request since the send: it is busy, or hangs sometimes
		}
		return r.recordFailure(now, false)
	case Failed, ConnectionBroken:
		return r.recordFailure(now, false)
	case Unreachable:
		return r.recordFailure(now, true)
	case NotExecuted, Misdirected, Canceled:
		r.probing = false
		if outcome == Misdirected && req.Adapter != "" {
			r.setAdapter(req.Model, req.Adapter, false)
		}
	}
	return false
}
