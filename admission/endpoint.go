package admission

import (
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

const (
	// meanRunningDecay is the time constant of the mean number of requests in flight.
	meanRunningDecay = 10 * time.Second
	// maxFloorCredit bounds floorCredit in both directions, as a time spent at the
	// rank's floor.
	maxFloorCredit = 10 * time.Second
)

// endpointState holds the queue's state of one endpoint. The router keeps its own.
type endpointState struct {
	running     [fleet.RankCount]int
	meanRunning [fleet.RankCount]float64 // decayed mean of running
	// floorCredit is the slot time in seconds by which each rank is below its
	// floor; it is negative for a rank above it. A decayed share of slot time
	// is not enough: a rank held at its floor got 0.92 of it in the long run.
	floorCredit [fleet.RankCount]float64
	usageTime   time.Time                // when meanRunning and floorCredit were last updated
	virtualTime [fleet.RankCount]float64 // of each rank, for fair queueing
	window      Window
	keyQueues   []*keyQueue // the keys that the endpoint can serve
}

// updateUsage advances meanRunning and floorCredit to now.
func (e *endpointState) updateUsage(now time.Time) {
	dt := now.Sub(e.usageTime)
	if dt <= 0 {
		return
	}
	e.usageTime = now
	decay := math.Exp(-float64(dt) / float64(meanRunningDecay))
	for r := range e.meanRunning {
		running, floor := float64(e.running[r]), e.window.Floors[r]
		e.meanRunning[r] = e.meanRunning[r]*decay + running*(1-decay)
		maxCredit := floor * maxFloorCredit.Seconds()
		e.floorCredit[r] = min(max(e.floorCredit[r]+(floor-running)*dt.Seconds(), -maxCredit), maxCredit)
	}
}

// belowFloor reports whether a rank is below its floor. The bound on running
// prevents a rank from spending its credit on many slots at once.
func (e *endpointState) belowFloor(r int) bool {
	return e.floorCredit[r] > 0 && float64(e.running[r]) < math.Ceil(e.window.Floors[r])
}

// fillSlot dispatches the next waiting request to a free slot of an endpoint and
// reports whether it did. Ranks below their floor go first.
func (q *Queue) fillSlot(now time.Time, i int) bool {
	e := &q.endpoints[i]
	if len(q.waiting) == 0 || len(e.keyQueues) == 0 {
		return false
	}
	var nextByRank [fleet.RankCount]*queuedRequest
	for r := range nextByRank {
		nextByRank[r] = q.nextForRank(i, fleet.Rank(r))
	}
	e.updateUsage(now)
	var next *queuedRequest
	for r, it := range nextByRank {
		if it == nil {
			continue
		}
		if q.config.Policy == Ranked && e.belowFloor(r) {
			next = it
			break
		}
		if next == nil {
			next = it
		}
	}
	if next == nil {
		return false
	}
	for _, c := range next.flow.keyQueue.candidates {
		if c.EndpointIndex == i {
			q.remove(next)
			q.dispatch(now, &next.request, next.flow, c)
			return true
		}
	}
	return false
}

// nextForRank returns the waiting request of a rank that an endpoint serves next,
// or nil. Readmitted requests precede all others of the rank.
func (q *Queue) nextForRank(i int, rank fleet.Rank) *queuedRequest {
	id := q.router.Endpoint(i).ID
	if !q.router.HasRoom(i, rank, readmittedExtraSlots) {
		return nil
	}
	withinWindow := q.router.HasRoom(i, rank, 0)
	var readmitted, regular *queuedRequest
	for _, kq := range q.endpoints[i].keyQueues {
		if kq.length == 0 {
			continue
		}
		b := &kq.ranks[rank]
		if it := b.readmitted.firstNotExcluding(id); it != nil && (readmitted == nil || it.sequence < readmitted.sequence) {
			readmitted = it
		}
		if !withinWindow || readmitted != nil {
			continue
		}
		if it := b.flows.nextNotExcluding(id); it != nil && (regular == nil || servedBefore(it, regular)) {
			regular = it
		}
	}
	if readmitted != nil {
		return readmitted
	}
	return regular
}

// servedBefore orders requests by the start tags of their flows, then by arrival.
func servedBefore(a, b *queuedRequest) bool {
	if a.flow.startTag != b.flow.startTag {
		return a.flow.startTag < b.flow.startTag
	}
	return a.sequence < b.sequence
}

// nextNotExcluding returns the first request in the heap's order that does not
// exclude the endpoint. It scans the heap only if the top request excludes it.
func (h flowHeap) nextNotExcluding(id fleet.EndpointID) *queuedRequest {
	if len(h) == 0 {
		return nil
	}
	if it := h[0].waiting.head; !slices.Contains(it.request.Exclude, id) {
		return it
	}
	var best *queuedRequest
	for _, f := range h {
		if it := f.waiting.firstNotExcluding(id); it != nil && (best == nil || servedBefore(it, best)) {
			best = it
		}
	}
	return best
}

// firstNotExcluding returns the first request in the list that does not exclude the endpoint.
func (l *requestList) firstNotExcluding(id fleet.EndpointID) *queuedRequest {
	for it := l.head; it != nil; it = it.next {
		if !slices.Contains(it.request.Exclude, id) {
			return it
		}
	}
	return nil
}

// charge advances the flow's start tag by the weighted cost of one request, and
// the endpoint's virtual time to the start tag of that request.
func (q *Queue) charge(e *endpointState, f *flow, cost float64) {
	if q.config.Policy == FIFO {
		return
	}
	if cost == 0 {
		cost = 1 // nothing has been measured yet, so requests count equally
	}
	e.virtualTime[f.rank] = max(e.virtualTime[f.rank], f.startTag)
	f.startTag += cost / f.weight
	if f.heapIndex >= 0 {
		q.fixFlow(f)
	}
}

// activate sets the start tag of a flow that starts to wait or is served at once.
// The tag is at least the virtual time of the flow's endpoints, and at most the
// weighted cost of one request above it. Without the upper bound, a flow that got
// much service on idle endpoints would starve on a busy one.
func (q *Queue) activate(f *flow, sequence uint64, cost float64) {
	if q.config.Policy == FIFO {
		f.startTag = float64(sequence)
		return
	}
	if len(f.keyQueue.candidates) == 0 {
		return
	}
	virtualTime := q.minVirtualTime(f)
	f.startTag = min(max(f.startTag, virtualTime), virtualTime+cost/f.weight)
}

// minVirtualTime returns the virtual time at which a flow joins, the minimum over
// its endpoints.
func (q *Queue) minVirtualTime(f *flow) float64 {
	v := math.Inf(1)
	for _, c := range f.keyQueue.candidates {
		v = min(v, q.endpoints[c.EndpointIndex].virtualTime[f.rank])
	}
	return v
}
