package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

// idleShare is the part of a total that is spread evenly over the members,
// so that an instance without demand can serve its first request at once.
const idleShare = 0.25

const (
	// rankHeadroom sizes the slots kept for the arrivals of more urgent ranks:
	// their mean number in flight, which is Poisson distributed when nothing
	// waits, plus that many standard deviations.
	rankHeadroom = 1.6
	// spareForHeadroom is the part of the slots that nobody needs that may be
	// kept free in this way. Without that bound lower ranks starved at 80% load.
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
	// Floors is the part of the window that each rank keeps under contention,
	// in slots.
	Floors [fleet.RankCount]float64
}

// WholeWindow is the window of an instance that has all slots to itself and
// keeps a part of them free for urgent arrivals.
func WholeWindow(slots, reserved int, floors [fleet.RankCount]float64) Window {
	w := Window{Total: slots, Ranks: [fleet.RankCount]int{slots, slots - reserved, slots - reserved}}
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
// ordered by ID. Instances with equal views compute equal windows.
//
// Each rank has a window of its own. It is what the expected work of the more
// urgent ranks and the floors of the other ranks leave, so the windows of all
// ranks and instances add up to the slots under a flood of any rank. Otherwise
// they add up to more, and a request may be sent to a full endpoint, whose
// engine serves it by priority: an exact division left each of 7 instances 2
// of 16 slots, and urgent requests waited for one of those while slots of
// other instances were freed.
//
// Within a rank, slots go to rows by weight up to their demand, and for each
// row to instances by demand.
func AllShares(members []MemberDemand, c Contended) []Window {
	rows := gather(members)
	names := ids(members)
	out := make([]Window, len(members))
	for r, slots := range rankWindows(rows, c) {
		weights := make([]float64, len(members))
		idle := idleSlots(slots, len(members))
		spread(rows, fleet.Rank(r), float64(slots-idle), weights)
		shares := apportion(c.Key+"/"+fleet.Rank(r).String(), slots, idle, names, weights)
		withhold(shares, members, fleet.Rank(r), c.Key)
		for i, n := range shares {
			w := &out[i]
			w.Ranks[r] = n
			w.Total = min(w.Total+n, c.Slots)
			w.Floors[r] = c.Floors[r] * float64(c.Slots) * float64(n) / float64(max(slots, 1))
		}
	}
	return out
}

// withhold takes slots that another member still occupies beyond its share
// from the unused shares of the others. Without it a slot for long requests
// that moved between instances with their demand was taken by each of them:
// at an urgent flood, patient work held 25% of the slots instead of 6%.
func withhold(shares []int, members []MemberDemand, rank fleet.Rank, key string) {
	over, unused := 0, 0
	weights := make([]float64, len(shares))
	for i, m := range members {
		held := m.InFlight[rank]
		over += max(held-shares[i], 0)
		weights[i] = float64(max(shares[i]-held, 0))
		unused += max(shares[i]-held, 0)
	}
	if over == 0 || unused == 0 {
		return
	}
	left := apportion(key, max(unused-over, 0), 0, ids(members), weights)
	for i, m := range members {
		if held := m.InFlight[rank]; held < shares[i] {
			shares[i] = held + left[i]
		}
	}
}

// rankWindows returns the slots that each rank may use over all instances.
func rankWindows(rows []*rowDemand, c Contended) [fleet.RankCount]int {
	var demand, kept, windows [fleet.RankCount]float64
	total, allKept := 0.0, 0.0
	slots := float64(c.Slots)
	for _, r := range rows {
		demand[r.rank] += r.total
		total += r.total
	}
	for r := range kept {
		kept[r] = min(demand[r], c.Floors[r]*slots)
		allKept += kept[r]
	}
	ahead := 0.0 // demand of the more urgent ranks
	for r := range windows {
		allKept -= kept[r]
		headroom := rankHeadroom * math.Sqrt(ahead)
		if total < slots {
			headroom = min(headroom, spareForHeadroom*(slots-total))
		}
		windows[r] = max(slots-allKept-ahead-headroom, kept[r])
		ahead += demand[r]
	}
	return roundWindows(windows, kept, c.Slots)
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
		s.InFlight = apportion(row, l.InFlight, idleSlots(l.InFlight, len(members)), names, slots)[at]
	}
	if s.LimitRate {
		burst := int(math.Ceil(l.PerSecond))
		s.Burst = apportion(row, burst, idleSlots(burst, len(members)), names, rates)[at]
		s.PerSecond = l.PerSecond * float64(s.Burst) / float64(burst)
	}
	return s
}

func ordered(members []MemberDemand) []MemberDemand {
	return slices.SortedFunc(slices.Values(members), func(a, b MemberDemand) int { return cmp.Compare(a.Member, b.Member) })
}

func ids(members []MemberDemand) []fleet.InstanceID {
	out := make([]fleet.InstanceID, len(members))
	for i, m := range members {
		out[i] = m.Member
	}
	return out
}

func idleSlots(total, members int) int { return min(int(idleShare*float64(total)), members) }

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
// Slots that nobody asked for are divided by demand.
func spread(rows []*rowDemand, rank fleet.Rank, slots float64, weights []float64) {
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
	for _, r := range open {
		given := min(r.total, left*r.weight/weight)
		left -= given
		weight -= r.weight
		given += unused * r.total / total
		for i, d := range r.members {
			weights[i] += given * d / r.total
		}
	}
}

// apportion divides a total by the largest-remainder method. The idle part is
// given in single slots, in the order of a hash of key and member, which also
// breaks ties. Without any weight all members count the same.
func apportion(key string, total, idle int, members []fleet.InstanceID, weights []float64) []int {
	out := make([]int, len(members))
	if len(members) == 0 || total <= 0 {
		return out
	}
	hashes := make([]uint64, len(members))
	order := make([]int, len(members))
	sum := 0.0
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(key + "\x00" + string(m))
		order[i] = i
		sum += weights[i]
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b)) })
	for _, i := range order[:idle] {
		out[i]++
	}
	left := total - idle
	remainders := make([]float64, len(members))
	rest := left
	for i := range members {
		exact := float64(rest) / float64(len(members))
		if sum > 0 {
			exact = float64(rest) * weights[i] / sum
		}
		whole := min(int(exact), left)
		out[i] += whole
		left -= whole
		remainders[i] = exact - float64(whole)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for k := 0; left > 0; k++ {
		out[order[k%len(order)]]++
		left--
	}
	return out
}
