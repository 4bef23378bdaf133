package ratelimit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testBounds = Bounds{Window: 8 * time.Second, Excess: 0.1, Slack: 17_000}

// Times of a replay. All instances have the lowered limit configTime after lowerAt.
const (
	warmUp     = 2 * time.Second
	ownerLost  = 26 * time.Second
	ownerFound = 32 * time.Second
	cutTime    = 4 * time.Second
	addAt      = 45 * time.Second
	lowerAt    = 48 * time.Second
	configTime = 3 * time.Second
	replayEnd  = 66 * time.Second
	// recontact is the time after which an instance that was cut off has reached the owner.
	recontact = 300 * time.Millisecond
	// refillTime is the time after which the empty buckets of a new owner are full at the
	// usual demand.
	refillTime = 3 * time.Second
)

// replayCustomer is a customer with the demand of a replay and what was measured.
type replayCustomer struct {
	catalog.Customer
	size    string
	weights []float64 // of the instances in the demand
	// reference is the level of an ideal bucket with the same demand, and over the times at
	// which it refused requests.
	reference         float64
	over              []time.Duration
	decided           []decision // while there is an owner
	passed            []pass
	admitted, offered float64
	lostOffered       float64 // while the owner is lost
	lostAdmitted      float64
}

type pass struct {
	at   time.Duration
	cost float64
}

type decision struct {
	arrived time.Duration
	refused bool
}

// replay runs instances with their clients and the owner in virtual time.
type replay struct {
	rand      *rand.Rand
	now       time.Duration
	events    eventQueue
	sequence  int
	instances []*replayInstance
	owner     *Owner // nil while it is lost
	customers []*replayCustomer
	messages  int
	scenario
}

// scenario is what differs between replays.
type scenario struct {
	instances  int
	cutShare   float64       // part of the instances that is cut off from the others
	cutFrom    time.Duration // for cutTime
	overload   float64       // demand while the owner is lost and instances are cut off, times the usual one
	deputyLost bool          // the deputy is lost together with the owner
}

type replayInstance struct {
	client        *Client
	cut           bool
	cutUntil      time.Duration
	deputy        *Owner
	waiting, sent []waiter
}

type waiter struct {
	instance *replayInstance
	customer *replayCustomer
	cost     float64
	arrived  time.Duration
	hasOwner bool // the instance has an owner, or can have one
}

type replayEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []replayEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(replayEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (r *replay) after(d time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.events, replayEvent{r.now + d, r.sequence, run})
}

// every runs f at intervals until the end of the replay.
func (r *replay) every(interval time.Duration, f func()) {
	var run func()
	run = func() { f(); r.after(interval, run) }
	r.after(time.Duration(r.rand.Int64N(int64(interval))), run)
}

func (r *replay) time() time.Time { return epoch.Add(r.now) }

// delay is the time that a message takes.
func (r *replay) delay() time.Duration {
	return time.Millisecond + time.Duration(r.rand.ExpFloat64()*float64(4*time.Millisecond))
}

func (r *replay) quotas() []*catalog.Customer {
	var out []*catalog.Customer
	for _, c := range r.customers {
		customer := c.Customer
		out = append(out, &customer)
	}
	return out
}

func (r *replay) addInstance() {
	i := &replayInstance{client: NewClient(fmt.Sprint("i", len(r.instances)), 1, testBounds, r.rand.Uint64())}
	i.client.SetCustomers(r.time(), r.quotas())
	r.instances = append(r.instances, i)
	r.every(100*time.Millisecond, func() {
		if i.deputy != nil {
			if i.deputy.Tick(r.time()); i.deputy.Idle() {
				i.deputy = nil
			}
		}
		r.send(i)
	})
	r.every(250*time.Millisecond, func() { // the exchange of states
		if r.owner != nil && !i.cut {
			i.client.UseDeputy(false)
		}
	})
	for _, c := range r.customers {
		c.weights = append(c.weights, 0)
	}
}

