// Package retry implements a retry budget: it limits retries to a share of the
// requests in a sliding window, over the whole fleet. Each instance counts its own
// requests and retries and publishes the counts in its heartbeats, and retries only
// while its own ratio and the fleet's are within the budget. The package does no
// I/O and reads no clock; whether a request is safe to repeat is decided elsewhere.
package retry

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

const (
	bucketCount = 20 // buckets per window
	// maxReportWindows is the age, in windows, at which the counts of another
	// instance are ignored.
	maxReportWindows = 2
)

// Limits configure the retry budget of one instance.
type Limits struct {
	// Window is the length of the sliding window in which requests and retries are
	// counted.
	Window time.Duration
	// Ratio is the largest allowed ratio of retries to requests.
	Ratio float64
	// MinPerSecond is the rate of retries allowed above Ratio, so that an instance
	// with few requests can retry at all.
	MinPerSecond float64
	// Burst is the number of retries allowed at once above Ratio; values below 1
	// count as 1.
	Burst float64
}

// DefaultLimits returns the limits for deployments that configure none.
func DefaultLimits() Limits {
	return Limits{Window: 10 * time.Second, Ratio: 0.1, MinPerSecond: 1, Burst: 1}
}

// Counts holds the requests and retries in one window.
type Counts struct {
	Requests uint32
	Retries  uint32
}

// Budget is the retry budget of one instance. It is not safe for concurrent
// use; the control goroutine owns it.
type Budget struct {
	limits       Limits
	buckets      [bucketCount]Counts
	windowSum    Counts
	latestBucket int64 // number of the newest bucket, counted from the Unix epoch
	tokens       float64
	refilledAt   time.Time // time of the last refill of tokens
	peers        map[fleet.InstanceID]peerCounts
}

// peerCounts holds the counts in another instance's last heartbeat.
type peerCounts struct {
	counts     Counts
	receivedAt time.Time // when the heartbeat arrived
}

// New returns a budget without counts and with a full burst.
func New(now time.Time, limits Limits) *Budget {
	b := &Budget{limits: limits, tokens: max(limits.Burst, 1), refilledAt: now, peers: make(map[fleet.InstanceID]peerCounts)}
	b.latestBucket = b.bucket(now)
	return b
}

// SetLimits changes all limits except Window.
func (b *Budget) SetLimits(limits Limits) {
	limits.Window = b.limits.Window
	b.limits = limits
	b.tokens = min(b.tokens, max(limits.Burst, 1))
}

// bucket returns the number of the bucket for t, counted from the Unix epoch.
func (b *Budget) bucket(t time.Time) int64 {
	return t.UnixNano() / int64(b.limits.Window/bucketCount)
}

// CountRequest counts a request that is sent for the first time.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.buckets[b.latestBucket%bucketCount].Requests++
	b.windowSum.Requests++
}

// AllowRetry reports whether a request may be sent again and counts the retry if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.advance(now)
	if !b.withinRatios(now) && !b.takeToken() {
		return false
	}
	b.buckets[b.latestBucket%bucketCount].Retries++
	b.windowSum.Retries++
	return true
}

// withinRatios reports whether one more retry keeps the ratios of this instance and
// of the fleet within the budget. The own ratio keeps the fleet within the budget
// between two heartbeats, when newer retries of other instances are not yet known.
func (b *Budget) withinRatios(now time.Time) bool {
	fleetCounts := b.FleetCounts(now)
	return b.withinRatio(b.windowSum) && b.withinRatio(fleetCounts)
}

// withinRatio reports whether one more retry keeps the ratio of c within the budget.
func (b *Budget) withinRatio(c Counts) bool {
	return float64(c.Retries+1) <= b.limits.Ratio*float64(c.Requests)
}

// takeToken uses one of the tokens that MinPerSecond adds. It reports false if none
// is left.
func (b *Budget) takeToken() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// advance refills the tokens and drops the buckets that left the window.
func (b *Budget) advance(now time.Time) {
	if dt := now.Sub(b.refilledAt); dt > 0 {
		b.tokens = min(b.tokens+dt.Seconds()*b.limits.MinPerSecond, max(b.limits.Burst, 1))
		b.refilledAt = now
	}
	n := b.bucket(now)
	for steps := 0; b.latestBucket < n && steps < bucketCount; steps++ {
		b.latestBucket++
		old := &b.buckets[b.latestBucket%bucketCount]
		b.windowSum.Requests -= old.Requests
		b.windowSum.Retries -= old.Retries
		*old = Counts{}
	}
	b.latestBucket = max(b.latestBucket, n)
}

// OwnCounts returns this instance's counts in the window, for its heartbeat.
func (b *Budget) OwnCounts(now time.Time) Counts {
	b.advance(now)
	return b.windowSum
}

// SetPeerCounts replaces another instance's counts with those in its heartbeat.
func (b *Budget) SetPeerCounts(now time.Time, peer fleet.InstanceID, c Counts) {
	b.peers[peer] = peerCounts{counts: c, receivedAt: now}
}

// RemovePeer removes the counts of an instance that is dead or has left.
func (b *Budget) RemovePeer(peer fleet.InstanceID) { delete(b.peers, peer) }

// FleetCounts returns the summed counts of all instances, without outdated ones.
func (b *Budget) FleetCounts(now time.Time) Counts {
	sum := b.OwnCounts(now)
	for _, m := range b.peers {
		if now.Sub(m.receivedAt) < maxReportWindows*b.limits.Window {
			sum.Requests += m.counts.Requests
			sum.Retries += m.counts.Retries
		}
	}
	return sum
}
