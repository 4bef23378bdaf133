// Package guard wraps the platform's services with a timeout, a bound on
// concurrent calls and a circuit breaker, so that a slow or returning platform
// is not flooded and nobody waits long for one that is down.
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

// Config bounds the calls to one platform service.
type Config struct {
	Timeout    time.Duration // of one call, including the wait for a place
	Concurrent int           // calls in progress at once
	// FailuresToOpen is the number of failures in a row that opens the circuit.
	FailuresToOpen int
	// MinPause and MaxPause bound the time that the circuit stays open. It
	// grows with every failed probe and is jittered by half, so that instances
	// do not return all at once.
	MinPause, MaxPause time.Duration
}

// DefaultConfig returns bounds for the table service.
func DefaultConfig() Config {
	return Config{Timeout: 2 * time.Second, Concurrent: 32, FailuresToOpen: 5, MinPause: 200 * time.Millisecond, MaxPause: 5 * time.Second}
}

// guard admits calls to one service.
type guard struct {
	config Config
	places chan struct{}
	vars   *expvar.Map

	mu        sync.Mutex
	failures  int
	openUntil time.Time // zero while the circuit is closed
	probing   bool
	pause     *backoff.ExponentialBackOff
}

// counterNames are all counters, so that each is exported from the start.
var counterNames = []string{"calls", "failures", "rejected_by_breaker", "breaker_opened"}

func newGuard(c Config, vars *expvar.Map) *guard {
	for _, name := range counterNames {
		vars.Add(name, 0)
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = c.MinPause
	pause.MaxInterval = c.MaxPause
	pause.RandomizationFactor = 0.5
	return &guard{config: c, places: make(chan struct{}, c.Concurrent), vars: vars, pause: pause}
}

// do runs call with a timeout. It fails with ErrUnavailable without running it
// if the circuit is open or no place becomes free.
func (g *guard) do(ctx context.Context, call func(context.Context) error) error {
	if !g.enter(time.Now()) {
		g.vars.Add("rejected_by_breaker", 1)
		return backing.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	select {
	case g.places <- struct{}{}:
	case <-ctx.Done():
		g.leave(time.Now(), ctx.Err())
		return backing.ErrUnavailable
	}
	err := call(ctx)
	<-g.places
	g.leave(time.Now(), err)
	return err
}

// enter reports whether a call may be made. While the circuit is open, one
// probe is let through after each pause.
func (g *guard) enter(now time.Time) bool {
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

func (g *guard) leave(now time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	g.vars.Add("calls", 1)
	if !countsAsFailure(err) {
		g.failures = 0
		g.openUntil = time.Time{}
		g.pause.Reset()
		return
	}
	g.vars.Add("failures", 1)
	g.failures++
	if g.failures >= g.config.FailuresToOpen {
		g.openUntil = now.Add(g.pause.NextBackOff())
		g.vars.Add("breaker_opened", 1)
	}
}

func countsAsFailure(err error) bool {
	switch {
	case err == nil, errors.Is(err, backing.ErrConflict), errors.Is(err, backing.ErrNotFound), errors.Is(err, context.Canceled):
		return false
	default:
		return true
	}
}
