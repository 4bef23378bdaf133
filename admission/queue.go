package admission

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

// Policy selects how the queue orders and refuses requests.
type Policy uint8

// The policies. FIFO is a baseline for comparison: it serves requests in order of
// arrival, without ranks, weights, floors, reserved slots and early refusal.
// Limits, queue bounds and deadlines apply under both.
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

// Config configures a Queue.
type Config struct {
	Policy     Policy
	Routing    routing.Policy
	DataCentre fleet.DataCentre // of this instance
	Seed       uint64           // of the router's random choices
	// QueueBound limits the waiting requests of each rank. Zero means the default.
	QueueBound [fleet.RankCount]int
	// MaxWait limits the wait of a request without targets. Zero means no limit.
	MaxWait [fleet.RankCount]time.Duration
}

// defaultQueueBound keeps the memory of waiting requests below 400 MB, given up
// to 32 KB for each idle connection.
const defaultQueueBound = 4000

// Queue is the admission state of one instance. It is not safe for concurrent
// use; the control goroutine owns it.
type Queue struct {
	config    Config
	view      *View
	router    *routing.Router
	endpoints []endpointState // indexed as in the router
	rows      map[string]*row
	keyQueues map[routing.Key]*keyQueue
	flows     map[flowKey]*flow
	waiting   map[uint64]*queuedRequest
	inFlight  map[uint64]*runningRequest
	expiry    expiryHeap
	queued    [fleet.RankCount]int
	running   [fleet.RankCount]int
	sequence  uint64
	actions   []Action
}

// runningRequest is a dispatched request and the slot it occupies.
type runningRequest struct {
	endpoint  fleet.EndpointID
	row       *row
	rank      fleet.Rank // rank of the request
	queueRank fleet.Rank // rank by which the queue ordered it
	tokens    int
}

// NewQueue returns an empty queue. It knows no endpoint until the first ViewChanged.
func NewQueue(c Config) *Queue {
	for i := range c.QueueBound {
		if c.QueueBound[i] == 0 {
			c.QueueBound[i] = defaultQueueBound
		}
	}
	return &Queue{
		config:    c,
		view:      &View{},
		router:    routing.New(routing.Config{Policy: c.Routing, DataCentre: c.DataCentre, Seed: c.Seed}),
		rows:      make(map[string]*row),
		keyQueues: make(map[routing.Key]*keyQueue),
		flows:     make(map[flowKey]*flow),
		waiting:   make(map[uint64]*queuedRequest),
		inFlight:  make(map[uint64]*runningRequest),
	}
}

// Step handles one event and returns the resulting actions, which are valid until
// the next call. Times must not decrease between calls.
func (q *Queue) Step(now time.Time, ev Event) []Action {
	clear(q.actions)
	q.actions = q.actions[:0]
	switch ev := ev.(type) {
	case Arrive:
		q.admit(now, &ev.Request)
	case Finish:
		q.finish(now, &ev.Outcome)
	case Cancel:
		q.cancel(now, ev.ID)
	case ViewChanged:
		q.replaceView(now, ev.View)
	case Tick:
		q.expireWaiting(now)
	}
	return q.actions
}

// RecordCacheEvent forwards an event of an engine's prefix cache to the router.
func (q *Queue) RecordCacheEvent(id fleet.EndpointID, prefix uint64, removed bool) {
	q.router.RecordCacheEvent(id, prefix, removed)
}

// NextDeadline returns the time at which the next Tick is due, or false if no
// waiting request has a deadline.
func (q *Queue) NextDeadline() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].expires, true
}

func (q *Queue) refuse(id uint64, reason Reason, retryAfter time.Duration) {
	q.actions = append(q.actions, Refuse{ID: id, Refusal: &Refusal{Reason: reason, RetryAfter: retryAfter}})
}

// queueRank returns the rank by which the queue orders a request.
func (q *Queue) queueRank(r fleet.Rank) fleet.Rank {
	if q.config.Policy == FIFO {
		return fleet.Urgent
	}
	return min(r, fleet.Patient)
}

func (q *Queue) finish(now time.Time, o *Outcome) {
	dispatched, ok := q.inFlight[o.ID]
	if !ok {
		return
	}
	if o.Result == ResultAnswered {
		dispatched.row.observe(dispatched.tokens, o)
	}
	q.release(now, o.ID, dispatched)
}

