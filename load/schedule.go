package load

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Request is one request to send.
type Request struct {
	ID       uint64
	Stream   int           // index in the scenario
	At       time.Duration // after the start
	Instance string        // base URL
	Row      string
	Prompt   string
	Tokens   int    // completion tokens to ask for
	Marker   string // unique to the request; the prompt begins with it
}

// Schedule yields the requests of a scenario in order of time. Two schedules
// of one scenario are equal.
type Schedule struct {
	scenario *Scenario
	sources  sourceHeap
	next     uint64
}

// source draws the arrivals of one stream.
type source struct {
	index  int
	random *rand.Rand
	at     time.Duration
}

// NewSchedule returns the schedule of a scenario.
func NewSchedule(s *Scenario) *Schedule {
	out := &Schedule{scenario: s}
	for i := range s.Streams {
		src := &source{index: i, random: rand.New(rand.NewPCG(s.Seed, uint64(i)+1))}
		if out.advance(src) {
			out.sources = append(out.sources, src)
		}
	}
	heap.Init(&out.sources)
	return out
}

// Next returns the next request, or false at the end of the scenario.
func (s *Schedule) Next() (Request, bool) {
	if len(s.sources) == 0 {
		return Request{}, false
	}
	src := s.sources[0]
	r := s.draw(src)
	if s.advance(src) {
		heap.Fix(&s.sources, 0)
	} else {
		heap.Pop(&s.sources)
	}
	return r, true
}

// advance moves a source to its next arrival. Arrivals are a Poisson process
// whose rate changes with floods, drawn by thinning one of the highest rate.
func (s *Schedule) advance(src *source) bool {
	w := &s.scenario.Streams[src.index]
	base := w.Rate
	if w.Share > 0 {
		base = w.Share * s.scenario.Rate
	}
	highest := 1.0
	for _, f := range w.Floods {
		highest *= max(f.Factor, 1)
	}
	for src.at < time.Duration(s.scenario.Duration) {
		src.at += time.Duration(src.random.ExpFloat64() / (base * highest) * float64(time.Second))
		if src.random.Float64()*highest < w.factor(src.at) {
			return src.at < time.Duration(s.scenario.Duration)
		}
	}
	return false
}

// factor is what floods make of the rate at a time.
func (w *Stream) factor(at time.Duration) float64 {
	f := 1.0
	for _, flood := range w.Floods {
		if at >= time.Duration(flood.Start) && at < time.Duration(flood.End) {
			f *= flood.Factor
		}
	}
	return f
}

func (s *Schedule) draw(src *source) Request {
	w := &s.scenario.Streams[src.index]
	s.next++
	r := Request{
		ID: s.next, Stream: src.index, At: src.at,
		Instance: s.scenario.Instances[src.random.IntN(len(s.scenario.Instances))],
		Marker:   fmt.Sprintf("m%016x", src.random.Uint64()),
	}
	if w.Call != nil {
		return r
	}
	r.Row = w.Rows[src.random.IntN(len(w.Rows))]
	vary := func(size int) int {
		return max(int(float64(size)*(1+w.Spread*(2*src.random.Float64()-1))), 1)
	}
	r.Tokens = vary(w.Completion)
	r.Prompt = r.Marker + strings.Repeat(" word", vary(w.PromptWords)-1)
	return r
}

type sourceHeap []*source

func (h sourceHeap) Len() int { return len(h) }
func (h sourceHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].index < h[j].index
}
func (h sourceHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *sourceHeap) Push(x any) { *h = append(*h, x.(*source)) }

// Pop implements heap.Interface.
func (h *sourceHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	*h = old[:len(old)-1]
	return s
}
