package capacity

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/placement"
	"github.com/hyssophaven/hyssophaven/routing"
)

// floors are the shares of slots guaranteed to the ranks, from urgent to patient.
var floors = [fleet.RankCount]float64{0.5, 0.1, 0.05}

// measureTraffic measures the decisions of routing, admission and placement.
func measureTraffic(_ context.Context, o Options) ([]Line, error) {
	replicas := o.sizes(675, 1350, 2700, 5400)
	return []Line{
		measureSeries(Line{
			Name: "routing: decision", SizeUnit: "replicas", CostUnit: "µs", DesignSize: designReplicas, Budget: DecisionTime, BudgetFactor: 1, Explanation: "440 models",
		}, replicas, func(n int) float64 { return routingCost(o, n) }),
		measureSeries(Line{
			Name: "admission: arrival and finish, 10,000 waiting", SizeUnit: "replicas", CostUnit: "µs", DesignSize: designReplicas, Budget: DecisionTime, BudgetFactor: 1, Explanation: "both decisions of one request",
		}, replicas, func(n int) float64 { return admissionCost(o, n, 10000) }),
		measureSeries(Line{
			Name: "admission: arrival and finish, 5,400 replicas", SizeUnit: "waiting requests", CostUnit: "µs", DesignSize: 10000, Budget: DecisionTime, BudgetFactor: 1, Explanation: "both decisions of one request",
		}, o.sizes(10, 100, 1000, 10000), func(n int) float64 { return admissionCost(o, designReplicas, n) }),
		measureSeries(Line{
			Name: "admission: new view", SizeUnit: "replicas", CostUnit: "µs", DesignSize: designReplicas, Budget: Processor, BudgetFactor: ticksPerSec / 1e3, Explanation: "10 views/s", IsPart: true,
		}, replicas, func(n int) float64 { return viewCost(o, n) }),
		measureSeries(Line{
			Name: "admission: shares of one replica", SizeUnit: "members", CostUnit: "µs", DesignSize: designNodes, Budget: Processor, BudgetFactor: designReplicas * ticksPerSec / 1e3, Explanation: "5,400 replicas, 10 views/s", IsPart: true,
		}, o.sizes(35, 105, 210, 420), func(n int) float64 { return sharesCost(o, n) }),
		measureSeries(Line{
			Name: "placement: plan without a change", SizeUnit: "replicas", CostUnit: "ms", DesignSize: designReplicas, Budget: PlanTime, BudgetFactor: 1, Explanation: "1/s on the planner of a pool",
		}, replicas, func(n int) float64 { return planCost(o, n, false) }),
		measureSeries(Line{
			Name: "placement: plan with three models at ten times the demand", SizeUnit: "replicas", CostUnit: "ms", DesignSize: designReplicas, Budget: PlanTime, BudgetFactor: 1, Explanation: "during a wave",
		}, replicas, func(n int) float64 { return planCost(o, n, true) }),
	}, nil
}

func (s *syntheticFleet) routingEndpoints() []routing.Endpoint {
	out := make([]routing.Endpoint, 0, s.replicas)
	for i, e := range s.endpoints() {
		out = append(out, routing.Endpoint{
			Endpoint: e, Window: slots, RankLimits: [fleet.RankCount]int{slots, slots, slots}, NonUrgentLimit: slots,
			Residents: s.residents(i), Running: s.random.IntN(slots), ReportedAt: epoch,
		})
	}
	return out
}

func routingCost(o Options, replicas int) float64 {
	s := scaledFleet(max(1, replicas*designNodes/designReplicas), designModels)
	s.replicas = replicas
	r := routing.New(routing.Config{DataCentre: dataCentre(0), Seed: seed})
	r.Replace(epoch, s.routingEndpoints())
	return o.callMicros(func(n int) {
		q := routing.Query{
			Key: routing.Key{Pool: pool, Model: modelName(n % designModels), Version: "v1"}, Fingerprint: s.random.Uint64(), Prefix: uint64(n % 1000),
		}
		if p, ok := r.Choose(&q); ok {
			r.RecordSend(epoch, p.EndpointIndex, fleet.Urgent, q.Prefix)
			r.RecordEnd(epoch, p.EndpointIndex, fleet.Urgent)
		}
	})
}

// admissionView returns the admission view of an instance whose window on each
// replica has the given size. At the design size it is one request.
func (s *syntheticFleet) admissionView(window int) *admission.View {
	v := &admission.View{}
	for i, e := range s.endpoints() {
		v.Endpoints = append(v.Endpoints, admission.EndpointView{
			Endpoint: e, Window: admission.WholeWindow(window, 0, floors), Residents: s.residents(i), ReportedAt: epoch,
		})
	}
	return v
}

