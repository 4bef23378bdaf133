package admission

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

// idleShare is the part of a total that is spread evenly over the members,
// so that an instance without demand can serve its first request at once.
const idleShare = 0.25

// The windows of the lower ranks leave room for arrivals of more urgent ones.
// The figures were tuned with BenchmarkPolicies.
const (
	// urgentDeviations sizes the room for urgent work: its mean number in
	// flight, which is Poisson distributed when nothing waits, plus that many
	// standard deviations.
	urgentDeviations = 1.6
	// promptDeviations sizes the room that patient work leaves in the same way.
	// At 1.6 it left a quarter of the fleet unused in a patient flood, at 0.4
	// prompt work missed 6%.
	promptDeviations = 1.0
	// lowerHeadroom is the part of the headroom that prompt and patient work
	// together leave to urgent work. At 1, prompt work missed 4% at 80% load.
	lowerHeadroom = 0.3
	// spareForHeadroom is the part of the slots that nobody needs that may be
	// used as headroom. Without that bound patient work starved at 80% load.
	spareForHeadroom = 0.95
)

// Demand is what one row of one instance wants.
type Demand struct {
	Row    string
	Rank   fleet.Rank
	Weight float64
	Slots  float64 // of the endpoint that is shared; see RowStats.Slots
	Rate   float64 // arrivals per second
}

// MemberDemand is the demand of one instance, from its newest heartbeat.
type MemberDemand struct {
	Member fleet.InstanceID
	Rows   []Demand
	// InFlight is what the instance has in flight on the endpoint that is shared.
	InFlight [fleet.RankCount]int
}

// Contended is an endpoint that all instances share.
type Contended struct {
	Key    string // the endpoint's ID; breaks ties
	Slots  int
	Floors [fleet.RankCount]float64 // share of slot time of each rank
}

// Window bounds what one instance has in flight on an endpoint.
type Window struct {
	Total int                  // all requests
	Ranks [fleet.RankCount]int // requests of each rank
	Lower int                  // requests of all ranks but urgent
	// Floors is the part of the window that each rank keeps under contention,
	// in slots.
	Floors [fleet.RankCount]float64
}

// WholeWindow is the window of an instance that has all slots to itself and
// keeps a part of them free for urgent arrivals.
func WholeWindow(slots, reserved int, floors [fleet.RankCount]float64) Window {
	lower := slots - reserved
	w := Window{Total: slots, Ranks: [fleet.RankCount]int{slots, lower, lower}, Lower: lower}
	for r, f := range floors {
		w.Floors[r] = f * float64(slots)
	}
	return w
}

// Shares returns one instance's window on an endpoint. See AllShares.
func Shares(self fleet.InstanceID, members []MemberDemand, c Contended) Window {
	members = ordered(members)
	at := slices.IndexFunc(members, func(m MemberDemand) bool { return m.Member == self })
	if at < 0 {
		return Window{}
	}
	return AllShares(members, c)[at]
}

// AllShares divides an endpoint's slots between the members, which must be
// ordered by ID. Instances with equal views compute equal windows, and the
// windows of one rank never add up to more than the slots.
//
// Each rank has a window of its own: what the expected work of the more urgent
// ranks and the floors of the less urgent ones leave. The windows of different
// ranks overlap, so a request may be sent to a full endpoint, whose engine
// serves it by priority: an exact division left each of 7 instances 2 of 16
// slots, and urgent requests waited for one of those while slots of other
// instances were freed.
//
// Within a rank, slots go to rows by weight up to their demand, and for each
// row to instances by demand.
func AllShares(members []MemberDemand, c Contended) []Window {
	rows := gather(members)
	windows, lower := rankWindows(rows, c)
	out := make([]Window, len(members))
	for r, slots := range windows {
		ranks := rankRange{fleet.Rank(r), fleet.Rank(r)}
		for i, n := range divide(rows, members, ranks, slots, c.Key) {
			w := &out[i]
			w.Ranks[r] = n
			w.Total = min(w.Total+n, c.Slots)
			w.Floors[r] = c.Floors[r] * float64(c.Slots) * float64(n) / float64(max(slots, 1))
		}
	}
	for i, n := range divide(rows, members, rankRange{fleet.Prompt, fleet.Patient}, lower, c.Key) {
		out[i].Lower = max(n, out[i].Ranks[fleet.Patient])
	}
	return out
}

