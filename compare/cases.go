// Package compare compares admission and placement policies by measurement. It
// runs the same seeded load against a development deployment under each policy
// and reports the attainment and goodput of each rank. Package load generates
// the requests and package dev runs the deployment.
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

// Engines decode more slowly than the stand-in's defaults, so that the fleet is
// saturated before the machine. With decode steps of 25 ms, a flood under the
// baseline policies, which queue first in, first out, exhausted 20,000 file
// descriptors.
const (
	decodeStepTime        = 100 * time.Millisecond
	decodeTimePerSequence = 4 * time.Millisecond
	engineSlots           = 16
	modelLoadTime         = time.Second
)

const (
	runDuration = 30 * time.Second
	floodStart  = 8 * time.Second
	floodEnd    = 25 * time.Second
	// eventStart is the time after the start of a run at which the demand of the
	// hot models rises or a data centre is lost.
	eventStart          = 8 * time.Second
	floodFactor         = 5
	normalLoadShare     = 0.8
	demandRiseLoadShare = 0.5
	hotModelCount       = 3
	hotFactor           = 10
)

// rankLoad describes the normal requests of one rank.
type rankLoad struct {
	tokenShare       float64 // share of the fleet's token rate
	promptWords      int
	completionTokens int
	targets          load.Targets
}

func seconds(s float64) load.Duration { return load.Duration(s * float64(time.Second)) }

var rankLoads = [fleet.RankCount]rankLoad{
	fleet.Urgent:  {tokenShare: 0.3, promptWords: 20, completionTokens: 12, targets: load.Targets{FirstToken: seconds(1), WholeAnswer: seconds(4)}},
	fleet.Prompt:  {tokenShare: 0.4, promptWords: 60, completionTokens: 40, targets: load.Targets{FirstToken: seconds(3), WholeAnswer: seconds(20)}},
	fleet.Patient: {tokenShare: 0.3, promptWords: 100, completionTokens: 80, targets: load.Targets{WholeAnswer: seconds(60)}},
}

// Case is one load and fault scenario to measure.
type Case struct {
	Name           string
	Target         string // target of the design, as text
	floodRank      *fleet.Rank
	demandRise     bool // the demand of a few models rises by hotFactor
	dataCentreLoss bool // all engines of a data centre stop
}

// Cases returns the cases for which the design states a target.
func Cases() []Case {
	rankPointer := func(r fleet.Rank) *fleet.Rank { return &r }
	return []Case{
		{Name: "no flood", Target: "every rank at least 99%"},
		{Name: "patient flood", Target: "urgent at least 99% of no flood, prompt at least 95%", floodRank: rankPointer(fleet.Patient)},
		{Name: "prompt flood", Target: "urgent at least 99%, patient keeps its floor", floodRank: rankPointer(fleet.Prompt)},
		{Name: "urgent flood", Target: "urgent goodput at least 90% of what the fleet can do, floors kept", floodRank: rankPointer(fleet.Urgent)},
		{Name: "term opening", Target: "attainment at least twice round robin", demandRise: true},
		{Name: "data centre lost", Target: "urgent back at 99% within 30 s", dataCentreLoss: true},
	}
}

// fleetTokenRate returns the tokens per second that the whole fleet generates
// with full batches.
func fleetTokenRate(d dev.Deployment) float64 {
	step := (decodeStepTime + engineSlots*decodeTimePerSequence).Seconds()
	return float64(d.Replicas) * engineSlots / step
}

// configureEngine configures an engine that pauses running requests of lower ranks
// for a waiting one of a higher rank, as the division of slots between ranks
// assumes.
func configureEngine(c *standinengine.Config) {
	c.PreemptsLowerRanks = true
	c.DecodeStep, c.DecodePerSequence, c.Slots, c.ModelLoadTime = decodeStepTime, decodeTimePerSequence, engineSlots, modelLoadTime
}

// newScenario returns the load of a case, scaled to the deployment's token rate.
func newScenario(c Case, d dev.Deployment, seed uint64, urls []string) *load.Scenario {
	s := &load.Scenario{Seed: seed, Duration: load.Duration(runDuration), Timeout: load.Duration(90 * time.Second), Instances: urls}
	total := normalLoadShare
	if c.demandRise {
		total = demandRiseLoadShare
	}
	for _, r := range fleet.Ranks() {
		w := rankLoads[r]
		rate := total * w.tokenShare * fleetTokenRate(d) / float64(w.completionTokens)
		stream := w.stream(r.String(), r, servableRows(d, r), rate)
		if c.floodRank != nil && *c.floodRank == r {
			factor := floodFactor * fleetTokenRate(d) / float64(w.completionTokens) / rate
			stream.Floods = []load.Flood{{Start: load.Duration(floodStart), End: load.Duration(floodEnd), Factor: factor}}
		}
		s.Streams = append(s.Streams, stream)
	}
	if c.demandRise {
		s.Streams = append(s.Streams, hotStreams(d)...)
	}
	return s
}

func (w rankLoad) stream(name string, r fleet.Rank, rows []string, rate float64) load.Stream {
	return load.Stream{
		Name: name, Rank: r.String(), Rate: rate, Rows: rows, PromptWords: w.promptWords, CompletionTokens: w.completionTokens,
		Spread: 0.3, Targets: w.targets,
	}
}

// hotStreams returns one stream for each hot model. Their demand rises by
// hotFactor at eventStart, to half of the fleet's token rate in total.
func hotStreams(d dev.Deployment) []load.Stream {
	w := rankLoads[fleet.Prompt]
	rows := servableRows(d, fleet.Prompt)
	hot := 0.5 * fleetTokenRate(d) / float64(w.completionTokens) / hotModelCount
	var out []load.Stream
	for i := range hotModelCount {
		s := w.stream(fmt.Sprintf("hot-%d", i+1), fleet.Prompt, rows[i:i+1], hot/hotFactor)
		s.Floods = []load.Flood{{Start: load.Duration(eventStart), End: load.Duration(runDuration), Factor: hotFactor}}
		out = append(out, s)
	}
	return out
}

// servableRows returns the names of the models and adapters of a rank.
func servableRows(d dev.Deployment, r fleet.Rank) []string {
	var out []string
	for _, row := range d.Rows() {
		if row.Rank == r && (row.Kind == table.KindModel || row.Kind == table.KindAdapter) {
			out = append(out, row.Name)
		}
	}
	return out
}
