package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hyssophaven/hyssophaven/fleet"
)

const (
	histogramMaxMicros         = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
	maxWrongDescribed          = 20 // limit on Result.Wrong
)

// Result is what callers saw during one run.
type Result struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration_ns"`
	Ranks    []RankResult  `json:"ranks"` // most urgent first; only ranks with requests
	// StartDelay is the delay with which the generator itself started requests.
	StartDelay  Percentiles `json:"generator_late"`
	Wrong       []string    `json:"wrong,omitempty"` // descriptions of the first wrong answers
	FaultErrors []string    `json:"fault_errors,omitempty"`
}

// RankResult is the result of one rank.
type RankResult struct {
	Rank     string `json:"rank"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"` // whole answers that passed the check
	Attained int    `json:"attained"` // answered within all targets
	// Attainment is Attained divided by Sent. Goodput is Attained per second of
	// the scenario.
	Attainment    float64        `json:"attainment"`
	Goodput       float64        `json:"goodput_per_second"`
	Codes         map[string]int `json:"codes"` // refusals and failures by code
	FirstToken    Percentiles    `json:"first_token"`
	BetweenTokens Percentiles    `json:"between_tokens"`
	WholeAnswer   Percentiles    `json:"whole_answer"`
	Seconds       []SecondCounts `json:"seconds"` // one element per second of scheduled arrivals
}

// SecondCounts counts the requests whose scheduled arrival is within one second.
type SecondCounts struct {
	Sent     int `json:"sent"`
	Attained int `json:"attained"`
	Refused  int `json:"refused"` // refused, failed or wrong
}

// Percentiles are percentiles of a duration in milliseconds. Those of latencies
// cover answered requests only.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// histograms holds the latencies of one rank in microseconds.
type histograms struct{ firstToken, betweenTokens, wholeAnswer *hdrhistogram.Histogram }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxMicros, histogramSignificantDigits)
}

// record adds d to h. It clamps d to the range of the histogram, so that
// RecordValue cannot fail.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMaxMicros))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{
		P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// collect aggregates samples until the channel is closed.
func collect(s *Scenario, samples <-chan sample) *Result {
	out := &Result{Seed: s.Seed, Duration: time.Duration(s.Duration)}
	var ranks [fleet.RankCount]RankResult
	var latencies [fleet.RankCount]histograms
	seconds := int((out.Duration + time.Second - 1) / time.Second)
	for i, r := range fleet.Ranks() {
		ranks[i] = RankResult{Rank: r.String(), Codes: map[string]int{}, Seconds: make([]SecondCounts, seconds)}
		latencies[i] = histograms{newHistogram(), newHistogram(), newHistogram()}
	}
	startDelays := newHistogram()
	for observed := range samples {
		stream := &s.Streams[observed.request.Stream]
		rank, _ := fleet.ParseRank(stream.Rank) // checked when the scenario was read
		record(startDelays, observed.startDelay)
		if observed.checkErr != nil && len(out.Wrong) < maxWrongDescribed {
			out.Wrong = append(out.Wrong, observed.checkErr.Error())
		}
		ranks[rank].addSample(stream, observed, &latencies[rank])
	}
	out.StartDelay = percentiles(startDelays)
	for i, r := range ranks {
		if r.Sent == 0 {
			continue
		}
		r.Attainment = float64(r.Attained) / float64(r.Sent)
		r.Goodput = float64(r.Attained) / out.Duration.Seconds()
		r.FirstToken, r.BetweenTokens, r.WholeAnswer = percentiles(latencies[i].firstToken), percentiles(latencies[i].betweenTokens), percentiles(latencies[i].wholeAnswer)
		out.Ranks = append(out.Ranks, r)
	}
	return out
}

// addSample counts a request of stream and adds its latencies to h.
func (r *RankResult) addSample(stream *Stream, observed sample, h *histograms) {
	second := &r.Seconds[min(int(observed.request.At/time.Second), len(r.Seconds)-1)]
	r.Sent++
	second.Sent++
	code := observed.answer.Code
	if observed.checkErr != nil {
		code = CodeWrongAnswer
	}
	if code != "" {
		r.Codes[code]++
		second.Refused++
		return
	}
	r.Answered++
	a := observed.answer
	record(h.wholeAnswer, a.WholeAnswer)
	if a.FirstToken > 0 {
		record(h.firstToken, a.FirstToken)
	}
	if a.Tokens > 1 {
		record(h.betweenTokens, a.BetweenTokens)
	}
	if stream.Targets.metBy(a) {
		r.Attained++
		second.Attained++
	}
}

// metBy reports whether a is within all targets.
func (t Targets) metBy(a Answer) bool {
	within := func(d time.Duration, target Duration) bool { return target == 0 || d <= time.Duration(target) }
	return within(a.FirstToken, t.FirstToken) && within(a.BetweenTokens, t.BetweenTokens) && within(a.WholeAnswer, t.WholeAnswer)
}

// WrongAnswers returns the number of answers that failed the check.
func (r *Result) WrongAnswers() int {
	n := 0
	for _, k := range r.Ranks {
		n += k.Codes[CodeWrongAnswer]
	}
	return n
}