// rankRange is the ranks from first to last.
type rankRange struct{ first, last fleet.Rank }

func (r rankRange) has(rank fleet.Rank) bool { return rank >= r.first && rank <= r.last }

// divide divides the slots of some ranks between the members.
func divide(rows []*rowDemand, members []MemberDemand, ranks rankRange, slots int, key string) []int {
	weights := make([]float64, len(members))
	left := float64(slots)
	for rank := ranks.first; rank <= ranks.last; rank++ {
		left -= spread(rows, rank, left, rank == ranks.last, weights)
	}
	names := ids(members)
	shares := apportion(fmt.Sprint(key, "/", ranks.first), slots, idleShare, names, weights)
	withhold(shares, members, ranks, key)
	return shares
}

// withhold takes slots that another member still occupies beyond its share
// from the unused shares of the others. Without it a slot for long requests
// that moved between instances with their demand was taken by each of them:
// at an urgent flood, patient work had 17% of the slots instead of 7%.
func withhold(shares []int, members []MemberDemand, ranks rankRange, key string) {
	over, unused := 0, 0
	weights := make([]float64, len(shares))
	for i, m := range members {
		held := m.held(ranks)
		over += max(held-shares[i], 0)
		weights[i] = float64(max(shares[i]-held, 0))
		unused += max(shares[i]-held, 0)
	}
	if over == 0 || unused == 0 {
		return
	}
	left := apportion(key, max(unused-over, 0), 0, ids(members), weights)
	for i, m := range members {
		if held := m.held(ranks); held < shares[i] {
			shares[i] = held + left[i]
		}
	}
}

func (m *MemberDemand) held(ranks rankRange) int {
	n := 0
	for r, k := range m.InFlight {
		if ranks.has(fleet.Rank(r)) {
			n += k
		}
	}
	return n
}

// rankWindows returns the slots that each rank, and all ranks but urgent
// together, may use over all instances.
func rankWindows(rows []*rowDemand, c Contended) ([fleet.RankCount]int, int) {
	var demand, kept, windows [fleet.RankCount]float64
	slots := float64(c.Slots)
	for _, r := range rows {
		demand[r.rank] += r.total
	}
	for r := range kept {
		kept[r] = min(demand[r], c.Floors[r]*slots)
	}
	u, p := demand[fleet.Urgent], demand[fleet.Prompt]
	lowerKept := kept[fleet.Prompt] + kept[fleet.Patient]
	spare := max(slots-u-p-demand[fleet.Patient], 0)

	urgentHeadroom, promptHeadroom := urgentDeviations*math.Sqrt(u), promptDeviations*math.Sqrt(u+p)
	if spare > 0 {
		urgentHeadroom = min(urgentHeadroom, spareForHeadroom*spare)
		promptHeadroom = min(promptHeadroom, spareForHeadroom*spare)
	}
	windows[fleet.Urgent] = slots - lowerKept
	windows[fleet.Prompt] = slots - kept[fleet.Patient]
	windows[fleet.Patient] = slots - u - p - promptHeadroom
	for r := range windows {
		windows[r] = max(windows[r], kept[r])
	}
	lower := max(slots-u-lowerHeadroom*urgentHeadroom, lowerKept)
	return roundWindows(windows, kept, c.Slots), min(max(int(lower+0.5), int(math.Ceil(lowerKept)), 1), c.Slots)
}

// roundWindows rounds the windows of the ranks to whole slots, no rank below
// its floor and every rank at least at one.
func roundWindows(windows, kept [fleet.RankCount]float64, slots int) [fleet.RankCount]int {
	var out [fleet.RankCount]int
	for r, w := range windows {
		out[r] = min(max(int(w+0.5), int(math.Ceil(kept[r])), 1), slots)
	}
	return out
}

// LimitShare returns this instance's share of a row's fleet-wide limits.
func LimitShare(self fleet.InstanceID, members []MemberDemand, row string, l table.Limits) RowShare {
	members = ordered(members)
	at := slices.IndexFunc(members, func(m MemberDemand) bool { return m.Member == self })
	s := RowShare{LimitInFlight: l.InFlight > 0, LimitRate: l.PerSecond > 0}
	if at < 0 {
		return s
	}
	names := ids(members)
	slots, rates := make([]float64, len(members)), make([]float64, len(members))
	for i, m := range members {
		for _, d := range m.Rows {
			if d.Row == row {
				slots[i] += d.Slots
				rates[i] += d.Rate
			}
		}
	}
	if s.LimitInFlight {
		s.InFlight = apportion(row, l.InFlight, idleShare, names, slots)[at]
	}
	if s.LimitRate {
		burst := int(math.Ceil(l.PerSecond))
		s.Burst = apportion(row, burst, idleShare, names, rates)[at]
		s.PerSecond = l.PerSecond * float64(s.Burst) / float64(burst)
	}
	return s
}

