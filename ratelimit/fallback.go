package ratelimit

import (
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// creditTime is the time in contact after which an instance that has used its credit can
// use it again. It is the usual window, so that links that break often stay within the
// margin.
const creditTime = 8 * time.Second

// fallback is what an instance can use without an owner: its share of a part of the margin
// at once, and its share of the rate once the owner reserves it.
type fallback struct {
	share    float64 // of the rate and of the margin
	assigned float64 // sum of the shares of all instances
	level    float64
	filledAt time.Time
	// deposited is the credit that the pending request leaves to a deputy.
	deposited float64
}

// keep refills the credit while the client has an owner. One that has a deputy gets none.
func (f *fallback) keep(now time.Time, q catalog.Quota, b Bounds, delegated bool) {
	f.deposited = 0
	if delegated {
		f.filledAt = now
		return
	}
	credit := f.share * creditPart * b.margin(q)
	f.level = min(f.level+credit*now.Sub(f.filledAt).Seconds()/creditTime.Seconds(), credit)
	f.filledAt = now
}

// deposit empties the credit for a request to a deputy, and withdraw restores it if the
// request fails. A deputy that has received it and answers late has its grants ignored.
func (f *fallback) deposit() float64 {
	f.deposited, f.level = f.deposited+f.level, 0
	return f.deposited
}

func (f *fallback) withdraw() { f.level, f.deposited = f.level+f.deposited, 0 }

// refill adds the share of the rate since the time from which the owner reserves it.
func (f *fallback) refill(now, contactAt, ownerAt time.Time, q catalog.Quota, b Bounds) {
	from := contactAt.Add(fallbackDelay)
	if from.Before(f.filledAt) {
		from = f.filledAt
	}
	f.filledAt = now
	elapsed := now.Sub(from)
	if elapsed <= 0 {
		return
	}
	rate := f.share * q.PerSecond
	if !ownerAt.IsZero() && now.Sub(ownerAt) > reservationTime {
		rate *= lateFallbackRatio
	}
	f.level = min(f.level+rate*elapsed.Seconds(), f.limit(q, b))
}

// limit returns the largest level.
func (f *fallback) limit(q catalog.Quota, b Bounds) float64 {
	return f.share * b.savings(q)
}

// ownerExpected reports whether the owner has answered shortly before and is asked again,
// or is about to be asked for the first time, so that a request can wait for the answer.
func (c *Client) ownerExpected(now time.Time) bool {
	if c.contactAt.IsZero() {
		return c.sequence == 0 || c.pending && c.sequence == 1
	}
	return c.pending && now.Sub(c.contactAt) < fallbackDelay
}

// takeWithoutOwner decides about a request while the client has no owner.
//
// The shares of small customers are less than one request. Such a request is admitted with
// a probability of what is left divided by its cost, and uses all that is left: this admits
// the share on average, whereas the share itself would admit nothing.
func (c *Client) takeWithoutOwner(now time.Time, a *account, cost float64) (Verdict, time.Duration) {
	f := &a.fallback
	f.refill(now, c.contactAt, c.ownerAt, a.quota, c.bounds)
	switch limit := f.limit(a.quota, c.bounds); {
	case f.level >= cost:
		f.level -= cost
		return Admit, 0
	case limit < cost:
		admitted := c.rand.Float64()*cost < f.level
		f.level = 0
		if admitted {
			return Admit, 0
		}
		return Refuse, c.spread(noShareRetry)
	default:
		return Refuse, c.spread(min(inSeconds((cost-f.level)/(f.share*a.quota.PerSecond)), noShareRetry))
	}
}

// spread returns a random time around d.
func (c *Client) spread(d time.Duration) time.Duration {
	return max(minRetryAfter, time.Duration((1-retryJitter+2*retryJitter*c.rand.Float64())*float64(d)))
}
