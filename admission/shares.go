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

// evenFraction is the fraction of a total that is divided evenly between the
// members, so that an instance without demand can serve its first request at once.
const evenFraction = 0.25

// The windows of the less urgent ranks leave headroom for arrivals of more urgent
// ones. BenchmarkPolicies measures the effect of these constants.
const (
	// urgentDeviations is the headroom above the mean number of urgent requests in
	// flight, in standard deviations. That number is Poisson distributed when
	// nothing waits.
	urgentDeviations = 1.6
	// promptDeviations is the headroom that patient requests leave above the mean
	// number of urgent and prompt requests in flight, in standard deviations. At
	// 1.6, a quarter of the fleet was unused in a patient flood; at 0.4, 6% of
	// prompt requests missed their targets.
	promptDeviations = 1.0
	// nonUrgentHeadroomFraction is the fraction of the urgent headroom that prompt
	// and patient requests together leave free. At 1, 4% of prompt requests missed
	// their targets at 80% load.
	nonUrgentHeadroomFraction = 0.3
	// maxSpareFraction is the largest fraction of the slots without demand that
	// serves as headroom. Without this bound, patient requests starved at 80% load.
	maxSpareFraction = 0.95
)

// Demand is the demand for slots and the arrival rate of one row on one instance.
type Demand struct {
	Row    string
	Rank   fleet.Rank
	Weight float64
	Slots  float64 // on the shared endpoint; see RowStats.Slots
	Rate   float64 // arrivals per second
}

// MemberDemand is the demand of one instance, from its latest heartbeat.
type MemberDemand struct {
	Member fleet.InstanceID
	Rows   []Demand
	// InFlight counts the instance's requests in flight on the shared endpoint.
	InFlight [fleet.RankCount]int
}

// SharedEndpoint describes an endpoint whose slots are divided between the instances.
type SharedEndpoint struct {
	Key    string // the endpoint's ID; breaks ties
	Slots  int
	Floors [fleet.RankCount]float64 // guaranteed fraction of slot time of each rank
}

// Window limits the requests that one instance has in flight on an endpoint.
type Window struct {
	Total          int                  // all requests
	RankLimits     [fleet.RankCount]int // requests of each rank
	NonUrgentLimit int                  // requests of all ranks except urgent
	// Floors is the part of the window that each rank is guaranteed under
	// contention, in slots.
	Floors [fleet.RankCount]float64
}

// WholeWindow returns the window of an instance that uses an endpoint alone. The
// reserved slots are usable by urgent requests only.
func WholeWindow(slots, reserved int, floors [fleet.RankCount]float64) Window {
	nonUrgent := slots - reserved
	w := Window{Total: slots, RankLimits: [fleet.RankCount]int{slots, nonUrgent, nonUrgent}, NonUrgentLimit: nonUrgent}
	for r, f := range floors {
		w.Floors[r] = f * float64(slots)
	}
	return w
}

// EndpointWindow returns one instance's window on an endpoint, as computed by
// EndpointWindows. The window is empty if the instance is not a member.
func EndpointWindow(self fleet.InstanceID, members []MemberDemand, e SharedEndpoint) Window {
	members = sortedByID(members)
	index := slices.IndexFunc(members, func(m MemberDemand) bool { return m.Member == self })
	if index < 0 {
		return Window{}
	}
	return EndpointWindows(members, e)[index]
}

// EndpointWindows divides an endpoint's slots between the members, which must be
// ordered by ID, and returns their windows in that order. Instances with equal
// views compute equal windows, and the windows of one rank never add up to more
// than the slots.
//
// Each rank has its own window. Those of urgent and prompt requests omit the slots
// guaranteed to less urgent ranks. That of patient requests omits the expected load
// of the other ranks and a headroom, and NonUrgentLimit those of urgent requests.
// The windows of different ranks overlap, so a request can be sent to a full
// endpoint, whose engine then serves by priority. With an exact division, each of
// 7 instances had 2 of 16 slots, and urgent requests waited for one of these while
// slots of other instances became free.
//
// Within a rank, slots are divided between rows by weight, up to their demand,
// and the slots of a row between instances by demand.
func EndpointWindows(members []MemberDemand, e SharedEndpoint) []Window {
	rows := demandByRow(members)
	windows, nonUrgent := rankWindows(rows, e)
	out := make([]Window, len(members))
	for r, slots := range windows {
		ranks := rankRange{fleet.Rank(r), fleet.Rank(r)}
		for i, n := range divideSlots(rows, members, ranks, slots, e.Key) {
			w := &out[i]
			w.RankLimits[r] = n
			w.Total = min(w.Total+n, e.Slots)
			w.Floors[r] = e.Floors[r] * float64(e.Slots) * float64(n) / float64(max(slots, 1))
		}
	}
	for i, n := range divideSlots(rows, members, rankRange{fleet.Prompt, fleet.Patient}, nonUrgent, e.Key) {
		out[i].NonUrgentLimit = max(n, out[i].RankLimits[fleet.Patient])
	}
	return out
}

