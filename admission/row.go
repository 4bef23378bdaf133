package admission

import (
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

const (
	// rateDecay is the time constant of the arrival rate of a row. With 5 s
	// prompt work missed 0.7% more in a patient flood.
	rateDecay = 15 * time.Second
	// learningRate is the weight of a new measurement in a moving average.
	learningRate = 0.1
	// The expected slot time of a request follows its expected tokens within
	// these bounds, since prompt and completion tokens cost differently.
	minSizeFactor, maxSizeFactor = 0.25, 4.0
	idleRate                     = 1e-3 // arrivals per second below which a row is idle
	// rowMemory is how long the measured times of an idle row are kept.
	rowMemory = 10 * time.Minute
)

// row is what the queue knows of one table row.
type row struct {
	name     string
	rank     fleet.Rank
	queued   int
	inFlight int
	bucket   bucket

	rate    float64 // arrivals per second at updated
	updated time.Time

	measured   bool
	slotTime   float64 // seconds from grant to end
	firstToken float64 // seconds from grant to first token
	tokens     float64 // expected tokens of the measured requests
}

func (r *row) rateAt(now time.Time) float64 {
	return r.rate * math.Exp(-float64(now.Sub(r.updated))/float64(rateDecay))
}

// idle reports whether the row has neither requests nor recent arrivals.
func (r *row) idle(now time.Time) bool {
	return r.queued == 0 && r.inFlight == 0 && r.rateAt(now) < idleRate
}

func (r *row) arrived(now time.Time) {
	r.rate = r.rateAt(now) + 1/rateDecay.Seconds()
	r.updated = now
}

// observe learns from an answered request.
func (r *row) observe(tokens int, o *Outcome) {
	firstToken := o.Duration
	if o.FirstToken > 0 {
		firstToken = max(o.FirstToken-(o.Total-o.Duration), 0)
	}
	if !r.measured {
		r.measured = true
		r.slotTime, r.firstToken, r.tokens = o.Duration.Seconds(), firstToken.Seconds(), float64(tokens)
		return
	}
	r.slotTime += learningRate * (o.Duration.Seconds() - r.slotTime)
	r.firstToken += learningRate * (firstToken.Seconds() - r.firstToken)
	r.tokens += learningRate * (float64(tokens) - r.tokens)
}

// cost is the expected slot time of a request in seconds, 0 if nothing was
// measured yet.
func (r *row) cost(tokens int) float64 {
	if tokens <= 0 || r.tokens <= 0 {
		return r.slotTime
	}
	return r.slotTime * min(max(float64(tokens)/r.tokens, minSizeFactor), maxSizeFactor)
}

// bucket is a token bucket for the requests per second of a row.
type bucket struct {
	tokens  float64
	updated time.Time
	known   bool
}

// refill adds the tokens of the time since the last use. The bucket starts full; later growth
// of the share adds no tokens, since another instance may have used them.
func (b *bucket) refill(now time.Time, perSecond float64, burst int) {
	if !b.known {
		b.known, b.tokens, b.updated = true, float64(burst), now
		return
	}
	b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*perSecond, float64(burst))
	b.updated = now
}

// share returns this instance's share of the limits of a request's row.
func (q *Queue) share(name string, l table.Limits) RowShare {
	if s, ok := q.view.Rows[name]; ok {
		return s
	}
	return RowShare{
		LimitInFlight: l.InFlight > 0, InFlight: l.InFlight,
		LimitRate: l.PerSecond > 0, PerSecond: l.PerSecond, Burst: int(math.Ceil(l.PerSecond)),
	}
}

// overLimit checks the limits of a row and takes a token if they allow the
// request. The duration is when to try again.
func (q *Queue) overLimit(now time.Time, w *row, l table.Limits) (time.Duration, bool) {
	s := q.share(w.name, l)
	if s.LimitInFlight && w.inFlight+w.queued >= s.InFlight {
		return seconds(max(w.slotTime, 1)), true
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

func (q *Queue) row(name string, rank fleet.Rank, now time.Time) *row {
	w, ok := q.rows[name]
	if !ok {
		w = &row{name: name, updated: now}
		q.rows[name] = w
	}
	w.rank = min(rank, fleet.Patient)
	return w
}

// replaceRows brings the token buckets to the new shares.
func (q *Queue) replaceRows(now time.Time) {
	for name, s := range q.view.Rows {
		if !s.LimitRate {
			continue
		}
		w, ok := q.rows[name]
		if !ok {
			w = &row{name: name, updated: now, rank: fleet.Patient}
			q.rows[name] = w
		}
		w.bucket.refill(now, s.PerSecond, s.Burst)
	}
}

// forgetIdle drops what no request has used for a while.
func (q *Queue) forgetIdle(now time.Time) {
	for key, f := range q.flows {
		if f.idle() && f.row.rateAt(now) < idleRate {
			delete(q.flows, key)
		}
	}
	used := make(map[*target]bool, len(q.targets))
	for _, f := range q.flows {
		used[f.target] = true
	}
	for key, t := range q.targets {
		if !used[t] {
			delete(q.targets, key)
		}
	}
	for name, w := range q.rows {
		_, limited := q.view.Rows[name]
		if !limited && w.idle(now) && now.Sub(w.updated) > rowMemory {
			delete(q.rows, name)
		}
	}
}