func ordered(members []MemberDemand) []MemberDemand {
	byID := func(a, b MemberDemand) int { return cmp.Compare(a.Member, b.Member) }
	if slices.IsSortedFunc(members, byID) {
		return members
	}
	return slices.SortedFunc(slices.Values(members), byID)
}

func ids(members []MemberDemand) []fleet.InstanceID {
	out := make([]fleet.InstanceID, len(members))
	for i, m := range members {
		out[i] = m.Member
	}
	return out
}

// rowDemand is the demand of all members for one row.
type rowDemand struct {
	name    string
	rank    fleet.Rank
	weight  float64
	total   float64
	members []float64
}

// gather adds up the demand per row, ordered by rank and name.
func gather(members []MemberDemand) []*rowDemand {
	byName := make(map[string]*rowDemand)
	var rows []*rowDemand
	for i, m := range members {
		for _, d := range m.Rows {
			if !(d.Slots > 0) || math.IsInf(d.Slots, 1) {
				continue
			}
			r, ok := byName[d.Row]
			if !ok {
				r = &rowDemand{name: d.Row, rank: min(d.Rank, fleet.Patient), weight: d.Weight, members: make([]float64, len(members))}
				if !(r.weight > 0) {
					r.weight = 1
				}
				byName[d.Row] = r
				rows = append(rows, r)
			}
			r.members[i] += d.Slots
			r.total += d.Slots
		}
	}
	slices.SortFunc(rows, func(a, b *rowDemand) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	return rows
}

// spread divides the slots of a rank between its rows by weight, none getting
// more than its demand, and each row's slots between the members by demand.
// It returns the slots given. If all is set, slots that nobody asked for are
// divided by demand as well.
func spread(rows []*rowDemand, rank fleet.Rank, slots float64, all bool, weights []float64) float64 {
	var open []*rowDemand
	weight, total := 0.0, 0.0
	for _, r := range rows {
		if r.rank == rank {
			open = append(open, r)
			weight += r.weight
			total += r.total
		}
	}
	// Rows that want least for their weight are satisfied first.
	slices.SortStableFunc(open, func(a, b *rowDemand) int {
		return cmp.Compare(a.total/a.weight, b.total/b.weight)
	})
	unused := max(slots-total, 0)
	left := slots - unused
	used := left
	if !all {
		unused = 0
	}
	for _, r := range open {
		given := min(r.total, left*r.weight/weight)
		left -= given
		weight -= r.weight
		given += unused * r.total / total
		for i, d := range r.members {
			weights[i] += given * d / r.total
		}
	}
	return used
}

// apportion divides a total by the largest-remainder method, the idle part of
// it evenly and the rest by weight. A hash of key and member breaks ties.
// Without any weight all members count the same.
func apportion(key string, total int, idle float64, members []fleet.InstanceID, weights []float64) []int {
	out := make([]int, len(members))
	if len(members) == 0 || total <= 0 {
		return out
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	left := total
	remainders := make([]float64, len(members))
	for i := range members {
		exact := float64(total) / float64(len(members))
		if sum > 0 {
			exact = idle*exact + (1-idle)*float64(total)*weights[i]/sum
		}
		whole := min(int(exact), left)
		out[i] += whole
		left -= whole
		remainders[i] = exact - float64(whole)
	}
	order := byRemainder(key, members, remainders)
	for k := 0; left > 0; k++ {
		out[order[k%len(order)]]++
		left--
	}
	return out
}

// byRemainder returns the indexes of the members, the largest remainder first.
func byRemainder(key string, members []fleet.InstanceID, remainders []float64) []int {
	hashes := make([]uint64, len(members))
	order := make([]int, len(members))
	text := append([]byte(key), 0)
	for i, m := range members {
		hashes[i] = xxhash.Sum64(append(text, m...))
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(remainders[b], remainders[a]), cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b))
	})
	return order
}
