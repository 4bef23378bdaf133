package admission

import (
	"fmt"
	"testing"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
	"pgregory.net/rapid"
)

func drawMembers(t *rapid.T, withInFlight bool) []MemberDemand {
	var out []MemberDemand
	for i := range rapid.IntRange(1, 9).Draw(t, "members") {
		m := MemberDemand{Member: fleet.InstanceID(fmt.Sprint("i", i))}
		for row := range rapid.IntRange(0, 4).Draw(t, "rows") {
			m.Rows = append(m.Rows, Demand{
				Row: fmt.Sprint("row", row), Rank: fleet.Rank(row % fleet.RankCount), Weight: float64(1 + row),
				Slots: rapid.Float64Range(0, 20).Draw(t, "slots"), Rate: rapid.Float64Range(0, 50).Draw(t, "rate"),
			})
		}
		if withInFlight {
			for r := range m.InFlight {
				m.InFlight[r] = rapid.IntRange(0, 3).Draw(t, "in flight")
			}
		}
		out = append(out, m)
	}
	return out
}

// Guards against windows of a rank that add up to more slots than the endpoint
// has, and against shares that depend on the order of the members.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, rapid.Bool().Draw(t, "held"))
		c := SharedEndpoint{Key: "e", Slots: rapid.IntRange(0, 40).Draw(t, "slots"), Floors: testFloors}
		shuffled := rapid.Permutation(members).Draw(t, "order")
		var sums [fleet.RankCount]int
		for _, m := range members {
			w := EndpointWindow(m.Member, members, c)
			if got := EndpointWindow(m.Member, shuffled, c); got != w {
				t.Fatalf("window is %+v, and %+v for another order of members", w, got)
			}
			for r, n := range w.RankLimits {
				sums[r] += n
				if n < 0 || n > c.Slots {
					t.Fatalf("window of rank %d is %d of %d slots", r, n, c.Slots)
				}
			}
		}
		for r, sum := range sums {
			if sum > c.Slots {
				t.Fatalf("windows of rank %d add up to %d, the endpoint has %d slots", r, sum, c.Slots)
			}
		}
	})
}

// Guards against assigning a slot to one instance while another still occupies it.
func TestSharesWaitForOccupiedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, true)
		c := SharedEndpoint{Key: "e", Slots: rapid.IntRange(1, 40).Draw(t, "slots"), Floors: testFloors}
		for r := range fleet.RankCount {
			held, after := 0, 0
			for _, m := range members {
				held += m.InFlight[r]
				after += max(EndpointWindow(m.Member, members, c).RankLimits[r], m.InFlight[r])
			}
			if after > max(held, c.Slots) {
				t.Fatalf("rank %d may grow to %d in flight on %d slots, %d held", r, after, c.Slots, held)
			}
		}
	})
}

// Guards against instances together exceeding a row's fleet-wide limits.
func TestLimitSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, false)
		l := table.Limits{InFlight: rapid.IntRange(1, 50).Draw(t, "limit"), PerSecond: rapid.Float64Range(0.1, 50).Draw(t, "rate")}
		inFlight, burst, rate := 0, 0, 0.0
		for _, m := range members {
			s := LimitShare(m.Member, members, "row0", l)
			inFlight += s.InFlight
			burst += s.Burst
			rate += s.PerSecond
		}
		if inFlight != l.InFlight || rate > l.PerSecond+1e-9 || float64(burst) >= l.PerSecond+1 {
			t.Fatalf("shares add up to %d in flight, %v/s, burst %d; limits %+v", inFlight, rate, burst, l)
		}
	})
}

// Guards against an instance without demand getting no slot although there are
// enough for all instances.
func TestIdleInstanceKeepsASlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, false)
		members = append(members, MemberDemand{Member: "idle"})
		slots := 4 * len(members) * 4
		if w := EndpointWindow("idle", members, SharedEndpoint{Key: "e", Slots: slots}); w.RankLimits[fleet.Urgent] < 1 {
			t.Fatalf("window is %+v with %d slots and %d members", w, slots, len(members))
		}
	})
}
