package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// belowLimit returns the number of requests that arrived while the customer was below its
// limit, and how many of them were refused. An ideal bucket refused nothing from 3 s before
// until 1 s after them: at the limit itself, the two buckets differ by single requests.
func (c *replayCustomer) belowLimit() (below, refused int) {
	for _, d := range c.decided {
		next, _ := slices.BinarySearch(c.over, d.arrived-3*time.Second)
		if next < len(c.over) && c.over[next] < d.arrived+time.Second {
			continue
		}
		below++
		if d.refused {
			refused++
		}
	}
	return below, refused
}

// pick returns a random index by weight.
func pick(r *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := r.Float64() * total
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

// worstWindow returns the largest ratio of what passed in a window to the bound, and the
// start of that window.
func (c *replayCustomer) worstWindow() (float64, time.Duration) {
	worst, at, sum, end := 0.0, time.Duration(0), 0.0, 0
	for start, p := range c.passed {
		for end < len(c.passed) && c.passed[end].at <= p.at+testBounds.Window {
			sum += c.passed[end].cost
			end++
		}
		quota := c.Quota // the lowered one
		if p.at < lowerAt+configTime {
			quota.PerSecond, quota.Burst = 3*quota.PerSecond, 3*quota.Burst
		}
		bound := quota.PerSecond*testBounds.Window.Seconds() + quota.Burst + testBounds.margin(quota)
		if ratio := sum / bound; ratio > worst {
			worst, at = ratio, p.at
		}
		sum -= c.passed[start].cost
	}
	return worst, at
}

// Guards against more than the bound of a limit in any window, also while the owner is lost
// or instances are cut off from it, and against refusing requests of customers that are
// below their limit: those of small customers, which are spread over all instances, and
// those of large ones whose demand moves and jumps.
//
// Requests below the limit are counted over all replays by the size of the customer: a
// small one has about twenty of them in a replay.
func TestLimitHoldsOverAllInstances(t *testing.T) {
	var mu sync.Mutex
	below, refused := make(map[string]int), make(map[string]int)
	t.Run("replays", func(t *testing.T) {
		for instances, replays := range map[int]int{6: 7, 86: 7, 420: 3} { // those of 420 take long
			for _, s := range []scenario{
				{instances, 0.1, 38 * time.Second, 1, false},
				{instances, 0.5, 38 * time.Second, 5, true},
				{instances, 0.5, ownerFound - time.Second, 5, false}, // a new owner does not hear all instances
				{instances, 0.1, 38 * time.Second, 5, false},
				{instances, 0.5, 38 * time.Second, 5, false},
				{instances, 0.1, 38 * time.Second, 1, true},
				{instances, 0.5, 38 * time.Second, 1, false},
			}[:replays] {
				seed := rand.Uint64()
				t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
					t.Parallel()
					r := runReplay(seed, s)
					mu.Lock()
					defer mu.Unlock()
					t.Logf("seed %d, %+v: %d messages", seed, s, r.messages)
					for _, c := range r.customers {
						worst, at := c.worstWindow()
						total, tooMany := c.belowLimit()
						below[c.size] += total
						refused[c.size] += tooMany
						t.Logf("%-10s passed %.2f of the bound (window from %v), %.2f of the demand, %.2f without owner; below the limit %d of %d refused",
							c.Name, worst, at.Round(time.Millisecond), c.admitted/c.offered, c.lostAdmitted/c.lostOffered, tooMany, total)
						if worst > 1 {
							t.Errorf("%s: more than the bound passed", c.Name)
						}
					}
				})
			}
		}
	})
	for size, n := range below {
		t.Logf("%s: %d of %d requests below the limit refused", size, refused[size], n)
		if n < 400 || refused[size]*200 > n {
			t.Errorf("%s: %d of %d requests below the limit refused", size, refused[size], n)
		}
	}
}