func newRequest(id uint64) admission.Request {
	model := modelName(int(id % designModels))
	return admission.Request{
		ID: id, Row: model, Rank: fleet.Rank(id % 3), Weight: 1, Pool: pool, Model: model, Version: "v1", Tokens: 100, Fingerprint: id * 0x9e3779b97f4a7c15,
	}
}

func admissionCost(o Options, replicas, waiting int) float64 {
	s := newSyntheticFleet(designNodes, replicas, designModels)
	q := admission.NewQueue(admission.Config{DataCentre: dataCentre(0), QueueBound: [fleet.RankCount]int{1 << 20, 1 << 20, 1 << 20}})
	q.Step(epoch, admission.ViewChanged{View: s.admissionView(1)})
	lastID, queued := uint64(0), 0
	var running []uint64
	for queued < waiting {
		lastID++
		before := len(running)
		running = appendDispatched(running, q.Step(epoch, admission.Arrive{Request: newRequest(lastID)}))
		if len(running) == before {
			queued++
		}
	}
	now := epoch
	return o.callMicros(func(n int) {
		now = now.Add(time.Millisecond)
		lastID++
		running = appendDispatched(running, q.Step(now, admission.Arrive{Request: newRequest(lastID)}))
		id := running[0]
		running = running[1:]
		running = appendDispatched(running, q.Step(now, admission.Finish{Outcome: admission.Outcome{ID: id, Duration: time.Second, Total: time.Second}}))
	})
}

func appendDispatched(running []uint64, actions []admission.Action) []uint64 {
	for _, a := range actions {
		if d, ok := a.(admission.Dispatch); ok {
			running = append(running, d.ID)
		}
	}
	return running
}

func viewCost(o Options, replicas int) float64 {
	s := newSyntheticFleet(designNodes, replicas, designModels)
	q := admission.NewQueue(admission.Config{DataCentre: dataCentre(0)})
	v := s.admissionView(1)
	now := epoch
	return o.callMicros(func(int) {
		now = now.Add(time.Millisecond)
		q.Step(now, admission.ViewChanged{View: v})
	})
}

func sharesCost(o Options, members int) float64 {
	s := newSyntheticFleet(members, 1, designModels)
	demands := s.memberDemands(members, modelsOnReplica)
	return o.callMicros(func(n int) {
		admission.EndpointWindow("entry-3", demands, admission.SharedEndpoint{Key: string(replicaID(n % designReplicas)), Slots: slots, Floors: floors})
	})
}

// planCost returns the milliseconds of processor time per plan when a plan is
// already in force. With demandRise, the demand for three models rises tenfold and
// each call computes three plans.
func planCost(o Options, replicas int, demandRise bool) float64 {
	s := newSyntheticFleet(designNodes, replicas, max(1, designModels*replicas/designReplicas))
	in := s.planInput()
	p := placement.NewPlanner(placement.Options{})
	now := epoch
	for range 3 {
		now = now.Add(time.Second)
		p.Plan(now, in)
	}
	stored := p.Stored(now)
	storedAt := now
	return o.callMicros(func(int) {
		if demandRise {
			// Each call restarts from the stored plan. The demand rise lasts 10 s,
			// long enough for the planner to follow it.
			p = placement.NewPlanner(placement.Options{})
			p.Restore(storedAt, stored)
			now = storedAt
			p.Plan(now, in)
			for m := range 3 {
				in.Demand[m].Busy *= 10
			}
			p.Plan(now.Add(time.Second), in)
			p.Plan(now.Add(10*time.Second), in)
			for m := range 3 {
				in.Demand[m].Busy /= 10
			}
			return
		}
		now = now.Add(time.Second)
		p.Plan(now, in)
	}) / 1e3 / map[bool]float64{true: 3, false: 1}[demandRise]
}

func (s *syntheticFleet) planInput() placement.Input {
	var in placement.Input
	for _, r := range s.rows() {
		in.Rows = append(in.Rows, placement.Row{Name: r.Name, Base: r.Base, Version: r.Version, Rank: r.Rank, Weight: 1, MemoryMB: r.MemoryMB})
		if r.Base == "" {
			busy := 0.7 * slots * float64(s.replicas) / float64(s.models)
			in.Demand = append(in.Demand, placement.Demand{Name: r.Name, Rank: r.Rank, Weight: 1, Busy: busy * (0.5 + s.random.Float64())})
		}
	}
	for i, e := range s.endpoints() {
		in.Replicas = append(in.Replicas, placement.Replica{ID: e.ID, DataCentre: e.DataCentre, CapacityMB: e.MemoryMB, Slots: e.Slots, Entries: s.ledgerEntries(i)})
	}
	return in
}
