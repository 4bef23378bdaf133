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

// snapshotPollInterval is how often the snapshot is checked for a newer one after
// a refused load order. The ledger view in it changes with heartbeats, every 500 ms.
const snapshotPollInterval = 20 * time.Millisecond

// loadAdapter orders the granted endpoint to load the adapter. On failure it
// returns the answer for the caller and whether the next attempt must exclude the
// endpoint.
func (c *modelCall) loadAdapter(client engine.Client) (f *failure, exclude bool) {
	seen := c.g.control.Snapshot()
	result, err := c.g.orderAdapterLoad(c.ctx, client, c.grant, c.admitRequest.Model, c.admitRequest.Adapter, c.admitRequest.Version)
	if err != nil {
		return failf(openai.CodeAdapterNotLoaded, c.executed, "adapter %q could not be loaded: %v", c.admitRequest.Adapter, err).withRetryAfter(shortRetryAfter), true
	}
	if result.Accepted {
		return nil, false
	}
	c.g.counters.adapterLoadsRefused.Add(1)
	// The engine refused because the grant was based on an outdated ledger view, for
	// example with an old token, so the next attempt must wait for a newer snapshot.
	deadline := time.Now().Add(c.g.cfg.Limits.SnapshotTimeout)
	for c.g.control.Snapshot() == seen && time.Now().Before(deadline) {
		if !sleep(c.ctx, snapshotPollInterval) {
			break
		}
	}
	return failf(openai.CodeAdapterNotLoaded, c.executed, "adapter %q was not loaded: %s", c.admitRequest.Adapter, result.Reason).withRetryAfter(shortRetryAfter), false
}

// orderAdapterLoad sends one load order for all requests that need the same adapter
// version on the same endpoint and have equal tokens. The order continues if a
// caller hangs up.
func (g *Gateway) orderAdapterLoad(ctx context.Context, client engine.Client, grant admission.Grant, base, adapter, version string) (engine.OrderResult, error) {
	key := fmt.Sprintf("%s\x00%s\x00%s\x00%d.%d", grant.Endpoint.ID, adapter, version, grant.Token.Epoch, grant.Token.Sequence)
	loaded := g.adapterLoadOrders.DoChan(key, func() (any, error) {
		g.counters.adapterLoads.Add(1)
		orderCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.cfg.Limits.AdapterLoadTimeout)
		defer cancel()
		release, err := g.acquireLoadSlot(orderCtx)
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

// acquireLoadSlot waits until another adapter load can start. Limits.MaxAdapterLoads
// applies to the whole fleet: each load takes as many slots as there are live
// instances, so this instance runs at most its equal share, and at least one load.
func (g *Gateway) acquireLoadSlot(ctx context.Context) (release func(), err error) {
	live := max(1, len(g.control.Snapshot().AliveIncarnations))
	weight := int64(min(live, g.cfg.Limits.MaxAdapterLoads))
	if err := g.adapterLoadSlots.Acquire(ctx, weight); err != nil {
		return nil, &engine.Error{Kind: engine.Refused, Executed: engine.ExecutedNo, Err: fmt.Errorf("too many adapter loads in transit: %w", err)}
	}
	return func() { g.adapterLoadSlots.Release(weight) }, nil
}
