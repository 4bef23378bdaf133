package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// prefixReplay replays prompts with shared parts that several instances send to replicas
// of unequal speed. Each replica prefills one prompt after another.
type prefixReplay struct {
	instances, replicas, models, copies, perSecond int
	length                                         time.Duration
	active                                         bool // the estimate is used

	random  *rand.Rand
	now     time.Time
	events  []prefixEvent // the next one last
	states  []*State
	engines []*prefixEngine

	served, refused, late int
	shared, prefilled     int // tokens of shared parts
	timesToFirstByte      []time.Duration
}

type prefixEvent struct {
	at  time.Time
	run func()
}

func (p *prefixReplay) after(d time.Duration, run func()) {
	at := p.now.Add(d)
	i, _ := slices.BinarySearchFunc(p.events, at, func(e prefixEvent, at time.Time) int { return at.Compare(e.at) })
	p.events = slices.Insert(p.events, i, prefixEvent{at, run})
}

type prefixJob struct {
	req      *Request
	decision Decision
	prefill  float64
	sentAt   time.Time
	state    *State
}

// prefixEngine is one replica of a replay.
type prefixEngine struct {
	p          *prefixReplay
	info       *catalog.Replica
	speed      float64
	cache      replayedCache
	running    int
	prefilling bool
	queue      []*prefixJob
}

// start prefills the next prompt if there is a slot for it.
func (e *prefixEngine) start() {
	const cachedParts = 80
	if e.prefilling || len(e.queue) == 0 || e.running >= e.info.Slots {
		return
	}
	j, uncached := e.queue[0], 0
	e.queue = e.queue[1:]
	for _, part := range j.req.Parts {
		if !e.cache.use(e.p.now, part.Key, cachedParts) {
			uncached += part.Tokens
		}
	}
	own := j.req.Parts[len(j.req.Parts)-1].Tokens
	e.p.shared, e.p.prefilled = e.p.shared+j.req.PromptTokens-own, e.p.prefilled+uncached-own
	e.prefilling, e.running = true, e.running+1
	took := float64(uncached) / 20.4 / e.speed
	if e.p.random.IntN(100) < 15 {
		took *= 2.5 // a period in which the replica is slow
	}
	e.p.after(time.Duration(took*float64(time.Millisecond)), func() { e.begin(j) })
}

// begin ends the prefill of a prompt.
func (e *prefixEngine) begin(j *prefixJob) {
	const step = 10 * time.Millisecond
	p := e.p
	e.prefilling = false
	report := func() {
		j.state.SetReport(p.now, e.info.ID, Report{Running: e.running, Waiting: len(e.queue), Slots: e.info.Slots})
	}
	p.after(step, func() {
		j.state.RecordFirstByte(p.now, j.req, j.decision, j.prefill, p.now.Sub(j.sentAt))
		report()
		took := p.now.Sub(j.req.Arrived)
		p.timesToFirstByte = append(p.timesToFirstByte, took)
		if took > j.req.Route.LatencyTarget {
			p.late++
		}
	})
	p.after(time.Duration(1+j.req.OutputTokens)*step, func() {
		e.running, p.served = e.running-1, p.served+1
		j.state.RecordEnd(p.now, j.sentAt, j.req, j.decision, Answered, 0)
		report()
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

// skewed returns a number below n; low ones are more frequent.
func (p *prefixReplay) skewed(n int) int {
	return int(float64(n) * p.random.Float64() * p.random.Float64())
}

// request sends one request through a random instance.
func (p *prefixReplay) request(n int) {
	p.after(time.Duration(p.random.ExpFloat64()*float64(time.Second)/float64(p.perSecond)), func() { p.request(n + 1) })
	model := p.skewed(p.models)
	req := streamRequest(fmt.Sprint(n), 0)
	req.Route.LatencyTarget = 800 * time.Millisecond
	req.Model, req.PromptTokens, req.OutputTokens = fmt.Sprint("m", model), 2368, 24
	first, second, own := uint64(1+model), uint64(1e6+model*1000+p.skewed(200)), uint64(1e9+n)
	req.Parts = []Part{{first, 400}, {second, 168}, {own, 1800}}
	req.Arrived, req.Deadline = p.now, p.now.Add(5*time.Second)
	s := p.states[p.random.IntN(len(p.states))]
	s.RecordArrival(p.now, req)
	d := s.Choose(p.now, req, History{})
	if d.Verdict != Send {
		p.refused++
		return
	}
	j := &prefixJob{req: req, decision: d, prefill: s.RecordSend(p.now, req, d), sentAt: p.now, state: s}
	e := p.engines[slices.IndexFunc(p.engines, func(e *prefixEngine) bool { return e.info.ID == d.Replica.ID })]
	p.after(time.Millisecond, func() {
		e.queue = append(e.queue, j)
		e.start()
	})
}

func (p *prefixReplay) run(seed uint64) {
	p.random, p.now = rand.New(rand.NewPCG(seed, 0)), epoch
	engine := &catalog.Engine{KVCacheTokens: 100_186}
	for m := range p.models {
		engine.Models = append(engine.Models, catalog.Model{Name: fmt.Sprint("m", m), WeightsMB: 70_000})
	}
	config := &catalog.Config{Services: map[string]*catalog.Service{"llm": {Name: "llm", Engine: engine}}}
	holds := make([][]string, p.replicas)
	for c := range p.copies {
		model := c
		if c >= p.models {
			model = p.skewed(p.models)
		}
		holds[c%p.replicas] = append(holds[c%p.replicas], fmt.Sprint("m", model))
	}
	for r := range p.replicas {
		info := engineReplica(fmt.Sprint("r", r), holds[r]...)
		info.Slots = 48
		p.engines = append(p.engines, &prefixEngine{p: p, info: info, speed: []float64{0.7, 0.7, 1.7}[r%3], cache: replayedCache{lastUse: make(map[uint64]time.Time)}})
	}
	for i := range p.instances {
		s := newState()
		s.random = rand.New(rand.NewPCG(seed, 1+uint64(i)))
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
		next := p.events[len(p.events)-1]
		p.events, p.now = p.events[:len(p.events)-1], next.at
		next.run()
	}
	slices.Sort(p.timesToFirstByte)
}

// Guards against an estimate that serves fewer requests on time than the credit for the
// replica that all instances prefer, or that refuses more.
func TestReplayOfPrefixEstimate(t *testing.T) {
	is := is.New(t)
	var late, refused [2]int
	for seed := range uint64(4) {
		for i, active := range []bool{false, true} {
			p := &prefixReplay{instances: 30, replicas: 48, models: 12, copies: 144, perSecond: 300, length: 10 * time.Second, active: active}
			p.run(seed)
			t.Logf("seed %d, active %t: served %d, refused %d, late %d, share of shared tokens prefilled %.3f, p95 %s", seed, active,
				p.served, p.refused, p.late, float64(p.prefilled)/float64(p.shared), p.timesToFirstByte[len(p.timesToFirstByte)*95/100].Round(time.Millisecond))
			late[i], refused[i] = late[i]+p.late, refused[i]+p.refused
		}
	}
	is.True(late[1]*100 <= late[0]*80)
	is.True(refused[1] <= refused[0]+10)
}