// rankRange is an inclusive range of ranks.
type rankRange struct{ first, last fleet.Rank }

func (r rankRange) contains(rank fleet.Rank) bool { return rank >= r.first && rank <= r.last }

// divideSlots divides the slots of a range of ranks between the members.
func divideSlots(rows []*rowDemand, members []MemberDemand, ranks rankRange, slots int, key string) []int {
	weights := make([]float64, len(members))
	remaining := float64(slots)
	for rank := ranks.first; rank <= ranks.last; rank++ {
		remaining -= waterFill(rows, rank, remaining, rank == ranks.last, weights)
	}
	names := memberIDs(members)
	shares := apportion(fmt.Sprint(key, "/", ranks.first), slots, evenFraction, names, weights)
	withholdOccupied(shares, members, ranks, key)
	return shares
}

// withholdOccupied deducts the slots that members still occupy beyond their
// shares from the unused shares of the other members. Without it, a slot whose share
// moved to another instance was used by both until the long request on it ended: in
// an urgent flood, patient requests had 17% of the slots instead of 7%.
func withholdOccupied(shares []int, members []MemberDemand, ranks rankRange, key string) {
	excess, unused := 0, 0
	weights := make([]float64, len(shares))
	for i, m := range members {
		held := m.inFlightIn(ranks)
		excess += max(held-shares[i], 0)
		weights[i] = float64(max(shares[i]-held, 0))
		unused += max(shares[i]-held, 0)
	}
	if excess == 0 || unused == 0 {
		return
	}
	extra := apportion(key, max(unused-excess, 0), 0, memberIDs(members), weights)
	for i, m := range members {
		if held := m.inFlightIn(ranks); held < shares[i] {
			shares[i] = held + extra[i]
		}
	}
}

// inFlightIn returns the member's requests in flight in a range of ranks.
func (m *MemberDemand) inFlightIn(ranks rankRange) int {
	n := 0
	for r, k := range m.InFlight {
		if ranks.contains(fleet.Rank(r)) {
			n += k
		}
	}
	return n
}

// rankWindows returns the slots that all instances together may use for each rank,
// and for all ranks except urgent combined.
func rankWindows(rows []*rowDemand, e SharedEndpoint) ([fleet.RankCount]int, int) {
	var demand, guaranteed, windows [fleet.RankCount]float64
	slots := float64(e.Slots)
	for _, r := range rows {
		demand[r.rank] += r.total
	}
	for r := range guaranteed {
		guaranteed[r] = min(demand[r], e.Floors[r]*slots)
	}
	urgentDemand, promptDemand := demand[fleet.Urgent], demand[fleet.Prompt]
	nonUrgentGuaranteed := guaranteed[fleet.Prompt] + guaranteed[fleet.Patient]
	spare := max(slots-urgentDemand-promptDemand-demand[fleet.Patient], 0)

	urgentHeadroom, promptHeadroom := urgentDeviations*math.Sqrt(urgentDemand), promptDeviations*math.Sqrt(urgentDemand+promptDemand)
	if spare > 0 {
		urgentHeadroom = min(urgentHeadroom, maxSpareFraction*spare)
		promptHeadroom = min(promptHeadroom, maxSpareFraction*spare)
	}
	windows[fleet.Urgent] = slots - nonUrgentGuaranteed
	windows[fleet.Prompt] = slots - guaranteed[fleet.Patient]
	windows[fleet.Patient] = slots - urgentDemand - promptDemand - promptHeadroom
	for r := range windows {
		windows[r] = max(windows[r], guaranteed[r])
	}
	nonUrgent := max(slots-urgentDemand-nonUrgentHeadroomFraction*urgentHeadroom, nonUrgentGuaranteed)
	return roundWindows(windows, guaranteed, e.Slots), min(max(int(nonUrgent+0.5), int(math.Ceil(nonUrgentGuaranteed)), 1), e.Slots)
}

// roundWindows rounds the windows to whole slots. Each is at least one slot and
// covers the rank's guaranteed slots.
func roundWindows(windows, guaranteed [fleet.RankCount]float64, slots int) [fleet.RankCount]int {
	var out [fleet.RankCount]int
	for r, w := range windows {
		out[r] = min(max(int(w+0.5), int(math.Ceil(guaranteed[r])), 1), slots)
	}
	return out
}

