package gateway

import (
	"expvar"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/openai"
	"github.com/hyssophaven/hyssophaven/table"
)

// Outcome is how a request ended for its caller.
type Outcome uint8

// The outcomes.
const (
	OutcomeAnswered  Outcome = iota // the whole answer was relayed
	OutcomeRefused                  // refused; it did not run
	OutcomeFailed                   // admitted, but the answer was an error
	OutcomeCancelled                // the caller hung up or was too slow
)

// Served describes one request for the service-level counts.
type Served struct {
	Row        string
	Rank       fleet.Rank
	FirstToken time.Duration // from arrival; 0 if there was none
	Between    time.Duration // mean time between tokens; 0 if unknown
	Whole      time.Duration // from arrival to the end
	Outcome    Outcome
	Targets    table.Targets // of the row when the request arrived
	Code       openai.Code   // why it was refused or failed; empty otherwise
}

// Recorder counts served requests. Record must be safe for concurrent use and
// must not wait.
type Recorder interface {
	Record(Served)
}

type discardRecorder struct{}

func (discardRecorder) Record(Served) {}

// counters are the gateway's expvar counters.
type counters struct {
	vars *expvar.Map

	requests, answered, refused, failed, cancelled *expvar.Int

	badRequest, tooLarge, slowWriter, slowReader     *expvar.Int
	chunks, resumed, lost, truncated, malformed      *expvar.Int
	crossed, stalled, adapterLoads, adapterRefused   *expvar.Int
	keyed, keyedReplayed, keyedUnknown, serviceRetry *expvar.Int
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
		badRequest: add("bad_requests"), tooLarge: add("bodies_too_large"),
		slowWriter: add("slow_writers"), slowReader: add("slow_readers"),
		chunks: add("chunks_relayed"), resumed: add("answers_resumed"), lost: add("endpoints_lost"),
		truncated: add("answers_truncated"), malformed: add("answers_malformed"),
		crossed: add("answers_crossed"), stalled: add("engines_stalled"),
		adapterLoads: add("adapter_loads"), adapterRefused: add("adapter_loads_refused"),
		keyed: add("keyed_calls"), keyedReplayed: add("keyed_replayed"),
		keyedUnknown: add("keyed_unknown"), serviceRetry: add("service_retries"),
	}
}

// record counts one request that was classified by a row.
func (g *Gateway) record(s Served) {
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
