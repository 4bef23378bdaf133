package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// prefixReplay replays prompts with shared parts that several instances send to replicas
// of unequal speed. Each replica prefills one prompt after another, the most urgent first,
// and drops the least recently used parts when running requests need their memory.
type prefixReplay struct {
	instances, replicas, models, copies int
	perSecond, capacity                 int
	variants                            int // second shared parts for each model
	length                              time.Duration
	active                              bool
	popular                             int // share of the requests for the first model, in percent

	random  *rand.Rand
	now     time.Time
	events  replayEvents
	states  []*State
	engines []*replayEngine
	seen    map[uint64]bool // parts that a replica has prefilled
	result  replayResult
}

type replayResult struct {
	served, refused, late  int
	shared, prefilledAgain int // tokens of shared parts
	byReplica              map[string]int
	urgentTTFB             []time.Duration
}

func (r replayResult) p95() time.Duration {
	slices.Sort(r.urgentTTFB)
	return r.urgentTTFB[len(r.urgentTTFB)*95/100]
}

func (r replayResult) String() string {
	return fmt.Sprintf("served %d, refused %d, late %d, shared tokens prefilled again %.3f, urgent p95 %s", r.served, r.refused, r.late, float64(r.prefilledAgain)/float64(max(r.shared, 1)), r.p95().Round(time.Millisecond))
}

