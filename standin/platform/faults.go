package standinplatform

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// Service identifies a service of the platform.
type Service string

// The services of the platform.
const (
	Tables    Service = "tables"
	Objects   Service = "objects"
	Instances Service = "instances"
	Weights   Service = "weights"
)

// Services returns all services.
func Services() []Service { return []Service{Tables, Objects, Instances, Weights} }

// ParseService returns the service with the given name.
func ParseService(name string) (Service, error) {
	for _, s := range Services() {
		if string(s) == name {
			return s, nil
		}
	}
	return "", fmt.Errorf("unknown service %q: want tables, objects, instances or weights", name)
}

// Faults are the faults that the platform injects into one service. The zero value
// injects none.
type Faults struct {
	Down        bool          // refuse all calls
	Delay       time.Duration // delay before a call takes effect
	AnswerDelay time.Duration // delay between the effect of a call and its answer
	// LoseAnswers is the number of further writes that take effect although their
	// answer is lost. A write that fails with a conflict is counted too.
	LoseAnswers int
	// LoseProbability is the probability, from 0 to 1, that the answer of any other
	// write is lost.
	LoseProbability float64
}

type faultsMessage struct {
	Down            bool              `json:"down,omitempty"`
	Delay           jsonhttp.Duration `json:"delay,omitempty"`
	AnswerDelay     jsonhttp.Duration `json:"answer_delay,omitempty"`
	LoseAnswers     int               `json:"lose_answers,omitempty"`
	LoseProbability float64           `json:"lose_probability,omitempty"`
}

func newFaultsMessage(f Faults) faultsMessage {
	return faultsMessage{f.Down, jsonhttp.Duration(f.Delay), jsonhttp.Duration(f.AnswerDelay), f.LoseAnswers, f.LoseProbability}
}

func (m faultsMessage) faults() Faults {
	return Faults{m.Down, time.Duration(m.Delay), time.Duration(m.AnswerDelay), m.LoseAnswers, m.LoseProbability}
}

// Counts counts the calls to one service, including those that failed because of
// an injected fault.
type Counts struct {
	Reads       int `json:"reads"`
	Writes      int `json:"writes"`
	Conflicts   int `json:"conflicts"` // writes with a condition that did not hold
	LostAnswers int `json:"lost"`      // writes selected to lose their answer, including those that then failed
	Refused     int `json:"refused"`   // calls refused while the service was down
}

// SetFaults replaces the faults of service s.
func (p *Platform) SetFaults(s Service, f Faults) {
	p.owner.Do(func() { p.faults[s] = f })
}

// Faults returns the current faults of service s.
func (p *Platform) Faults(s Service) Faults {
	var f Faults
	p.owner.Do(func() { f = p.faults[s] })
	return f
}

// Counts returns the call counts of all services.
func (p *Platform) Counts() map[Service]Counts {
	out := make(map[Service]Counts)
	p.owner.Do(func() {
		for _, s := range Services() {
			out[s] = p.counts[s]
		}
	})
	return out
}

// startCall counts a call to service s. It returns the faults that apply to the
// call and whether its answer must be lost. It must run on the owner goroutine.
func (p *Platform) startCall(s Service, write bool) (Faults, bool) {
	f, counts := p.faults[s], p.counts[s]
	if write {
		counts.Writes++
	} else {
		counts.Reads++
	}
	loseAnswer := false
	switch {
	case f.Down:
		counts.Refused++
	case write && f.LoseAnswers > 0:
		f.LoseAnswers--
		p.faults[s] = f
		loseAnswer = true
	case write && f.LoseProbability > 0:
		loseAnswer = p.random.Float64() < f.LoseProbability
	}
	if loseAnswer {
		counts.LostAnswers++
	}
	p.counts[s] = counts
	return f, loseAnswer
}
