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

// WeightConfig limits the weight store. Zero fields mean no limit.
type WeightConfig struct {
	LoadsPerSecond float64 // model loads that may start per second
	Loads          int     // model loads in transit at full speed
	AdapterLoads   int     // adapter loads in transit at full speed
	// PermitTime is how long a permit counts if it is not released, as when
	// an engine dies while loading; 0 means one minute.
	PermitTime time.Duration
}

// weightStore gives permits. The permits belong to the owner goroutine of p.
type weightStore struct {
	p       *Platform
	config  WeightConfig
	limiter *rate.Limiter
	permits map[string]permit
}

type permit struct {
	adapter bool
	ends    time.Time
}

func newWeightStore(p *Platform, c WeightConfig) *weightStore {
	if c.PermitTime <= 0 {
		c.PermitTime = time.Minute
	}
	limit := rate.Inf
	if c.LoadsPerSecond > 0 {
		limit = rate.Limit(c.LoadsPerSecond)
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
		granted.Slowdown = w.grant(time.Now(), granted.ID, r.Adapter)
		return nil
	})
	if err != nil {
		return backinghttp.Permit{}, err
	}
	return granted, nil
}

// grant records a permit and returns how much slower than full speed its load is.
func (w *weightStore) grant(now time.Time, id string, adapter bool) float64 {
	inTransit := 1
	for other, p := range w.permits {
		switch {
		case !p.ends.After(now):
			delete(w.permits, other)
		case p.adapter == adapter:
			inTransit++
		}
	}
	w.permits[id] = permit{adapter: adapter, ends: now.Add(w.config.PermitTime)}
	fullSpeed := w.config.Loads
	if adapter {
		fullSpeed = w.config.AdapterLoads
	}
	if fullSpeed <= 0 {
		return 1
	}
	return max(1, float64(inTransit)/float64(fullSpeed))
}

// Release implements backinghttp.WeightStore.
func (w *weightStore) Release(ctx context.Context, id string) error {
	return w.p.call(ctx, Weights, true, func() error {
		delete(w.permits, id)
		return nil
	})
}
