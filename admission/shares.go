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

// urgentHeadroom sizes the slots kept for urgent arrivals: their mean number
// in flight, which is Poisson distributed when nothing waits, plus that many
// standard deviations.
const urgentHeadroom = 1.6

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

// Contended is an endpoint that all instances share.
type Contended struct {
	Key    string // the endpoint's ID; breaks ties
	Slots  int
	Floors [fleet.RankCount]float64 // share of slot time of each rank
}

// Window bounds what one instance has in flight on an endpoint.
type Window struct {
	Total  int // all requests
	Urgent int // urgent requests
	Lower  int // requests of the other ranks
	// Floors is the part of the window that each rank keeps under contention,
	// in slots.
	Floors [fleet.RankCount]float64
}

// WholeWindow is the window of an instance that has all slots to itself and
// keeps a part of them free for urgent arrivals.
func WholeWindow(slots, reserved int, floors [fleet.RankCount]float64) Window {
	w := Window{Total: slots, Urgent: slots, Lower: slots - reserved}
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
// The slots for the lower ranks add up to what the expected urgent work
// leaves, and the urgent ones to what the floors of the lower ranks leave. At
// an urgent flood the two add up to the slots exactly. Otherwise an urgent
// request may be sent to a full endpoint, whose engine serves it by priority:
// an exact division left each of 7 instances 2 of 16 slots, and urgent
// requests waited for one of those while slots of other instances were freed.
//
// Within a rank, slots go to rows by weight up to their demand, and for each
// row to instances by demand.
func AllShares(members []MemberDemand, c Contended) []Window {
	rows := gather(members)
	names := ids(members)
	urgentSlots, lowerSlots := split(rows, c)

	weights := make([]float64, len(members))
	divideRank(rows, fleet.Urgent, float64(urgentSlots), weights)
	urgent := apportion(c.Key+"/urgent", urgentSlots, idleSlots(urgentSlots, len(members)), names, weights)

	weights = make([]float64, len(members))
	idle := idleSlots(lowerSlots, len(members))
	left := float64(lowerSlots - idle)
	given := rankSlots(rows, left, float64(c.Slots), c.Floors)
	for r := fleet.Prompt; r <= fleet.Patient; r++ {
		divideRank(rows, r, given[r], weights)
		left -= given[r]
	}
	spread(rows, left, weights)
	lower := apportion(c.Key+"/lower", lowerSlots, idle, names, weights)

	out := make([]Window, len(members))
	for i := range out {
		w := Window{Urgent: urgent[i], Lower: lower[i], Total: min(urgent[i]+lower[i], c.Slots)}
		for r, f := range c.Floors {
			part := float64(lower[i]) / float64(max(lowerSlots, 1))
			if r == int(fleet.Urgent) {
				part = float64(urgent[i]) / float64(max(urgentSlots, 1))
			}
			w.Floors[r] = f * float64(c.Slots) * part
		}
		out[i] = w
	}
	return out
}

// split divides the slots of an endpoint between urgent and lower ranks.
func split(rows []*rowDemand, c Contended) (urgent, lower int) {
	if c.Slots <= 1 {
		return c.Slots, c.Slots
	}
	var demand [fleet.RankCount]float64
	for _, r := range rows {
		demand[r.rank] += r.total
	}
	kept := 0.0
	for r := fleet.Prompt; r <= fleet.Patient; r++ {
		kept += min(demand[r], c.Floors[r]*float64(c.Slots))
	}
	floor := int(math.Ceil(kept))
	u := demand[fleet.Urgent]
	expected := int(math.Ceil(u + urgentHeadroom*math.Sqrt(u)))
	return c.Slots - floor, max(c.Slots-expected, floor, 1)
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

// rankSlots divides slots between the lower ranks: each gets its demand up to
// its floor, which is a share of all slots, and the rest goes by strict order.
func rankSlots(rows []*rowDemand, slots, all float64, floors [fleet.RankCount]float64) [fleet.RankCount]float64 {
	var demand, given [fleet.RankCount]float64
	for _, r := range rows {
		demand[r.rank] += r.total
	}
	left := slots
	for r := fleet.Prompt; r <= fleet.Patient; r++ {
		given[r] = min(demand[r], floors[r]*all, left)
		left -= given[r]
	}
	for r := fleet.Prompt; r <= fleet.Patient; r++ {
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

// spread divides slots of the lower ranks that nobody asked for in proportion
// to their demand.
func spread(rows []*rowDemand, slots float64, weights []float64) {
	total := 0.0
	for _, r := range rows {
		if r.rank != fleet.Urgent {
			total += r.total
		}
	}
	if total <= 0 || slots <= 0 {
		return
	}
	for _, r := range rows {
		if r.rank == fleet.Urgent {
			continue
		}
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
