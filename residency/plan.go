package residency

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// minLoading is the number of loads from the weight store that may be in
	// progress over all replicas however slow it is.
	minLoading = 6
	// announceTime is the time from the decision to unload a model to its order.
	// Instances hear of it four times a second.
	announceTime = 300 * time.Millisecond
	// moveTime is the time after which a move that has not begun its load is given
	// up: an unload waits for the runs of the model.
	moveTime = 10 * time.Second
)

// Plan gives the orders for models that are due now, at most one for each replica.
func (s *State) Plan(now time.Time) []Action {
	s.decay(now)
	var actions []Action
	for id, r := range s.replicas {
		actions = append(actions, s.check(now, id, r)...)
	}
	if s.config == nil {
		return actions
	}
	for _, service := range s.config.Services {
		if service.Engine != nil {
			c := s.count(now, service)
			s.noteMissing(now, c)
			actions = append(actions, s.prefetch(now, c, s.requestedAdapters)...)
			actions = append(actions, s.planEngine(now, c)...)
			actions = append(actions, s.prefetch(now, c, s.missingAdapters)...)
		}
	}
	return actions
}

// noteMissing records since when models have had no copy.
func (s *State) noteMissing(now time.Time, c *census) {
	for i := range c.engine.Models {
		name := c.engine.Models[i].Name
		if _, known := s.missing[name]; len(c.copies[name]) > 0 {
			delete(s.missing, name)
		} else if !known {
			s.missing[name] = now
		}
	}
}

// missingFor returns the time for which a model has had no copy.
func (s *State) missingFor(now time.Time, model string) time.Duration {
	if since, ok := s.missing[model]; ok {
		return now.Sub(since)
	}
	return 0
}

// check asks replicas whose state is uncertain and moves adapter wishes on.
func (s *State) check(now time.Time, id string, r *replica) []Action {
	if now.Before(r.retryAt) || r.sent != nil {
		return nil
	}
	overdue := (r.loading != "" && now.After(r.readyAt)) || (r.dropping != "" && now.After(r.dropBy))
	if !r.known || overdue {
		r.readyAt, r.dropBy = now.Add(unloadPatience), now.Add(unloadPatience)
		return s.ask(now, id, r)
	}
	return s.advance(now, id, r)
}

// planEngine goes on with the moves that were begun, and begins the most valuable
// new ones.
func (s *State) planEngine(now time.Time, c *census) []Action {
	var actions []Action
	for _, t := range c.sites {
		actions = append(actions, s.proceed(now, c.engine, t.id, t.r)...)
	}
	for range c.sites {
		begun, placed := s.begin(now, c)
		actions = append(actions, begun...)
		if !placed {
			break
		}
	}
	return actions
}

// storeLoads counts the loads from the weight store that are in progress.
func (c *census) storeLoads() int {
	n := 0
	for _, t := range c.sites {
		if t.r.loading != "" && t.r.fromStore {
			n++
		}
	}
	return n
}

// begin starts the most valuable move. It returns false if there is none.
func (s *State) begin(now time.Time, c *census) ([]Action, bool) {
	for _, n := range s.needs(c) {
		o := s.best(c, n, s.storeReady(now, c))
		if o == nil {
			continue
		}
		t := o.site
		t.r.move = &move{model: n.model, victims: o.victims, from: now, until: now.Add(moveTime), reason: n.reason}
		if slices.ContainsFunc(o.victims, func(v string) bool { return s.demand[v].recent(now, recentDemand) }) {
			t.r.move.from = now.Add(announceTime)
		}
		c.begun(t, t.r.move)
		return s.proceed(now, c.engine, t.id, t.r), true
	}
	return nil, false
}

// storeReady reports whether one more load from the weight store may begin.
func (s *State) storeReady(now time.Time, c *census) bool {
	return c.storeLoads() < atOnce(c.engine) && s.loads.ready(now, c.engine.LoadsPerSec, s.limits)
}

// proceed gives the next order of a replica's move: an unload that makes room, or
// the load.
func (s *State) proceed(now time.Time, e *catalog.Engine, id string, r *replica) []Action {
	m := r.move
	if m == nil || !r.free(now) || r.moving() {
		return nil
	}
	m.victims = slices.DeleteFunc(m.victims, func(v string) bool { return !r.holds(v) })
	order := &Order{Replica: id, Address: r.info.Address, Operation: Load, Model: m.model.Name, Expected: r.orders, Reason: m.reason}
	switch {
	case now.After(m.until) || r.holds(m.model.Name):
		r.move = nil
		return nil
	case len(m.victims) > 0 && (now.Before(m.from) || (r.running[m.victims[0]] > 0 && now.Before(m.from.Add(drainMost)))):
		return nil
	case len(m.victims) > 0:
		order.Operation, order.Model = Unload, m.victims[0]
		order.Reason = "room for " + m.model.Name
	case s.usedMB(r, e)+m.model.WeightsMB > e.WeightsMB:
		r.move = nil
		return nil
	default:
		order.FromStore = !r.atHand(m.model.Name)
		if order.FromStore && !s.loads.take(now, e.LoadsPerSec, s.limits) {
			return nil
		}
		r.move = nil
	}
	r.sent = order
	return []Action{{Order: order}}
}

// atOnce returns the number of loads from the weight store at a time: as many as
// it serves at its rate while one lasts.
func atOnce(e *catalog.Engine) int {
	var sum time.Duration
	for i := range e.Models {
		sum += e.Models[i].LoadTime
	}
	if len(e.Models) == 0 {
		return minLoading
	}
	mean := sum.Seconds() / float64(len(e.Models))
	return max(minLoading, int(e.LoadsPerSec*mean))
}
