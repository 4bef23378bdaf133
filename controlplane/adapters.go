package controlplane

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/residency"
)

// adapterTimeout bounds the wait for an adapter.
const adapterTimeout = 800 * time.Millisecond

type adapterKey struct{ replica, model, adapter string }

type adapterWaiter struct {
	answer chan<- residency.AdapterResult
	until  time.Time
}

// AskAdapter asks the holder of the order lease for an adapter on a replica.
type AskAdapter struct{ Replica, Model, Adapter string }

type wantAdapter struct {
	key    adapterKey
	answer chan<- residency.AdapterResult
	// local says that the wish came from another instance, so that it is not
	// passed on again.
	local bool
}

// EnsureAdapter waits until an adapter is on a replica, ordering it if needed.
func (s *Service) EnsureAdapter(ctx context.Context, replica, model, adapter string) error {
	return s.ensureAdapter(ctx, adapterKey{replica, model, adapter}, false)
}

// ServeAdapter is EnsureAdapter for a wish of another instance. It fails if
// this instance does not hold the order lease.
func (s *Service) ServeAdapter(ctx context.Context, replica, model, adapter string) error {
	return s.ensureAdapter(ctx, adapterKey{replica, model, adapter}, true)
}

func (s *Service) ensureAdapter(ctx context.Context, key adapterKey, local bool) error {
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	answer := make(chan residency.AdapterResult, 1)
	result, err := ask(ctx, s, wantAdapter{key: key, answer: answer, local: local}, answer)
	if err != nil {
		return fmt.Errorf("wait for adapter %s/%s on replica %s: %w", key.model, key.adapter, key.replica, err)
	}
	if !result.OK {
		return fmt.Errorf("adapter %s/%s on replica %s: %s", key.model, key.adapter, key.replica, result.Reason)
	}
	return nil
}

func (e wantAdapter) apply(c *core, now time.Time) {
	waiting := c.adapters[e.key]
	c.adapters[e.key] = append(waiting, adapterWaiter{answer: e.answer, until: now.Add(adapterTimeout)})
	switch {
	case c.ordering:
		c.act(now, c.plan.WantAdapter(now, e.key.replica, e.key.model, e.key.adapter))
	case e.local || c.leader.Row().Address == "" || c.leader.Held():
		c.adapterReady(residency.AdapterResult{
			Replica: e.key.replica, Model: e.key.model, Adapter: e.key.adapter, Reason: "no instance gives orders",
		}, 0)
	case len(waiting) == 0:
		c.send(AskAdapter{Replica: e.key.replica, Model: e.key.model, Adapter: e.key.adapter})
	}
}

// AdapterAnswered is the holder's answer to AskAdapter.
type AdapterAnswered struct{ Result residency.AdapterResult }

func (e AdapterAnswered) apply(c *core, _ time.Time) { c.adapterReady(e.Result, 0) }

// adapterReady answers those who wait for an adapter, after delay.
func (c *core) adapterReady(result residency.AdapterResult, delay time.Duration) {
	if delay > 0 {
		time.AfterFunc(delay, func() { c.post(AdapterAnswered{Result: result}) })
		return
	}
	c.dispatch.SetAdapter(result.Replica, result.Model, result.Adapter, result.OK)
	if !result.OK {
		c.log.Warn("adapter not available", "replica", result.Replica, "model", result.Model, "adapter", result.Adapter, "reason", result.Reason)
	}
	key := adapterKey{result.Replica, result.Model, result.Adapter}
	for _, w := range c.adapters[key] {
		w.answer <- result
	}
	delete(c.adapters, key)
}

// expireAdapters forgets waiters that have given up.
func (c *core) expireAdapters(now time.Time) {
	for key, waiting := range c.adapters {
		if len(waiting) > 0 && now.After(waiting[len(waiting)-1].until) {
			delete(c.adapters, key)
		}
	}
}
