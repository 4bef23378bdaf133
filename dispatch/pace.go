package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// paceSamples is the number of answers from which a pace is learned.
	paceSamples = 48
	// fewSamples is the number of own answers below which the pace that other
	// instances have learned is preferred, and from which on the own base counts.
	fewSamples = 6
	// paceQuantile is the part of the answers that are quicker than the pace says:
	// most others waited for work of which this instance had not heard yet.
	paceQuantile = 0.3
	// paceRounds is the number of times base and pace are fitted in turn.
	paceRounds = 3
	// spreadTokens is how many times as long the longest prompt of the samples must
	// be as the shortest one to tell base and pace apart.
	spreadTokens = 2
	// minPaceTokens is the number of tokens below which an answer says nothing.
	minPaceTokens = 50
	// quietRunning is the number of requests on a replica up to which it counts
	// as having little else to do.
	quietRunning = 4
	// Paces and bases stay within these bounds.
	minPace, maxPace = 0.05, 4.0
	maxBase          = 400 * time.Millisecond
	// ownReadingShare is the share of the expected reading that must be the
	// request's own for its answer to say something of its model.
	ownReadingShare = 0.8
)

// Pace is how long models of one size take to the first event on a quiet replica.
type Pace struct {
	// PerToken is the time to read a token, against 1 for readTokensPerMS.
	PerToken float64
	// Base is the time beside reading.
	Base time.Duration
	// Samples is the number of answers from which it was learned.
	Samples int
}

var unknownPace = Pace{PerToken: 1, Base: firstStep}

// sample is one answer of a quiet replica.
type sample struct {
	tokens float64 // that were read
	took   time.Duration
}

// sizePace is the pace of models of one size, with the answers it was learned from.
type sizePace struct {
	pace    Pace
	adopted bool     // from another instance
	samples []sample // the newest ones, in no order
	next    int
}

// paces are learned by the size of models' weights: models of one size are
// variants of one another, and most of them are asked for too seldom to learn
// from their own answers.
type paces struct {
	sizes map[string]string // by model
	known map[string]*sizePace
}

func newPaces() paces {
	return paces{sizes: make(map[string]string), known: make(map[string]*sizePace)}
}

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

// Pace returns how quickly a model answers on a quiet replica.
func (s *State) Pace(model string) Pace {
	if p, ok := s.paces.known[s.paces.sizes[model]]; ok {
		return p.pace
	}
	return unknownPace
}

// learnPace corrects the pace of a model's size by an answer of a replica that
// had little else to do.
func (s *State) learnPace(req *Request, d Decision, took time.Duration) {
	tokens := req.PromptTokens - d.CachedTokens
	if req.Model == "" || d.NeedsAdapter || d.Running > quietRunning || tokens < minPaceTokens ||
		d.Reading < ownReadingShare*(d.Unread+d.Reading) {
		return
	}
	size, declared := s.paces.sizes[req.Model]
	if !declared {
		return
	}
	p, ok := s.paces.known[size]
	if !ok {
		p = &sizePace{pace: unknownPace}
		s.paces.known[size] = p
	}
	p.add(sample{tokens: float64(tokens), took: took})
}

// add takes over an answer and fits the pace again.
func (p *sizePace) add(s sample) {
	if len(p.samples) < paceSamples {
		p.samples = append(p.samples, s)
	} else {
		p.samples[p.next] = s
		p.next = (p.next + 1) % paceSamples
	}
	if p.adopted && len(p.samples) < fewSamples {
		return
	}
	p.adopted = false
	p.fit()
	p.pace.Samples = len(p.samples)
}

// fit finds the base and the time per token that a part of the answers were
// quicker than: the base from short prompts, the time per token from long ones.
func (p *sizePace) fit() {
	sorted := slices.Clone(p.samples)
	slices.SortFunc(sorted, func(a, b sample) int { return int(a.tokens - b.tokens) })
	base := p.pace.Base
	spread := len(sorted) >= fewSamples && sorted[len(sorted)-1].tokens >= spreadTokens*sorted[0].tokens
	short, long := sorted[:(len(sorted)+1)/2], sorted[len(sorted)/2:]
	perToken := 0.0 // milliseconds
	for range paceRounds {
		perToken = quantile(long, func(s sample) float64 { return milliseconds(s.took-base) / s.tokens })
		if spread {
			rest := quantile(short, func(s sample) float64 { return milliseconds(s.took) - perToken*s.tokens })
			base = min(max(time.Duration(rest*float64(time.Millisecond)), 0), maxBase)
		}
	}
	p.pace.Base = base
	p.pace.PerToken = min(max(perToken*readTokensPerMS, minPace), maxPace)
}

// quantile returns the value that a part of the samples are below.
func quantile(samples []sample, value func(sample) float64) float64 {
	values := make([]float64, len(samples))
	for i, s := range samples {
		values[i] = value(s)
	}
	slices.Sort(values)
	return values[int(math.Floor(paceQuantile*float64(len(values)-1)))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Paces returns the paces that this instance has learned, by the size of models.
func (s *State) Paces() map[string]Pace {
	out := make(map[string]Pace, len(s.paces.known))
	for size, p := range s.paces.known {
		out[size] = p.pace
	}
	return out
}

// AdoptPaces takes over the paces of sizes of which this instance has seen few
// answers.
func (s *State) AdoptPaces(learned map[string]Pace) {
	for size, other := range learned {
		if other.PerToken < minPace || other.PerToken > maxPace || other.Base < 0 || other.Base > maxBase {
			continue
		}
		p, ok := s.paces.known[size]
		if !ok {
			p = &sizePace{}
			s.paces.known[size] = p
		}
		if len(p.samples) < fewSamples && other.Samples > len(p.samples) {
			p.pace, p.adopted = other, true
		}
	}
}
