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

// Guards against instances that together exceed the fleet's retry budget, for any
// order of requests, retries and heartbeats.
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
				budgets[i].CountRequest(now)
				requests++
			case 1, 2:
				if budgets[i].AllowRetry(now) {
					retries++
				}
			default:
				for j, b := range budgets {
					if j != i {
						b.SetPeerCounts(now, fleet.InstanceID(rune('a'+i)), budgets[i].OwnCounts(now))
					}
				}
			}
		}
		maxRetries := limits.Ratio*float64(requests) + float64(len(budgets))*(1+limits.MinPerSecond*now.Sub(epoch).Seconds())
		if float64(retries) > maxRetries+1e-6 {
			t.Fatalf("%d retries of %d requests in %v, at most %.1f", retries, requests, now.Sub(epoch), maxRetries)
		}
	})
}

// Guards against an instance that keeps retrying while the fleet's ratio exceeds
// the budget, and against counts that never leave the window.
func TestFleetRatioStopsRetries(t *testing.T) {
	is := is.New(t)
	b := New(epoch, limits)
	for range 1000 {
		b.CountRequest(epoch)
	}
	is.True(b.AllowRetry(epoch))
	b.SetPeerCounts(epoch, "other", Counts{Requests: 1000, Retries: 900})
	is.True(b.AllowRetry(epoch)) // uses a MinPerSecond token
	is.True(!b.AllowRetry(epoch))
	b.RemovePeer("other")
	is.True(b.AllowRetry(epoch))
	later := epoch.Add(limits.Window + time.Second)
	is.Equal(b.OwnCounts(later), Counts{})
	is.True(b.AllowRetry(later))
	is.True(!b.AllowRetry(later)) // no requests in the window: only MinPerSecond tokens
}

// Guards against requests counted after they left the window, or dropped before,
// in particular after pauses longer than the window.
func TestCountsCoverTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(epoch, limits), epoch
		var times []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			b.CountRequest(now)
			times = append(times, now)
		}
		maxCount, minCount := 0, 0
		for _, at := range times {
			if now.Sub(at) <= limits.Window {
				maxCount++
			}
			if now.Sub(at) < limits.Window-limits.Window/bucketCount {
				minCount++
			}
		}
		if got := int(b.OwnCounts(now).Requests); got < minCount || got > maxCount {
			t.Fatalf("counted %d requests, want between %d and %d", got, minCount, maxCount)
		}
	})
}
