package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// paceWeight is the least weight of the newest answer in a pace; the first
	// answers weigh more. maxPaceStep bounds what one answer says.
	paceWeight  = 0.1
	maxPaceStep = 3.0
	// fewSamples is the number of own answers below which the pace that other
	// instances have learned is preferred.
	fewSamples = 3
	// quietRunning is the number of requests on a replica up to which it counts
	// as having little else to do.
	quietRunning = 4
	// A pace stays within these bounds.
	minPace, maxPace = 0.25, 4.0
	// ownReadingShare is the share of the expected reading that must be the
	// request's own for its answer to say something of its model.
	ownReadingShare = 0.8
)

// pace is how long models of one size take to read a token, against 1 for
// readTokensPerMS.
type pace struct {
	value   float64
	samples int // own answers it was learned from
}

// paces are learned by the size of models' weights: models of one size are
// variants of one another, and most of them are asked for too seldom to learn
// from their own answers.
type paces struct {
	sizes map[string]string // by model
	known map[string]pace   // by size
}

func newPaces() paces { return paces{sizes: make(map[string]string), known: make(map[string]pace)} }

// setConfig takes over the sizes of models.
func (p *paces) setConfig(c *catalog.Config) {
	p.sizes = make(map[string]string)
	for _, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		for i := range service.Engine.Models {
			m := &service.Engine.Models[i]
			p.sizes[m.Name] = fmt.Sprintf("%s/%.0fMB", service.Name, m.WeightsMB)
		}
	}
}

// Pace returns how long a model takes to read a token, against a model of pace
// 1. It is learned from the time to the first event.
func (s *State) Pace(model string) float64 {
	if p, ok := s.paces.known[s.paces.sizes[model]]; ok {
		return p.value
	}
	return 1
}

// learnPace corrects the pace of a model's size by an answer of a replica that
// had little else to do.
func (s *State) learnPace(req *Request, d Decision, took time.Duration) {
	own := readingTime(d.Reading)
	if req.Model == "" || d.NeedsAdapter || d.Running > quietRunning || own < firstStep || float64(own) < ownReadingShare*float64(d.Base) {
		return
	}
	size, declared := s.paces.sizes[req.Model]
	if !declared {
		return
	}
	p := s.paces.known[size]
	p.samples++
	weight := max(paceWeight, 1/float64(p.samples+2))
	ratio := float64(max(took-firstStep, time.Millisecond)) / float64(d.Base)
	ratio = min(max(ratio, 1/maxPaceStep), maxPaceStep)
	p.value = min(max(s.Pace(req.Model)*math.Pow(ratio, weight), minPace), maxPace)
	s.paces.known[size] = p
}

// Paces returns the paces that this instance has learned, by the size of models.
func (s *State) Paces() map[string]float64 {
	out := make(map[string]float64, len(s.paces.known))
	for size, p := range s.paces.known {
		out[size] = p.value
	}
	return out
}

// AdoptPaces takes over the paces of sizes that this instance knows little of.
func (s *State) AdoptPaces(learned map[string]float64) {
	for size, value := range learned {
		if p := s.paces.known[size]; p.samples < fewSamples && value >= minPace && value <= maxPace {
			s.paces.known[size] = pace{value: value, samples: p.samples}
		}
	}
}