// send sends the request of an instance that is due, to the owner or its deputy.
func (r *replay) send(i *replayInstance) {
	request, due := i.client.Due(r.time())
	if !due {
		return
	}
	request.Address = i.client.instance
	if r.instances[0] == i {
		request.Address = "" // it holds the order lease
	}
	r.messages++
	if len(request.Items) > 0 {
		i.sent, i.waiting = append(i.sent, i.waiting...), nil
	}
	r.after(AnswerTimeout, func() {
		if i.client.Fail(request.Sequence) {
			r.fail(i, request)
		}
	})
	deputy := i.client.Deputy()
	r.after(r.delay(), func() {
		owner := r.owner
		if request.Delegated {
			owner = r.deputy(i, deputy)
		} else if i.cut {
			owner = nil
		}
		if owner == nil {
			return
		}
		answer, ok := owner.Handle(r.time(), request)
		if !ok {
			return
		}
		r.after(r.delay(), func() {
			if (request.Delegated || !i.cut) && i.client.Adopt(r.time(), answer) {
				r.settle(i)
			}
		})
	})
}

// deputy returns the deputy if it can be reached from an instance.
func (r *replay) deputy(from *replayInstance, name string) *Owner {
	for _, i := range r.instances {
		if i.client.instance != name || i.cut != from.cut || r.owner == nil && r.deputyLost {
			continue
		}
		if i.deputy == nil {
			i.deputy = NewDeputy(r.time(), testBounds)
			i.deputy.SetCustomers(r.time(), r.quotas())
		}
		return i.deputy
	}
	return nil
}

// fail asks the deputy if the owner has not answered.
func (r *replay) fail(i *replayInstance, request Request) {
	if request.Delegated || i.client.Deputy() == "" {
		r.settle(i)
		return
	}
	i.client.UseDeputy(true)
	i.waiting = append(i.sent, i.waiting...)
	i.sent = nil
	for _, w := range i.waiting {
		i.client.Requeue(w.customer.Name, w.cost)
	}
	r.send(i)
}

func (r *replay) settle(i *replayInstance) {
	if !i.client.HasOwner() {
		i.sent, i.waiting = append(i.sent, i.waiting...), nil
	}
	for _, w := range i.sent {
		verdict, _ := i.client.Settle(r.time(), w.customer.Name, w.cost)
		r.record(w, verdict)
	}
	i.sent = nil
	r.send(i)
}

func (r *replay) record(w waiter, verdict Verdict) {
	if verdict == Admit {
		w.customer.passed = append(w.customer.passed, pass{r.now, w.cost})
		w.customer.admitted += w.cost
		if r.now > ownerLost && r.now < ownerFound {
			w.customer.lostAdmitted += w.cost
		}
	}
	if w.hasOwner && !w.instance.cut {
		w.customer.decided = append(w.customer.decided, decision{w.arrived, verdict == Refuse})
	}
}

// arrive lets the next request of a customer arrive at an instance.
func (r *replay) arrive(c *replayCustomer) {
	usual := c.Quota.PerSecond / 1.8
	rate := usual * r.factor(c)
	const meanCost = 2250
	r.after(time.Duration(r.rand.ExpFloat64()*meanCost/rate*float64(time.Second)), func() { r.arrive(c) })
	cost := 1500 + float64(r.rand.IntN(1501))
	i := r.instances[pick(r.rand, c.weights)]
	c.offered += cost
	if r.now > ownerLost && r.now < ownerFound {
		c.lostOffered += cost
	}
	if c.reference < cost {
		c.over = append(c.over, r.now)
	} else {
		c.reference -= cost
	}
	hasOwner := r.owner != nil && !i.cut && (i.cutUntil == 0 || r.now > i.cutUntil+recontact) && r.now > warmUp && (r.now < ownerLost || r.now > ownerFound+refillTime)
	w := waiter{i, c, cost, r.now, hasOwner}
	verdict, _ := i.client.Take(r.time(), c.Name, cost)
	if verdict == Wait {
		i.waiting = append(i.waiting, w)
	} else {
		r.record(w, verdict)
	}
	r.send(i)
}

