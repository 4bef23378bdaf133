package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// maxSamples is the maximum number of answers, the newest ones, that a profile
	// is fitted to.
	maxSamples = 48
	// minSamples is the number of own answers below which the profile of another
	// instance is preferred and Base is not fitted.
	minSamples = 6
	// fitQuantile is the quantile of the answers' times that is fitted. Most slower
	// answers waited for work that this instance had not yet learned of.
	fitQuantile = 0.3
	// fitRounds is the number of alternating fits of PerToken and Base.
	fitRounds = 3
	// minTokenSpread is the lowest ratio of the longest to the shortest prompt of
	// the samples at which PerToken and Base can be fitted separately.
	minTokenSpread = 2
	// minSampleTokens is the number of processed prompt tokens below which an answer
	// tells too little about the prefill speed and is not used.
	minSampleTokens = 50
	// maxSampleRunning is the number of requests on a replica up to which its
	// answers are used.
	maxSampleRunning = 4
	// Bounds of LatencyProfile.PerToken and LatencyProfile.Base.
	minPerToken, maxPerToken = 0.05, 4.0
	maxBaseLatency           = 400 * time.Millisecond
	// minOwnPrefillShare is the least share of a request's own prefill in the
	// prefill work expected until its first event, so that its answer is evidence
	// about its own model.
	minOwnPrefillShare = 0.8
)

// LatencyProfile describes how long models of one size take to the first event on a
// lightly loaded replica.
type LatencyProfile struct {
	// PerToken is the prefill time per token, relative to prefillTokensPerMS.
	PerToken float64
	// Base is the time to the first event without prefill.
	Base time.Duration
	// Samples is the number of answers that the profile was fitted to.
	Samples int
}

// defaultProfile is used for models without a learned profile.
var defaultProfile = LatencyProfile{PerToken: 1, Base: defaultBaseLatency}

// sample is one answer of a lightly loaded replica.
type sample struct {
	tokens float64 // prompt tokens processed, without cached ones
	took   time.Duration
}

// sizeProfile is the latency profile of models of one size, with the samples it
// was fitted to.
type sizeProfile struct {
	profile LatencyProfile
	adopted bool     // profile comes from another instance
	samples []sample // ring buffer of the newest samples
	next    int
}

// latencyProfiles holds latency profiles by the size of models' weights. Models of
// one size are variants of one another, and most get too few requests to learn a
// profile of their own.
type latencyProfiles struct {
	sizeByModel map[string]string
	bySize      map[string]*sizeProfile
}

func newLatencyProfiles() latencyProfiles {
	return latencyProfiles{sizeByModel: make(map[string]string), bySize: make(map[string]*sizeProfile)}
}

// setConfig replaces the sizes of models.
func (p *latencyProfiles) setConfig(c *catalog.Config) {
	p.sizeByModel = make(map[string]string)
	for _, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		for i := range service.Engine.Models {
			m := &service.Engine.Models[i]
			p.sizeByModel[m.Name] = fmt.Sprintf("%s/%.0fMB", service.Name, m.WeightsMB)
		}
	}
}

// LatencyProfile returns the latency profile of a model.
func (s *State) LatencyProfile(model string) LatencyProfile {
	if p, ok := s.profiles.bySize[s.profiles.sizeByModel[model]]; ok {
		return p.profile
	}
	return defaultProfile
}

// learnLatency adds an answer to the samples of its model's size, if the replica
// was lightly loaded when the request was sent and did not take prompt parts from
// another replica, because it is not known how many tokens it prefilled then.
func (s *State) learnLatency(req *Request, d Decision, took time.Duration) {
	tokens := req.PromptTokens - d.CachedTokens
	if req.Model == "" || d.NeedsAdapter || d.PrefixSource != nil || d.Running > maxSampleRunning || tokens < minSampleTokens ||
		d.PrefillWork < minOwnPrefillShare*(d.PendingPrefill+d.PrefillWork) {
		return
	}
	size, declared := s.profiles.sizeByModel[req.Model]
	if !declared {
		return
	}
	p, ok := s.profiles.bySize[size]
	if !ok {
		p = &sizeProfile{profile: defaultProfile}
		s.profiles.bySize[size] = p
	}
	p.addSample(sample{tokens: float64(tokens), took: took})
}

// addSample adds an answer and fits the profile again. An adopted profile is kept
// until there are minSamples own answers.
func (p *sizeProfile) addSample(s sample) {
	if len(p.samples) < maxSamples {
		p.samples = append(p.samples, s)
	} else {
		p.samples[p.next] = s
		p.next = (p.next + 1) % maxSamples
	}
	if p.adopted && len(p.samples) < minSamples {
		return
	}
	p.adopted = false
	p.fit()
	p.profile.Samples = len(p.samples)
}

// fit fits PerToken to the longer prompts and Base to the shorter ones, both at
// fitQuantile of the answers.
func (p *sizeProfile) fit() {
	sorted := slices.Clone(p.samples)
	slices.SortFunc(sorted, func(a, b sample) int { return int(a.tokens - b.tokens) })
	base := p.profile.Base
	fitBase := len(sorted) >= minSamples && sorted[len(sorted)-1].tokens >= minTokenSpread*sorted[0].tokens
	short, long := sorted[:(len(sorted)+1)/2], sorted[len(sorted)/2:]
	perToken := 0.0 // milliseconds per token
	for range fitRounds {
		perToken = quantile(long, func(s sample) float64 { return milliseconds(s.took-base) / s.tokens })
		if fitBase {
			baseMS := quantile(short, func(s sample) float64 { return milliseconds(s.took) - perToken*s.tokens })
			base = min(max(time.Duration(baseMS*float64(time.Millisecond)), 0), maxBaseLatency)
		}
	}
	p.profile.Base = base
	p.profile.PerToken = min(max(perToken*prefillTokensPerMS, minPerToken), maxPerToken)
}

// quantile returns the fitQuantile of a value over samples.
func quantile(samples []sample, value func(sample) float64) float64 {
	values := make([]float64, len(samples))
	for i, s := range samples {
		values[i] = value(s)
	}
	slices.Sort(values)
	return values[int(math.Floor(fitQuantile*float64(len(values)-1)))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// LatencyProfiles returns the latency profiles that this instance has learned or
// adopted, by the size of models.
func (s *State) LatencyProfiles() map[string]LatencyProfile {
	out := make(map[string]LatencyProfile, len(s.profiles.bySize))
	for size, p := range s.profiles.bySize {
		out[size] = p.profile
	}
	return out
}

// AdoptLatencyProfiles adopts latency profiles of other instances for sizes with
// fewer than minSamples own answers. Profiles outside the bounds are ignored.
func (s *State) AdoptLatencyProfiles(learned map[string]LatencyProfile) {
	for size, other := range learned {
		if other.PerToken < minPerToken || other.PerToken > maxPerToken || other.Base < 0 || other.Base > maxBaseLatency {
			continue
		}
		p, ok := s.profiles.bySize[size]
		if !ok {
			p = &sizeProfile{}
			s.profiles.bySize[size] = p
		}
		if len(p.samples) < minSamples && other.Samples > len(p.samples) {
			p.profile, p.adopted = other, true
		}
	}
}
