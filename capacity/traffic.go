package capacity

import (
	"context"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/placement"
	"github.com/hyssophaven/hyssophaven/routing"
)

var floors = [fleet.RankCount]float64{0.5, 0.1, 0.05}

// measureTraffic measures the decisions about requests and replicas.
func measureTraffic(_ context.Context, o Options) ([]Line, error) {
	replicas := o.sizes(675, 1350, 2700, 5400)
	return []Line{
		series(Line{
			Name: "routing: decision", Varied: "replicas", Unit: "µs", Full: fullReplicas, Budget: DecisionTime, Rate: 1, Why: "440 models",
		}, replicas, func(n int) float64 { return routingDecision(o, n) }),
		series(Line{
			Name: "admission: arrival and finish, 10,000 waiting", Varied: "replicas", Unit: "µs", Full: fullReplicas, Budget: DecisionTime, Rate: 1, Why: "both decisions of one request",
		}, replicas, func(n int) float64 { return admissionDecision(o, n, 10000) }),
		series(Line{
			Name: "admission: arrival and finish, 5,400 replicas", Varied: "waiting requests", Unit: "µs", Full: 10000, Budget: DecisionTime, Rate: 1, Why: "both decisions of one request",
		}, o.sizes(10, 100, 1000, 10000), func(n int) float64 { return admissionDecision(o, fullReplicas, n) }),
		series(Line{
			Name: "admission: new view", Varied: "replicas", Unit: "µs", Full: fullReplicas, Budget: Processor, Rate: ticksPerSec / 1e3, Why: "10 views/s", Part: true,
		}, replicas, func(n int) float64 { return viewChange(o, n) }),
		series(Line{
			Name: "admission: shares of one replica", Varied: "members", Unit: "µs", Full: fullNodes, Budget: Processor, Rate: fullReplicas * ticksPerSec / 1e3, Why: "5,400 replicas, 10 views/s", Part: true,
		}, o.sizes(35, 105, 210, 420), func(n int) float64 { return sharesCost(o, n) }),
		series(Line{
			Name: "placement: plan without a change", Varied: "replicas", Unit: "ms", Full: fullReplicas, Budget: PlanTime, Rate: 1, Why: "1/s on the planner of a pool",
		}, replicas, func(n int) float64 { return planCost(o, n, false) }),
		series(Line{
			Name: "placement: plan with three models at ten times the demand", Varied: "replicas", Unit: "ms", Full: fullReplicas, Budget: PlanTime, Rate: 1, Why: "during a wave",
		}, replicas, func(n int) float64 { return planCost(o, n, true) }),
	}, nil
}

func (s *synthetic) routingEndpoints() []routing.Endpoint {
	out := make([]routing.Endpoint, 0, s.replicas)
	for i, e := range s.endpoints() {
		out = append(out, routing.Endpoint{
			Endpoint: e, Window: slots, RankLimits: [fleet.RankCount]int{slots, slots, slots}, NonUrgentLimit: slots,
			Residents: s.residents(i), Running: s.random.IntN(slots), ReportedAt: epoch,
		})
	}
	return out
}

func routingDecision(o Options, replicas int) float64 {
	s := scaled(max(1, replicas*fullNodes/fullReplicas), fullModels)
	s.replicas = replicas
	r := routing.New(routing.Config{DataCentre: dataCentre(0), Seed: seed})
	r.Replace(epoch, s.routingEndpoints())
	return o.microseconds(func(n int) {
		q := routing.Query{
			Key: routing.Key{Pool: pool, Model: modelName(n % fullModels), Version: "v1"}, Fingerprint: s.random.Uint64(), Prefix: uint64(n % 1000),
		}
		if p, ok := r.Choose(&q); ok {
			r.RecordSend(epoch, p.EndpointIndex, fleet.Urgent, q.Prefix)
			r.RecordEnd(epoch, p.EndpointIndex, fleet.Urgent)
		}
	})
}

// view returns the admission view of an instance that may use a replica for
// one request at a time, as at full size.
func (s *synthetic) view(window int) *admission.View {
	v := &admission.View{}
	for i, e := range s.endpoints() {
		v.Endpoints = append(v.Endpoints, admission.EndpointView{
			Endpoint: e, Window: admission.WholeWindow(window, 0, floors), Residents: s.residents(i), ReportedAt: epoch,
		})
	}
	return v
}

