// Package standinengine is a stand-in for a model engine: it batches requests
// continuously in real time, honours priorities, takes orders about models and
// adapters in limited memory, publishes late load reports and cache events, and
// crashes on a configured prompt text. It counts what it does, so that tests
// can check what ran, and generates text that is a function of the request, so
// that tests can check whose answer arrived. One goroutine owns its state.
package standinengine

import (
	"time"

	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
)

// Config is the behaviour of an Engine. Zero fields have the defaults named here.
type Config struct {
	ID       string
	MemoryMB int // accelerator memory; 80,000
	Slots    int // sequences that run at once; 16
	// MaxWaiting is the number of requests that may wait for a slot; others
	// are refused. The default is 1,024.
	MaxWaiting int

	// One step of the batch takes DecodeStep, plus DecodePerSequence for each
	// running sequence, plus PrefillPerToken for each prompt token processed
	// in it, of which there are at most PrefillBudget.
	DecodeStep        time.Duration // 5 ms
	DecodePerSequence time.Duration // 0.2 ms
	PrefillPerToken   time.Duration // 20 µs
	PrefillBudget     int           // 512

	// CachePrefixes is the number of prompt prefixes that the cache holds; 256.
	CachePrefixes int
	// CacheEventDelay is how late cache events are published.
	CacheEventDelay time.Duration
	// CacheEventLoss is the chance that a cache event is never published.
	CacheEventLoss float64

	// ReportEvery is the interval between load reports (500 ms) and ReportLag
	// the age at which a report is published.
	ReportEvery time.Duration
	ReportLag   time.Duration

	// Weights limits loads; nil means that every load runs at full speed.
	Weights backinghttp.WeightStore
	// Load times at full speed.
	ModelLoadTime   time.Duration // 1 s
	AdapterLoadTime time.Duration // 5 ms
	// UnloadTime is how long memory stays held after the last request of an
	// unloaded entry has ended.
	UnloadTime time.Duration

	// ChecksTokens refuses orders with a lower token than the highest seen.
	ChecksTokens bool
	// CutsOnUnload cuts the requests of an unloaded entry at once.
	CutsOnUnload bool
	// RefusesOvercommit refuses loads that do not fit. Otherwise they are
	// done and counted.
	RefusesOvercommit bool
	// PausesLowerRanks takes the slot of a running request of a lower rank for
	// a waiting one; the paused request continues later.
	PausesLowerRanks bool

	// PoisonText in a prompt crashes the engine when the request starts. Empty
	// text is in no prompt.
	PoisonText string
	// RestartDelay is how long the engine is down after a crash; 1 s.
	RestartDelay time.Duration

	// BearerToken is required of HTTP callers if it is not empty.
	BearerToken string
	// Seed makes lost cache events repeatable.
	Seed uint64
	// MaxRecorded bounds the requests and prompts that are counted one by one; 100,000.
	MaxRecorded int
}

func orDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.MemoryMB, 80_000)
	orDefault(&c.Slots, 16)
	orDefault(&c.MaxWaiting, 1024)
	orDefault(&c.DecodeStep, 5*time.Millisecond)
	orDefault(&c.DecodePerSequence, 200*time.Microsecond)
	orDefault(&c.PrefillPerToken, 20*time.Microsecond)
	orDefault(&c.PrefillBudget, 512)
	orDefault(&c.CachePrefixes, 256)
	orDefault(&c.ReportEvery, 500*time.Millisecond)
	orDefault(&c.ModelLoadTime, time.Second)
	orDefault(&c.AdapterLoadTime, 5*time.Millisecond)
	orDefault(&c.RestartDelay, time.Second)
	orDefault(&c.MaxRecorded, 100_000)
	return c
}
