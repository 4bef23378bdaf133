package standinengine

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// entryKey identifies a version of a model or an adapter.
type entryKey struct {
	name    string
	version string
	adapter bool
}

// resident is a model or an adapter that occupies memory. It exists from the
// acceptance of its load until its unload is complete.
type resident struct {
	key       entryKey
	base      string
	memoryMB  int
	loading   bool
	unloading bool
	freeing   bool          // the last request has ended and UnloadTime is passing
	userCount int           // number of accepted requests that use the entry
	loadEnded chan struct{} // closed when the load has ended, successfully or not
	boot      context.Context
}

func (r *resident) ready() bool { return !r.loading && !r.unloading }

// Order implements engine.Client. It answers a model load, an unload and a refused
// order at once, and an adapter load when the load has ended. An unload frees
// the memory after the requests of the entry have ended.
func (e *Engine) Order(ctx context.Context, o engine.Order) (engine.OrderResult, error) {
	d, fault, err := e.deliver(o)
	if err != nil {
		return engine.OrderResult{}, err
	}
	if fault.loseOrder {
		return engine.OrderResult{}, outcomeUnknownError()
	}
	select {
	case <-d.arrived:
	case <-ctx.Done():
		return engine.OrderResult{}, cancelledError(ctx)
	}
	if d.err != nil || fault.loseAnswer {
		return engine.OrderResult{}, outcomeUnknownError()
	}
	if d.pendingLoad == nil {
		return d.result, nil
	}
	select {
	case <-d.pendingLoad.loadEnded:
	case <-ctx.Done():
		return engine.OrderResult{}, cancelledError(ctx)
	}
	return e.loadResult(d)
}

// cancelledError returns the error for an order whose sender did not wait for the
// answer.
func cancelledError(ctx context.Context) error {
	return &engine.Error{Kind: engine.Cancelled, Executed: engine.ExecutedUnknown, Err: ctx.Err()}
}

// loadResult returns the answer to an adapter load that has ended.
func (e *Engine) loadResult(d *delivery) (engine.OrderResult, error) {
	result, crashed := d.result, false
	err := e.doIfUp(func() {
		crashed = d.pendingLoad.boot.Err() != nil
		if e.residents[d.pendingLoad.key] != d.pendingLoad {
			result.Accepted, result.Reason = false, "unloaded while loading"
		}
	})
	if err != nil || crashed {
		return engine.OrderResult{}, outcomeUnknownError()
	}
	return result, nil
}

// handleOrder applies and counts o. It also returns the entry whose load must end
// before the order is answered, or nil.
func (e *Engine) handleOrder(o engine.Order) (engine.OrderResult, *resident) {
	outcome, reason, pendingLoad := e.applyOrder(o)
	e.counts.Orders[OrderKey{o.Kind, outcome}]++
	result := engine.OrderResult{Accepted: reason == "", Reason: reason}
	if e.config.ChecksTokens {
		result.HighestToken = e.highestToken
	}
	return result, pendingLoad
}

// applyOrder checks the fencing token of o if Config.ChecksTokens is set, and then
// loads or unloads the entry. A reason is returned only if o is refused.
func (e *Engine) applyOrder(o engine.Order) (outcome Outcome, reason string, pendingLoad *resident) {
	if e.config.ChecksTokens {
		if o.Token.Less(e.highestToken) {
			return OutcomeOldToken, "token is lower than the highest seen", nil
		}
		e.highestToken = o.Token
	}
	switch o.Kind {
	case engine.LoadModel, engine.LoadAdapter:
		return e.loadEntry(o)
	default:
		return e.unloadEntry(o), "", nil
	}
}

// loadEntry starts to load an entry. It refuses the load if the entry is being
// unloaded, if the base model of an adapter is not ready, or if the memory would be
// exceeded and Config.RefusesOvercommit is set.
func (e *Engine) loadEntry(o engine.Order) (outcome Outcome, reason string, pendingLoad *resident) {
	key := entryKey{o.Name, o.Version, o.Kind == engine.LoadAdapter}
	if r, ok := e.residents[key]; ok {
		if r.unloading {
			return OutcomeRefused, "entry is being unloaded", nil
		}
		if key.adapter {
			pendingLoad = r
		}
		return OutcomeNoEffect, "", pendingLoad
	}
	if key.adapter && e.findReady(o.Base, "", false) == nil {
		return OutcomeRefused, fmt.Sprintf("base model %q is not ready", o.Base), nil
	}
	requiredMB := e.usedMB() + o.MemoryMB
	if excessMB := requiredMB - e.config.MemoryMB; excessMB > 0 {
		if e.config.RefusesOvercommit {
			return OutcomeRefused, fmt.Sprintf("memory would be exceeded by %d MB", excessMB), nil
		}
		e.counts.OvercommitEvents++
		e.counts.OvercommitMB = max(e.counts.OvercommitMB, excessMB)
	}
	e.counts.PeakMB = max(e.counts.PeakMB, requiredMB)
	r := &resident{key: key, base: o.Base, memoryMB: o.MemoryMB, loading: true, loadEnded: make(chan struct{}), boot: e.boot.ctx}
	e.residents[key] = r
	e.workers.Go(func() { e.runLoad(r) })
	if key.adapter {
		pendingLoad = r
	}
	return OutcomeDone, "", pendingLoad
}

