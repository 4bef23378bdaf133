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

// The simulated fleet has the size of Ladang Petik: 7 instances and 12 replicas in
// 3 data centres, 20 models with 3 replicas each, and one row per model and rank.
const (
	simInstances        = 7
	simReplicas         = 12
	simModels           = 20
	simReplicasPerModel = 3
	gossipPeriod        = 500 * time.Millisecond
	gossipDelay         = 20 * time.Millisecond
	reportPeriod        = time.Second
	reportDelay         = 300 * time.Millisecond
	prefillTime         = 100 * time.Millisecond // from the start on the engine to the first token
	simWarmUp           = 40 * time.Second
	simMeasured         = 60 * time.Second
	simDrainTime        = 300 * time.Second
)

var (
	simEpoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	simFloors = [fleet.RankCount]float64{0.5, 0.1, 0.05}
	// Mean service time in seconds and fraction of the load, by rank.
	simService  = [fleet.RankCount]float64{0.4, 4, 8}
	simRankLoad = [fleet.RankCount]float64{0.15, 0.45, 0.4}
	simTargets  = [fleet.RankCount]table.Targets{
		{FirstToken: 500 * time.Millisecond, WholeAnswer: 2 * time.Second},
		{FirstToken: 3 * time.Second, WholeAnswer: 20 * time.Second},
		{WholeAnswer: 120 * time.Second},
	}
)

// simPolicy is a combination of admission and routing policies.
type simPolicy struct {
	name      string
	queue     admission.Policy
	routing   routing.Policy
	useShares bool // windows are computed from gossip; otherwise they cover all slots
}

// simCase is the load of one run. Loads are fractions of the capacity of the
// whole fleet.
type simCase struct {
	name      string
	floodRank int     // rank with increased load during the measurement; -1 for none
	floodLoad float64 // load of the flooding rank
	baseLoad  float64 // load of all ranks without a flood
	slots     int     // per replica
	// floodOneInstance sends the flood through one instance only.
	floodOneInstance bool
	// loseDataCentre stops a data centre with its instances and replicas when the
	// warm-up ends. Only the last 30 s are then measured.
	loseDataCentre bool
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
	policy           simPolicy
	testCase         simCase
	random           *rand.Rand
	now              time.Time
	events           simHeap
	sequence         uint64
	instances        []*simInstance
	engines          []*simEngine
	byID             map[fleet.EndpointID]*simEngine
	requests         map[uint64]*simRequest
	nextID           uint64
	results          [fleet.RankCount]simResult
	replicasDelisted bool // the platform no longer lists the lost data centre's replicas
	instancesRemoved bool // the peers have removed the lost data centre's instances
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
	request   admission.Request
	rank      fleet.Rank
	arrived   time.Time
	granted   time.Time
	service   time.Duration
	instance  *simInstance
	inResults bool
	engine    *simEngine // nil while the request waits
	attempt   int        // number of readmissions
}

// simResult counts the requests of a rank that arrived during the measurement.
type simResult struct {
	sent, answered, attained, refused, expired int
	// busySlots is the slot time in seconds of the requests that ended during the
	// measurement. goodSlots is the part of those that also arrived during the
	// measurement and met their targets.
	busySlots, goodSlots float64
}

func newSim(p simPolicy, c simCase, seed uint64) *sim {
	s := &sim{
		policy: p, testCase: c, random: rand.New(rand.NewPCG(seed, 1)), now: simEpoch,
		byID: map[fleet.EndpointID]*simEngine{}, requests: map[uint64]*simRequest{},
	}
	for i := range simReplicas {
		e := &simEngine{endpoint: fleet.Endpoint{
			ID: fleet.EndpointID(fmt.Sprintf("r%02d", i)), Pool: "m", Slots: s.testCase.slots,
			DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%3)),
		}}
		s.engines = append(s.engines, e)
		s.byID[e.endpoint.ID] = e
	}
	for m := range simModels {
		for c := range simReplicasPerModel { // one replica per data centre
			e := s.engines[(m*simReplicasPerModel+c+m/4*simReplicasPerModel)%simReplicas]
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
		s.schedule(s.now.Add(time.Duration(i)*gossipPeriod/simInstances), func() { s.gossip(in) })
	}
	return s
}

