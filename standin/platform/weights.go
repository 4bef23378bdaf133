package standinplatform

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
)

// WeightConfig configures the limits of the weight store. A zero field means no
// limit unless its comment says otherwise.
type WeightConfig struct {
	ModelLoadsPerSecond     float64 // maximum rate of new model loads
	ModelLoadsAtFullSpeed   int     // number of concurrent model loads that still run at full speed
	AdapterLoadsAtFullSpeed int     // number of concurrent adapter loads that still run at full speed
	// PermitTTL is the time after which a permit expires if it is not released, for
	// example because the engine crashed while loading; 0 means one minute.
	PermitTTL time.Duration
}

// weightStore grants load permits. The owner goroutine of p owns the permits.
type weightStore struct {
	p       *Platform
	config  WeightConfig
	limiter *rate.Limiter
	permits map[string]permit
}

type permit struct {
	adapter bool
	expires time.Time
}

func newWeightStore(p *Platform, c WeightConfig) *weightStore {
	if c.PermitTTL <= 0 {
		c.PermitTTL = time.Minute
	}
	limit := rate.Inf
	if c.ModelLoadsPerSecond > 0 {
		limit = rate.Limit(c.ModelLoadsPerSecond)
	}
	return &weightStore{p: p, config: c, limiter: rate.NewLimiter(limit, 1), permits: make(map[string]permit)}
}

// Acquire implements backinghttp.WeightStore.
func (w *weightStore) Acquire(ctx context.Context, r backinghttp.LoadRequest) (backinghttp.Permit, error) {
	if !r.Adapter {
		if err := w.limiter.Wait(ctx); err != nil {
			return backinghttp.Permit{}, fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
		}
	}
	granted := backinghttp.Permit{ID: uuid.NewString()}
	err := w.p.call(ctx, Weights, true, func() error {
		granted.Slowdown = w.grantPermit(time.Now(), granted.ID, r.Adapter)
		return nil
	})
	if err != nil {
		return backinghttp.Permit{}, err
	}
	return granted, nil
}

// grantPermit adds a permit, drops the expired ones, and returns the slowdown of
// its load: 1 is full speed, and 2 takes twice as long. It must run on the owner
// goroutine.
func (w *weightStore) grantPermit(now time.Time, id string, adapter bool) float64 {
	concurrentLoads := 1
	for otherID, p := range w.permits {
		switch {
		case !p.expires.After(now):
			delete(w.permits, otherID)
		case p.adapter == adapter:
			concurrentLoads++
		}
	}
	w.permits[id] = permit{adapter: adapter, expires: now.Add(w.config.PermitTTL)}
	fullSpeedLoads := w.config.ModelLoadsAtFullSpeed
	if adapter {
		fullSpeedLoads = w.config.AdapterLoadsAtFullSpeed
	}
	if fullSpeedLoads <= 0 {
		return 1
	}
	return max(1, float64(concurrentLoads)/float64(fullSpeedLoads))
}

// Release implements backinghttp.WeightStore.
func (w *weightStore) Release(ctx context.Context, id string) error {
	return w.p.call(ctx, Weights, true, func() error {
		delete(w.permits, id)
		return nil
	})
}
