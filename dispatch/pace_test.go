package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
)

func paceState() *State {
	s := newState(engine("a", "small", "small-too", "large"))
	s.SetConfig(catalog.NewConfig(1, catalog.Limits{}, []*catalog.Service{{Name: "llm", Engine: &catalog.Engine{Models: []catalog.Model{
		{Name: "small", WeightsMB: 10}, {Name: "small-too", WeightsMB: 10}, {Name: "large", WeightsMB: 30},
	}}}}, nil))
	return s
}

// answer lets an idle replica answer a request for a model, which takes the
// given multiple of the time of a model of pace 1.
func answer(s *State, model string, pace float64) {
	req := stream("r", 0)
	req.Model = model
	d := s.Choose(epoch, req, History{})
	reading := s.Sent(epoch, req, d)
	took := firstStep + time.Duration(pace*float64(readingTime(float64(req.PromptTokens))))
	s.FirstByte(epoch, req, d, reading, took)
	s.Finished(epoch, epoch, req, d, Answered, 0)
}

// Guards against models that are asked for too seldom to learn their pace,
// although variants of the same size are asked for all the time.
func TestPaceIsSharedBySize(t *testing.T) {
	is := is.New(t)
	s := paceState()
	for range 60 {
		answer(s, "small", 0.5)
	}
	is.True(s.Pace("small").PerToken < 0.6)
	is.Equal(s.Pace("small-too"), s.Pace("small"))
	is.Equal(s.Pace("large"), unknownPace)
}

// Guards against one late answer that makes all models of a size look slow, so
// that they take the room of others.
func TestOneAnswerMovesThePaceLittle(t *testing.T) {
	is := is.New(t)
	s := paceState()
	for range 60 {
		answer(s, "small", 1)
	}
	before := s.Pace("small").PerToken
	answer(s, "small", 30)
	is.True(s.Pace("small").PerToken < 1.2*before)
}

// Guards against a time beside reading that counts as reading, so that models
// look several times as slow as they are (scale-1 of tsn-bandbook), and against
// waits for other work that do the same.
func TestPaceAndBaseAreToldApart(t *testing.T) {
	is := is.New(t)
	p := &sizePace{pace: unknownPace}
	for n := range 200 {
		tokens := float64(200 + 137*n%3000)
		took := 90*time.Millisecond + time.Duration(0.5*tokens/readTokensPerMS*float64(time.Millisecond))
		if n%3 == 0 {
			took += time.Duration(n%7) * 100 * time.Millisecond // it waited
		}
		p.add(sample{tokens: tokens, took: took})
	}
	is.True(p.pace.PerToken > 0.45 && p.pace.PerToken < 0.6)
	is.True(p.pace.Base > 80*time.Millisecond && p.pace.Base < 110*time.Millisecond)
}

// Guards against the pace of another instance that is given up for the first own
// answer, or that is not possible.
func TestAdoptedPace(t *testing.T) {
	is := is.New(t)
	s := paceState()
	size := s.paces.sizes["small"]
	s.AdoptPaces(map[string]Pace{size: {PerToken: 100, Samples: 9}})
	is.Equal(s.Pace("small"), unknownPace)
	s.AdoptPaces(map[string]Pace{size: {PerToken: 0.3, Base: firstStep, Samples: 9}})
	answer(s, "small", 3)
	is.Equal(s.Pace("small").PerToken, 0.3)
	for range fewSamples {
		answer(s, "small", 2)
	}
	is.True(s.Pace("small").PerToken > 1.5)
}
