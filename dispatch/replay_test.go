package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
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

	sends, remote, rejected, left, refused int
	causes                                 map[Cause]int
	busy                                   map[string]float64
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

// dataCentre returns the data centre of the n-th instance or replica.
func dataCentre(n int) string { return fmt.Sprint("z", n%4) }

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
	if d.Replica.DataCentre != s.options.DataCentre {
		p.remote++
	}
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
