package admission

import (
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

const (
	// slotTimeDecay is the time constant of the mean number in flight.
	slotTimeDecay = 10 * time.Second
	// floorMemory bounds what a rank can save up of its floor, or owe.
	floorMemory = 10 * time.Second
)

// endpoint is what the queue tracks of one endpoint beside routing.
type endpoint struct {
	running [fleet.RankCount]int
	average [fleet.RankCount]float64 // decayed mean of running
	// credit is the slot time in seconds that each rank had less than its
	// floor. A decayed share of slot time does not do: a rank kept at its floor
	// by it ended at 0.92 of the floor in the long run.
	credit  [fleet.RankCount]float64
	updated time.Time                // time of average
	virtual [fleet.RankCount]float64 // virtual time of each rank
	window  Window
	targets []*target // that it can serve
}

// account brings the decayed slot time up to now.
func (e *endpoint) account(now time.Time) {
	dt := now.Sub(e.updated)
	if dt <= 0 {
		return
	}
	e.updated = now
	k := math.Exp(-float64(dt) / float64(slotTimeDecay))
	for r := range e.average {
		running, floor := float64(e.running[r]), e.window.Floors[r]
		e.average[r] = e.average[r]*k + running*(1-k)
		most := floor * floorMemory.Seconds()
		e.credit[r] = min(max(e.credit[r]+(floor-running)*dt.Seconds(), -most), most)
	}
}

// belowFloor reports whether a rank has had less than its floor. The bound on
// running keeps a rank from taking many slots at once for what it saved up.
func (e *endpoint) belowFloor(r int) bool {
	return e.credit[r] > 0 && float64(e.running[r]) < math.Ceil(e.window.Floors[r])
}

// fill gives a free slot of an endpoint to the request that is due and reports
// whether there was one.
func (q *Queue) fill(now time.Time, i int) bool {
	e := &q.endpoints[i]
	if len(q.waiting) == 0 || len(e.targets) == 0 {
		return false
	}
	var best [fleet.RankCount]*item
	for r := range best {
		best[r] = q.due(i, fleet.Rank(r))
	}
	e.account(now)
	var next *item
	for r, it := range best {
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
	for _, p := range next.flow.target.places {
		if p.Endpoint == i {
			q.remove(next)
			q.dispatch(now, &next.request, next.flow, p)
			return true
		}
	}
	return false
}

// due returns the waiting request of a rank that is served next on an endpoint.
func (q *Queue) due(i int, rank fleet.Rank) *item {
	id := q.router.Endpoint(i).ID
	if !q.router.Free(i, rank, readmittedExtra) {
		return nil
	}
	normal := q.router.Free(i, rank, 0)
	var front, regular *item
	for _, t := range q.endpoints[i].targets {
		if t.length == 0 {
			continue
		}
		b := &t.ranks[rank]
		if it := b.front.allowed(id); it != nil && (front == nil || it.sequence < front.sequence) {
			front = it
		}
		if !normal || front != nil {
			continue
		}
		if it := b.flows.first(id); it != nil && (regular == nil || earlier(it, regular)) {
			regular = it
		}
	}
	if front != nil {
		return front
	}
	return regular
}

func earlier(a, b *item) bool {
	if a.flow.tag != b.flow.tag {
		return a.flow.tag < b.flow.tag
	}
	return a.sequence < b.sequence
}

// first returns the request that is next on an endpoint. Only when the request
// at the top excludes the endpoint are the others looked at.
func (h flowHeap) first(id fleet.EndpointID) *item {
	if len(h) == 0 {
		return nil
	}
	if it := h[0].waiting.head; !slices.Contains(it.request.Exclude, id) {
		return it
	}
	var best *item
	for _, f := range h {
		if it := f.waiting.allowed(id); it != nil && (best == nil || earlier(it, best)) {
			best = it
		}
	}
	return best
}

// allowed returns the first request in the list that does not exclude the endpoint.
func (l *list) allowed(id fleet.EndpointID) *item {
	for it := l.head; it != nil; it = it.next {
		if !slices.Contains(it.request.Exclude, id) {
			return it
		}
	}
	return nil
}

// charge advances the virtual time of a flow by the cost of one request, and
// that of the endpoint to the start of the request.
func (q *Queue) charge(e *endpoint, f *flow, cost float64) {
	if q.config.Policy == FIFO {
		return
	}
	if cost == 0 {
		cost = 1 // nothing was measured yet; count requests
	}
	e.virtual[f.rank] = max(e.virtual[f.rank], f.tag)
	f.tag += cost / f.weight
	if f.heapIndex >= 0 {
		q.fixFlow(f)
	}
}

// activate sets the tag of a flow that begins to wait or is served at once. It
// starts at the virtual time of its endpoints; of what the flow was served
// ahead, one request is remembered. Without that bound, a flow that was served
// much on idle endpoints would starve on a busy one.
func (q *Queue) activate(f *flow, sequence uint64, cost float64) {
	if q.config.Policy == FIFO {
		f.tag = float64(sequence)
		return
	}
	if len(f.target.places) == 0 {
		return
	}
	start := q.virtual(f)
	f.tag = min(max(f.tag, start), start+cost/f.weight)
}

// virtual is the virtual time at which a flow joins: the least of its endpoints.
func (q *Queue) virtual(f *flow) float64 {
	v := math.Inf(1)
	for _, p := range f.target.places {
		v = min(v, q.endpoints[p.Endpoint].virtual[f.rank])
	}
	return v
}
