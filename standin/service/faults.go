package standinservice

import (
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// Faults are the faults that a Service injects. The counts apply to the next
// calls, one fault per call, in the order of the fields.
type Faults struct {
	Delay       time.Duration // delay before every execution
	AnswerDelay time.Duration // delay between every execution and its answer
	Refuse      int           // number of calls to refuse without execution
	DropAnswers int           // number of calls to execute before closing the connection without an answer
	Garbage     int           // number of calls to execute and answer with bytes that are not HTTP
}

// fault describes the faults that apply to one call.
type fault struct {
	delay, answerDelay          time.Duration
	refuse, dropAnswer, garbage bool
}

type faultsMessage struct {
	Delay       jsonhttp.Duration `json:"delay,omitempty"`
	AnswerDelay jsonhttp.Duration `json:"answer_delay,omitempty"`
	Refuse      int               `json:"refuse,omitempty"`
	DropAnswers int               `json:"cut,omitempty"`
	Garbage     int               `json:"garbage,omitempty"`
}

// SetFaults replaces the faults of the service.
func (s *Service) SetFaults(f Faults) { s.owner.Do(func() { s.faults = f }) }

// Faults returns the current faults, with the counts that are left.
func (s *Service) Faults() Faults {
	var f Faults
	s.owner.Do(func() { f = s.faults })
	return f
}

// nextFault returns the faults for one call and decrements the count that
// applies.
func (s *Service) nextFault() fault {
	var next fault
	s.owner.Do(func() {
		f := &s.faults
		next = fault{delay: f.Delay, answerDelay: f.AnswerDelay}
		switch {
		case f.Refuse > 0:
			f.Refuse--
			next.refuse = true
		case f.DropAnswers > 0:
			f.DropAnswers--
			next.dropAnswer = true
		case f.Garbage > 0:
			f.Garbage--
			next.garbage = true
		}
	})
	return next
}

func (s *Service) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := s.Faults()
	jsonhttp.WriteJSON(w, http.StatusOK, faultsMessage{
		Delay: jsonhttp.Duration(f.Delay), AnswerDelay: jsonhttp.Duration(f.AnswerDelay),
		Refuse: f.Refuse, DropAnswers: f.DropAnswers, Garbage: f.Garbage,
	})
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var m faultsMessage
	if !jsonhttp.DecodeRequest(w, r, maxBodyBytes, &m) {
		return
	}
	s.SetFaults(Faults{
		Delay: time.Duration(m.Delay), AnswerDelay: time.Duration(m.AnswerDelay),
		Refuse: m.Refuse, DropAnswers: m.DropAnswers, Garbage: m.Garbage,
	})
	jsonhttp.WriteJSON(w, http.StatusOK, m)
}
