package gateway

import (
	"expvar"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/openai"
	"github.com/hyssophaven/hyssophaven/table"
)

// Outcome classifies how a request ended for its caller.
type Outcome uint8

// The outcomes. Only a request that was matched to a table row has one.
const (
	OutcomeAnswered  Outcome = iota // the complete answer was relayed
	OutcomeRefused                  // refused, or a service call that no endpoint executed
	OutcomeFailed                   // admitted, but got no complete answer
	OutcomeCancelled                // the caller hung up or read too slowly
)

// FinishedRequest describes one finished request for service-level accounting.
type FinishedRequest struct {
	Row               string
	Rank              fleet.Rank
	TimeToFirstToken  time.Duration // time from arrival to the first token; 0 if there was none
	TimeBetweenTokens time.Duration // mean time between tokens; 0 if unknown
	Duration          time.Duration // time from arrival to the end of the answer
	Outcome           Outcome
	Targets           table.Targets // the row's targets when the request arrived
	Code              openai.Code   // error code if refused or failed; empty otherwise
}

// Recorder receives finished requests. Record must be safe for concurrent use and
// must not block.
type Recorder interface {
	Record(FinishedRequest)
}

type discardRecorder struct{}

func (discardRecorder) Record(FinishedRequest) {}

// counters holds the gateway's expvar counters.
type counters struct {
	vars *expvar.Map

	requests, answered, refused, failed, cancelled *expvar.Int

	badRequests, bodiesTooLarge, slowWriters, slowReaders                            *expvar.Int
	chunksRelayed, answersResumed, endpointsLost, answersTruncated, answersMalformed *expvar.Int
	answersCrossed, enginesStalled, adapterLoads, adapterLoadsRefused                *expvar.Int
	keyedCalls, keyedReplayed, keyedUnknown, serviceRetries                          *expvar.Int
	claimsWrittenAgain, claimsLost, memoryRefused                                    *expvar.Int
}

func newCounters() counters {
	vars := new(expvar.Map)
	add := func(name string) *expvar.Int {
		v := new(expvar.Int)
		vars.Set(name, v)
		return v
	}
	return counters{
		vars:     vars,
		requests: add("requests"), answered: add("answered"), refused: add("refused"),
		failed: add("failed"), cancelled: add("cancelled"),
		badRequests: add("bad_requests"), bodiesTooLarge: add("bodies_too_large"),
		slowWriters: add("slow_writers"), slowReaders: add("slow_readers"),
		chunksRelayed: add("chunks_relayed"), answersResumed: add("answers_resumed"), endpointsLost: add("endpoints_lost"),
		answersTruncated: add("answers_truncated"), answersMalformed: add("answers_malformed"),
		answersCrossed: add("answers_crossed"), enginesStalled: add("engines_stalled"),
		adapterLoads: add("adapter_loads"), adapterLoadsRefused: add("adapter_loads_refused"),
		keyedCalls: add("keyed_calls"), keyedReplayed: add("keyed_replayed"),
		claimsWrittenAgain: add("claims_written_again"), claimsLost: add("claims_lost"), memoryRefused: add("memory_refused"),
		keyedUnknown: add("keyed_unknown"), serviceRetries: add("service_retries"),
	}
}

// recordFinished counts a finished request that was matched to a row and passes it to
// the recorder.
func (g *Gateway) recordFinished(s FinishedRequest) {
	switch s.Outcome {
	case OutcomeAnswered:
		g.counters.answered.Add(1)
	case OutcomeRefused:
		g.counters.refused.Add(1)
	case OutcomeFailed:
		g.counters.failed.Add(1)
	case OutcomeCancelled:
		g.counters.cancelled.Add(1)
	}
	g.cfg.Recorder.Record(s)
}
