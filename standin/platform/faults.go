package standinplatform

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// Service is one of the platform's services.
type Service string

// The platform's services.
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

// Faults are the faults of one service. The zero value is a healthy service.
type Faults struct {
	Down        bool          // refuse every call
	Delay       time.Duration // wait before a call takes effect
	AnswerDelay time.Duration // wait after a call took effect
	// LoseAnswers is the number of writes that still take effect without an answer.
	LoseAnswers int
	// LoseProbability is the chance that any other write loses its answer.
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

// Counts are the calls of one service, including those that failed on demand.
type Counts struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Conflicts int `json:"conflicts"` // writes whose condition did not hold
	Lost      int `json:"lost"`      // writes that took effect without an answer
	Refused   int `json:"refused"`   // calls refused because the service was down
}

// SetFaults replaces the faults of a service.
func (p *Platform) SetFaults(s Service, f Faults) {
	p.owner.Do(func() { p.faults[s] = f })
}

// Faults returns the faults of a service as they stand now.
func (p *Platform) Faults(s Service) Faults {
	var f Faults
	p.owner.Do(func() { f = p.faults[s] })
	return f
}

// Counts returns the calls of every service so far.
func (p *Platform) Counts() map[Service]Counts {
	out := make(map[Service]Counts)
	p.owner.Do(func() {
		for _, s := range Services() {
			out[s] = p.counts[s]
		}
	})
	return out
}

// begin counts a call and returns the faults that apply to it and whether its
// answer is to be lost. It runs on the owner goroutine.
func (p *Platform) begin(s Service, write bool) (Faults, bool) {
	f, n := p.faults[s], p.counts[s]
	if write {
		n.Writes++
	} else {
		n.Reads++
	}
	lose := false
	switch {
	case f.Down:
		n.Refused++
	case write && f.LoseAnswers > 0:
		f.LoseAnswers--
		p.faults[s] = f
		lose = true
	case write && f.LoseProbability > 0:
		lose = p.random.Float64() < f.LoseProbability
	}
	if lose {
		n.Lost++
	}
	p.counts[s] = n
	return f, lose
}
