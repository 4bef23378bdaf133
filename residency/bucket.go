package residency

import "time"

// Limits bounds the rate at which loads from the weight store begin.
type Limits struct {
	// In any Window, at most rate × Window × Excess + storeBurstLoads loads may
	// begin.
	Window time.Duration
	Excess float64
}

const (
	// storeBurstLoads is the number of loads that the weight store tolerates
	// beyond its rate in any window.
	storeBurstLoads = 3
	// usedExcessShare is the part of the allowed excess that is used. The rest
	// covers the varying delay of orders on their way to replicas.
	usedExcessShare = 0.5
	// initialTokens is the number of loads that may begin at once in a new
	// term. The previous holder may have used the full rate until it stopped.
	initialTokens = 1
)

// burst returns the capacity of the token bucket: the number of loads that may
// begin at once.
func (l Limits) burst(perSecond float64) float64 {
	return storeBurstLoads + usedExcessShare*max(0, l.Excess-1)*perSecond*l.Window.Seconds()
}

// tokenBucket limits the rate of loads from the weight store.
type tokenBucket struct {
	tokens     float64
	lastRefill time.Time
}

func newTokenBucket(now time.Time) tokenBucket {
	return tokenBucket{tokens: initialTokens, lastRefill: now}
}

// hasToken refills the bucket and reports whether a load may begin now.
func (b *tokenBucket) hasToken(now time.Time, perSecond float64, limits Limits) bool {
	b.tokens = min(b.tokens+now.Sub(b.lastRefill).Seconds()*perSecond, limits.burst(perSecond))
	b.lastRefill = now
	return b.tokens >= 1
}

// takeToken consumes the token of one load and reports whether there was one.
func (b *tokenBucket) takeToken(now time.Time, perSecond float64, limits Limits) bool {
	if !b.hasToken(now, perSecond, limits) {
		return false
	}
	b.tokens--
	return true
}