// unloadEntry starts to unload an entry. If no other version of an unloaded model
// is ready, it also starts to unload the adapters of the model.
func (e *Engine) unloadEntry(o engine.Order) Outcome {
	key := entryKey{o.Name, o.Version, o.Kind == engine.UnloadAdapter}
	r, ok := e.residents[key]
	if !ok || r.unloading {
		return OutcomeNoEffect
	}
	r.unloading = true
	if !key.adapter && e.findReady(key.name, "", false) == nil {
		for _, a := range e.residents {
			if a.key.adapter && a.base == key.name {
				a.unloading = true
				e.releaseEntry(a)
			}
		}
	}
	e.releaseEntry(r)
	return OutcomeDone
}

// releaseEntry aborts the requests of an entry that is being unloaded if
// Config.AbortsOnUnload is set, and frees the entry if no request uses it.
func (e *Engine) releaseEntry(r *resident) {
	if e.config.AbortsOnUnload {
		e.abortUsers(r)
	}
	e.freeIfUnused(r)
}

// freeIfUnused frees an entry that is being unloaded and is used by no request. The
// memory is free after Config.UnloadTime.
func (e *Engine) freeIfUnused(r *resident) {
	if !r.unloading || r.loading || r.freeing || r.userCount > 0 {
		return
	}
	r.freeing = true
	if e.config.UnloadTime <= 0 {
		e.removeResident(r)
		return
	}
	e.workers.Go(func() {
		if e.sleep(r.boot, e.config.UnloadTime) {
			e.owner.Do(func() { e.removeResident(r) })
		}
	})
}

func (e *Engine) removeResident(r *resident) {
	if e.residents[r.key] == r {
		delete(e.residents, r.key)
	}
}

// runLoad loads r and then closes r.loadEnded. It returns early if the boot ends.
func (e *Engine) runLoad(r *resident) {
	release, slowdown, ok := e.acquirePermit(r)
	defer release()
	defer close(r.loadEnded) // runs before release, which calls the weight store
	loadTime := e.config.ModelLoadTime
	if r.key.adapter {
		loadTime = e.config.AdapterLoadTime
	}
	if !ok || !e.sleep(r.boot, time.Duration(float64(loadTime)*slowdown)) {
		return
	}
	e.owner.Do(func() {
		r.loading = false
		e.freeIfUnused(r)
	})
}

// acquireRetryInterval is the delay before asking the weight store again after it
// failed.
const acquireRetryInterval = 200 * time.Millisecond

// acquirePermit acquires a permit for the load of r from the weight store, and
// retries until it succeeds. It returns false if the boot ends first.
func (e *Engine) acquirePermit(r *resident) (release func(), slowdown float64, ok bool) {
	if e.config.Weights == nil {
		return func() {}, 1, true
	}
	request := backinghttp.LoadRequest{Engine: e.config.ID, Name: r.key.name, Adapter: r.key.adapter}
	for {
		permit, err := e.config.Weights.Acquire(r.boot, request)
		if err == nil {
			return func() { e.releasePermit(permit.ID) }, permit.Slowdown, true
		}
		if !e.sleep(r.boot, acquireRetryInterval) {
			return func() {}, 0, false
		}
	}
}

// releaseTimeout bounds the call that releases a permit. Permits that are not
// released expire in the weight store.
const releaseTimeout = time.Second

func (e *Engine) releasePermit(permit string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = e.config.Weights.Release(ctx, permit)
}

func (e *Engine) usedMB() int {
	used := 0
	for _, r := range e.residents {
		used += r.memoryMB
	}
	return used
}

// findReady returns the ready entry with the given name and version, or nil. If
// version is empty, it returns the one with the greatest version.
func (e *Engine) findReady(name, version string, adapter bool) *resident {
	if version != "" {
		if r := e.residents[entryKey{name, version, adapter}]; r != nil && r.ready() {
			return r
		}
		return nil
	}
	var found *resident
	for key, r := range e.residents {
		if key.name == name && key.adapter == adapter && r.ready() && (found == nil || found.key.version < key.version) {
			found = r
		}
	}
	return found
}

// HighestToken returns the highest fencing token seen since the last restart. It
// is zero unless Config.ChecksTokens is set.
func (e *Engine) HighestToken() fleet.Token {
	var t fleet.Token
	e.owner.Do(func() { t = e.highestToken })
	return t
}
