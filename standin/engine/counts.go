package standinengine

import (
	"maps"

	"github.com/hyssophaven/hyssophaven/engine"
)

// Outcome is the result of an order.
type Outcome string

// The outcomes of an order.
const (
	OutcomeDone     Outcome = "done"      // took effect
	OutcomeNoEffect Outcome = "no_effect" // accepted, nothing to do
	OutcomeOldToken Outcome = "old_token" // refused because its fencing token was too low
	OutcomeRefused  Outcome = "refused"   // refused for another reason
)

// OrderKey identifies a count of orders by their kind and outcome.
type OrderKey struct {
	Kind    engine.OrderKind
	Outcome Outcome
}

// RequestCounts counts the events of requests with the same id, with the same
// prompt, or of all requests.
type RequestCounts struct {
	Accepted  int `json:"accepted"`
	Started   int `json:"started"` // given a slot for the first time
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"` // cancelled by the client
	Aborted   int `json:"cut"`       // aborted by a crash, an unload or Close
}

// Counts counts the work of an engine since it was created, over all boots.
type Counts struct {
	Orders    map[OrderKey]int
	Total     RequestCounts
	ByRequest map[string]RequestCounts // by request id
	ByPrompt  map[uint64]RequestCounts // by PromptHash
	// Unrecorded is the number of events that are not in ByRequest or ByPrompt because
	// of Config.MaxCountedKeys.
	Unrecorded  int
	Tokens      int // tokens generated
	CacheHits   int
	CacheMisses int
	Preempted   int // preemptions by sequences of a higher rank
	PeakMB      int // highest memory use
	// OvercommitEvents is the number of loads that exceeded the memory.
	// OvercommitMB is the largest excess.
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

// Counts returns a copy of the counts of the engine.
func (e *Engine) Counts() Counts {
	var out Counts
	e.owner.Do(func() { out = e.counts.clone() })
	return out
}

// countRequest applies change to the counts of all requests, of the request's id and
// of its prompt.
func (e *Engine) countRequest(r engine.GenerateRequest, change func(*RequestCounts)) {
	change(&e.counts.Total)
	e.counts.Unrecorded += updateCounts(e.counts.ByRequest, r.RequestID, e.config.MaxCountedKeys, change)
	e.counts.Unrecorded += updateCounts(e.counts.ByPrompt, PromptHash(r.Prompt), e.config.MaxCountedKeys, change)
}

// updateCounts applies change to the entry for key. If the key is new and m already
// has limit entries, it changes nothing and returns 1; otherwise it returns 0.
func updateCounts[K comparable](m map[K]RequestCounts, key K, limit int, change func(*RequestCounts)) int {
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
	Preempted        int                      `json:"paused"`
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
		Preempted: c.Preempted, PeakMB: c.PeakMB, OvercommitEvents: c.OvercommitEvents, OvercommitMB: c.OvercommitMB, Crashes: c.Crashes,
	}
	for key, n := range c.Orders {
		m.Orders = append(m.Orders, orderCountMessage{orderKindNames[key.Kind], key.Outcome, n})
	}
	return m
}
