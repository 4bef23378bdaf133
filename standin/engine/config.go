// Package standinengine implements a stand-in for a model engine. It simulates
// continuous batching with priorities, loads and unloads models and adapters in
// limited memory, publishes delayed load reports and cache events, and crashes on
// a configured prompt text. It counts its work, so that tests can check what ran,
// and generates text that is a function of the request, so that tests can check
// which answer arrived. A single goroutine owns its state.
package standinengine

import (
	"time"

	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
)

// Config configures an Engine. A zero field is replaced by the default given in its
// comment, if there is one.
type Config struct {
	ID       string
	MemoryMB int // accelerator memory in MB; default 80,000
	Slots    int // maximum number of running sequences; default 16
	// MaxWaiting is the maximum number of requests that wait for a slot. Further
	// requests are refused. The default is 1,024.
	MaxWaiting int

	// A batch step takes DecodeStep, plus DecodePerSequence for each running
	// sequence, plus PrefillPerToken for each prompt token that it processes. It
	// processes at most PrefillBudget prompt tokens.
	DecodeStep        time.Duration // default 5 ms
	DecodePerSequence time.Duration // default 0.2 ms
	PrefillPerToken   time.Duration // default 20 µs
	PrefillBudget     int           // default 512 tokens

	// CachePrefixes is the capacity of the prefix cache in prompt prefixes. The
	// default is 256.
	CachePrefixes int
	// CacheEventDelay is the delay after which a cache event is published.
	CacheEventDelay time.Duration
	// CacheEventLoss is the probability, from 0 to 1, that a cache event is never
	// published.
	CacheEventLoss float64

	// ReportInterval is the interval between load reports; the default is 500 ms.
	// ReportLag is the age at which a report is published.
	ReportInterval time.Duration
	ReportLag      time.Duration

	// Weights grants the permits for loads. If it is nil, all loads run at full
	// speed.
	Weights backinghttp.WeightStore
	// ModelLoadTime and AdapterLoadTime are the load times at full speed.
	ModelLoadTime   time.Duration // default 1 s
	AdapterLoadTime time.Duration // default 5 ms
	// UnloadTime is the time from the end of the last request of an entry that is
	// being unloaded until its memory is free.
	UnloadTime time.Duration

	// ChecksTokens makes the engine refuse orders with a lower fencing token than
	// the highest one seen.
	ChecksTokens bool
	// AbortsOnUnload makes an unload abort the requests of the entry at once. Otherwise
	// they run to completion.
	AbortsOnUnload bool
	// RefusesOvercommit makes the engine refuse loads that exceed its memory.
	// Otherwise it performs and counts them.
	RefusesOvercommit bool
	// PreemptsLowerRanks makes a waiting request preempt a running request of a lower
	// rank if no slot is free. The preempted request continues later.
	PreemptsLowerRanks bool

	// PoisonText crashes the engine when it starts a request with this text in the
	// prompt. An empty text disables this.
	PoisonText string
	// RestartDelay is the downtime after a crash. The default is 1 s.
	RestartDelay time.Duration

	// BearerToken is required in requests of the engine's HTTP protocol unless it is
	// empty.
	BearerToken string
	// Seed seeds the random choice of lost cache events.
	Seed uint64
	// MaxCountedKeys is the maximum number of request ids, and of prompts, that are
	// counted individually. The default is 100,000.
	MaxCountedKeys int
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	setDefault(&c.MemoryMB, 80_000)
	setDefault(&c.Slots, 16)
	setDefault(&c.MaxWaiting, 1024)
	setDefault(&c.DecodeStep, 5*time.Millisecond)
	setDefault(&c.DecodePerSequence, 200*time.Microsecond)
	setDefault(&c.PrefillPerToken, 20*time.Microsecond)
	setDefault(&c.PrefillBudget, 512)
	setDefault(&c.CachePrefixes, 256)
	setDefault(&c.ReportInterval, 500*time.Millisecond)
	setDefault(&c.ModelLoadTime, time.Second)
	setDefault(&c.AdapterLoadTime, 5*time.Millisecond)
	setDefault(&c.RestartDelay, time.Second)
	setDefault(&c.MaxCountedKeys, 100_000)
	return c
}
