package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against sending requests to a replica that states that its machine is slow now,
// and against a figure that counts after the machine has changed its pace.
func TestSlownessCountsWhileFresh(t *testing.T) {
	is := is.New(t)
	s := newState(engineReplica("a", "m"))
	usual := s.Choose(epoch, streamRequest("r", 0), History{})
	is.Equal(usual.Slowness, 0.0) // not stated
	s.SetReport(epoch, "a", Report{Slots: 8, Slowness: 2.5})
	for _, test := range []struct {
		age  time.Duration
		want float64
	}{{0, 2.5}, {fullSlownessAge, 2.5}, {(fullSlownessAge + maxSlownessAge) / 2, 1.75}, {maxSlownessAge, 1}} {
		d := s.Choose(epoch.Add(test.age), streamRequest("r", 0), History{})
		is.Equal(d.Slowness, test.want)
		is.Equal(d.Expected, time.Duration(float64(usual.Expected)*test.want))
	}
}

// Guards against slow spells of a machine that are learned as the speed of the replica or
// the model, and so are counted twice.
func TestSlownessIsNotLearned(t *testing.T) {
	is := is.New(t)
	s := newProfileState()
	now := epoch
	for i := range 60 {
		now = now.Add(2 * time.Second)
		slowness := 1 + 1.5*float64(i%2)
		req := streamRequest("r", 0)
		req.Model, req.Arrived, req.Deadline = "small", now, now.Add(5*time.Second)
		d := s.Choose(now, req, History{}) // with an old figure
		prefill := s.RecordSend(now, req, d)
		s.SetReport(now, "a", Report{Slots: 8, Slowness: slowness})
		s.RecordFirstByte(now, req, d, prefill, time.Duration(slowness*float64(defaultBaseLatency+prefillTime(1000))))
		s.RecordEnd(now, now, req, d, Answered, 0)
	}
	is.True(s.replicas["a"].latencyRatio > 0.95 && s.replicas["a"].latencyRatio < 1.05)
	is.True(s.LatencyProfile("small").PerToken > 0.95 && s.LatencyProfile("small").PerToken < 1.05)
}

// Guards against an instance that needs minutes to learn which replicas are fast, because it
// sends to each of them only every few seconds.
func TestSpeedIsLearnedFromFirstAnswers(t *testing.T) {
	is := is.New(t)
	ratio := func(states bool) float64 {
		s := newState(engineReplica("a", "m"))
		for range 3 {
			if states {
				s.SetReport(epoch, "a", Report{Slots: 8, Slowness: 1})
			}
			req := streamRequest("r", 0)
			d := s.Choose(epoch, req, History{})
			prefill := s.RecordSend(epoch, req, d)
			s.RecordFirstByte(epoch, req, d, prefill, 2*(defaultBaseLatency+prefillTime(1000)))
			s.RecordEnd(epoch, epoch, req, d, Answered, 0)
		}
		return s.replicas["a"].latencyRatio
	}
	is.True(ratio(true) > 1.6)
	is.True(ratio(false) < 1.4) // as before
}
