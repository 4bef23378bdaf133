// Package retry decides whether idempotent work may be sent again. Retries are
// limited to a part of the requests of the last seconds, over the whole fleet:
// each instance counts its own requests and retries, the counts travel in
// heartbeats, and an instance retries only while its own ratio and the ratio
// of the fleet are within the budget. The package does no I/O and reads no clock.
package retry

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

const (
	bucketCount = 20
	// counts of members older than this number of windows are left out.
	memberWindows = 2
)

// Limits bound the retries of one instance.
type Limits struct {
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Ratio is the part of the requests that may be retried.
	Ratio float64
	// MinPerSecond is the rate of retries that an instance may always make, so
	// that a quiet instance can retry at all.
	MinPerSecond float64
	// Burst is the number of such retries that may come at once; at least 1.
	Burst float64
}

// DefaultLimits are the limits where the deployment states none.
func DefaultLimits() Limits {
	return Limits{Window: 10 * time.Second, Ratio: 0.1, MinPerSecond: 1, Burst: 1}
}

// Counts is what one instance did in the last window.
type Counts struct {
	Requests uint32
	Retries  uint32
}

// Budget is the retry budget of one instance. It is not safe for concurrent
// use; the control goroutine owns it.
type Budget struct {
	limits  Limits
	buckets [bucketCount]Counts
	sum     Counts
	latest  int64 // number of the newest bucket since the epoch
	tokens  float64
	filled  time.Time // time of tokens
	members map[fleet.InstanceID]report
}

type report struct {
	counts Counts
	at     time.Time
}

// New returns a budget without counts.
func New(now time.Time, limits Limits) *Budget {
	b := &Budget{limits: limits, tokens: max(limits.Burst, 1), filled: now, members: make(map[fleet.InstanceID]report)}
	b.latest = b.bucket(now)
	return b
}

// SetLimits changes the limits. The window stays as it is.
func (b *Budget) SetLimits(limits Limits) {
	limits.Window = b.limits.Window
	b.limits = limits
	b.tokens = min(b.tokens, max(limits.Burst, 1))
}

// bucket returns the number of the bucket that holds t.
func (b *Budget) bucket(t time.Time) int64 {
	return t.UnixNano() / int64(b.limits.Window/bucketCount)
}

// Request counts a request that is sent for the first time.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.buckets[b.latest%bucketCount].Requests++
	b.sum.Requests++
}

// Allow reports whether a request may be sent again and counts the retry if so.
func (b *Budget) Allow(now time.Time) bool {
	b.advance(now)
	if !b.within(now) && !b.take() {
		return false
	}
	b.buckets[b.latest%bucketCount].Retries++
	b.sum.Retries++
	return true
}

// within reports whether one more retry keeps both ratios. The own ratio is
// checked as well, so that the retries made between two heartbeats of all
// instances together stay within the budget.
func (b *Budget) within(now time.Time) bool {
	f := b.Fleet(now)
	return b.below(b.sum) && b.below(f)
}

func (b *Budget) below(c Counts) bool {
	return float64(c.Retries+1) <= b.limits.Ratio*float64(c.Requests)
}

// take uses the minimum rate.
func (b *Budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) advance(now time.Time) {
	if dt := now.Sub(b.filled); dt > 0 {
		b.tokens = min(b.tokens+dt.Seconds()*b.limits.MinPerSecond, max(b.limits.Burst, 1))
		b.filled = now
	}
	n := b.bucket(now)
	for steps := 0; b.latest < n && steps < bucketCount; steps++ {
		b.latest++
		old := &b.buckets[b.latest%bucketCount]
		b.sum.Requests -= old.Requests
		b.sum.Retries -= old.Retries
		*old = Counts{}
	}
	b.latest = max(b.latest, n)
}

// Own returns this instance's counts for its heartbeat.
func (b *Budget) Own(now time.Time) Counts {
	b.advance(now)
	return b.sum
}

// Merge adopts the counts in another instance's heartbeat.
func (b *Budget) Merge(now time.Time, member fleet.InstanceID, c Counts) {
	b.members[member] = report{counts: c, at: now}
}

// Forget drops an instance that is dead or has left.
func (b *Budget) Forget(member fleet.InstanceID) { delete(b.members, member) }

// Fleet returns the counts of all instances.
func (b *Budget) Fleet(now time.Time) Counts {
	sum := b.Own(now)
	for _, m := range b.members {
		if now.Sub(m.at) < memberWindows*b.limits.Window {
			sum.Requests += m.counts.Requests
			sum.Retries += m.counts.Retries
		}
	}
	return sum
}
