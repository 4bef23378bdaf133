package retry

import (
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var limits = DefaultLimits()

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against instances that together retry more than the budget of the
// fleet, whatever the order of requests, failures and heartbeats.
func TestFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		budgets := make([]*Budget, 3)
		for i := range budgets {
			budgets[i] = New(now, DefaultLimits())
		}
		requests, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(budgets)-1).Draw(t, "instance")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				budgets[i].Request(now)
				requests++
			case 1, 2:
				if budgets[i].Allow(now) {
					retries++
				}
			default:
				for j, b := range budgets {
					if j != i {
						b.Merge(now, fleet.InstanceID(rune('a'+i)), budgets[i].Own(now))
					}
				}
			}
		}
		most := limits.Ratio*float64(requests) + float64(len(budgets))*(1+limits.MinPerSecond*now.Sub(epoch).Seconds())
		if float64(retries) > most+1e-6 {
			t.Fatalf("%d retries of %d requests in %v, at most %.1f", retries, requests, now.Sub(epoch), most)
		}
	})
}

// Guards against an instance that goes on retrying while the fleet's ratio is
// above the budget, and against counts that never age.
func TestFleetRatioStopsRetries(t *testing.T) {
	is := is.New(t)
	b := New(epoch, limits)
	for range 1000 {
		b.Request(epoch)
	}
	is.True(b.Allow(epoch))
	b.Merge(epoch, "other", Counts{Requests: 1000, Retries: 900})
	is.True(b.Allow(epoch)) // the minimum rate
	is.True(!b.Allow(epoch))
	b.Forget("other")
	is.True(b.Allow(epoch))
	later := epoch.Add(limits.Window + time.Second)
	is.Equal(b.Own(later), Counts{})
	is.True(b.Allow(later))
	is.True(!b.Allow(later)) // no requests in the window: only the minimum rate
}

// Guards against counts that stay wrong after a long pause.
func TestCountsAfterAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(epoch, limits), epoch
		var times []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			b.Request(now)
			times = append(times, now)
		}
		most, least := 0, 0
		for _, at := range times {
			if now.Sub(at) <= limits.Window {
				most++
			}
			if now.Sub(at) < limits.Window-limits.Window/bucketCount {
				least++
			}
		}
		if got := int(b.Own(now).Requests); got < least || got > most {
			t.Fatalf("counted %d requests, want between %d and %d", got, least, most)
		}
	})
}
