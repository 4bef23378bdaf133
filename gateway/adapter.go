package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/openai"
)

// snapshotPoll is the pause between looks at the snapshot after a refused
// load order; the ledger view behind it moves with heartbeats, every 500 ms.
const snapshotPoll = 20 * time.Millisecond

// loadAdapter orders the granted adapter to be loaded. On failure it returns
// the answer for the caller and whether another endpoint must be chosen.
func (c *modelCall) loadAdapter(client engine.Client) (f *failure, exclude bool) {
	seen := c.g.control.Snapshot()
	result, err := c.g.orderAdapter(c.ctx, client, c.grant, c.admit.Model, c.admit.Adapter, c.admit.Version)
	if err != nil {
		return failf(openai.CodeAdapterNotLoaded, c.executed, "adapter %q could not be loaded: %v", c.admit.Adapter, err).after(retrySoon), true
	}
	if result.Accepted {
		return nil, false
	}
	c.g.counters.adapterRefused.Add(1)
	// The order was refused because the view behind its token is old, so the
	// next try must come from a newer view.
	deadline := time.Now().Add(c.g.cfg.Limits.SnapshotWait)
	for c.g.control.Snapshot() == seen && time.Now().Before(deadline) {
		if !sleep(c.ctx, snapshotPoll) {
			break
		}
	}
	return failf(openai.CodeAdapterNotLoaded, c.executed, "adapter %q was not loaded: %s", c.admit.Adapter, result.Reason).after(retrySoon), false
}

// orderAdapter sends the load order once for all requests that wait for the
// same adapter on the same endpoint. The order goes on when a caller hangs up.
func (g *Gateway) orderAdapter(ctx context.Context, client engine.Client, grant admission.Grant, base, adapter, version string) (engine.OrderResult, error) {
	key := fmt.Sprintf("%s\x00%s\x00%s\x00%d.%d", grant.Endpoint.ID, adapter, version, grant.Token.Epoch, grant.Token.Sequence)
	loaded := g.loads.DoChan(key, func() (any, error) {
		g.counters.adapterLoads.Add(1)
		orderCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.cfg.Limits.LoadTimeout)
		defer cancel()
		release, err := g.acquireLoad(orderCtx)
		if err != nil {
			return nil, err
		}
		defer release()
		return client.Order(orderCtx, engine.Order{
			ID: uuid.NewString(), Token: grant.Token, Kind: engine.LoadAdapter,
			Name: adapter, Base: base, Version: version, MemoryMB: grant.MemoryMB,
		})
	})
	select {
	case r := <-loaded:
		if r.Err != nil {
			return engine.OrderResult{}, r.Err
		}
		return r.Val.(engine.OrderResult), nil
	case <-ctx.Done():
		return engine.OrderResult{}, ctx.Err()
	}
}

// acquireLoad waits for a place among the adapter loads in transit. The bound
// holds for the whole fleet: each load weighs as much as there are live
// instances, so this one has its even share of the bound in transit, at least one.
func (g *Gateway) acquireLoad(ctx context.Context) (release func(), err error) {
	live := max(1, len(g.control.Snapshot().AliveIncarnations))
	weight := int64(min(live, g.cfg.Limits.AdapterLoads))
	if err := g.loadSlots.Acquire(ctx, weight); err != nil {
		return nil, &engine.Error{Kind: engine.Refused, Executed: engine.ExecutedNo, Err: fmt.Errorf("too many adapter loads in transit: %w", err)}
	}
	return func() { g.loadSlots.Release(weight) }, nil
}