// LimitShare returns one instance's share of a row's fleet-wide limits. An instance
// that is not a member gets a share of zero.
func LimitShare(self fleet.InstanceID, members []MemberDemand, row string, l table.Limits) RowShare {
	members = sortedByID(members)
	index := slices.IndexFunc(members, func(m MemberDemand) bool { return m.Member == self })
	s := RowShare{LimitInFlight: l.InFlight > 0, LimitRate: l.PerSecond > 0}
	if index < 0 {
		return s
	}
	names := memberIDs(members)
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
		s.InFlight = apportion(row, l.InFlight, evenFraction, names, slots)[index]
	}
	if s.LimitRate {
		burst := int(math.Ceil(l.PerSecond))
		s.Burst = apportion(row, burst, evenFraction, names, rates)[index]
		s.PerSecond = l.PerSecond * float64(s.Burst) / float64(burst)
	}
	return s
}

// sortedByID returns the members ordered by ID, without changing the argument.
func sortedByID(members []MemberDemand) []MemberDemand {
	byID := func(a, b MemberDemand) int { return cmp.Compare(a.Member, b.Member) }
	if slices.IsSortedFunc(members, byID) {
		return members
	}
	return slices.SortedFunc(slices.Values(members), byID)
}

func memberIDs(members []MemberDemand) []fleet.InstanceID {
	out := make([]fleet.InstanceID, len(members))
	for i, m := range members {
		out[i] = m.Member
	}
	return out
}

// rowDemand is the demand of all members for one row.
type rowDemand struct {
	name     string
	rank     fleet.Rank
	weight   float64
	total    float64
	byMember []float64 // in the order of the members
}

// demandByRow returns the demand of all members for each row, ordered by rank and
// name.
func demandByRow(members []MemberDemand) []*rowDemand {
	byName := make(map[string]*rowDemand)
	var rows []*rowDemand
	for i, m := range members {
		for _, d := range m.Rows {
			if !(d.Slots > 0) || math.IsInf(d.Slots, 1) {
				continue
			}
			r, ok := byName[d.Row]
			if !ok {
				r = &rowDemand{name: d.Row, rank: min(d.Rank, fleet.Patient), weight: d.Weight, byMember: make([]float64, len(members))}
				if !(r.weight > 0) {
					r.weight = 1
				}
				byName[d.Row] = r
				rows = append(rows, r)
			}
			r.byMember[i] += d.Slots
			r.total += d.Slots
		}
	}
	slices.SortFunc(rows, func(a, b *rowDemand) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	return rows
}

// waterFill divides slots between the rows of a rank by weighted water-filling,
// each row up to its demand, and adds each row's slots to the members' weights
// in proportion to their demand. It returns the slots used. If divideUnused is
// set, the slots without demand are divided by demand too.
func waterFill(rows []*rowDemand, rank fleet.Rank, slots float64, divideUnused bool, weights []float64) float64 {
	var rankRows []*rowDemand
	remainingWeight, total := 0.0, 0.0
	for _, r := range rows {
		if r.rank == rank {
			rankRows = append(rankRows, r)
			remainingWeight += r.weight
			total += r.total
		}
	}
	// Water-filling starts with the rows of least demand per weight.
	slices.SortStableFunc(rankRows, func(a, b *rowDemand) int {
		return cmp.Compare(a.total/a.weight, b.total/b.weight)
	})
	unused := max(slots-total, 0)
	remaining := slots - unused
	used := remaining
	if !divideUnused {
		unused = 0
	}
	for _, r := range rankRows {
		rowSlots := min(r.total, remaining*r.weight/remainingWeight)
		remaining -= rowSlots
		remainingWeight -= r.weight
		rowSlots += unused * r.total / total
		for i, d := range r.byMember {
			weights[i] += rowSlots * d / r.total
		}
	}
	return used
}

// apportion divides a total between the members by the largest-remainder method:
// the fraction evenPart of it evenly and the rest by weight. A hash of key and
// member breaks ties. If all weights are zero, the whole total is divided evenly.
func apportion(key string, total int, evenPart float64, members []fleet.InstanceID, weights []float64) []int {
	out := make([]int, len(members))
	if len(members) == 0 || total <= 0 {
		return out
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	remaining := total
	remainders := make([]float64, len(members))
	for i := range members {
		exact := float64(total) / float64(len(members))
		if sum > 0 {
			exact = evenPart*exact + (1-evenPart)*float64(total)*weights[i]/sum
		}
		whole := min(int(exact), remaining)
		out[i] += whole
		remaining -= whole
		remainders[i] = exact - float64(whole)
	}
	order := byRemainder(key, members, remainders)
	for k := 0; remaining > 0; k++ {
		out[order[k%len(order)]]++
		remaining--
	}
	return out
}

// byRemainder returns the indexes of the members by decreasing remainder.
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
