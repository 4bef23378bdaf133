package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/retry"
)

// replay plays the load of a deployment against the States of its instances. Replicas
// prefill one prompt at a time, most urgent first, hold the request in a slot until its last
// event, and reject requests while their queue is full. Plain replicas have no queue.
type replay struct {
	random    *rand.Rand
	now       time.Time
	events    eventHeap
	instances []*State
	loads     []map[string]Load // last state of each instance
	replicas  map[string]*replayReplica
	states    bool // replicas state their slowness
	until     time.Time
	kinds     []*replayKind

	sends, rejected, left, refused int
	causes                         map[Cause]int
	busy                           map[string]float64
}

type replayEvent struct {
	at  time.Time
	run func()
}

type eventHeap []replayEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)        { *h = append(*h, e.(replayEvent)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// replayKind is a kind of request and what became of its requests.
type replayKind struct {
	name           string
	route          *catalog.Route
	service        string
	tokens, events int
	rate           float64
	wait           time.Duration // of the caller
	work           time.Duration // of a plain request
	burst          func(at time.Duration) float64

	count, onTime, late int
}

func (k *replayKind) value() float64 {
	return (float64(k.onTime) + 0.4*float64(k.late)) / float64(max(k.count, 1))
}

type replayReplica struct {
	info                 *catalog.Replica
	speed, slow          float64
	limit                int // requests that can wait
	queue                []*replayRun
	running, concurrency int
	prefilling           bool
}

// replayRun is one send of a request.
type replayRun struct {
	req      *Request
	kind     *replayKind
	urgency  int
	canceled *bool
	answer   func(rejected bool)
	end      func()
}

const replayLatency = 3 * time.Millisecond

func (p *replay) after(d time.Duration, run func()) {
	heap.Push(&p.events, replayEvent{p.now.Add(d), run})
}

func (p *replay) run() {
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(replayEvent)
		if e.at.After(p.until) {
			return
		}
		p.now = e.at
		e.run()
	}
}

func (p *replay) report(r *replayReplica) Report {
	report := Report{Running: r.running, Waiting: len(r.queue), Slots: r.info.Slots}
	if p.states {
		report.Slowness = r.slow
	}
	return report
}

func (p *replay) arrive(r *replayReplica, run *replayRun) {
	if run.kind.work > 0 {
		if r.running >= r.info.Slots {
			run.answer(true)
			return
		}
		r.running++
		work := time.Duration(float64(run.kind.work) * r.speed * r.slow)
		p.busy[r.info.ID] += work.Seconds()
		p.after(work, func() { r.running--; run.answer(false); run.end() })
		return
	}
	if len(r.queue) >= r.limit {
		run.answer(true)
		return
	}
	r.queue = append(r.queue, run)
	p.startPrefill(r)
}

func (p *replay) startPrefill(r *replayReplica) {
	r.queue = slices.DeleteFunc(r.queue, func(q *replayRun) bool { return *q.canceled })
	if r.prefilling || len(r.queue) == 0 || r.running >= r.concurrency {
		return
	}
	best := 0
	for i, q := range r.queue {
		if q.urgency < r.queue[best].urgency {
			best = i
		}
	}
	run := r.queue[best]
	r.queue = slices.Delete(r.queue, best, best+1)
	r.running++
	r.prefilling = true
	factor := r.speed * r.slow
	work := time.Duration(float64(run.kind.tokens) / 22 * factor * float64(time.Millisecond))
	p.busy[r.info.ID] += work.Seconds()
	p.after(work, func() {
		r.prefilling = false
		run.answer(false)
		p.startPrefill(r)
		p.after(time.Duration(float64(run.kind.events)*30*factor*float64(time.Millisecond)), func() { r.running--; run.end(); p.startPrefill(r) })
	})
}

// call is one caller's request with its retry.
type replayCall struct {
	kind          *replayKind
	first, gaveUp time.Time
	retried       bool
	model         string
	customer      *catalog.Customer
}

func (p *replay) submit(c *replayCall) {
	s := p.instances[p.random.IntN(len(p.instances))]
	req := &Request{ID: fmt.Sprint(p.random.Uint64()), Route: c.kind.route, Service: c.kind.service, Model: c.model, PromptTokens: c.kind.tokens, OutputTokens: c.kind.events * 4, Customer: c.customer,
		Fingerprint: p.random.Uint64(), Arrived: p.now, Deadline: p.now.Add(min(c.kind.route.Timeout, c.gaveUp.Sub(p.now)))}
	s.RecordArrival(p.now, req)
	p.decide(s, c, &Waiter{Request: req})
}

func (p *replay) decide(s *State, c *replayCall, w *Waiter) {
	if !s.HoldsRequests(w.Request.Service) {
		p.decided(s, c, w, s.Choose(p.now, w.Request, w.History))
		return
	}
	w.Payload = c
	s.Submit(p.now, w)
	p.serve(s, w.Request.Service)
}

func (p *replay) serve(s *State, service string) {
	s.ServeWaiters(p.now, service, func(w *Waiter, d Decision) { p.decided(s, w.Payload.(*replayCall), w, d) })
	if at, ok := s.NextWake(); ok {
		p.after(max(at.Sub(p.now), time.Millisecond), func() {
			if at, ok := s.NextWake(); ok && !at.After(p.now) {
				p.serve(s, service)
			}
		})
	}
}

func (p *replay) decided(s *State, c *replayCall, w *Waiter, d Decision) {
	if d.Verdict == Refuse {
		p.refused++
		p.causes[d.Cause]++
		back := d.RetryAfter
		if !c.retried && back > 0 && back <= c.gaveUp.Sub(p.now)/3 {
			c.retried = true
			p.after(back, func() { p.submit(c) })
		}
		return
	}
	r, req := p.replicas[d.Replica.ID], w.Request
	p.sends++
	prefill, sent, canceled, begun, over := s.RecordSend(p.now, req, d), p.now, false, false, false
	end := func(o Outcome) {
		if !over {
			over = true
			s.RecordEnd(p.now, sent, req, d, o, prefill)
			if s.HoldsRequests(req.Service) {
				p.serve(s, req.Service)
			}
		}
	}
	p.after(leaveTime(req, History{}).Sub(p.now), func() {
		if !begun && !over {
			canceled = true
			p.left++
			end(Canceled)
		}
	})
	run := &replayRun{req: req, kind: c.kind, urgency: d.Urgency, canceled: &canceled}
	run.end = func() { p.after(replayLatency+time.Microsecond, func() { end(Answered) }) }
	run.answer = func(rejected bool) {
		report := p.report(r)
		p.after(replayLatency, func() {
			if over {
				return
			}
			s.SetReport(p.now, r.info.ID, report)
			if rejected {
				p.rejected++
				end(NotExecuted)
				h := w.History
				h.Tried, h.Delivered = append(slices.Clone(h.Tried), r.info.ID), h.Delivered+1
				h.Rejected = append(slices.Clone(h.Rejected), r.info.ID)
				p.decide(s, c, &Waiter{Request: req, History: h})
				return
			}
			begun = true
			s.RecordFirstByte(p.now, req, d, prefill, p.now.Sub(sent))
			prefill = 0
			if p.now.Sub(c.first) <= c.kind.route.LatencyTarget {
				c.kind.onTime++
			} else {
				c.kind.late++
			}
			if s.HoldsRequests(req.Service) {
				p.serve(s, req.Service)
			}
		})
	}
	p.after(replayLatency, func() { p.arrive(r, run) })
}

// newReplay returns a replay with instances, replicas and their exchange of states.
func newReplay(seed uint64, instances int, states bool, length time.Duration, infos []*catalog.Replica, speeds []float64, spells bool) *replay {
	p := &replay{random: rand.New(rand.NewPCG(seed, 1)), now: epoch, until: epoch.Add(length), states: states, replicas: make(map[string]*replayReplica), loads: make([]map[string]Load, instances), busy: make(map[string]float64), causes: make(map[Cause]int)}
	for i, info := range infos {
		r := &replayReplica{info: info, speed: speeds[i%len(speeds)], slow: 1, limit: 16, concurrency: 42}
		p.replicas[info.ID] = r
		if spells {
			var change func()
			change = func() {
				r.slow = 1
				if p.random.Float64() < 0.15 {
					r.slow = 2.5
				}
				p.after(time.Duration(p.random.ExpFloat64()*0.6*float64(time.Second)), change)
			}
			p.after(0, change)
		}
	}
	sum := make(map[string]Load)
	for i := range instances {
		s := New(Options{DataCentre: "z", Seed: seed + uint64(i), RetryLimits: retry.Limits{Window: 10 * time.Second, Ratio: 0.16, MinPerSecond: 0.05, Burst: 1}})
		s.SetInstances(instances)
		for _, info := range infos {
			s.SetReplica(info.ID, info)
		}
		p.instances = append(p.instances, s)
		var exchange func()
		exchange = func() {
			for id, l := range p.loads[i] {
				sum[id] = sum[id].Sub(l)
			}
			p.loads[i] = s.OwnLoad()
			for id, l := range p.loads[i] {
				sum[id] = sum[id].Add(l)
			}
			others := make(map[string]Load, len(sum))
			for id, l := range sum {
				others[id] = l.Sub(p.loads[i][id])
			}
			p.after(10*time.Millisecond, func() {
				for id, l := range others {
					s.SetPeerLoad(p.now, id, l)
				}
			})
			p.after(250*time.Millisecond, exchange)
		}
		p.after(time.Duration(p.random.Int64N(int64(250*time.Millisecond))), exchange)
	}
	return p
}

// add adds a kind of request, for models with a Zipf distribution.
func (p *replay) add(k *replayKind, model func() string) {
	p.kinds = append(p.kinds, k)
	var next func()
	next = func() {
		if p.now.After(p.until.Add(-4 * time.Second)) {
			return // the rest is for those that wait
		}
		rate := k.rate
		if k.burst != nil {
			rate *= k.burst(p.now.Sub(epoch))
		}
		c := &replayCall{kind: k, first: p.now, gaveUp: p.now.Add(k.wait)}
		if model != nil {
			c.model = model()
		}
		k.count++
		p.submit(c)
		p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	p.after(0, next)
}

func (p *replay) String() string {
	text := fmt.Sprintf("sends %d rejected %.3f refused %d left %d", p.sends, float64(p.rejected)/float64(max(p.sends, 1)), p.refused, p.left)
	for _, k := range p.kinds {
		text += fmt.Sprintf("; %s value %.3f on time %.3f late %.3f", k.name, k.value(), float64(k.onTime)/float64(k.count), float64(k.late)/float64(k.count))
	}
	most, sum := 0.0, 0.0
	for _, b := range p.busy {
		most, sum = math.Max(most, b), sum+b
	}
	return text + fmt.Sprintf("; %v; busiest/mean %.2f", p.causes, most/(sum/float64(len(p.busy))))
}

// burst returns a demand that is high for a part of each period.
func burst(period, length time.Duration, high, low float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period < length {
			return high
		}
		return low
	}
}

func replayBookings(seed uint64, instances int, states bool, high float64) *replay {
	var infos []*catalog.Replica
	for i := range 4 {
		infos = append(infos, &catalog.Replica{ID: fmt.Sprint("p", i), Service: "app", Address: fmt.Sprint("p:", i), DataCentre: "z", Slots: 6})
	}
	p := newReplay(seed, instances, states, 20*time.Second, infos, []float64{1}, false)
	for _, k := range []*replayKind{
		{name: "book", rate: 186, route: &catalog.Route{Kind: catalog.NonIdempotent, LatencyTarget: 300 * time.Millisecond, Timeout: 2 * time.Second, Rank: 2, MaxAttempts: 1}},
		{name: "look", rate: 42.7, route: &catalog.Route{Kind: catalog.Idempotent, LatencyTarget: 300 * time.Millisecond, Timeout: 2 * time.Second, Rank: 2, MaxAttempts: 2}},
	} {
		k.service, k.wait, k.work, k.burst = "app", 4*time.Second, 60*time.Millisecond, burst(8*time.Second, 3*time.Second, high, 0.8)
		p.add(k, nil)
	}
	return p
}

// Guards against a deployment whose instances, each with its own view, send bookings to full
// replicas again and again until the retry budget refuses them, and against slots that stay
// free because the instances hold too much back. In spells, the callers ask for 1.4 times
// what the replicas can do.
func TestReplayBookings(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{6, 86} {
		at := func(states bool) (rejected, onTime float64) {
			p := replayBookings(1, instances, states, 2.5)
			p.run()
			t.Log("instances", instances, "states slowness", states, p)
			return float64(p.rejected) / float64(p.sends), float64(p.kinds[0].onTime) / float64(p.kinds[0].count)
		}
		rejectedBefore, onTimeBefore := at(false)
		rejected, onTime := at(true)
		is.True(rejected < 0.7*rejectedBefore)
		is.True(onTime > onTimeBefore+0.05)
	}
}

// replayEngines replays streams for models that are placed by demand, three on each replica.
func replayEngines(seed uint64, instances, replicas int, states bool, high float64, speeds []float64, kinds ...*replayKind) *replay {
	const models = 100
	var share [models]float64
	sum := 0.0
	for m := range models {
		share[m] = 1 / math.Pow(float64(m+1), 0.8)
		sum += share[m]
	}
	random := rand.New(rand.NewPCG(seed, 2))
	infos := make([]*catalog.Replica, replicas)
	for i := range infos {
		infos[i] = &catalog.Replica{ID: fmt.Sprint("r", i), Service: "llm", Address: fmt.Sprint("r:", i), DataCentre: "z", Slots: 64}
	}
	place := func(m int) {
		for range 20 {
			r := infos[random.IntN(replicas)]
			if len(r.Models) < 3 && !r.Holds(fmt.Sprint("m", m)) {
				r.Models = append(r.Models, catalog.LoadedModel{Name: fmt.Sprint("m", m)})
				return
			}
		}
	}
	for m := range models {
		for range max(2, int(share[m]/sum*float64(3*replicas-2*models))+2) {
			place(m)
		}
	}
	p := newReplay(seed, instances, states, 15*time.Second, infos, speeds, len(speeds) > 1)
	model := func() string {
		x := p.random.Float64() * sum
		for m := range models {
			if x -= share[m]; x <= 0 {
				return fmt.Sprint("m", m)
			}
		}
		return "m0"
	}
	for _, k := range kinds {
		k.service, k.burst = "llm", burst(8*time.Second, 3*time.Second, high, 0.8)
		p.add(k, model)
	}
	return p
}

func streamKind(name string, tokens, events int, rate float64, target, wait time.Duration, rank int) *replayKind {
	return &replayKind{name: name, tokens: tokens, events: events, rate: rate, wait: wait,
		route: &catalog.Route{Kind: catalog.Stream, LatencyTarget: target, EventGapTarget: 400 * time.Millisecond, Timeout: wait, Rank: rank, MaxAttempts: 1}}
}

func replayVatuvola(seed uint64, instances int, states bool, high float64) *replay {
	return replayEngines(seed, instances, 90, states, high, []float64{1},
		streamKind("summary", 2368, 6, 297, time.Second, 5*time.Second, 0),
		streamKind("recheck", 2368, 6, 71.4, 8*time.Second, 12*time.Second, 2),
		streamKind("drive", 1460, 43, 89.3, time.Second, 15*time.Second, 1))
}

func replayDulaan(seed uint64, instances int, states bool, high float64) *replay {
	return replayEngines(seed, instances, 140, states, high, []float64{0.7, 0.7, 1.7},
		streamKind("notice", 1460, 57, 137, 600*time.Millisecond, 15*time.Second, 0),
		streamKind("digest", 2368, 8, 515, 800*time.Millisecond, 5*time.Second, 1),
		streamKind("review", 2368, 8, 37.1, 10*time.Second, 20*time.Second, 1))
}

// Guards against requests that are sent to full replicas or wait there until their callers
// leave, while they could wait here or be refused at once.
func TestReplayEngines(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		name string
		play func(seed uint64, instances int, states bool, high float64) *replay
	}{{"customers 1", replayVatuvola}, {"customers 2", replayDulaan}} {
		var served, wasted [2]float64
		for i, states := range []bool{false, true} {
			p := test.play(1, 66, states, 2.6)
			p.run()
			t.Log(test.name, "states slowness", states, p)
			wasted[i] = float64(p.rejected + p.left)
			for _, k := range p.kinds {
				served[i] += k.value() / float64(len(p.kinds))
			}
		}
		is.True(wasted[1] < 0.8*wasted[0])
		is.True(served[1] > served[0]-0.01)
	}
}
