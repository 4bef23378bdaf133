package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// crash is a set of sends to one replica that broke at about the same time. A part crashes
// its replica when the answer begins, between its head and its first event. The head may not
// arrive, so sends that broke there and others are recorded apart.
type crash struct {
	id      uint64 // number of the record on its instance
	version uint64 // changes with each change of the record
	replica string
	at      time.Time
	parts   []Part // sorted; empty if the replica turned out not to have crashed
	began   bool   // the sends broke between the head and the first event of their answers
}

func countParts(crashes []crash) (n int) {
	for _, c := range crashes {
		n += len(c.parts)
	}
	return n
}

// limitParts drops parts of a crash beyond maxCrashParts. Parts of no recent answer stay
// before others, and parts that are watched already, as parts of other crashes or suspected
// ones, before those that are not. Which of the others are dropped differs from crash to
// crash, so that a part of all of them is kept in most.
func (s *State) limitParts(now time.Time, c *crash) {
	if len(c.parts) <= maxCrashParts {
		return
	}
	order := func(p Part) uint64 { return rendezvous.Score(uint64(p), c.id) }
	rank := func(p Part) (n int) {
		if s.history.count(now, p) > 0 {
			n += 2
		}
		if _, ok := s.cleared[p]; !ok {
			n++
		}
		return n
	}
	slices.SortFunc(c.parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(order(a), order(b)))
	})
	c.parts = slices.Clone(c.parts[:maxCrashParts])
	slices.Sort(c.parts)
}

// union returns the sorted union of two sets of parts.
func union(parts, more []Part) []Part {
	all := slices.Concat(parts, more)
	slices.Sort(all)
	return slices.Compact(all)
}

// voidCrash clears a crash whose replica began an answer within minRestartTime after it:
// a connection broke, but the replica did not crash.
func (s *State) voidCrash(begun time.Time, replica string) {
	for i := range s.crashes {
		c := &s.crashes[i]
		after := begun.Sub(c.at)
		if c.replica == replica && len(c.parts) > 0 && after > processingDelay && after < minRestartTime {
			s.lastVersion++
			c.parts, c.version = nil, s.lastVersion
		}
	}
}

// mergedCrash holds the parts of all records of one crash.
type mergedCrash struct {
	replica        string
	at             time.Time
	begun, waiting []Part // of sends whose answer had begun, and of the others
}

// suspects returns the crash with the parts that can have caused it: those of sends whose
// answer had begun, or those of the others if answers have cleared all the former since.
func (m mergedCrash) suspects(clearedAt func(Part) time.Time) crash {
	c := crash{replica: m.replica, at: m.at, parts: m.begun, began: true}
	if len(m.waiting) > 0 && !slices.ContainsFunc(m.begun, func(p Part) bool { return m.at.After(clearedAt(p)) }) {
		c.parts, c.began = m.waiting, false
	}
	return c
}

// allCrashes returns the crashes of all instances in the order of time. Records of several
// instances about one crash are merged. They are left out if one of them is empty, because
// that instance has been answered by the replica since.
func (s *State) allCrashes() []crash {
	all := slices.Clone(s.crashes)
	for _, known := range s.fleet.instances {
		for _, c := range known.crashes {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b crash) int { return cmp.Or(cmp.Compare(a.replica, b.replica), a.at.Compare(b.at)) })
	void := make(map[string][]time.Time)
	for _, c := range all {
		if len(c.parts) == 0 {
			void[c.replica] = append(void[c.replica], c.at)
		}
	}
	var merged []mergedCrash
	for _, c := range all {
		if slices.ContainsFunc(void[c.replica], func(at time.Time) bool { return c.at.Sub(at).Abs() <= processingDelay }) {
			continue
		}
		if last := len(merged) - 1; last < 0 || merged[last].replica != c.replica || c.at.Sub(merged[last].at) >= crashSpan {
			merged = append(merged, mergedCrash{replica: c.replica, at: c.at})
		}
		m := &merged[len(merged)-1]
		if c.began {
			m.begun = union(m.begun, c.parts)
		} else {
			m.waiting = union(m.waiting, c.parts)
		}
	}
	slices.SortFunc(merged, func(a, b mergedCrash) int { return a.at.Compare(b.at) })
	crashes := make([]crash, len(merged))
	for i, m := range merged {
		crashes[i] = m.suspects(s.clearedAt)
	}
	return crashes
}
