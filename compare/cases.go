// Package compare measures admission and placement policies against each
// other: it runs the same seeded load against a development deployment under
// each policy and reports what every rank kept.
package compare

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/dev"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/load"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
	"github.com/hyssophaven/hyssophaven/table"
)

// The engines of a measurement are slower than the stand-in's defaults, so that
// the fleet is saturated before the machine is. At 25 ms a step the fifo
// baselines ran out of 20,000 file descriptors in a flood.
const (
	decodeStep        = 100 * time.Millisecond
	decodePerSequence = 4 * time.Millisecond
	engineSlots       = 16
	modelLoadTime     = time.Second
)

const (
	runTime    = 30 * time.Second
	floodStart = 8 * time.Second
	floodEnd   = 25 * time.Second
	// eventAt is when the demand of some models rises or a data centre is lost.
	eventAt      = 8 * time.Second
	floodFactor  = 5
	normalLoad   = 0.8
	termBaseLoad = 0.5
	hotModels    = 3
	hotFactor    = 10
)

// work describes the requests of one rank.
type work struct {
	share   float64 // of the fleet's tokens
	words   int
	tokens  int
	targets load.Targets
}

func seconds(s float64) load.Duration { return load.Duration(s * float64(time.Second)) }

var works = [fleet.RankCount]work{
	fleet.Urgent:  {share: 0.3, words: 20, tokens: 12, targets: load.Targets{FirstToken: seconds(1), WholeAnswer: seconds(4)}},
	fleet.Prompt:  {share: 0.4, words: 60, tokens: 40, targets: load.Targets{FirstToken: seconds(3), WholeAnswer: seconds(20)}},
	fleet.Patient: {share: 0.3, words: 100, tokens: 80, targets: load.Targets{WholeAnswer: seconds(60)}},
}

// Case is one situation to measure.
type Case struct {
	Name   string
	Target string // as stated in the design
	flood  *fleet.Rank
	term   bool // the demand of a few models rises tenfold
	lose   bool // a data centre is lost
}

// Cases returns the cases of the design's table.
func Cases() []Case {
	flooded := func(r fleet.Rank) *fleet.Rank { return &r }
	return []Case{
		{Name: "no flood", Target: "every rank at least 99%"},
		{Name: "patient flood", Target: "urgent at least 99% of no flood, prompt at least 95%", flood: flooded(fleet.Patient)},
		{Name: "prompt flood", Target: "urgent at least 99%, patient keeps its floor", flood: flooded(fleet.Prompt)},
		{Name: "urgent flood", Target: "urgent goodput at least 90% of what the fleet can do, floors kept", flood: flooded(fleet.Urgent)},
		{Name: "term opening", Target: "attainment at least twice round robin", term: true},
		{Name: "data centre lost", Target: "urgent back at 99% within 30 s", lose: true},
	}
}

// fleetTokens is the number of tokens per second that the whole fleet can
// generate with full batches.
func fleetTokens(d dev.Deployment) float64 {
	step := (decodeStep + engineSlots*decodePerSequence).Seconds()
	return float64(d.Replicas) * engineSlots / step
}

// engineConfig sets up an engine that honours priorities by pausing requests of
// lower ranks for a waiting one, as the shares between ranks assume.
func engineConfig(c *standinengine.Config) {
	c.PreemptsLowerRanks = true
	c.DecodeStep, c.DecodePerSequence, c.Slots, c.ModelLoadTime = decodeStep, decodePerSequence, engineSlots, modelLoadTime
}

// scenario returns the load of a case at the deployment's size.
func scenario(c Case, d dev.Deployment, seed uint64, urls []string) *load.Scenario {
	s := &load.Scenario{Seed: seed, Duration: load.Duration(runTime), Timeout: load.Duration(90 * time.Second), Instances: urls}
	total := normalLoad
	if c.term {
		total = termBaseLoad
	}
	for _, r := range fleet.Ranks() {
		w := works[r]
		rate := total * w.share * fleetTokens(d) / float64(w.tokens)
		stream := w.stream(r.String(), r, rowsOf(d, r), rate)
		if c.flood != nil && *c.flood == r {
			factor := floodFactor * fleetTokens(d) / float64(w.tokens) / rate
			stream.Floods = []load.Flood{{Start: load.Duration(floodStart), End: load.Duration(floodEnd), Factor: factor}}
		}
		s.Streams = append(s.Streams, stream)
	}
	if c.term {
		s.Streams = append(s.Streams, termStreams(d)...)
	}
	return s
}

func (w work) stream(name string, r fleet.Rank, rows []string, rate float64) load.Stream {
	return load.Stream{
		Name: name, Rank: r.String(), Rate: rate, Rows: rows, PromptWords: w.words, CompletionTokens: w.tokens,
		Spread: 0.3, Targets: w.targets,
	}
}

// termStreams ask for a few models whose demand rises tenfold, to about half
// of what the fleet can do.
func termStreams(d dev.Deployment) []load.Stream {
	w := works[fleet.Prompt]
	rows := rowsOf(d, fleet.Prompt)
	hot := 0.5 * fleetTokens(d) / float64(w.tokens) / hotModels
	var out []load.Stream
	for i := range hotModels {
		s := w.stream(fmt.Sprintf("hot-%d", i+1), fleet.Prompt, rows[i:i+1], hot/hotFactor)
		s.Floods = []load.Flood{{Start: load.Duration(eventAt), End: load.Duration(runTime), Factor: hotFactor}}
		out = append(out, s)
	}
	return out
}

// rowsOf returns the models and adapters of a rank.
func rowsOf(d dev.Deployment, r fleet.Rank) []string {
	var out []string
	for _, row := range d.Rows() {
		if row.Rank == r && (row.Kind == table.KindModel || row.Kind == table.KindAdapter) {
			out = append(out, row.Name)
		}
	}
	return out
}