func (q *Queue) cancel(now time.Time, id uint64) {
	if it, ok := q.waiting[id]; ok {
		q.remove(it)
	} else if dispatched, ok := q.inFlight[id]; ok {
		q.release(now, id, dispatched)
	}
}

// release frees the slot of a dispatched request and fills the endpoint's free slots.
func (q *Queue) release(now time.Time, id uint64, dispatched *runningRequest) {
	delete(q.inFlight, id)
	dispatched.row.inFlight--
	q.running[dispatched.rank]--
	i, ok := q.router.Index(dispatched.endpoint)
	if !ok {
		return
	}
	e := &q.endpoints[i]
	e.updateUsage(now)
	e.running[dispatched.queueRank]--
	q.router.RecordEnd(now, i, dispatched.queueRank)
	for q.fillSlot(now, i) {
	}
}

// expireWaiting refuses the waiting requests whose deadline has passed.
func (q *Queue) expireWaiting(now time.Time) {
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].expires) {
		it := q.expiry[0]
		q.remove(it)
		reason := ReasonDeadline
		if len(it.flow.keyQueue.candidates) == 0 {
			reason = ReasonNoEndpoint
		}
		q.refuse(it.request.ID, reason, q.retryAfter(q.estimateWait(now, it.flow)))
	}
}

// replaceView applies a new view and fills the slots that it opens.
func (q *Queue) replaceView(now time.Time, v *View) {
	old := make(map[fleet.EndpointID]endpointState, len(q.endpoints))
	for i := range q.endpoints {
		old[q.router.Endpoint(i).ID] = q.endpoints[i]
	}
	q.view = v
	q.router.Replace(now, v.routingEndpoints(q.config.Policy == FIFO))
	q.endpoints = make([]endpointState, q.router.Len())
	for i := range q.endpoints {
		e, ok := old[q.router.Endpoint(i).ID]
		if !ok {
			e.usageTime = now
		}
		e.updateUsage(now)
		e.keyQueues, e.window = nil, Window{}
		if i < len(v.Endpoints) {
			e.window = v.Endpoints[i].Window
		}
		q.endpoints[i] = e
	}
	q.updateBuckets(now)
	q.dropIdle(now)
	for _, kq := range q.keyQueues {
		q.linkEndpoints(kq)
	}
	q.fillAllSlots(now)
}

// linkEndpoints links a key's queue with the endpoints that can serve the key.
func (q *Queue) linkEndpoints(kq *keyQueue) {
	kq.candidates = q.router.Candidates(kq.key)
	for _, c := range kq.candidates {
		e := &q.endpoints[c.EndpointIndex]
		e.keyQueues = append(e.keyQueues, kq)
	}
}

// fillAllSlots fills the free slots of all endpoints. It gives each endpoint one
// request per round, so that a backlog spreads over the endpoints.
func (q *Queue) fillAllSlots(now time.Time) {
	for progress := len(q.waiting) > 0; progress; {
		progress = false
		for i := range q.endpoints {
			if q.fillSlot(now, i) {
				progress = true
			}
		}
	}
}

// dispatch starts a request on an endpoint and emits its grant.
func (q *Queue) dispatch(now time.Time, r *Request, f *flow, c routing.Candidate) {
	e := &q.endpoints[c.EndpointIndex]
	e.updateUsage(now)
	e.running[f.rank]++
	q.charge(e, f, f.row.cost(r.Tokens))
	q.router.RecordSend(now, c.EndpointIndex, f.rank, r.Prefix)
	f.row.inFlight++
	q.running[min(r.Rank, fleet.Patient)]++
	target := q.router.Endpoint(c.EndpointIndex).Endpoint
	q.inFlight[r.ID] = &runningRequest{
		endpoint: target.ID, row: f.row, rank: min(r.Rank, fleet.Patient), queueRank: f.rank, tokens: r.Tokens,
	}
	g := Grant{Endpoint: target, Version: c.Resident.Version}
	if r.Adapter != "" && !c.Resident.Ready {
		g.LoadAdapter, g.Token, g.MemoryMB = true, c.Resident.Token, c.Resident.MemoryMB
	}
	q.actions = append(q.actions, Dispatch{ID: r.ID, Grant: g})
}
