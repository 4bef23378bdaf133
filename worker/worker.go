// Package worker runs the background goroutines of a service, such as periodic
// tasks and event handlers, and stops them together with the service.
package worker

import (
	"context"
	"sync"
	"time"
)

// Group is a set of goroutines that are stopped together. Its methods are safe for
// concurrent use. The zero value is not usable; create a group with NewGroup.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	stopped bool // no new task is started
}

// NewGroup returns a group without tasks.
func NewGroup() *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{ctx: ctx, cancel: cancel}
}

// Go runs task in a new goroutine, with a context that is canceled when the group
// is stopped. It does nothing if the group is already stopped.
func (g *Group) Go(task func(context.Context)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	g.wg.Go(func() { task(g.ctx) })
}

// Every runs task at once and then again one interval after each run ends, until
// the group is stopped. A value on wake, which can be nil, starts the next run
// early. Runs never overlap.
func (g *Group) Every(interval time.Duration, wake <-chan struct{}, task func(context.Context)) {
	g.Go(func(ctx context.Context) {
		timer := time.NewTimer(interval)
		defer timer.Stop()
		for {
			task(ctx)
			timer.Reset(interval)
			select {
			case <-timer.C:
			case <-wake:
			case <-ctx.Done():
				return
			}
		}
	})
}

// Stop cancels the contexts of all tasks and waits until they return. If ctx ends
// first, it returns the error of ctx.
func (g *Group) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.cancel()
	done := make(chan struct{})
	go func() {
		g.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
