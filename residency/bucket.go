package residency

import "time"

// Limits bound the loads that begin at the weight store.
type Limits struct {
	// In any Window, at most rate × Window × Excess + a few loads may begin.
	Window time.Duration
	Excess float64
}

const (
	// fewLoads is the number of loads beyond the rate that the weight store bears
	// in any window.
	fewLoads = 3
	// excessShare is the part of the allowed excess that is used: orders reach
	// replicas earlier or later than others.
	excessShare = 0.5
	// startLoads is the number of loads that may begin at once in a new term: the
	// predecessor may have used the rate until it stopped.
	startLoads = 1
)

// burst returns the number of loads that may begin at once.
func (l Limits) burst(perSecond float64) float64 {
	return fewLoads + excessShare*max(0, l.Excess-1)*perSecond*l.Window.Seconds()
}

// bucket limits loads from the weight store.
type bucket struct {
	tokens float64
	at     time.Time
}

func newBucket(now time.Time) bucket { return bucket{tokens: startLoads, at: now} }

// ready reports whether a load may begin now.
func (b *bucket) ready(now time.Time, perSecond float64, limits Limits) bool {
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*perSecond, limits.burst(perSecond))
	b.at = now
	return b.tokens >= 1
}

// take uses one load, if one may begin now.
func (b *bucket) take(now time.Time, perSecond float64, limits Limits) bool {
	if !b.ready(now, perSecond, limits) {
		return false
	}
	b.tokens--
	return true
}
