package admission

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

// Policy selects the order of the queue.
type Policy uint8

// The policies. FIFO is the baseline: one order of arrival without ranks,
// weights, floors, reserved slots and early refusal. Limits, queue bounds and
// deadlines hold under both.
const (
	Ranked Policy = iota
	FIFO
)

var policyNames = [...]string{"ranked", "fifo"}

// String returns the policy's name for logs and measurements.
func (p Policy) String() string {
	if int(p) < len(policyNames) {
		return policyNames[p]
	}
	return fmt.Sprintf("policy(%d)", uint8(p))
}

// Config sets up a Queue.
type Config struct {
	Policy     Policy
	Routing    routing.Policy
	DataCentre fleet.DataCentre // of this instance
	Seed       uint64           // of the random choices
	// QueueBound is how many requests of a rank may wait. Zero means the default.
	QueueBound [fleet.RankCount]int
	// MaxWait is how long a request without a target may wait. Zero means
	// without end.
	MaxWait [fleet.RankCount]time.Duration
}

// defaultQueueBound keeps the memory of waiting requests below 400 MB at the
// 32 KB that an idle connection may take.
const defaultQueueBound = 4000

// Queue is the admission state of one instance. It is not safe for concurrent
// use; the control goroutine owns it.
type Queue struct {
	config    Config
	view      *View
	router    *routing.Router
	endpoints []endpoint // by index of the router
	rows      map[string]*row
	targets   map[routing.Key]*target
	flows     map[flowKey]*flow
	waiting   map[uint64]*item
	inFlight  map[uint64]*running
	expiry    expiryHeap
	queued    [fleet.RankCount]int
	running   [fleet.RankCount]int
	sequence  uint64
	actions   []Action
}

// running is a dispatched request.
type running struct {
	endpoint  fleet.EndpointID
	row       *row
	rank      fleet.Rank // as requested
	queueRank fleet.Rank // order in the queue
	tokens    int
}

// NewQueue returns an empty queue without a view: until the first ViewChanged
// no endpoint is known.
func NewQueue(c Config) *Queue {
	for i := range c.QueueBound {
		if c.QueueBound[i] == 0 {
			c.QueueBound[i] = defaultQueueBound
		}
	}
	return &Queue{
		config:   c,
		view:     &View{},
		router:   routing.New(routing.Config{Policy: c.Routing, DataCentre: c.DataCentre, Seed: c.Seed}),
		rows:     make(map[string]*row),
		targets:  make(map[routing.Key]*target),
		flows:    make(map[flowKey]*flow),
		waiting:  make(map[uint64]*item),
		inFlight: make(map[uint64]*running),
	}
}

// Step handles one event. Times must not decrease from call to call. The
// result is valid until the next call.
func (q *Queue) Step(now time.Time, ev Event) []Action {
	clear(q.actions)
	q.actions = q.actions[:0]
	switch ev := ev.(type) {
	case Arrive:
		q.arrive(now, &ev.Request)
	case Finish:
		q.finish(now, &ev.Outcome)
	case Cancel:
		q.cancel(now, ev.ID)
	case ViewChanged:
		q.replaceView(now, ev.View)
	case Tick:
		q.expire(now)
	}
	return q.actions
}

// CacheEvent passes a hint of an engine's prefix cache to routing.
func (q *Queue) CacheEvent(id fleet.EndpointID, prefix uint64, removed bool) {
	q.router.CacheEvent(id, prefix, removed)
}

// NextDeadline returns when the next Tick is due, if any request that waits
// has a deadline.
func (q *Queue) NextDeadline() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].expires, true
}

func (q *Queue) refuse(id uint64, reason Reason, retryAfter time.Duration) {
	q.actions = append(q.actions, Refuse{ID: id, Refusal: &Refusal{Reason: reason, RetryAfter: retryAfter}})
}

// queueRank is the rank by which the queue orders a request.
func (q *Queue) queueRank(r fleet.Rank) fleet.Rank {
	if q.config.Policy == FIFO {
		return fleet.Urgent
	}
	return min(r, fleet.Patient)
}

