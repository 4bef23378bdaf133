package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
)

func newProfileState() *State {
	s := newState(engineReplica("a", "small", "small-too", "large"))
	s.SetConfig(catalog.NewConfig(1, catalog.Limits{}, []*catalog.Service{{Name: "llm", Engine: &catalog.Engine{Models: []catalog.Model{
		{Name: "small", WeightsMB: 10}, {Name: "small-too", WeightsMB: 10}, {Name: "large", WeightsMB: 30},
	}}}}, nil))
	return s
}

// answerRequest lets an idle replica answer a request for a model whose prefill takes
// perToken times as long as at prefillTokensPerMS.
func answerRequest(s *State, model string, perToken float64) {
	req := streamRequest("r", 0)
	req.Model = model
	d := s.Choose(epoch, req, History{})
	prefill := s.RecordSend(epoch, req, d)
	took := defaultBaseLatency + time.Duration(perToken*float64(prefillTime(float64(req.PromptTokens))))
	s.RecordFirstByte(epoch, req, d, prefill, took)
	s.RecordEnd(epoch, epoch, req, d, Answered, 0)
}

// Guards against models with too few requests to learn a profile, although variants
// of the same size get enough.
func TestProfileIsSharedBySize(t *testing.T) {
	is := is.New(t)
	s := newProfileState()
	for range 60 {
		answerRequest(s, "small", 0.5)
	}
	is.True(s.LatencyProfile("small").PerToken < 0.6)
	is.Equal(s.LatencyProfile("small-too"), s.LatencyProfile("small"))
	is.Equal(s.LatencyProfile("large"), defaultProfile)
}

// Guards against a single late answer that makes all models of a size look slow, so
// that they get capacity that others need.
func TestProfileResistsOutliers(t *testing.T) {
	is := is.New(t)
	s := newProfileState()
	for range 60 {
		answerRequest(s, "small", 1)
	}
	before := s.LatencyProfile("small").PerToken
	answerRequest(s, "small", 30)
	is.True(s.LatencyProfile("small").PerToken < 1.2*before)
}

// Guards against base latency or waits for other requests counted as prefill time,
// so that models look several times as slow as they are (case scale-1 of
// tsn-bandbook).
func TestFitSeparatesPrefillFromBase(t *testing.T) {
	is := is.New(t)
	p := &sizeProfile{profile: defaultProfile}
	for n := range 200 {
		tokens := float64(200 + 137*n%3000)
		took := 90*time.Millisecond + time.Duration(0.5*tokens/prefillTokensPerMS*float64(time.Millisecond))
		if n%3 == 0 {
			took += time.Duration(n%7) * 100 * time.Millisecond // it waited for another request
		}
		p.addSample(sample{tokens: tokens, took: took})
	}
	is.True(p.profile.PerToken > 0.45 && p.profile.PerToken < 0.6)
	is.True(p.profile.Base > 80*time.Millisecond && p.profile.Base < 110*time.Millisecond)
}

// Guards against discarding another instance's profile after the first own answer,
// and against adopting a profile that is out of bounds.
func TestAdoptedProfile(t *testing.T) {
	is := is.New(t)
	s := newProfileState()
	size := s.profiles.sizeByModel["small"]
	s.AdoptLatencyProfiles(map[string]LatencyProfile{size: {PerToken: 100, Samples: 9}})
	is.Equal(s.LatencyProfile("small"), defaultProfile)
	s.AdoptLatencyProfiles(map[string]LatencyProfile{size: {PerToken: 0.3, Base: defaultBaseLatency, Samples: 9}})
	answerRequest(s, "small", 3)
	is.Equal(s.LatencyProfile("small").PerToken, 0.3)
	for range minSamples {
		answerRequest(s, "small", 2)
	}
	is.True(s.LatencyProfile("small").PerToken > 1.5)
}
