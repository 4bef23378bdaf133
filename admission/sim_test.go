package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
	"github.com/hyssophaven/hyssophaven/table"
)

// The simulated fleet has the size of Ladang Petik: 7 instances, 12 replicas
// in 3 data centres, 20 models with 3 replicas each and one row per model and rank.
const (
	simInstances   = 7
	simReplicas    = 12
	simModels      = 20
	simCopies      = 3
	gossipPeriod   = 500 * time.Millisecond
	gossipDelay    = 20 * time.Millisecond
	reportPeriod   = time.Second
	reportDelay    = 300 * time.Millisecond
	prefill        = 100 * time.Millisecond // from start on the engine to the first token
	simWarmUp      = 40 * time.Second
	simMeasured    = 60 * time.Second
	patientQueries = 300 * time.Second
)

var (
	simEpoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	simFloors = [fleet.RankCount]float64{0.5, 0.1, 0.05}
	// Mean service times and the part of the load that each rank has.
	simService = [fleet.RankCount]float64{0.4, 4, 8}
	simMix     = [fleet.RankCount]float64{0.15, 0.45, 0.4}
	simTargets = [fleet.RankCount]table.Targets{
		{FirstToken: 500 * time.Millisecond, WholeAnswer: 2 * time.Second},
		{FirstToken: 3 * time.Second, WholeAnswer: 20 * time.Second},
		{WholeAnswer: 120 * time.Second},
	}
)

// simPolicy is one way to admit and route.
type simPolicy struct {
	name    string
	queue   admission.Policy
	routing routing.Policy
	shares  bool // windows are shares computed from gossip, else all slots
}

// simCase is the load of one run: the factor of each rank before and while it
// is measured, in units of the whole fleet.
type simCase struct {
	name  string
	flood int     // rank that floods, -1 for none
	level float64 // load of the flooding rank
	base  float64 // load of all ranks without a flood
	slots int     // per replica
	// through sends the flood through one instance only.
	through bool
	// lost takes away a data centre with its instances and replicas at the
	// start; what arrives in the last 30 s is measured.
	lost bool
}

type simEvent struct {
	at       time.Time
	sequence uint64
	run      func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type sim struct {
	policy    simPolicy
	load      simCase
	random    *rand.Rand
	now       time.Time
	events    simHeap
	sequence  uint64
	instances []*simInstance
	engines   []*simEngine
	byID      map[fleet.EndpointID]*simEngine
	requests  map[uint64]*simRequest
	nextID    uint64
	results   [fleet.RankCount]simResult
	listed    bool // the lost data centre is out of the platform's list
	forgotten bool // its instances are dead for their peers
}

type simInstance struct {
	id      fleet.InstanceID
	queue   *admission.Queue
	gossip  map[fleet.InstanceID]admission.Stats
	tickDue time.Time
	dead    bool
}

type simEngine struct {
	endpoint  fleet.Endpoint
	residents []routing.Resident
	running   int
	dead      bool
	waiting   [fleet.RankCount][]*simRequest
	report    simReport
}

type simReport struct {
	running, waiting int
	at               time.Time
}

type simRequest struct {
	request admission.Request
	rank    fleet.Rank
	arrived time.Time
	granted time.Time
	service time.Duration
	at      *simInstance
	counted bool
	on      *simEngine // nil while it waits
	number  int        // of the try
}

// simResult counts the requests of a rank that arrived while measured.
type simResult struct {
	sent, answered, attained, refused, expired int
	// Slot seconds of requests that ended while measured, and of them those
	// that arrived while measured and met their targets.
	busySlots, goodSlots float64
}

func newSim(p simPolicy, c simCase, seed uint64) *sim {
	s := &sim{
		policy: p, load: c, random: rand.New(rand.NewPCG(seed, 1)), now: simEpoch,
		byID: map[fleet.EndpointID]*simEngine{}, requests: map[uint64]*simRequest{},
	}
	for i := range simReplicas {
		e := &simEngine{endpoint: fleet.Endpoint{
			ID: fleet.EndpointID(fmt.Sprintf("r%02d", i)), Pool: "m", Slots: s.load.slots,
			DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%3)),
		}}
		s.engines = append(s.engines, e)
		s.byID[e.endpoint.ID] = e
	}
	for m := range simModels {
		for c := range simCopies { // one copy per data centre
			e := s.engines[(m*simCopies+c+m/4*simCopies)%simReplicas]
			e.residents = append(e.residents, routing.Resident{Name: modelName(m), Version: "1", Ready: true})
		}
	}
	for i := range simInstances {
		in := &simInstance{id: fleet.InstanceID(fmt.Sprint("i", i)), gossip: map[fleet.InstanceID]admission.Stats{}}
		in.queue = admission.NewQueue(admission.Config{
			Policy: p.queue, Routing: p.routing, DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%3)), Seed: seed + uint64(i),
		})
		s.instances = append(s.instances, in)
		for j := range simInstances {
			in.gossip[fleet.InstanceID(fmt.Sprint("i", j))] = admission.Stats{}
		}
		s.publishView(in)
		s.at(s.now.Add(time.Duration(i)*gossipPeriod/simInstances), func() { s.gossip(in) })
	}
	return s
}

