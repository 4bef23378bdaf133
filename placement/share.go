package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// LoadLimit limits the loads of models from the weight store.
type LoadLimit struct {
	PerSecond     float64 // loads started per second
	MaxConcurrent int     // loads in progress at once
}

// ShareOfLimit returns the part of the fleet's limit that belongs to self, in
// proportion to the number of loads each owner wants. Concurrent loads are
// divided by largest remainder, with ties to the smaller instance ID. Owners
// that know the same wanted loads therefore never exceed the limit together.
func ShareOfLimit(limit LoadLimit, wanted map[fleet.InstanceID]int, self fleet.InstanceID) LoadLimit {
	total := 0
	for _, n := range wanted {
		total += max(n, 0)
	}
	if wanted[self] <= 0 || total == 0 {
		return LoadLimit{}
	}
	type part struct {
		id        fleet.InstanceID
		whole     int
		remainder int
	}
	parts := make([]part, 0, len(wanted))
	left := limit.MaxConcurrent
	for _, id := range slices.Sorted(maps.Keys(wanted)) {
		product := limit.MaxConcurrent * max(wanted[id], 0)
		parts = append(parts, part{id, product / total, product % total})
		left -= product / total
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.remainder, a.remainder) })
	out := LoadLimit{PerSecond: limit.PerSecond * float64(wanted[self]) / float64(total)}
	for i, p := range parts {
		if p.id == self {
			out.MaxConcurrent = p.whole
			if i < left {
				out.MaxConcurrent++
			}
		}
	}
	return out
}
