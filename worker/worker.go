// Package worker runs the background goroutines of a service and ends them
// together: periodic work that waits on a timer, and tasks that may be in
// progress when the service stops.
package worker

import (
	"context"
	"sync"
	"time"
)

// Group is a set of goroutines with one end. The zero value is not usable;
// create it with NewGroup.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex // orders Go before or after Stop
	stopped bool
	wg      sync.WaitGroup
}

// NewGroup returns an empty group.
func NewGroup() *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{ctx: ctx, cancel: cancel}
}

// Go runs task in its own goroutine. Its context ends when the group is
// stopped. After that Go does nothing, because events of the bus may still
// arrive while a service stops.
func (g *Group) Go(task func(context.Context)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	g.wg.Go(func() { task(g.ctx) })
}

// Every runs task at once and then after each interval, never twice at a time.
// A signal on wake, which may be nil, runs it earlier.
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

// Stop ends the contexts of all tasks and waits for them until ctx ends.
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
