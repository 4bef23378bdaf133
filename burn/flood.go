package burn

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

const (
	// floodMedianFactor is the multiple of the median per minute that the arrivals
	// of a rank must exceed for a minute to count as flooded.
	floodMedianFactor = 3
	// minFloodArrivals is the minimum number of arrivals in a flooded minute. It
	// keeps a few requests after an idle period from counting as a flood.
	minFloodArrivals = 60
)

// Flood describes the minutes of the longest window in which the arrivals of a
// rank exceeded a multiple of their median, and the service of the other ranks
// in these minutes.
type Flood struct {
	Rank    fleet.Rank
	Median  uint64 // arrivals per minute
	Minutes int    // number of flooded minutes
	Peak    uint64 // arrivals in the busiest minute
	Others  []FloodImpact
}

// FloodImpact compares the service of a rank in the minutes flooded by another rank
// with its service in the other minutes of the window. A minute flooded by
// several ranks counts as flooded for each of them.
type FloodImpact struct {
	Rank                            fleet.Rank
	ValidFlood, ValidCalm           uint64
	AttainmentFlood, AttainmentCalm float64
	GoodPerMinuteFlood              float64
	GoodPerMinuteCalm               float64
}

// detectFloods returns the floods of the longest window, most urgent rank first.
func (t *Total) detectFloods(now time.Time) []Flood {
	var out []Flood
	windowMinutes := int(Windows[len(Windows)-1] / time.Minute)
	first := bucketIndex(now, time.Minute) - int64(windowMinutes) + 1
	for i := range t.ranks {
		rank := fleet.Rank(i)
		arrivals := arrivalsPerMinute(&t.ranks[i], first, windowMinutes)
		median := medianSinceFirstArrival(arrivals)
		f := Flood{Rank: rank, Median: median}
		flooded := make([]bool, windowMinutes)
		for m, n := range arrivals {
			if n >= minFloodArrivals && n > floodMedianFactor*median {
				flooded[m] = true
				f.Minutes++
				f.Peak = max(f.Peak, n)
			}
		}
		if f.Minutes == 0 {
			continue
		}
		for _, other := range fleet.Ranks() {
			if other != rank {
				f.Others = append(f.Others, compareFloodedMinutes(other, &t.ranks[other], first, flooded))
			}
		}
		out = append(out, f)
	}
	return out
}

// arrivalsPerMinute returns the arrivals in each minute of a window, which starts
// at the minute with index first and is windowMinutes long.
func arrivalsPerMinute(s *Series, first int64, windowMinutes int) []uint64 {
	arrivals := make([]uint64, windowMinutes)
	for i := range s.Minutes {
		if minute := s.Minutes[i].Index - first; minute >= 0 && minute < int64(windowMinutes) {
			arrivals[minute] = s.Minutes[i].Counts[Received]
		}
	}
	return arrivals
}

// medianSinceFirstArrival returns the median of the arrivals per minute, without
// the minutes before the first arrival: a fleet that started within the window
// has none there.
func medianSinceFirstArrival(arrivals []uint64) uint64 {
	start := slices.IndexFunc(arrivals, func(n uint64) bool { return n > 0 })
	if start < 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(arrivals[start:]))
	return sorted[len(sorted)/2]
}

// compareFloodedMinutes returns the service of a rank in the flooded minutes and
// in the other minutes of the window that starts at the minute with index first.
func compareFloodedMinutes(rank fleet.Rank, s *Series, first int64, flooded []bool) FloodImpact {
	var during, calm Counts
	var floodMinutes, calmMinutes int
	for _, f := range flooded {
		if f {
			floodMinutes++
		}
	}
	for i := range s.Minutes {
		minute := s.Minutes[i].Index - first
		if minute < 0 || minute >= int64(len(flooded)) {
			continue
		}
		if flooded[minute] {
			during.Add(&s.Minutes[i].Counts)
			continue
		}
		calm.Add(&s.Minutes[i].Counts)
		calmMinutes++ // minutes without a bucket, such as those before the first request, are not counted
	}
	return FloodImpact{
		Rank: rank, ValidFlood: during.Valid(), ValidCalm: calm.Valid(),
		AttainmentFlood: during.Attainment(), AttainmentCalm: calm.Attainment(),
		GoodPerMinuteFlood: float64(during[Good]) / float64(max(floodMinutes, 1)),
		GoodPerMinuteCalm:  float64(calm[Good]) / float64(max(calmMinutes, 1)),
	}
}
