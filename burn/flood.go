package burn

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

const (
	// floodFactor is the multiple of its own median at which a rank's arrivals
	// in a minute count as a flood.
	floodFactor = 3
	// floodMinimum is the least number of arrivals in a minute that can be a
	// flood, so that a few requests after a quiet night are none.
	floodMinimum = 60
)

// Flood describes the minutes of the longest window in which one rank's
// arrivals exceeded a multiple of their own median, and what the other ranks
// kept meanwhile.
type Flood struct {
	Rank    fleet.Rank
	Median  uint64 // arrivals per minute
	Minutes int    // flooded minutes
	Peak    uint64 // arrivals in the worst minute
	Others  []Kept
}

// Kept compares the service of a rank in the flooded minutes of another with
// its service in all other minutes of the window. Minutes in which several
// ranks flooded count for each of them.
type Kept struct {
	Rank                    fleet.Rank
	ValidFlood, ValidCalm   uint64
	DuringFlood, DuringCalm float64 // attainment
	GoodPerMinuteFlood      float64
	GoodPerMinuteCalm       float64
}

// floods returns the ranks that flooded, most urgent first.
func (t *Total) floods(now time.Time) []Flood {
	var out []Flood
	window := int(Windows[len(Windows)-1] / time.Minute)
	first := indexOf(now, time.Minute) - int64(window) + 1
	for i := range t.ranks {
		rank := fleet.Rank(i)
		arrivals := perMinute(&t.ranks[i], first, window)
		median := medianOf(arrivals)
		f := Flood{Rank: rank, Median: median}
		flooded := make([]bool, window)
		for m, n := range arrivals {
			if n >= floodMinimum && n > floodFactor*median {
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
				f.Others = append(f.Others, kept(other, &t.ranks[other], first, flooded))
			}
		}
		out = append(out, f)
	}
	return out
}

// perMinute returns the arrivals of each minute of the window.
func perMinute(s *Series, first int64, window int) []uint64 {
	arrivals := make([]uint64, window)
	for i := range s.Minutes {
		if at := s.Minutes[i].Index - first; at >= 0 && at < int64(window) {
			arrivals[at] = s.Minutes[i].Counts[Asked]
		}
	}
	return arrivals
}

// medianOf returns the median since the first arrival of the window, because a
// fleet that started lately has no arrivals before.
func medianOf(arrivals []uint64) uint64 {
	start := slices.IndexFunc(arrivals, func(n uint64) bool { return n > 0 })
	if start < 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(arrivals[start:]))
	return sorted[len(sorted)/2]
}

func kept(rank fleet.Rank, s *Series, first int64, flooded []bool) Kept {
	var during, calm Counts
	var floodMinutes, calmMinutes int
	for _, f := range flooded {
		if f {
			floodMinutes++
		}
	}
	for i := range s.Minutes {
		at := s.Minutes[i].Index - first
		if at < 0 || at >= int64(len(flooded)) {
			continue
		}
		if flooded[at] {
			during.Add(&s.Minutes[i].Counts)
			continue
		}
		calm.Add(&s.Minutes[i].Counts)
		calmMinutes++ // minutes before the fleet served anything are left out
	}
	return Kept{
		Rank: rank, ValidFlood: during.Valid(), ValidCalm: calm.Valid(),
		DuringFlood: during.Attainment(), DuringCalm: calm.Attainment(),
		GoodPerMinuteFlood: float64(during[Good]) / float64(max(floodMinutes, 1)),
		GoodPerMinuteCalm:  float64(calm[Good]) / float64(max(calmMinutes, 1)),
	}
}
