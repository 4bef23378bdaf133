package residency

import (
	"math"
	"time"
)

// The rules in this file address replicas of unequal speed, on which a copy of a busy model
// is worth what the replica can serve. The plan then has the busy models on fast replicas.
//
// Invariant: in a pool without a slow store, all replicas count as equally fast.

const (
	// minSpeed and maxSpeed bound the speed that the plan assumes of a replica. A
	// replica with a long queue seems slower than it is.
	minSpeed, maxSpeed = 0.4, 2.5
	// maxSpeedAnswers is the number of answers to which the average of a replica's answer
	// times goes back. A replica gives that many in some seconds.
	maxSpeedAnswers = 40
	// doubtfulAnswers is the number of answers at which half of a measured difference
	// from other replicas is believed.
	doubtfulAnswers = 4
)

// AnswerTimes summarizes how long a replica took to begin answers, compared with the time
// expected of a usual replica with the same work.
type AnswerTimes struct {
	Answers  int
	LogRatio float64 // sum of the logarithms of measured over expected time
}

// speedEstimate holds the average of a replica's answer times.
type speedEstimate struct {
	answers  float64 // number of answers, at most maxSpeedAnswers
	logRatio float64 // mean
}

// LearnsSpeeds reports whether the plan uses the speeds of replicas: a pool has a slow
// store.
func (s *State) LearnsSpeeds() bool {
	if s.config == nil {
		return false
	}
	for _, service := range s.config.Services {
		if service.Engine != nil && newPoolTraits(s.config, service.Engine, 0).slowStore {
			return true
		}
	}
	return false
}

// AddAnswerTimes adds answer times of a replica that an instance measured.
func (s *State) AddAnswerTimes(id string, t AnswerTimes) {
	r, ok := s.replicas[id]
	if !ok || t.Answers <= 0 {
		return
	}
	e := &r.speed
	e.logRatio = (e.logRatio*e.answers + t.LogRatio) / (e.answers + float64(t.Answers))
	e.answers = min(e.answers+float64(t.Answers), maxSpeedAnswers)
}

// estimateSpeeds sets the speed of each replica, relative to the mean.
func (view *poolView) estimateSpeeds() {
	if !view.slowStore {
		return
	}
	sum, answers := 0.0, 0.0
	for _, rv := range view.replicas {
		sum += rv.replica.speed.logRatio * rv.replica.speed.answers
		answers += rv.replica.speed.answers
	}
	if answers == 0 {
		return
	}
	total := 0.0
	for _, rv := range view.replicas {
		e := rv.replica.speed
		belief := e.answers / (e.answers + doubtfulAnswers)
		rv.speed = math.Exp((sum/answers - e.logRatio) * belief)
		total += rv.speed
	}
	for _, rv := range view.replicas {
		rv.speed = min(max(rv.speed*float64(len(view.replicas))/total, minSpeed), maxSpeed)
	}
}

// SpeedRange returns the lowest and the highest speed that the plan assumes of a replica,
// relative to the mean of its pool. Both are 1 if speeds are not learned.
func (s *State) SpeedRange(now time.Time) (lowest, highest float64) {
	lowest, highest = 1, 1
	if !s.LearnsSpeeds() {
		return lowest, highest
	}
	for _, service := range s.config.Services {
		if service.Engine != nil {
			for _, rv := range s.newPoolView(now, service).replicas {
				lowest, highest = min(lowest, rv.speed), max(highest, rv.speed)
			}
		}
	}
	return lowest, highest
}