// factor is the demand of a customer divided by its usual one.
func (r *replay) factor(c *replayCustomer) float64 {
	lost := r.now > ownerLost-2*time.Second && r.now < ownerFound+2*time.Second
	cut := r.now > r.cutFrom-2*time.Second && r.now < r.cutFrom+cutTime+2*time.Second
	switch {
	case r.now > 10*time.Second && r.now < 13*time.Second:
		return 5
	case r.now > 18*time.Second && r.now < 20*time.Second:
		return 7.5
	case lost || cut:
		return r.overload
	case r.now > 54*time.Second && r.now < 56*time.Second:
		return 7.2 // four times the limit
	}
	return 1
}

// moveDemand gives every customer new weights of the instances: a few get most of it.
func (r *replay) moveDemand() {
	for _, c := range r.customers {
		for n, i := range r.rand.Perm(len(c.weights)) {
			c.weights[i] = 1 / math.Pow(float64(n+1), 0.8)
		}
	}
}

func (r *replay) lower() {
	for _, c := range r.customers {
		c.Quota.PerSecond, c.Quota.Burst = c.Quota.PerSecond/3, c.Quota.Burst/3
	}
	quotas := r.quotas()
	r.owner.SetCustomers(r.time(), quotas)
	for _, i := range r.instances {
		r.after(time.Duration(r.rand.Int64N(int64(time.Second))), func() { i.client.SetCustomers(r.time(), quotas) })
	}
}

func (r *replay) newOwner() {
	r.owner = NewOwner(r.time(), "z", testBounds)
	r.owner.SetCustomers(r.time(), r.quotas())
}

func runReplay(seed uint64, s scenario) *replay {
	r := &replay{rand: rand.New(rand.NewPCG(seed, 1)), scenario: s}
	for n, c := range []struct {
		size string
		rate float64
	}{{"largest", 578_000}, {"middle", 60_000}, {"small", 9_000}, {"small", 9_000}, {"small", 9_000}, {"smallest", 4_200}, {"smallest", 4_200}, {"smallest", 4_200}, {"smallest", 4_200}, {"smallest", 4_200}, {"smallest", 4_200}, {"smallest", 4_200}, {"smallest", 4_200}} {
		quota := catalog.Quota{PerSecond: c.rate, Burst: c.rate, CountsTokens: true}
		r.customers = append(r.customers, &replayCustomer{size: c.size, Customer: catalog.Customer{Name: fmt.Sprint(c.size, n), Quota: quota}})
	}
	for range s.instances {
		r.addInstance()
	}
	r.moveDemand()
	r.newOwner()
	r.every(100*time.Millisecond, func() {
		if r.owner != nil {
			r.owner.Tick(r.time())
		}
	})
	r.every(5*time.Second, r.moveDemand)
	r.every(time.Millisecond, func() {
		for _, c := range r.customers {
			c.reference = min(c.reference+c.Quota.PerSecond/1000, c.Quota.Burst)
		}
	})
	for _, c := range r.customers {
		r.arrive(c)
	}
	r.after(ownerLost, func() { r.owner = nil })
	r.after(ownerFound, r.newOwner)
	setCut := func(cut bool) func() {
		return func() {
			for n := range int(s.cutShare * float64(s.instances)) {
				r.instances[n].cut, r.instances[n].cutUntil = cut, r.now
			}
		}
	}
	r.after(s.cutFrom, setCut(true))
	r.after(s.cutFrom+cutTime, setCut(false))
	r.after(addAt, func() {
		for range s.instances/5 + 1 {
			r.addInstance()
		}
		r.moveDemand()
	})
	r.after(lowerAt, r.lower)
	for r.now < replayEnd {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.run()
	}
	return r
}
