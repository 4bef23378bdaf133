package ratelimit

import (
	"math"
	"time"
)

// maxGrants is the number of grants that are kept apart.
const maxGrants = 4

// grant is an amount of tokens that can be used before a time.
type grant struct {
	amount  float64
	expires time.Time
	owner   int64 // 0 if the tokens of several owners are merged
}

// grants holds the unused grants of one customer, in the order in which they expire.
type grants struct {
	list  [maxGrants]grant
	count int
}

// add adds a grant. If there are too many, it is merged with the last one and expires with
// the earlier of the two.
func (g *grants) add(now time.Time, next grant) {
	g.expire(now)
	if g.count == maxGrants {
		g.count--
		last := g.list[g.count]
		next.amount += last.amount
		if last.expires.Before(next.expires) {
			next.expires = last.expires
		}
		if last.owner != next.owner {
			next.owner = 0
		}
	}
	i := g.count
	for ; i > 0 && next.expires.Before(g.list[i-1].expires); i-- {
		g.list[i] = g.list[i-1]
	}
	g.list[i] = next
	g.count++
}

// drop removes the n oldest grants.
func (g *grants) drop(n int) {
	copy(g.list[:], g.list[n:g.count])
	g.count -= n
}

func (g *grants) expire(now time.Time) {
	n := 0
	for n < g.count && (g.list[n].amount <= 0 || !now.Before(g.list[n].expires)) {
		n++
	}
	if n > 0 {
		g.drop(n)
	}
}

// sum returns the amount that can be used.
func (g *grants) sum(now time.Time) float64 {
	g.expire(now)
	total := 0.0
	for _, have := range g.list[:g.count] {
		total += have.amount
	}
	return total
}

// take uses an amount of the oldest grants. It returns false if there is less.
func (g *grants) take(now time.Time, amount float64) bool {
	if g.sum(now) < amount {
		return false
	}
	for i := range g.list[:g.count] {
		used := min(g.list[i].amount, amount)
		g.list[i].amount -= used
		amount -= used
	}
	return true
}

// takeOld removes the grants of the owner that have less than half of their time left, and
// returns their amount.
func (g *grants) takeOld(now time.Time, owner int64) float64 {
	g.expire(now)
	total, n := 0.0, 0
	for n < g.count && g.list[n].expires.Sub(now) < GrantLifetime/2 {
		if g.list[n].owner == owner {
			total += g.list[n].amount
		}
		n++
	}
	g.drop(n)
	return total
}

// takeAll removes all grants and returns the amount of those of the owner.
func (g *grants) takeAll(owner int64) float64 {
	total := 0.0
	for _, have := range g.list[:g.count] {
		if have.owner == owner {
			total += have.amount
		}
	}
	g.count = 0
	return total
}

// averageTime is the time constant of average.
const averageTime = time.Second

// average is a moving average of an amount per second.
type average struct {
	value float64
	at    time.Time
}

func (a *average) decay(now time.Time) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		a.value *= math.Exp(-elapsed.Seconds() / averageTime.Seconds())
		a.at = now
	}
}

func (a *average) add(now time.Time, amount float64) {
	a.decay(now)
	a.value += amount / averageTime.Seconds()
}

func (a *average) perSecond(now time.Time) float64 {
	a.decay(now)
	return a.value
}
