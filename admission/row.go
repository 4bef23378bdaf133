package admission

import (
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

const (
	// rateDecay is the time constant of a row's arrival rate. At 5 s, another
	// 0.7% of prompt requests missed their targets in a patient flood.
	rateDecay = 15 * time.Second
	// averageWeight is the weight of a new measurement in the moving averages.
	averageWeight = 0.1
	// minCostFactor and maxCostFactor bound how far the expected slot time of a
	// request scales with its expected tokens. Prompt and completion tokens differ
	// in cost, so their sum is only a rough measure.
	minCostFactor, maxCostFactor = 0.25, 4.0
	idleRate                     = 1e-3 // arrivals per second; a row below it is idle
	// idleRowRetention is how long an idle row keeps its measured times.
	idleRowRetention = 10 * time.Minute
)

// row holds the limits state and the measurements of one table row.
type row struct {
	name     string
	rank     fleet.Rank
	queued   int
	inFlight int
	bucket   tokenBucket

	arrivalRate float64 // arrivals per second at rateTime
	rateTime    time.Time

	measured       bool
	meanSlotTime   float64 // seconds from grant to end
	meanFirstToken float64 // seconds from grant to first token
	meanTokens     float64 // mean expected tokens of the measured requests
}

// rateAt returns the arrival rate per second, decayed to now.
func (r *row) rateAt(now time.Time) float64 {
	return r.arrivalRate * math.Exp(-float64(now.Sub(r.rateTime))/float64(rateDecay))
}

// idle reports whether the row has neither requests nor recent arrivals.
func (r *row) idle(now time.Time) bool {
	return r.queued == 0 && r.inFlight == 0 && r.rateAt(now) < idleRate
}

func (r *row) recordArrival(now time.Time) {
	r.arrivalRate = r.rateAt(now) + 1/rateDecay.Seconds()
	r.rateTime = now
}

// observe updates the moving averages from an answered request.
func (r *row) observe(tokens int, o *Outcome) {
	firstToken := o.Duration
	if o.FirstToken > 0 {
		firstToken = max(o.FirstToken-(o.Total-o.Duration), 0)
	}
	if !r.measured {
		r.measured = true
		r.meanSlotTime, r.meanFirstToken, r.meanTokens = o.Duration.Seconds(), firstToken.Seconds(), float64(tokens)
		return
	}
	r.meanSlotTime += averageWeight * (o.Duration.Seconds() - r.meanSlotTime)
	r.meanFirstToken += averageWeight * (firstToken.Seconds() - r.meanFirstToken)
	r.meanTokens += averageWeight * (float64(tokens) - r.meanTokens)
}

// cost returns the expected slot time of a request in seconds, or 0 if nothing
// has been measured yet.
func (r *row) cost(tokens int) float64 {
	if tokens <= 0 || r.meanTokens <= 0 {
		return r.meanSlotTime
	}
	return r.meanSlotTime * min(max(float64(tokens)/r.meanTokens, minCostFactor), maxCostFactor)
}

// tokenBucket limits the requests per second of a row.
type tokenBucket struct {
	tokens      float64
	updated     time.Time
	initialized bool
}

// refill adds the tokens for the time since the last call. The bucket starts full.
// A larger burst adds no tokens by itself, since another instance may have used
// them.
func (b *tokenBucket) refill(now time.Time, perSecond float64, burst int) {
	if !b.initialized {
		b.initialized, b.tokens, b.updated = true, float64(burst), now
		return
	}
	b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*perSecond, float64(burst))
	b.updated = now
}

// limitShare returns this instance's share of a row's limits. If the view has no
// share for the row, the limits apply in full.
func (q *Queue) limitShare(name string, l table.Limits) RowShare {
	if s, ok := q.view.Rows[name]; ok {
		return s
	}
	return RowShare{
		LimitInFlight: l.InFlight > 0, InFlight: l.InFlight,
		LimitRate: l.PerSecond > 0, PerSecond: l.PerSecond, Burst: int(math.Ceil(l.PerSecond)),
	}
}

// overLimit reports whether a request exceeds the limits of its row, and returns the
// time after which a retry may succeed. A request within a rate limit takes a token
// from the row's bucket.
func (q *Queue) overLimit(now time.Time, w *row, l table.Limits) (time.Duration, bool) {
	s := q.limitShare(w.name, l)
	if s.LimitInFlight && w.inFlight+w.queued >= s.InFlight {
		return seconds(max(w.meanSlotTime, 1)), true
	}
	if !s.LimitRate {
		return 0, false
	}
	w.bucket.refill(now, s.PerSecond, s.Burst)
	if w.bucket.tokens < 1 {
		if s.PerSecond <= 0 {
			return time.Second, true
		}
		return seconds((1 - w.bucket.tokens) / s.PerSecond), true
	}
	w.bucket.tokens--
	return 0, false
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// rowFor returns the state of a row and creates it if needed.
func (q *Queue) rowFor(name string, rank fleet.Rank, now time.Time) *row {
	w, ok := q.rows[name]
	if !ok {
		w = &row{name: name, rateTime: now}
		q.rows[name] = w
	}
	w.rank = min(rank, fleet.Patient)
	return w
}

// updateBuckets refills the token buckets according to the new shares.
func (q *Queue) updateBuckets(now time.Time) {
	for name, s := range q.view.Rows {
		if !s.LimitRate {
			continue
		}
		w, ok := q.rows[name]
		if !ok {
			w = &row{name: name, rateTime: now, rank: fleet.Patient}
			q.rows[name] = w
		}
		w.bucket.refill(now, s.PerSecond, s.Burst)
	}
}

// dropIdle deletes idle flows, key queues without a flow, and rows that have been
// idle for idleRowRetention.
func (q *Queue) dropIdle(now time.Time) {
	for key, f := range q.flows {
		if f.idle() && f.row.rateAt(now) < idleRate {
			delete(q.flows, key)
		}
	}
	used := make(map[*keyQueue]bool, len(q.keyQueues))
	for _, f := range q.flows {
		used[f.keyQueue] = true
	}
	for key, kq := range q.keyQueues {
		if !used[kq] {
			delete(q.keyQueues, key)
		}
	}
	for name, w := range q.rows {
		_, limited := q.view.Rows[name]
		if !limited && w.idle(now) && now.Sub(w.rateTime) > idleRowRetention {
			delete(q.rows, name)
		}
	}
}
