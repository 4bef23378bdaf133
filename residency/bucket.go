package residency

import "time"

// bucket limits loads from the weight store.
type bucket struct {
	tokens float64
	at     time.Time
}

func newBucket(now time.Time) bucket { return bucket{tokens: startLoads, at: now} }

// take uses one load. A spare load leaves one for models that are missed.
func (b *bucket) take(now time.Time, perSecond float64, spare bool) bool {
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*perSecond, loadBurst)
	b.at = now
	if b.tokens < 1 || (spare && b.tokens < 2) {
		return false
	}
	b.tokens--
	return true
}
