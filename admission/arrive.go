package admission

import (
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

const (
	// readmittedExtraSlots is the number of slots beyond an endpoint's window
	// that readmitted requests may use.
	readmittedExtraSlots = 1
	// rowQueueFactor limits the waiting requests of a row's flow to this multiple
	// of the free part of the queue bound. A single flow therefore fills at most
	// 4/5 of the bound, which leaves room for other rows.
	rowQueueFactor = 4
	// minSlackFraction is the fraction of a target that a request may always wait,
	// however long its service is expected to take.
	minSlackFraction = 0.25
	// residualServiceFraction is the fraction of its slot time that a request in
	// service has left on average. At 0.6, the first prompt request that had to
	// wait was refused.
	residualServiceFraction = 0.5
	// waitSafetyFactor multiplies an estimated wait before it is compared with the
	// slack. Without it, more requests of rank urgent expired in a flood of them.
	waitSafetyFactor = 1.2
	// maxEstimateEndpoints limits the endpoints considered by one wait estimate.
	maxEstimateEndpoints = 16
	// minEstimateSlots is the least number of slots, over all endpoints that can
	// serve a request, that a wait estimate assumes. With 8 slots per replica at
	// 80% load, 4.3% of prompt requests missed their targets at 1, and 2% at 2.
	minEstimateSlots = 2
	// minCapacityFraction is the least fraction of an endpoint's window that a
	// wait estimate assumes for a rank.
	minCapacityFraction = 0.02
	minRetryAfter       = time.Second
	maxRetryAfter       = 5 * time.Minute
	// plainServiceRetryAfter applies when no endpoint can serve a plain service.
	plainServiceRetryAfter = 2 * time.Second
)

// admit dispatches a request at once if an endpoint has room for it, and
// otherwise queues or refuses it. A request ID that is already known is ignored.
func (q *Queue) admit(now time.Time, r *Request) {
	if q.waiting[r.ID] != nil || q.inFlight[r.ID] != nil {
		return
	}
	w := q.rowFor(r.Row, r.Rank, now)
	w.recordArrival(now)
	if !r.Readmitted {
		if after, over := q.overLimit(now, w, r.Limits); over {
			q.refuse(r.ID, ReasonLimit, max(after, minRetryAfter))
			return
		}
	}
	f := q.flowFor(r, w)
	if len(f.keyQueue.candidates) == 0 && r.Model == "" && !r.Readmitted {
		q.refuse(r.ID, ReasonNoEndpoint, plainServiceRetryAfter)
		return
	}
	q.sequence++
	cost := w.cost(r.Tokens)
	query := routing.Query{
		Key: f.keyQueue.key, Fingerprint: r.Fingerprint, Prefix: r.Prefix,
		Exclude: r.Exclude, Rank: f.rank,
	}
	if r.Readmitted {
		query.ExtraSlots = readmittedExtraSlots
	}
	if p, ok := q.router.Choose(&query); ok {
		if f.waiting.length == 0 {
			q.activate(f, q.sequence, cost)
		}
		q.dispatch(now, r, f, p)
		return
	}
	q.enqueueOrRefuse(now, r, f, cost)
}

// enqueueOrRefuse queues a request, or refuses it if the queue is full or its
// estimated wait exceeds its slack.
func (q *Queue) enqueueOrRefuse(now time.Time, r *Request, f *flow, cost float64) {
	it := &queuedRequest{request: *r, row: f.row, flow: f, arrived: now, sequence: q.sequence, cost: cost, expiryIndex: -1}
	slack, limited := q.slack(r, f.row, cost)
	if limited {
		it.expires = now.Add(slack)
	}
	if !r.Readmitted {
		if q.queueFull(r, f) {
			q.refuse(r.ID, ReasonQueueFull, q.retryAfter(q.estimateWait(now, f)))
			return
		}
		if limited && q.config.Policy == Ranked {
			if wait := q.estimateWait(now, f); waitSafetyFactor*wait > slack.Seconds() {
				q.refuse(r.ID, ReasonOverload, q.retryAfter(wait))
				return
			}
		}
	}
	q.add(it)
}

// queueFull reports whether the rank has reached its queue bound, or the flow its
// part of the bound.
func (q *Queue) queueFull(r *Request, f *flow) bool {
	rank := min(r.Rank, fleet.Patient)
	bound, queued := q.config.QueueBound[rank], q.queued[rank]
	if q.config.Policy == FIFO {
		return queued >= bound
	}
	return queued >= bound || f.waiting.length >= rowQueueFactor*(bound-queued)
}

// slack returns how long a request can wait and still meet its targets, given
// the measured times of its row, and whether its wait is limited. A request
// without targets is limited by Config.MaxWait.
func (q *Queue) slack(r *Request, w *row, cost float64) (time.Duration, bool) {
	slack, limited := time.Duration(math.MaxInt64), false
	for _, bound := range [...]struct {
		target   time.Duration
		expected float64
	}{{r.Targets.FirstToken, w.meanFirstToken}, {r.Targets.WholeAnswer, cost}} {
		if bound.target <= 0 {
			continue
		}
		expected := bound.expected
		if q.config.Policy == FIFO {
			expected = 0
		}
		minSlack := time.Duration(minSlackFraction * float64(bound.target))
		slack, limited = min(slack, max(bound.target-seconds(expected), minSlack)), true
	}
	if !limited {
		maxWait := q.config.MaxWait[min(r.Rank, fleet.Patient)]
		return maxWait, maxWait > 0
	}
	return slack, true
}

// estimateWait returns the expected wait in seconds of a request that joins the
// flow now. It returns 0 if nothing has been measured or no endpoint is known.
func (q *Queue) estimateWait(now time.Time, f *flow) float64 {
	candidates := f.keyQueue.candidates
	n := min(len(candidates), maxEstimateEndpoints)
	if n == 0 {
		return 0
	}
	var work, weight, capacity float64
	for _, c := range candidates[:n] {
		e := &q.endpoints[c.EndpointIndex]
		e.updateUsage(now)
		capacity += q.expectedSlots(c.EndpointIndex, f.rank)
		for _, kq := range e.keyQueues {
			share := 1 / float64(len(kq.candidates))
			work += kq.ranks[f.rank].work * share
			weight += kq.ranks[f.rank].weight * share
		}
	}
	scale := float64(len(candidates)) / float64(n)
	// Windows follow the demand within a heartbeat, so a small window soon grows.
	capacity = max(capacity, minEstimateSlots/scale)
	wait := work / capacity
	if q.config.Policy == Ranked && !f.readmitted {
		// Fair queueing guarantees the row a share by weight, however many
		// requests of other rows wait in the rank.
		weight *= scale
		if f.waiting.length == 0 {
			weight += f.weight
		}
		ahead := f.work/f.weight + max(f.startTag-q.minVirtualTime(f), 0)
		wait = min(wait, ahead*weight/(capacity*scale))
	}
	return wait + residualServiceFraction*f.row.meanSlotTime/capacity
}

// expectedSlots returns the number of an endpoint's slots that a rank can expect
// to use. Ranks that are more urgent are assumed to keep their mean usage.
func (q *Queue) expectedSlots(i int, rank fleet.Rank) float64 {
	e := &q.endpoints[i]
	if q.router.Endpoint(i).Closed {
		return 0
	}
	if q.config.Policy == FIFO {
		return float64(e.window.Total)
	}
	free := float64(e.window.Total)
	if rank != fleet.Urgent {
		free = min(free-e.meanRunning[fleet.Urgent], float64(e.window.NonUrgentLimit))
	}
	if rank == fleet.Patient {
		free -= e.meanRunning[fleet.Prompt]
	}
	return max(min(free, float64(e.window.RankLimits[rank])), e.window.Floors[rank], minCapacityFraction*float64(e.window.Total))
}

// retryAfter converts an estimated wait in seconds to a bounded delay.
func (q *Queue) retryAfter(wait float64) time.Duration {
	return min(max(seconds(wait), minRetryAfter), maxRetryAfter)
}

// flowFor returns the flow of a request and creates it, and the queue of its
// routing key, if needed. A flow without waiting requests takes the new weight.
func (q *Queue) flowFor(r *Request, w *row) *flow {
	key := routing.Key{Pool: r.Pool, Model: r.Model, Adapter: r.Adapter, Version: r.Version}
	kq, ok := q.keyQueues[key]
	if !ok {
		kq = &keyQueue{key: key}
		q.keyQueues[key] = kq
		q.linkEndpoints(kq)
	}
	id := flowKey{row: r.Row, rank: q.queueRank(r.Rank), readmitted: r.Readmitted, keyQueue: kq}
	f, ok := q.flows[id]
	if !ok {
		f = &flow{row: w, keyQueue: kq, rank: id.rank, readmitted: id.readmitted, heapIndex: -1}
		q.flows[id] = f
	}
	if f.waiting.length == 0 {
		f.weight = r.Weight
		if !(f.weight > 0) {
			f.weight = 1
		}
	}
	return f
}
