package dispatch

import "math"

// AnswerTimes summarizes how long a replica of a model engine took to begin answers,
// compared with the time expected of a usual replica.
type AnswerTimes struct {
	Answers  int
	LogRatio float64 // sum of the logarithms of measured over expected time
}

func (r *replica) recordAnswerTime(req *Request, ratio float64) {
	if req.Model != "" {
		r.answerTimes.Answers++
		r.answerTimes.LogRatio += math.Log(ratio)
	}
}

// DrainAnswerTimes returns the answer times since the last call, by replica, and resets
// them.
func (s *State) DrainAnswerTimes() map[string]AnswerTimes {
	out := make(map[string]AnswerTimes)
	for id, r := range s.replicas {
		if r.answerTimes.Answers > 0 {
			out[id], r.answerTimes = r.answerTimes, AnswerTimes{}
		}
	}
	return out
}
