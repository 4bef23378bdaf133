package admission

import (
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

const (
	// readmittedExtra is how many slots beyond the window of an endpoint
	// readmitted requests may use.
	readmittedExtra = 1
	// maxRowShare bounds what one row may take of the free part of the queue
	// bound: a single row ends at 4/5 of the bound, so others find room.
	maxRowShare = 4
	// minSlack is the part of a target that a request may always wait, however
	// long its service is expected to take.
	minSlack = 0.25
	// residual is the part of a slot time that a request in service has left on
	// average. At 0.6 the first prompt request to wait was refused.
	residual = 0.5
	// waitMargin is how much shorter than the slack an estimated wait must be.
	// Without it, more urgent requests expired in an urgent flood.
	waitMargin = 1.2
	// estimateSamples bounds the endpoints looked at for an estimate.
	estimateSamples = 16
	// minSlots is how many slots of all its endpoints an estimate assumes at
	// least. At 1, prompt work missed 4.3% with 8 slots per replica and 80%
	// load, at 2 it missed 2%.
	minSlots = 2
	// minCapacity is the part of a window that an estimate assumes at least.
	minCapacity   = 0.02
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
	// serviceRetryAfter is told when no endpoint of a plain service is listed.
	serviceRetryAfter = 2 * time.Second
)

func (q *Queue) arrive(now time.Time, r *Request) {
	if q.waiting[r.ID] != nil || q.inFlight[r.ID] != nil {
		return
	}
	w := q.row(r.Row, r.Rank, now)
	w.arrived(now)
	if !r.Readmitted {
		if after, over := q.overLimit(now, w, r.Limits); over {
			q.refuse(r.ID, ReasonLimit, max(after, minRetryAfter))
			return
		}
	}
	f := q.flow(r, w)
	if len(f.target.places) == 0 && r.Model == "" && !r.Readmitted {
		q.refuse(r.ID, ReasonNoEndpoint, serviceRetryAfter)
		return
	}
	q.sequence++
	cost := w.cost(r.Tokens)
	query := routing.Query{
		Key: f.target.key, Fingerprint: r.Fingerprint, Prefix: r.Prefix,
		Exclude: r.Exclude, Rank: f.rank,
	}
	if r.Readmitted {
		query.Extra = readmittedExtra
	}
	if p, ok := q.router.Choose(&query); ok {
		if f.waiting.length == 0 {
			q.activate(f, q.sequence, cost)
		}
		q.dispatch(now, r, f, p)
		return
	}
	q.enqueue(now, r, f, cost)
}

// enqueue lets a request wait, or refuses it when it would wait in vain.
func (q *Queue) enqueue(now time.Time, r *Request, f *flow, cost float64) {
	it := &item{request: *r, row: f.row, flow: f, arrived: now, sequence: q.sequence, cost: cost, heapIndex: -1}
	slack, limited := q.slack(r, f.row, cost)
	if limited {
		it.expires = now.Add(slack)
	}
	if !r.Readmitted {
		if q.full(r, f) {
			q.refuse(r.ID, ReasonQueueFull, q.retryAfter(q.estimate(now, f)))
			return
		}
		if limited && q.config.Policy == Ranked {
			if wait := q.estimate(now, f); waitMargin*wait > slack.Seconds() {
				q.refuse(r.ID, ReasonOverload, q.retryAfter(wait))
				return
			}
		}
	}
	q.add(it)
}

// full reports whether the bound of the rank leaves the row no room.
func (q *Queue) full(r *Request, f *flow) bool {
	rank := min(r.Rank, fleet.Patient)
	bound, queued := q.config.QueueBound[rank], q.queued[rank]
	if q.config.Policy == FIFO {
		return queued >= bound
	}
	return queued >= bound || f.waiting.length >= maxRowShare*(bound-queued)
}

// slack is how long a request may wait and still meet its targets, going by
// the measured times of its row. It reports false if it may wait without end.
func (q *Queue) slack(r *Request, w *row, cost float64) (time.Duration, bool) {
	slack, limited := time.Duration(math.MaxInt64), false
	for _, c := range [...]struct {
		target   time.Duration
		expected float64
	}{{r.Targets.FirstToken, w.firstToken}, {r.Targets.WholeAnswer, cost}} {
		if c.target <= 0 {
			continue
		}
		expected := c.expected
		if q.config.Policy == FIFO {
			expected = 0
		}
		least := time.Duration(minSlack * float64(c.target))
		slack, limited = min(slack, max(c.target-seconds(expected), least)), true
	}
	if !limited {
		most := q.config.MaxWait[min(r.Rank, fleet.Patient)]
		return most, most > 0
	}
	return slack, true
}

// estimate is how many seconds a request that joins the flow now would wait.
// It is 0 as long as nothing was measured or no endpoint is known.
func (q *Queue) estimate(now time.Time, f *flow) float64 {
	places := f.target.places
	n := min(len(places), estimateSamples)
	if n == 0 {
		return 0
	}
	var work, weight, capacity float64
	for _, p := range places[:n] {
		e := &q.endpoints[p.Endpoint]
		e.account(now)
		capacity += q.capacity(p.Endpoint, f.rank)
		for _, t := range e.targets {
			share := 1 / float64(len(t.places))
			work += t.ranks[f.rank].work * share
			weight += t.ranks[f.rank].weight * share
		}
	}
	scale := float64(len(places)) / float64(n)
	// Shares follow the demand within a heartbeat.
	capacity = max(capacity, minSlots/scale)
	wait := work / capacity
	if q.config.Policy == Ranked && !f.front {
		// Fair queueing serves the row at its weight's share, however much
		// other rows of the rank have waiting.
		weight *= scale
		if f.waiting.length == 0 {
			weight += f.weight
		}
		ahead := f.work/f.weight + max(f.tag-q.virtual(f), 0)
		wait = min(wait, ahead*weight/(capacity*scale))
	}
	return wait + residual*f.row.slotTime/capacity
}

// capacity is how many slots of an endpoint a rank can expect to use.
func (q *Queue) capacity(i int, rank fleet.Rank) float64 {
	e := &q.endpoints[i]
	if q.router.Endpoint(i).Closed {
		return 0
	}
	if q.config.Policy == FIFO {
		return float64(e.window.Total)
	}
	free := float64(e.window.Total)
	if rank != fleet.Urgent {
		free = min(free-e.average[fleet.Urgent], float64(e.window.Lower))
	}
	if rank == fleet.Patient {
		free -= e.average[fleet.Prompt]
	}
	return max(min(free, float64(e.window.Ranks[rank])), e.window.Floors[rank], minCapacity*float64(e.window.Total))
}

func (q *Queue) retryAfter(wait float64) time.Duration {
	return min(max(seconds(wait), minRetryAfter), maxRetryAfter)
}

func (q *Queue) flow(r *Request, w *row) *flow {
	key := routing.Key{Pool: r.Pool, Model: r.Model, Adapter: r.Adapter, Version: r.Version}
	t, ok := q.targets[key]
	if !ok {
		t = &target{key: key}
		q.targets[key] = t
		q.connect(t)
	}
	fk := flowKey{row: r.Row, rank: q.queueRank(r.Rank), front: r.Readmitted, target: t}
	f, ok := q.flows[fk]
	if !ok {
		f = &flow{row: w, target: t, rank: fk.rank, front: fk.front, heapIndex: -1}
		q.flows[fk] = f
	}
	if f.waiting.length == 0 {
		f.weight = r.Weight
		if !(f.weight > 0) {
			f.weight = 1
		}
	}
	return f
}
