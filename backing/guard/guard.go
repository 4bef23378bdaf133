// Package guard wraps the platform's services with a timeout, a limit on
// concurrent calls and a circuit breaker, so that a slow or recovering platform
// is not flooded with calls, and calls to one that is down fail fast.
package guard

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hyssophaven/hyssophaven/backing"
)

// Config limits the calls to one platform service.
type Config struct {
	Timeout       time.Duration // limit on one call, including the wait for a slot
	MaxConcurrent int           // limit on concurrent calls
	// FailuresToOpen is the number of consecutive failures that opens the circuit.
	FailuresToOpen int
	// MinOpenTime and MaxOpenTime limit the time that the circuit stays open. The
	// time grows with every failed probe and is jittered by half, so that
	// instances do not all probe at once.
	MinOpenTime, MaxOpenTime time.Duration
}

// DefaultConfig returns the default limits, which suit the table service and the
// object store.
func DefaultConfig() Config {
	return Config{Timeout: 2 * time.Second, MaxConcurrent: 32, FailuresToOpen: 5, MinOpenTime: 200 * time.Millisecond, MaxOpenTime: 5 * time.Second}
}

// guard limits the calls to one service.
type guard struct {
	config Config
	slots  chan struct{}
	vars   *expvar.Map

	mu          sync.Mutex
	failures    int
	openUntil   time.Time // zero while the circuit is closed
	probing     bool
	openBackoff *backoff.ExponentialBackOff
}

// counterNames lists all counters. newGuard adds each of them, so that it is
// exported before its first event.
var counterNames = []string{"calls", "failures", "rejected_by_breaker", "breaker_opened"}

func newGuard(c Config, vars *expvar.Map) *guard {
	for _, name := range counterNames {
		vars.Add(name, 0)
	}
	openBackoff := backoff.NewExponentialBackOff()
	openBackoff.InitialInterval = c.MinOpenTime
	openBackoff.MaxInterval = c.MaxOpenTime
	openBackoff.RandomizationFactor = 0.5
	return &guard{config: c, slots: make(chan struct{}, c.MaxConcurrent), vars: vars, openBackoff: openBackoff}
}

// do runs call with a timeout. It returns ErrUnavailable without running call if
// the circuit is open or no slot becomes free in time.
func (g *guard) do(ctx context.Context, call func(context.Context) error) error {
	if !g.allow(time.Now()) {
		g.vars.Add("rejected_by_breaker", 1)
		return backing.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	select {
	case g.slots <- struct{}{}:
	case <-ctx.Done():
		g.recordOutcome(time.Now(), ctx.Err())
		return backing.ErrUnavailable
	}
	err := call(ctx)
	<-g.slots
	g.recordOutcome(time.Now(), err)
	return err
}

// allow reports whether a call can be made. While the circuit is open, it allows
// one probe after each open period.
func (g *guard) allow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.openUntil.IsZero() {
		return true
	}
	if now.Before(g.openUntil) || g.probing {
		return false
	}
	g.probing = true
	return true
}

// recordOutcome counts a call that ended with err. It opens the circuit after
// FailuresToOpen consecutive failures and closes it after any other outcome.
func (g *guard) recordOutcome(now time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	g.vars.Add("calls", 1)
	if !countsAsFailure(err) {
		g.failures = 0
		g.openUntil = time.Time{}
		g.openBackoff.Reset()
		return
	}
	g.vars.Add("failures", 1)
	g.failures++
	if g.failures >= g.config.FailuresToOpen {
		g.openUntil = now.Add(g.openBackoff.NextBackOff())
		g.vars.Add("breaker_opened", 1)
	}
}

// countsAsFailure reports whether err indicates an outage of the service. A
// conflict, a missing object and a cancelled call do not.
func countsAsFailure(err error) bool {
	switch {
	case err == nil, errors.Is(err, backing.ErrConflict), errors.Is(err, backing.ErrNotFound), errors.Is(err, context.Canceled):
		return false
	default:
		return true
	}
}
