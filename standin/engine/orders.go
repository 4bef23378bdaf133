package standinengine

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

// entryKey names a model or an adapter at a version.
type entryKey struct {
	name    string
	version string
	adapter bool
}

// resident is an entry that holds memory, from the acceptance of its load
// until its unload is complete.
type resident struct {
	key       entryKey
	base      string
	memoryMB  int
	loading   bool
	unloading bool
	freeing   bool          // the last request has ended; UnloadTime passes
	users     int           // accepted requests that need the entry
	settled   chan struct{} // closed when the load has ended
	boot      context.Context
}

func (r *resident) ready() bool { return !r.loading && !r.unloading }

// Order implements engine.Client. The load of a model is answered when it is
// accepted, that of an adapter when the adapter is ready, and an unload when it
// is accepted; memory stays held until the requests of the entry have ended.
func (e *Engine) Order(ctx context.Context, o engine.Order) (engine.OrderResult, error) {
	d, a, err := e.deliver(o)
	if err != nil {
		return engine.OrderResult{}, err
	}
	if a.lost {
		return engine.OrderResult{}, lost()
	}
	select {
	case <-d.arrived:
	case <-ctx.Done():
		return engine.OrderResult{}, gone(ctx)
	}
	if d.err != nil || a.answerLost {
		return engine.OrderResult{}, lost()
	}
	if d.wait == nil {
		return d.result, nil
	}
	select {
	case <-d.wait.settled:
	case <-ctx.Done():
		return engine.OrderResult{}, gone(ctx)
	}
	return e.settledResult(d)
}

// gone is the error for a sender that did not wait for the answer.
func gone(ctx context.Context) error {
	return &engine.Error{Kind: engine.Cancelled, Executed: engine.ExecutedUnknown, Err: ctx.Err()}
}

// settledResult returns the answer to a load that has ended.
func (e *Engine) settledResult(d *delivery) (engine.OrderResult, error) {
	result, died := d.result, false
	err := e.read(func() {
		died = d.wait.boot.Err() != nil
		if e.residents[d.wait.key] != d.wait {
			result.Accepted, result.Reason = false, "unloaded while loading"
		}
	})
	if err != nil || died {
		return engine.OrderResult{}, lost()
	}
	return result, nil
}

// order applies o. It returns the entry whose load the answer has to wait for.
func (e *Engine) order(o engine.Order) (engine.OrderResult, *resident) {
	outcome, reason, wait := e.applyOrder(o)
	e.counts.Orders[OrderKey{o.Kind, outcome}]++
	result := engine.OrderResult{Accepted: reason == "", Reason: reason}
	if e.config.ChecksTokens {
		result.HighestToken = e.highest
	}
	return result, wait
}

func (e *Engine) applyOrder(o engine.Order) (outcome Outcome, reason string, wait *resident) {
	if e.config.ChecksTokens {
		if o.Token.Less(e.highest) {
			return OutcomeOldToken, "token is lower than the highest seen", nil
		}
		e.highest = o.Token
	}
	switch o.Kind {
	case engine.LoadModel, engine.LoadAdapter:
		return e.load(o)
	default:
		return e.unload(o), "", nil
	}
}

func (e *Engine) load(o engine.Order) (outcome Outcome, reason string, wait *resident) {
	key := entryKey{o.Name, o.Version, o.Kind == engine.LoadAdapter}
	if r, ok := e.residents[key]; ok {
		if r.unloading {
			return OutcomeRefused, "entry is being unloaded", nil
		}
		if key.adapter {
			wait = r
		}
		return OutcomeNoEffect, "", wait
	}
	if key.adapter && e.find(o.Base, "", false) == nil {
		return OutcomeRefused, fmt.Sprintf("base model %q is not ready", o.Base), nil
	}
	used := e.usedMB() + o.MemoryMB
	if over := used - e.config.MemoryMB; over > 0 {
		if e.config.RefusesOvercommit {
			return OutcomeRefused, fmt.Sprintf("memory would be exceeded by %d MB", over), nil
		}
		e.counts.OvercommitEvents++
		e.counts.OvercommitMB = max(e.counts.OvercommitMB, over)
	}
	e.counts.PeakMB = max(e.counts.PeakMB, used)
	r := &resident{key: key, base: o.Base, memoryMB: o.MemoryMB, loading: true, settled: make(chan struct{}), boot: e.boot.ctx}
	e.residents[key] = r
	e.workers.Go(func() { e.runLoad(r) })
	if key.adapter {
		wait = r
	}
	return OutcomeDone, "", wait
}

// unload begins to unload an entry, and with a model the adapters on it.
func (e *Engine) unload(o engine.Order) Outcome {
	key := entryKey{o.Name, o.Version, o.Kind == engine.UnloadAdapter}
	r, ok := e.residents[key]
	if !ok || r.unloading {
		return OutcomeNoEffect
	}
	r.unloading = true
	if !key.adapter && e.find(key.name, "", false) == nil {
		for _, a := range e.residents {
			if a.key.adapter && a.base == key.name {
				a.unloading = true
				e.endUse(a)
			}
		}
	}
	e.endUse(r)
	return OutcomeDone
}

// endUse cuts the requests of an entry that is being unloaded, if the engine
// does so, and frees it when nothing needs it.
func (e *Engine) endUse(r *resident) {
	if e.config.CutsOnUnload {
		e.cutUsers(r)
	}
	e.freeIfUnused(r)
}

// freeIfUnused frees an unloading entry that nothing needs any more.
func (e *Engine) freeIfUnused(r *resident) {
	if !r.unloading || r.loading || r.freeing || r.users > 0 {
		return
	}
	r.freeing = true
	if e.config.UnloadTime <= 0 {
		e.remove(r)
		return
	}
	e.workers.Go(func() {
		if e.sleep(r.boot, e.config.UnloadTime) {
			e.owner.Do(func() { e.remove(r) })
		}
	})
}

func (e *Engine) remove(r *resident) {
	if e.residents[r.key] == r {
		delete(e.residents, r.key)
	}
}

// runLoad loads r and settles it. It ends early when the boot ends.
func (e *Engine) runLoad(r *resident) {
	release, slowdown, ok := e.acquire(r)
	defer release()
	defer close(r.settled) // before the release, which is a call to the weight store
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

// acquireRetry is the pause after the weight store failed.
const acquireRetry = 200 * time.Millisecond

// acquire gets a permit of the weight store, which it asks again after a failure.
func (e *Engine) acquire(r *resident) (release func(), slowdown float64, ok bool) {
	if e.config.Weights == nil {
		return func() {}, 1, true
	}
	request := backinghttp.LoadRequest{Engine: e.config.ID, Name: r.key.name, Adapter: r.key.adapter}
	for {
		permit, err := e.config.Weights.Acquire(r.boot, request)
		if err == nil {
			return func() { e.release(permit.ID) }, permit.Slowdown, true
		}
		if !e.sleep(r.boot, acquireRetry) {
			return func() {}, 0, false
		}
	}
}

// releaseTimeout bounds the return of a permit; the store ends permits that
// are not returned.
const releaseTimeout = time.Second

func (e *Engine) release(permit string) {
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

// find returns a ready entry. Without a version it returns the greatest one.
func (e *Engine) find(name, version string, adapter bool) *resident {
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

// HighestToken returns the highest fencing token seen in this boot.
func (e *Engine) HighestToken() fleet.Token {
	var t fleet.Token
	e.owner.Do(func() { t = e.highest })
	return t
}