func (q *Queue) finish(now time.Time, o *Outcome) {
	f, ok := q.inFlight[o.ID]
	if !ok {
		return
	}
	if o.Result == ResultAnswered {
		f.row.observe(f.tokens, o)
	}
	q.release(now, o.ID, f)
}

func (q *Queue) cancel(now time.Time, id uint64) {
	if it, ok := q.waiting[id]; ok {
		q.remove(it)
	} else if f, ok := q.inFlight[id]; ok {
		q.release(now, id, f)
	}
}

// release frees the slot of a dispatched request and gives it to the next one.
func (q *Queue) release(now time.Time, id uint64, f *running) {
	delete(q.inFlight, id)
	f.row.inFlight--
	q.running[f.rank]--
	i, ok := q.router.Index(f.endpoint)
	if !ok {
		return
	}
	e := &q.endpoints[i]
	e.account(now)
	e.running[f.queueRank]--
	q.router.Done(now, i, f.queueRank)
	for q.fill(now, i) {
	}
}

// expire refuses the requests whose deadline has passed while they waited.
func (q *Queue) expire(now time.Time) {
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].expires) {
		it := q.expiry[0]
		q.remove(it)
		reason := ReasonDeadline
		if len(it.flow.target.places) == 0 {
			reason = ReasonNoEndpoint
		}
		q.refuse(it.request.ID, reason, q.retryAfter(q.estimate(now, it.flow)))
	}
}

// replaceView adopts a new view and hands out the slots that it opened.
func (q *Queue) replaceView(now time.Time, v *View) {
	old := make(map[fleet.EndpointID]endpoint, len(q.endpoints))
	for i := range q.endpoints {
		old[q.router.Endpoint(i).ID] = q.endpoints[i]
	}
	q.view = v
	q.router.Replace(now, v.routingEndpoints(q.config.Policy == FIFO))
	q.endpoints = make([]endpoint, q.router.Len())
	for i := range q.endpoints {
		e, ok := old[q.router.Endpoint(i).ID]
		if !ok {
			e.updated = now
		}
		e.account(now)
		e.targets, e.window = nil, Window{}
		if i < len(v.Endpoints) {
			e.window = v.Endpoints[i].Window
		}
		q.endpoints[i] = e
	}
	q.replaceRows(now)
	q.forgetIdle(now)
	for _, t := range q.targets {
		q.connect(t)
	}
	q.fillAll(now)
}

// connect links a target with the endpoints that can serve it.
func (q *Queue) connect(t *target) {
	t.places = q.router.Places(t.key)
	for _, p := range t.places {
		e := &q.endpoints[p.Endpoint]
		e.targets = append(e.targets, t)
	}
}

// fillAll gives each endpoint one request at a time, so that a backlog is
// spread over the endpoints that opened.
func (q *Queue) fillAll(now time.Time) {
	for again := len(q.waiting) > 0; again; {
		again = false
		for i := range q.endpoints {
			if q.fill(now, i) {
				again = true
			}
		}
	}
}

func (q *Queue) dispatch(now time.Time, r *Request, f *flow, p routing.Place) {
	e := &q.endpoints[p.Endpoint]
	e.account(now)
	e.running[f.rank]++
	q.charge(e, f, f.row.cost(r.Tokens))
	q.router.Sent(now, p.Endpoint, f.rank, r.Prefix)
	f.row.inFlight++
	q.running[min(r.Rank, fleet.Patient)]++
	at := q.router.Endpoint(p.Endpoint).Endpoint
	q.inFlight[r.ID] = &running{
		endpoint: at.ID, row: f.row, rank: min(r.Rank, fleet.Patient), queueRank: f.rank, tokens: r.Tokens,
	}
	g := Grant{Endpoint: at, Version: p.Resident.Version}
	if r.Adapter != "" && !p.Resident.Ready {
		g.LoadAdapter, g.Token, g.MemoryMB = true, p.Resident.Token, p.Resident.MemoryMB
	}
	q.actions = append(q.actions, Dispatch{ID: r.ID, Grant: g})
}
