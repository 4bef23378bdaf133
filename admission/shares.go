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
}

// Contended is something that all instances share.
type Contended struct {
	Key    string // breaks ties; the endpoint or row
	Total  int
	Floors [fleet.RankCount]float64
}

// Shares returns the share of one instance of an endpoint's slots. Instances
// with equal views compute shares that add up to the total exactly. Slots go
// to ranks in strict order above their floors, inside a rank to rows by weight
// up to their demand, and for each row to instances by demand.
func Shares(self fleet.InstanceID, members []MemberDemand, c Contended) int {
	members = ordered(members)
	for i, n := range AllShares(members, c) {
		if members[i].Member == self {
			return n
		}
	}
	return 0
}

// AllShares returns the shares of all members, which must be ordered by ID.
func AllShares(members []MemberDemand, c Contended) []int {
	idle := idleSlots(c.Total, len(members))
	rest := float64(c.Total - idle)
	rows := gather(members)
	weights := make([]float64, len(members))
	used := 0.0
	for rank, slots := range rankSlots(rows, rest, c.Floors) {
		used += slots
		divideRank(rows, fleet.Rank(rank), slots, weights)
	}
	spread(rows, rest-used, weights)
	return apportion(c.Key, c.Total, idle, ids(members), weights)
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

// rankSlots divides the slots between the ranks: each gets its demand up to
// its floor, and the rest goes by strict order.
func rankSlots(rows []*rowDemand, slots float64, floors [fleet.RankCount]float64) [fleet.RankCount]float64 {
	var demand, given [fleet.RankCount]float64
	for _, r := range rows {
		demand[r.rank] += r.total
	}
	left := slots
	for r := range given {
		given[r] = min(demand[r], floors[r]*slots, left)
		left -= given[r]
	}
	for r := range given {
		more := min(demand[r]-given[r], left)
		given[r] += more
		left -= more
	}
	return given
}

// divideRank divides the slots of a rank between its rows by weight, none
// getting more than its demand, and each row's slots between the members.
func divideRank(rows []*rowDemand, rank fleet.Rank, slots float64, weights []float64) {
	var open []*rowDemand
	weight := 0.0
	for _, r := range rows {
		if r.rank == rank {
			open = append(open, r)
			weight += r.weight
		}
	}
	// Rows that want least for their weight are satisfied first.
	slices.SortStableFunc(open, func(a, b *rowDemand) int {
		return cmp.Compare(a.total/a.weight, b.total/b.weight)
	})
	for _, r := range open {
		given := min(r.total, slots*r.weight/weight)
		slots -= given
		weight -= r.weight
		for i, d := range r.members {
			weights[i] += given * d / r.total
		}
	}
}

// spread divides slots that nobody asked for in proportion to all demand.
func spread(rows []*rowDemand, slots float64, weights []float64) {
	total := 0.0
	for _, r := range rows {
		total += r.total
	}
	if total <= 0 || slots <= 0 {
		return
	}
	for _, r := range rows {
		for i, d := range r.members {
			weights[i] += slots * d / total
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
