package residency

import (
	"cmp"
	"slices"
	"time"
)

// ModelState is a model as the plan sees it.
type ModelState struct {
	Model        string
	Held, Coming int     // copies
	Work         float64 // utilization that one copy would have
	Use          float64 // load of the replicas with its copies
	Wait         float64 // expected waits as a share of the goal
}

// Models returns the models that are asked for, most used first.
func (s *State) Models(now time.Time) []ModelState {
	var out []ModelState
	if s.config == nil {
		return nil
	}
	for _, service := range s.config.Services {
		if service.Engine == nil {
			continue
		}
		c := s.count(now, service)
		for _, m := range service.Engine.Models {
			d := s.demand[m.Name]
			if d == nil || d.reading < 1 {
				continue
			}
			held, coming := c.count(m.Name)
			out = append(out, ModelState{Model: m.Name, Held: held, Coming: coming, Use: c.levelOf(m.Name, d.work()), Work: d.work(), Wait: d.wait})
		}
	}
	slices.SortFunc(out, func(a, b ModelState) int { return cmp.Compare(b.Work, a.Work) })
	return out
}

// Waiting returns the replicas that can't get an order now, with the reason.
func (s *State) Waiting(now time.Time) map[string]string {
	out := make(map[string]string)
	for id, r := range s.replicas {
		switch {
		case s.engine(r.info.Service) == nil:
		case r.sent != nil:
			out[id] = "order on its way"
		case r.asked:
			out[id] = "report on its way"
		case !r.known:
			out[id] = "not reported"
		case now.Before(r.retryAt):
			out[id] = "pause after an order"
		case r.moving():
			out[id] = "model " + r.loading + r.dropping
		case len(r.wishes) > 0:
			out[id] = "adapters wanted"
		}
	}
	return out
}
