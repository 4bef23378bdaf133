package controlplane

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// modelWaiter is a request that waits for a model until a time.
type modelWaiter struct {
	arrived chan<- struct{}
	until   time.Time
}

type awaitModel struct {
	model   string
	arrived chan struct{}
	wait    time.Duration
}

// AwaitModel returns when a replica says that it holds the model, after wait, or
// when ctx ends.
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
	c.waiting[e.model] = append(c.waiting[e.model], modelWaiter{arrived: e.arrived, until: now.Add(e.wait)})
}

// wakeWaiting ends the waits for the models of a replica.
func (c *core) wakeWaiting(info *catalog.Replica) {
	if info == nil || info.Leaving || len(c.waiting) == 0 {
		return
	}
	for _, m := range info.Models {
		for _, w := range c.waiting[m.Name] {
			close(w.arrived)
		}
		delete(c.waiting, m.Name)
	}
}

// expireWaiting forgets requests that do not wait any more.
func (c *core) expireWaiting(now time.Time) {
	for model, waiters := range c.waiting {
		var rest []modelWaiter
		for _, w := range waiters {
			if now.Before(w.until) {
				rest = append(rest, w)
			}
		}
		if c.waiting[model] = rest; len(rest) == 0 {
			delete(c.waiting, model)
		}
	}
}
