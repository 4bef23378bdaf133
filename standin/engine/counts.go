package standinengine

import (
	"maps"

	"github.com/hyssophaven/hyssophaven/engine"
)

// Outcome is what became of an order.
type Outcome string

// The outcomes of an order.
const (
	OutcomeDone     Outcome = "done"      // took effect
	OutcomeNoEffect Outcome = "no_effect" // accepted, but there was nothing to do
	OutcomeOldToken Outcome = "old_token" // refused for its token
	OutcomeRefused  Outcome = "refused"   // refused for another reason
)

// OrderKey is a kind of order and its outcome.
type OrderKey struct {
	Kind    engine.OrderKind
	Outcome Outcome
}

// RequestCounts are the events of one request, one prompt or all requests.
type RequestCounts struct {
	Accepted  int `json:"accepted"`
	Started   int `json:"started"` // first given a slot
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"` // given up by the client
	Cut       int `json:"cut"`       // ended by a crash or an unload
}

// Counts are what an engine has done since it was created, over all boots.
type Counts struct {
	Orders    map[OrderKey]int
	Total     RequestCounts
	ByRequest map[string]RequestCounts // by request id
	ByPrompt  map[uint64]RequestCounts // by PromptHash
	// Unrecorded is the number of requests and prompts beyond Config.MaxRecorded.
	Unrecorded  int
	Tokens      int // generated
	CacheHits   int
	CacheMisses int
	Paused      int // sequences that lost their slot to a more urgent one
	PeakMB      int // highest memory held
	// OvercommitEvents is the number of loads that exceeded the memory, and
	// OvercommitMB the most by which it was exceeded.
	OvercommitEvents int
	OvercommitMB     int
	Crashes          int
}

func newCounts() Counts {
	return Counts{
		Orders:    make(map[OrderKey]int),
		ByRequest: make(map[string]RequestCounts),
		ByPrompt:  make(map[uint64]RequestCounts),
	}
}

func (c Counts) clone() Counts {
	c.Orders, c.ByRequest, c.ByPrompt = maps.Clone(c.Orders), maps.Clone(c.ByRequest), maps.Clone(c.ByPrompt)
	return c
}

// Counts returns a copy of what the engine has done.
func (e *Engine) Counts() Counts {
	var out Counts
	e.owner.Do(func() { out = e.counts.clone() })
	return out
}

// countRequest applies change to the counts of a request.
func (e *Engine) countRequest(r engine.GenerateRequest, change func(*RequestCounts)) {
	change(&e.counts.Total)
	e.counts.Unrecorded += countIn(e.counts.ByRequest, r.RequestID, e.config.MaxRecorded, change)
	e.counts.Unrecorded += countIn(e.counts.ByPrompt, PromptHash(r.Prompt), e.config.MaxRecorded, change)
}

// countIn applies change to the entry at key and returns 1 if the map is full.
func countIn[K comparable](m map[K]RequestCounts, key K, limit int, change func(*RequestCounts)) int {
	n, known := m[key]
	if !known && len(m) >= limit {
		return 1
	}
	change(&n)
	m[key] = n
	return 0
}

type orderCountMessage struct {
	Kind    string  `json:"kind"`
	Outcome Outcome `json:"outcome"`
	Count   int     `json:"count"`
}

type countsMessage struct {
	Orders           []orderCountMessage      `json:"orders"`
	Total            RequestCounts            `json:"total"`
	ByRequest        map[string]RequestCounts `json:"by_request"`
	ByPrompt         map[uint64]RequestCounts `json:"by_prompt"`
	Unrecorded       int                      `json:"unrecorded"`
	Tokens           int                      `json:"tokens"`
	CacheHits        int                      `json:"cache_hits"`
	CacheMisses      int                      `json:"cache_misses"`
	Paused           int                      `json:"paused"`
	PeakMB           int                      `json:"peak_mb"`
	OvercommitEvents int                      `json:"overcommit_events"`
	OvercommitMB     int                      `json:"overcommit_mb"`
	Crashes          int                      `json:"crashes"`
}

var orderKindNames = map[engine.OrderKind]string{
	engine.LoadModel: "load_model", engine.UnloadModel: "unload_model",
	engine.LoadAdapter: "load_adapter", engine.UnloadAdapter: "unload_adapter",
}

func newCountsMessage(c Counts) countsMessage {
	m := countsMessage{
		Orders: []orderCountMessage{}, Total: c.Total, ByRequest: c.ByRequest, ByPrompt: c.ByPrompt,
		Unrecorded: c.Unrecorded, Tokens: c.Tokens, CacheHits: c.CacheHits, CacheMisses: c.CacheMisses,
		Paused: c.Paused, PeakMB: c.PeakMB, OvercommitEvents: c.OvercommitEvents, OvercommitMB: c.OvercommitMB, Crashes: c.Crashes,
	}
	for key, n := range c.Orders {
		m.Orders = append(m.Orders, orderCountMessage{orderKindNames[key.Kind], key.Outcome, n})
	}
	return m
}