func request(id uint64) admission.Request {
	model := modelName(int(id % fullModels))
	return admission.Request{
		ID: id, Row: model, Rank: fleet.Rank(id % 3), Weight: 1, Pool: pool, Model: model, Version: "v1", Tokens: 100, Fingerprint: id * 0x9e3779b97f4a7c15,
	}
}

func admissionDecision(o Options, replicas, waiting int) float64 {
	s := newSynthetic(fullNodes, replicas, fullModels)
	q := admission.NewQueue(admission.Config{DataCentre: dataCentre(0), QueueBound: [fleet.RankCount]int{1 << 20, 1 << 20, 1 << 20}})
	q.Step(epoch, admission.ViewChanged{View: s.view(1)})
	next, queued := uint64(0), 0
	var running []uint64
	for queued < waiting {
		next++
		before := len(running)
		running = dispatched(running, q.Step(epoch, admission.Arrive{Request: request(next)}))
		if len(running) == before {
			queued++
		}
	}
	now := epoch
	return o.microseconds(func(n int) {
		now = now.Add(time.Millisecond)
		next++
		running = dispatched(running, q.Step(now, admission.Arrive{Request: request(next)}))
		id := running[0]
		running = running[1:]
		running = dispatched(running, q.Step(now, admission.Finish{Outcome: admission.Outcome{ID: id, Duration: time.Second, Total: time.Second}}))
	})
}

func dispatched(running []uint64, actions []admission.Action) []uint64 {
	for _, a := range actions {
		if d, ok := a.(admission.Dispatch); ok {
			running = append(running, d.ID)
		}
	}
	return running
}

func viewChange(o Options, replicas int) float64 {
	s := newSynthetic(fullNodes, replicas, fullModels)
	q := admission.NewQueue(admission.Config{DataCentre: dataCentre(0)})
	v := s.view(1)
	now := epoch
	return o.microseconds(func(int) {
		now = now.Add(time.Millisecond)
		q.Step(now, admission.ViewChanged{View: v})
	})
}

func sharesCost(o Options, members int) float64 {
	s := newSynthetic(members, 1, fullModels)
	demands := s.memberDemands(members, modelsOnReplica)
	return o.microseconds(func(n int) {
		admission.EndpointWindow("entry-3", demands, admission.SharedEndpoint{Key: string(replicaID(n % fullReplicas)), Slots: slots, Floors: floors})
	})
}

// planCost returns milliseconds per plan, from a plan that is in force.
func planCost(o Options, replicas int, wave bool) float64 {
	s := newSynthetic(fullNodes, replicas, max(1, fullModels*replicas/fullReplicas))
	in := s.planInput()
	p := placement.NewPlanner(placement.Options{})
	now := epoch
	for range 3 {
		now = now.Add(time.Second)
		p.Plan(now, in)
	}
	stored := p.Stored(now)
	quiet := now
	return o.microseconds(func(int) {
		if wave {
			// The plan starts again from the one in force with the wave held
			// long enough to be followed.
			p = placement.NewPlanner(placement.Options{})
			p.Restore(quiet, stored)
			now = quiet
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
	}) / 1e3 / map[bool]float64{true: 3, false: 1}[wave]
}

func (s *synthetic) planInput() placement.Input {
	var in placement.Input
	for _, r := range s.rows() {
		in.Rows = append(in.Rows, placement.Row{Name: r.Name, Base: r.Base, Version: r.Version, Rank: r.Rank, Weight: 1, MemoryMB: r.MemoryMB})
		if r.Base == "" {
			busy := 0.7 * slots * float64(s.replicas) / float64(s.models)
			in.Demand = append(in.Demand, placement.Demand{Name: r.Name, Rank: r.Rank, Weight: 1, Busy: busy * (0.5 + s.random.Float64())})
		}
	}
	for i, e := range s.endpoints() {
		in.Replicas = append(in.Replicas, placement.Replica{ID: e.ID, DataCentre: e.DataCentre, CapacityMB: e.MemoryMB, Slots: e.Slots, Entries: s.held(i)})
	}
	return in
}
