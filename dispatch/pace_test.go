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
	s.FirstByte(req, d, reading, took)
	s.Finished(epoch, req, d, Answered, 0)
}

// Guards against models that are asked for too seldom to learn their pace,
// although variants of the same size are asked for all the time.
func TestPaceIsSharedBySize(t *testing.T) {
	is := is.New(t)
	s := paceState()
	for range 60 {
		answer(s, "small", 0.5)
	}
	is.True(s.Pace("small") < 0.6)
	is.Equal(s.Pace("small-too"), s.Pace("small"))
	is.Equal(s.Pace("large"), 1.0)
}

// Guards against one late answer that makes all models of a size look slow, so
// that they take the room of others.
func TestOneAnswerMovesThePaceLittle(t *testing.T) {
	is := is.New(t)
	s := paceState()
	for range 60 {
		answer(s, "small", 1)
	}
	before := s.Pace("small")
	answer(s, "small", 30)
	is.True(s.Pace("small") < 1.2*before)
}
