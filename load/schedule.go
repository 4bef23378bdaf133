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

// Schedule generates the requests of a scenario in order of arrival. It is
// deterministic: two schedules of one scenario are equal.
type Schedule struct {
	scenario *Scenario
	sources  sourceHeap
	lastID   uint64
}

// source generates the arrivals of one stream.
type source struct {
	index  int // index of the stream in the scenario
	random *rand.Rand
	at     time.Duration // current arrival, after the start
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

// advance moves src to its next arrival and reports whether that is within the
// duration of the scenario. Arrivals are a Poisson process whose rate changes with
// floods. They are drawn by thinning a process with the highest rate.
func (s *Schedule) advance(src *source) bool {
	stream := &s.scenario.Streams[src.index]
	baseRate := stream.Rate
	if stream.Share > 0 {
		baseRate = stream.Share * s.scenario.Rate
	}
	maxFactor := 1.0
	for _, f := range stream.Floods {
		maxFactor *= max(f.Factor, 1)
	}
	for src.at < time.Duration(s.scenario.Duration) {
		src.at += time.Duration(src.random.ExpFloat64() / (baseRate * maxFactor) * float64(time.Second))
		if src.random.Float64()*maxFactor < stream.floodFactor(src.at) {
			return src.at < time.Duration(s.scenario.Duration)
		}
	}
	return false
}

// floodFactor returns the product of the factors of the floods at the given time.
func (s *Stream) floodFactor(at time.Duration) float64 {
	f := 1.0
	for _, flood := range s.Floods {
		if at >= time.Duration(flood.Start) && at < time.Duration(flood.End) {
			f *= flood.Factor
		}
	}
	return f
}

// draw returns a request for the current arrival of src.
func (s *Schedule) draw(src *source) Request {
	stream := &s.scenario.Streams[src.index]
	s.lastID++
	r := Request{
		ID: s.lastID, Stream: src.index, At: src.at,
		Instance: s.scenario.Instances[src.random.IntN(len(s.scenario.Instances))],
		Marker:   fmt.Sprintf("m%016x", src.random.Uint64()),
	}
	if stream.Call != nil {
		return r
	}
	r.Row = stream.Rows[src.random.IntN(len(stream.Rows))]
	vary := func(size int) int {
		return max(int(float64(size)*(1+stream.Spread*(2*src.random.Float64()-1))), 1)
	}
	r.Tokens = vary(stream.CompletionTokens)
	r.Prompt = r.Marker + strings.Repeat(" word", vary(stream.PromptWords)-1)
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
