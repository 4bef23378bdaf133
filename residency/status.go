package residency

import (
	"cmp"
	"slices"
	"time"
)

// ModelState holds the copies and the load of a model, on which the plan is based.
type ModelState struct {
	Model          string
	Held, Incoming int     // number of copies
	Utilization    float64 // utilization of a replica that serves all of the demand
	Load           float64 // common load of the replicas that serve its demand
	WaitRatio      float64 // expected wait as a share of the latency target
}

// ModelStates returns the state of the models in demand, highest utilization first.
func (s *State) ModelStates(now time.Time) []ModelState {
	var out []ModelState
	if s.config == nil {
		return nil
	}
	for _, service := range s.config.Services {
		if service.Engine == nil {
			continue
		}
		view := s.newPoolView(now, service)
		for _, m := range service.Engine.Models {
			d := s.demand[m.Name]
			if d == nil || d.prefillRate < 1 {
				continue
			}
			held, incoming := view.copyCounts(m.Name)
			out = append(out, ModelState{Model: m.Name, Held: held, Incoming: incoming, Load: view.modelWaterLevel(m.Name, d.utilization()), Utilization: d.utilization(), WaitRatio: d.waitRatio})
		}
	}
	slices.SortFunc(out, func(a, b ModelState) int { return cmp.Compare(b.Utilization, a.Utilization) })
	return out
}

// BlockedReplicas returns the replicas that can't begin a move now, with the
// reason. A planned move alone does not count as one.
func (s *State) BlockedReplicas(now time.Time) map[string]string {
	out := make(map[string]string)
	for id, r := range s.replicas {
		switch {
		case s.engine(r.info.Service) == nil:
		case r.pendingOrder != nil:
			out[id] = "order on its way"
		case r.reportPending:
			out[id] = "report on its way"
		case !r.ordersKnown:
			out[id] = "not reported"
		case now.Before(r.retryAt):
			out[id] = "pause after an order"
		case r.backsOff(now):
			out[id] = "backs off"
		case r.isChangingModel():
			out[id] = "model " + r.loading + r.unloading
		case len(r.adapterRequests) > 0:
			out[id] = "adapters wanted"
		}
	}
	return out
}
