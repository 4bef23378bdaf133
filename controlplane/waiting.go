package controlplane

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// modelWaiter is a request that waits for a model to be loaded. arrived is closed
// when a replica holds the model.
type modelWaiter struct {
	arrived  chan<- struct{}
	deadline time.Time
}

type awaitModel struct {
	model   string
	arrived chan struct{}
	wait    time.Duration
}

// AwaitModel returns when a replica reports that it holds the model, when wait has
// passed, or when ctx ends.
func (s *Service) AwaitModel(ctx context.Context, model string, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	arrived := make(chan struct{})
	s.post(awaitModel{model: model, arrived: arrived, wait: wait})
	select {
	case <-arrived:
	case <-timer.C:
	case <-ctx.Done():
	case <-s.ended:
	}
}

func (e awaitModel) apply(c *core, now time.Time) {
	c.modelWaiters[e.model] = append(c.modelWaiters[e.model], modelWaiter{arrived: e.arrived, deadline: now.Add(e.wait)})
}

// wakeModelWaiters wakes the requests that wait for a model that the replica holds.
// A leaving replica wakes none.
func (c *core) wakeModelWaiters(info *catalog.Replica) {
	if info == nil || info.Leaving || len(c.modelWaiters) == 0 {
		return
	}
	for _, m := range info.Models {
		for _, w := range c.modelWaiters[m.Name] {
			close(w.arrived)
		}
		delete(c.modelWaiters, m.Name)
	}
}

// wakeAllModelWaiters wakes all waiting requests, so that they are decided again.
func (c *core) wakeAllModelWaiters() {
	for model, waiters := range c.modelWaiters {
		for _, w := range waiters {
			close(w.arrived)
		}
		delete(c.modelWaiters, model)
	}
}

// expireModelWaiters removes requests whose deadline has passed.
func (c *core) expireModelWaiters(now time.Time) {
	for model, waiters := range c.modelWaiters {
		var rest []modelWaiter
		for _, w := range waiters {
			if now.Before(w.deadline) {
				rest = append(rest, w)
			}
		}
		if c.modelWaiters[model] = rest; len(rest) == 0 {
			delete(c.modelWaiters, model)
		}
	}
}