type replayEvent struct {
	at  time.Time
	run func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (p *prefixReplay) after(d time.Duration, run func()) {
	heap.Push(&p.events, replayEvent{p.now.Add(d), run})
}

type replayPart struct {
	tokens, pins int
	used         time.Time
}

type replayJob struct {
	req      *Request
	decision Decision
	prefill  float64
	sentAt   time.Time
	state    *State
}

// replayEngine is one replica of a replay.
type replayEngine struct {
	p          *prefixReplay
	info       *catalog.Replica
	speed      float64
	cache      map[uint64]*replayPart
	tokens     int // in the cache, and outputs of running requests
	running    int
	prefilling bool
	queue      []*replayJob
}

func (e *replayEngine) arrive(j *replayJob) {
	at, _ := slices.BinarySearchFunc(e.queue, j.decision.Urgency+1, func(q *replayJob, u int) int { return q.decision.Urgency - u })
	e.queue = slices.Insert(e.queue, at, j)
	e.start()
}

// start prefills the next prompt if there is a slot and memory for it.
func (e *replayEngine) start() {
	if e.prefilling || len(e.queue) == 0 || e.running >= e.info.Slots {
		return
	}
	j, uncached := e.queue[0], 0
	for _, part := range j.req.Parts {
		if e.cache[part.Key] == nil {
			uncached += part.Tokens
		}
	}
	if !e.makeRoom(uncached+j.req.OutputTokens, j.req.Parts) {
		return
	}
	e.queue = e.queue[1:]
	for i, part := range j.req.Parts {
		if e.cache[part.Key] == nil {
			e.cache[part.Key] = &replayPart{tokens: part.Tokens}
			if i < len(j.req.Parts)-1 && e.p.seen[part.Key] {
				e.p.result.prefilledAgain += part.Tokens
			}
			e.p.seen[part.Key] = true
		}
		e.cache[part.Key].pins++
	}
	e.tokens += uncached + j.req.OutputTokens
	e.prefilling, e.running = true, e.running+1
	slow := 1.0
	if e.p.random.IntN(100) < 15 {
		slow = 2.5
	}
	took := time.Duration(float64(uncached) / 20.4 / e.speed * slow * float64(time.Millisecond))
	e.p.after(took, func() { e.begin(j) })
}

// makeRoom drops the least recently used parts until tokens fit.
func (e *replayEngine) makeRoom(tokens int, keep []Part) bool {
	for e.tokens+tokens > e.p.capacity {
		var oldest uint64
		for key, part := range e.cache {
			if part.pins > 0 || slices.ContainsFunc(keep, func(k Part) bool { return k.Key == key }) {
				continue
			}
			if oldest == 0 || part.used.Before(e.cache[oldest].used) || part.used.Equal(e.cache[oldest].used) && key < oldest {
				oldest = key
			}
		}
		if oldest == 0 {
			return false
		}
		e.tokens -= e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
	return true
}

func (e *replayEngine) report() Report {
	return Report{Running: e.running, Waiting: len(e.queue), Slots: e.info.Slots}
}

// begin ends the prefill of a prompt.
func (e *replayEngine) begin(j *replayJob) {
	p := e.p
	e.prefilling = false
	p.after(12*time.Millisecond, func() {
		j.state.RecordFirstByte(p.now, j.req, j.decision, j.prefill, p.now.Sub(j.sentAt))
		j.state.SetReport(p.now, e.info.ID, e.report())
		took := p.now.Sub(j.req.Arrived)
		if j.req.Route.Rank == 0 {
			p.result.urgentTTFB = append(p.result.urgentTTFB, took)
		}
		if took > j.req.Route.LatencyTarget {
			p.result.late++
		}
	})
	p.after(12*time.Millisecond+time.Duration(j.req.OutputTokens)*10*time.Millisecond, func() {
		for _, part := range j.req.Parts {
			e.cache[part.Key].pins--
			e.cache[part.Key].used = p.now
		}
		e.running, e.tokens = e.running-1, e.tokens-j.req.OutputTokens
		j.state.RecordEnd(p.now, j.sentAt, j.req, j.decision, Answered, 0)
		j.state.SetReport(p.now, e.info.ID, e.report())
		p.result.served++
		e.start()
	})
	e.start()
}

// exchange gives every instance the load of the others, as the holder does.
func (p *prefixReplay) exchange() {
	sum, own := make(map[string]Load), make([]map[string]Load, len(p.states))
	for i, s := range p.states {
		own[i] = s.OwnLoad()
		for id, l := range own[i] {
			sum[id] = sum[id].Add(l)
		}
	}
	for i, s := range p.states {
		for _, e := range p.engines {
			s.SetPeerLoad(p.now, e.info.ID, sum[e.info.ID].Sub(own[i][e.info.ID]))
		}
	}
	p.after(250*time.Millisecond, p.exchange)
}

// request sends one request through a random instance.
func (p *prefixReplay) request(n int) {
	p.after(time.Duration(p.random.ExpFloat64()*float64(time.Second)/float64(p.perSecond)), func() { p.request(n + 1) })
	model := int(float64(p.models) * p.random.Float64() * p.random.Float64()) // low numbers are asked for more often
	if p.random.IntN(100) < p.popular {
		model = 0
	}
	variant := int(float64(p.variants) * p.random.Float64() * p.random.Float64())
	req := streamRequest(fmt.Sprint(n), 0)
	req.Model, req.PromptTokens, req.OutputTokens = fmt.Sprint("m", model), 2368, 24
	route := *req.Route
	req.Route, route.LatencyTarget = &route, 800*time.Millisecond
	second, own := uint64(1_000_000+model*1000+variant), uint64(1_000_000_000+n)
	req.Parts = []Part{{uint64(1 + model), 400}, {second, 168}, {own, 1800}}
	if p.random.IntN(100) < 20 {
		route.Rank, req.PromptTokens, req.OutputTokens = 1, 1460, 171
		req.Parts = []Part{{uint64(1 + model), 400}, {own, 1060}}
	}
	req.Arrived, req.Deadline = p.now, p.now.Add(5*time.Second)
	s := p.states[p.random.IntN(len(p.states))]
	s.RecordArrival(p.now, req)
	d := s.Choose(p.now, req, History{})
	if d.Verdict != Send {
		p.result.refused++
		return
	}
	p.result.shared += sumTokens(req.Parts[:len(req.Parts)-1])
	p.result.byReplica[d.Replica.ID]++
	j := &replayJob{req: req, decision: d, prefill: s.RecordSend(p.now, req, d), sentAt: p.now, state: s}
	e := p.engines[slices.IndexFunc(p.engines, func(e *replayEngine) bool { return e.info.ID == d.Replica.ID })]
	p.after(time.Millisecond, func() { e.arrive(j) })
}

func (p *prefixReplay) run(seed uint64) replayResult {
	p.random, p.now, p.result.byReplica, p.seen = rand.New(rand.NewPCG(seed, 0)), epoch, make(map[string]int), make(map[uint64]bool)
	engine := &catalog.Engine{Slots: 48, KVCacheTokens: p.capacity, KVBytesPerToken: 320_000, KVTransferMbps: 1000}
	for m := range p.models {
		engine.Models = append(engine.Models, catalog.Model{Name: fmt.Sprint("m", m), WeightsMB: 70_000})
	}
	engine.IndexModels()
	config := &catalog.Config{Services: map[string]*catalog.Service{"llm": {Name: "llm", Engine: engine}}}
	holds := make([][]string, p.replicas)
	for c := range p.copies {
		r := c % p.replicas
		holds[r] = append(holds[r], fmt.Sprint("m", c*p.models/p.copies))
		if c >= p.models {
			holds[r][len(holds[r])-1] = fmt.Sprint("m", int(float64(p.models)*p.random.Float64()*p.random.Float64()))
		}
	}
	for r := range p.replicas {
		info := engineReplica(fmt.Sprint("r", r), holds[r]...)
		info.Slots = 48
		p.engines = append(p.engines, &replayEngine{p: p, info: info, speed: []float64{0.7, 0.7, 1.7}[r%3], cache: make(map[uint64]*replayPart)})
	}
	for i := range p.instances {
		s := newState()
		s.options.Seed = seed<<16 + uint64(i)
		s.random = rand.New(rand.NewPCG(s.options.Seed, 0))
		s.SetConfig(config)
		for _, e := range p.engines {
			s.SetReplica(e.info.ID, e.info)
		}
		s.service("llm").statesSlowness = p.active
		p.states = append(p.states, s)
	}
	p.exchange()
	p.request(0)
	for end := epoch.Add(p.length); p.now.Before(end); {
		ev := heap.Pop(&p.events).(replayEvent)
		p.now = ev.at
		ev.run()
	}
	return p.result
}
