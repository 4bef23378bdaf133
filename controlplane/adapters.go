package controlplane

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/residency"
)

// adapterTimeout bounds how long a request waits for an adapter to be loaded.
const adapterTimeout = 800 * time.Millisecond

type adapterKey struct{ replica, model, adapter string }

type adapterWaiter struct {
	answer    chan<- residency.AdapterResult
	deadline  time.Time
	forwarded bool // the waiting request is at another instance
}

// RequestAdapter is published to ask the holder of the order lease to load an adapter
// on a replica. It can be delivered before the HolderChanged that Holder repeats.
type RequestAdapter struct {
	Holder                  HolderChanged
	Replica, Model, Adapter string
}

type adapterRequest struct {
	key    adapterKey
	answer chan<- residency.AdapterResult
	// forwarded is set if another instance sent the request. Such a request is not
	// forwarded again.
	forwarded bool
}

// EnsureAdapter waits until an adapter is loaded on a replica, and has it loaded if
// needed. It fails if the adapter is not loaded within adapterTimeout, or if no instance
// gives orders. The wait includes that for the holder of the order lease if it is not
// known yet, so that the first requests of an instance do not fail.
func (s *Service) EnsureAdapter(ctx context.Context, replica, model, adapter string) error {
	return s.ensureAdapter(ctx, adapterKey{replica, model, adapter}, false)
}

// ServeAdapter is EnsureAdapter for a request from another instance. It also fails
// if this instance may not send orders.
func (s *Service) ServeAdapter(ctx context.Context, replica, model, adapter string) error {
	return s.ensureAdapter(ctx, adapterKey{replica, model, adapter}, true)
}

func (s *Service) ensureAdapter(ctx context.Context, key adapterKey, forwarded bool) error {
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	answer := make(chan residency.AdapterResult, 1)
	result, err := ask(ctx, s, adapterRequest{key: key, answer: answer, forwarded: forwarded}, answer)
	if err != nil {
		return fmt.Errorf("wait for adapter %s/%s on replica %s: %w", key.model, key.adapter, key.replica, err)
	}
	if !result.OK {
		return fmt.Errorf("adapter %s/%s on replica %s: %s", key.model, key.adapter, key.replica, result.Reason)
	}
	return nil
}

func (e adapterRequest) apply(c *core, now time.Time) {
	if declared := c.declaredModel(e.key.model); declared != nil && !declared.HasAdapter(e.key.adapter) {
		e.answer <- residency.AdapterResult{Replica: e.key.replica, Model: e.key.model, Adapter: e.key.adapter, Reason: "the config declares no such adapter"}
		return
	}
	waiting := c.adapterWaiters[e.key]
	c.adapterWaiters[e.key] = append(waiting, adapterWaiter{answer: e.answer, deadline: now.Add(adapterTimeout), forwarded: e.forwarded})
	switch {
	case c.ordererExpected(bootclock.Now()):
		c.undirected[e.key] = true
	case len(waiting) > 0 && c.orderedElsewhere(): // the holder has been asked
		c.refuseForwarded(e.key)
	default:
		c.directAdapterRequest(now, e.key)
	}
}

// ordererExpected reports whether this instance does not know yet which instance gives
// orders, but probably will soon.
func (c *core) ordererExpected(boot bootclock.Time) bool {
	_, ok := c.leader.OrderUntil(boot)
	return c.leader.HolderExpected(boot) || ok && !c.canOrder // the next tick sets canOrder
}

// orderedElsewhere reports whether another instance holds the order lease.
func (c *core) orderedElsewhere() bool {
	return !c.canOrder && !c.leader.Held() && c.leader.Row().Address != ""
}

// directAdapterRequests directs the requests that came while no holder of the order lease
// was known, once one is known or no longer expected.
func (c *core) directAdapterRequests(now time.Time, boot bootclock.Time) {
	if len(c.undirected) == 0 || c.ordererExpected(boot) {
		return
	}
	for key := range c.undirected {
		if len(c.adapterWaiters[key]) > 0 {
			c.directAdapterRequest(now, key)
		}
	}
	clear(c.undirected)
}

// directAdapterRequest has an adapter loaded by the instance that gives orders. It fails
// the waiting requests if there is none.
func (c *core) directAdapterRequest(now time.Time, key adapterKey) {
	switch {
	case c.canOrder:
		c.executeActions(now, c.plan.RequestAdapter(now, key.replica, key.model, key.adapter))
	case !c.orderedElsewhere():
		c.finishAdapterRequests(now, refusal(key), 0)
	default:
		c.refuseForwarded(key)
		if len(c.adapterWaiters[key]) > 0 {
			c.publishEvent(RequestAdapter{Holder: c.holder, Replica: key.replica, Model: key.model, Adapter: key.adapter})
		}
	}
}

// refuseForwarded fails the requests of other instances for an adapter.
func (c *core) refuseForwarded(key adapterKey) {
	var own []adapterWaiter
	for _, w := range c.adapterWaiters[key] {
		if w.forwarded {
			w.answer <- refusal(key)
		} else {
			own = append(own, w)
		}
	}
	if c.adapterWaiters[key] = own; len(own) == 0 {
		delete(c.adapterWaiters, key)
	}
}

// refusal is the result for an adapter that no instance can have loaded.
func refusal(key adapterKey) residency.AdapterResult {
	return residency.AdapterResult{Replica: key.replica, Model: key.model, Adapter: key.adapter, Reason: "no instance gives orders"}
}

// AdapterAnswered reports the result of a request for an adapter.
type AdapterAnswered struct{ Result residency.AdapterResult }

func (e AdapterAnswered) apply(c *core, now time.Time) { c.finishAdapterRequests(now, e.Result, 0) }

// finishAdapterRequests records the result for an adapter and sends it to every
// waiter, after delay.
func (c *core) finishAdapterRequests(now time.Time, result residency.AdapterResult, delay time.Duration) {
	if delay > 0 {
		time.AfterFunc(delay, func() { c.post(AdapterAnswered{Result: result}) })
		return
	}
	c.dispatch.SetAdapter(result.Replica, result.Model, result.Adapter, result.OK)
	if !result.OK {
		c.log.Warn("adapter not available", "replica", result.Replica, "model", result.Model, "adapter", result.Adapter, "reason", result.Reason)
	}
	key := adapterKey{result.Replica, result.Model, result.Adapter}
	for _, w := range c.adapterWaiters[key] {
		if w.forwarded {
			w.answer <- result // the other instance goes by the notices that it has received itself
		} else {
			w.answer <- c.checkNotices(now, result)
		}
	}
	delete(c.adapterWaiters, key)
}

// checkNotices returns a failure in place of a success on a replica that may no longer
// get requests, because the waiting request would be sent to it next.
func (c *core) checkNotices(now time.Time, result residency.AdapterResult) residency.AdapterResult {
	info := c.dispatch.Replica(result.Replica)
	if !result.OK || info == nil {
		return result
	}
	if info.Leaving {
		result.OK, result.Reason = false, "replica leaves"
	} else if now.Before(c.dispatch.BackoffUntil(result.Replica)) {
		result.OK, result.Reason = false, "replica backs off"
	}
	return result
}

// expireAdapterWaiters removes the waiters of each adapter whose last waiter has
// passed its deadline.
func (c *core) expireAdapterWaiters(now time.Time) {
	for key, waiting := range c.adapterWaiters {
		if len(waiting) > 0 && now.After(waiting[len(waiting)-1].deadline) {
			delete(c.adapterWaiters, key)
		}
	}
}