func modelName(m int) string { return fmt.Sprint("model", m) }

func (s *sim) schedule(t time.Time, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{at: t, sequence: s.sequence, run: run})
}

// run simulates the whole case and returns the results per rank.
func (s *sim) run() [fleet.RankCount]simResult {
	s.schedule(s.now, s.collectReports)
	if s.testCase.loseDataCentre {
		s.schedule(simEpoch.Add(simWarmUp), s.loseDataCentre)
	}
	for m := range simModels {
		for r := range fleet.RankCount {
			s.nextArrival(m, r)
		}
	}
	end := simEpoch.Add(simWarmUp + simMeasured + simDrainTime)
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
	if s.testCase.loseDataCentre {
		first += 30 * time.Second
	}
	return since >= first && since < simWarmUp+simMeasured
}

// rate returns the current arrival rate of one row, per second. A flood lasts from
// 10 s before the measurement to its end.
func (s *sim) rate(rank int) float64 {
	load := s.testCase.baseLoad * simRankLoad[rank]
	since := s.now.Sub(simEpoch)
	if rank == s.testCase.floodRank && since >= simWarmUp-10*time.Second && since < simWarmUp+simMeasured {
		load = s.testCase.floodLoad
	}
	return load * simReplicas * float64(s.testCase.slots) / simService[rank] / simModels
}

// nextArrival schedules Poisson arrivals by thinning, which allows the rate to
// change over time.
func (s *sim) nextArrival(model, rank int) {
	maxRate := s.testCase.baseLoad * simRankLoad[rank]
	if rank == s.testCase.floodRank {
		maxRate = max(maxRate, s.testCase.floodLoad)
	}
	maxRate *= simReplicas * float64(s.testCase.slots) / simService[rank] / simModels
	s.schedule(s.now.Add(seconds(s.random.ExpFloat64()/maxRate)), func() {
		if s.now.Sub(simEpoch) >= simWarmUp+simMeasured {
			return
		}
		if s.random.Float64()*maxRate < s.rate(rank) {
			s.arrive(model, rank)
		}
		s.nextArrival(model, rank)
	})
}

// pickInstance chooses the instance that receives an arrival at random.
func (s *sim) pickInstance(rank int) *simInstance {
	since := s.now.Sub(simEpoch)
	if s.testCase.floodOneInstance && rank == s.testCase.floodRank && since >= simWarmUp-10*time.Second && s.random.Float64() > s.testCase.baseLoad*simRankLoad[rank]/s.testCase.floodLoad {
		return s.instances[0]
	}
	for {
		if in := s.instances[s.random.IntN(simInstances)]; !in.dead {
			return in
		}
	}
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func (s *sim) arrive(model, rank int) {
	s.nextID++
	// Lognormal service times with a coefficient of variation of about 0.5.
	const sigma = 0.47
	service := simService[rank] * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
	r := &simRequest{
		rank: fleet.Rank(rank), arrived: s.now, service: seconds(service),
		instance: s.pickInstance(rank), inResults: s.measuring(),
		request: admission.Request{
			ID: s.nextID, Row: fmt.Sprint(modelName(model), "-", rank), Rank: fleet.Rank(rank), Weight: 1,
			Targets: simTargets[rank], Pool: "m", Model: modelName(model), Version: "1", Fingerprint: s.random.Uint64(),
		},
	}
	s.requests[r.request.ID] = r
	if r.inResults {
		s.results[rank].sent++
	}
	s.stepQueue(r.instance, admission.Arrive{Request: r.request})
}

func (s *sim) stepQueue(in *simInstance, ev admission.Event) {
	if in.dead {
		return
	}
	for _, a := range slices.Clone(in.queue.Step(s.now, ev)) {
		switch a := a.(type) {
		case admission.Dispatch:
			s.submit(s.requests[a.ID], s.byID[a.Grant.Endpoint.ID])
		case admission.Refuse:
			r := s.requests[a.ID]
			delete(s.requests, a.ID)
			if !r.inResults {
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
		s.schedule(at, func() {
			if in.tickDue.Equal(s.now) {
				in.tickDue = time.Time{}
			}
			s.stepQueue(in, admission.Tick{})
		})
	}
}
