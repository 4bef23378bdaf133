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
	// Window is the time over which requests and retries are counted.
	Window      = 10 * time.Second
	bucketCount = 20
	bucketTime  = Window / bucketCount
	// Ratio is the part of the requests that may be retried.
	Ratio = 0.1
	// MinPerSecond is the rate of retries that an instance may always make, so
	// that a quiet instance can retry at all.
	MinPerSecond = 1.0
	// counts of members older than this are left out.
	memberTimeout = 2 * Window
)

// Counts is what one instance did in the last Window.
type Counts struct {
	Requests uint32
	Retries  uint32
}

// Budget is the retry budget of one instance. It is not safe for concurrent
// use; the control goroutine owns it.
type Budget struct {
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
func New(now time.Time) *Budget {
	return &Budget{
		latest: now.UnixNano() / int64(bucketTime), tokens: MinPerSecond, filled: now,
		members: make(map[fleet.InstanceID]report),
	}
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
	return below(b.sum) && below(f)
}

func below(c Counts) bool { return float64(c.Retries+1) <= Ratio*float64(c.Requests) }

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
		b.tokens = min(b.tokens+dt.Seconds()*MinPerSecond, max(MinPerSecond, 1))
		b.filled = now
	}
	n := now.UnixNano() / int64(bucketTime)
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
		if now.Sub(m.at) < memberTimeout {
			sum.Requests += m.counts.Requests
			sum.Retries += m.counts.Retries
		}
	}
	return sum
}