func modelName(m int) string { return fmt.Sprint("model", m) }

func (s *sim) at(t time.Time, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: t, sequence: s.sequence, run: run})
}

// run plays the whole case and returns the counts per rank.
func (s *sim) run() [fleet.RankCount]simResult {
	s.at(s.now, s.takeReports)
	if s.load.lost {
		s.at(simEpoch.Add(simWarmUp), s.loseDataCentre)
	}
	for m := range simModels {
		for r := range fleet.RankCount {
			s.nextArrival(m, r)
		}
	}
	end := simEpoch.Add(simWarmUp + simMeasured + patientQueries)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.After(end) {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.results
}

func (s *sim) measuring() bool {
	since := s.now.Sub(simEpoch)
	first := simWarmUp
	if s.load.lost {
		first += 30 * time.Second
	}
	return since >= first && since < simWarmUp+simMeasured
}

// rate is the arrival rate of one row. A flood lasts from 10 s before the
// measurement to its end.
func (s *sim) rate(rank int) float64 {
	level := s.load.base * simMix[rank]
	since := s.now.Sub(simEpoch)
	if rank == s.load.flood && since >= simWarmUp-10*time.Second && since < simWarmUp+simMeasured {
		level = s.load.level
	}
	return level * simReplicas * float64(s.load.slots) / simService[rank] / simModels
}

// nextArrival draws Poisson arrivals by thinning, so that the rate may change.
func (s *sim) nextArrival(model, rank int) {
	highest := s.load.base * simMix[rank]
	if rank == s.load.flood {
		highest = max(highest, s.load.level)
	}
	highest *= simReplicas * float64(s.load.slots) / simService[rank] / simModels
	s.at(s.now.Add(secondsOf(s.random.ExpFloat64()/highest)), func() {
		if s.now.Sub(simEpoch) >= simWarmUp+simMeasured {
			return
		}
		if s.random.Float64()*highest < s.rate(rank) {
			s.arrive(model, rank)
		}
		s.nextArrival(model, rank)
	})
}

// entry draws the instance that gets an arrival.
func (s *sim) entry(rank int) *simInstance {
	since := s.now.Sub(simEpoch)
	if s.load.through && rank == s.load.flood && since >= simWarmUp-10*time.Second && s.random.Float64() > s.load.base*simMix[rank]/s.load.level {
		return s.instances[0]
	}
	for {
		if in := s.instances[s.random.IntN(simInstances)]; !in.dead {
			return in
		}
	}
}

func secondsOf(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func (s *sim) arrive(model, rank int) {
	s.nextID++
	// Lognormal service times with a coefficient of variation of about 0.5.
	const sigma = 0.47
	service := simService[rank] * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
	r := &simRequest{
		rank: fleet.Rank(rank), arrived: s.now, service: secondsOf(service),
		at: s.entry(rank), counted: s.measuring(),
		request: admission.Request{
			ID: s.nextID, Row: fmt.Sprint(modelName(model), "-", rank), Rank: fleet.Rank(rank), Weight: 1,
			Targets: simTargets[rank], Pool: "m", Model: modelName(model), Version: "1", Fingerprint: s.random.Uint64(),
		},
	}
	s.requests[r.request.ID] = r
	if r.counted {
		s.results[rank].sent++
	}
	s.step(r.at, admission.Arrive{Request: r.request})
}

func (s *sim) step(in *simInstance, ev admission.Event) {
	if in.dead {
		return
	}
	for _, a := range slices.Clone(in.queue.Step(s.now, ev)) {
		switch a := a.(type) {
		case admission.Dispatch:
			s.dispatch(s.requests[a.ID], s.byID[a.Grant.Endpoint.ID])
		case admission.Refuse:
			r := s.requests[a.ID]
			delete(s.requests, a.ID)
			if !r.counted {
				continue
			}
			s.results[r.rank].refused++
			if a.Refusal.Reason == admission.ReasonDeadline {
				s.results[r.rank].expired++
			}
		}
	}
	if at, ok := in.queue.NextDeadline(); ok && (in.tickDue.IsZero() || at.Before(in.tickDue)) {
		in.tickDue = at
		s.at(at, func() {
			if in.tickDue.Equal(s.now) {
				in.tickDue = time.Time{}
			}
			s.step(in, admission.Tick{})
		})
	}
}
