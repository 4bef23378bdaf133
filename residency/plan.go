package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// demandHalf is the time over which demand is averaged: demand moves to
	// other models within a few seconds.
	demandHalf = 3 * time.Second
	// recentDemand is the time for which a model counts as asked for.
	recentDemand = 15 * time.Second
	// lateShare is the share of the goal that requests for a model may wait on
	// average before it gets one more copy.
	lateShare = 0.5
	// victimShare is the greatest demand of a copy that is dropped, against the
	// demand for each copy of the model that replaces it.
	victimShare = 0.3
	// copySettle is the time from a model's last order to the next copy of it,
	// beside loads that are still on their way.
	copySettle = 1500 * time.Millisecond
	// maxLoading is the number of loads at once, over all replicas: about the
	// number that the weight store serves at full speed.
	maxLoading = 6
	// loadBurst is the number of loads from the store that may begin at once.
	loadBurst = 3
	// startLoads is the number that may begin at once in a new term: the
	// predecessor may have used the rate until it stopped.
	startLoads = 1
)

// Demand is what instances report of the requests for a model.
type Demand struct {
	Requests int // since the last report
	// Tokens are the prompt tokens that had to be read.
	Tokens int
	// WaitShare is the average expected wait as a share of the goal.
	WaitShare float64
}

type demand struct {
	tokens  float64 // a second, moving average
	wait    float64 // moving average of WaitShare
	asked   time.Time
	ordered time.Time
}

// AddDemand takes over the demand for a model since the last call by the same instance.
func (s *State) AddDemand(now time.Time, model string, d Demand) {
	m, ok := s.demand[model]
	if !ok {
		m = &demand{}
		s.demand[model] = m
	}
	if d.Requests == 0 {
		return
	}
	m.asked = now
	m.tokens += float64(d.Tokens) / demandHalf.Seconds()
	weight := min(1, 0.1*float64(d.Requests))
	m.wait += weight * (d.WaitShare - m.wait)
}

// decay lets the averages of demand fall with time.
func (s *State) decay(now time.Time) {
	dt := now.Sub(s.last)
	s.last = now
	if dt <= 0 || dt > time.Minute {
		return
	}
	keep := max(0, 1-dt.Seconds()/demandHalf.Seconds())
	for _, d := range s.demand {
		d.tokens *= keep
		if now.Sub(d.asked) > demandHalf {
			d.wait *= keep
		}
	}
}

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
			actions = append(actions, s.planEngine(now, service)...)
		}
	}
	return actions
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

// need is a model that should have one more copy.
type need struct {
	model  *catalog.Model
	copies int
	weight float64
	urgent bool // no replica holds it and it is asked for
}

func (s *State) planEngine(now time.Time, service *catalog.Service) []Action {
	pool := s.pool(service.Name)
	loading := 0
	for _, r := range pool {
		if r.loading != "" {
			loading++
		}
	}
	var actions []Action
	for _, n := range s.needs(now, service.Engine, pool) {
		if loading >= maxLoading {
			break
		}
		if a := s.place(now, service.Engine, pool, n); a != nil {
			actions = append(actions, *a)
			loading++
		}
	}
	return actions
}

func (s *State) pool(service string) map[string]*replica {
	pool := make(map[string]*replica)
	for id, r := range s.replicas {
		if r.info.Service == service && !r.info.Leaving {
			pool[id] = r
		}
	}
	return pool
}

// copies counts the replicas that hold or load a model.
func copies(pool map[string]*replica, model string) (held, coming int) {
	for _, r := range pool {
		switch {
		case r.dropping == model:
		case r.loading == model:
			coming++
		case r.holds(model):
			held++
		}
	}
	return held, coming
}

// needs lists the models that should have one more copy, most important first:
// models without any copy, then those whose requests wait too long.
func (s *State) needs(now time.Time, e *catalog.Engine, pool map[string]*replica) []need {
	var out []need
	for i := range e.Models {
		m := &e.Models[i]
		held, coming := copies(pool, m.Name)
		d := s.demand[m.Name]
		n := need{model: m, copies: held + coming}
		if d != nil {
			n.weight = d.tokens
		}
		switch {
		case held+coming == 0:
			n.urgent = d != nil && now.Sub(d.asked) < recentDemand
			out = append(out, n)
		case d != nil && coming == 0 && d.wait > lateShare && now.Sub(d.ordered) > copySettle && held < len(pool):
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b need) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(min(a.copies, 1), min(b.copies, 1)), cmp.Compare(b.weight, a.weight))
	})
	return out
}

// place gives the order that brings a copy of the model nearer: a load where
// there is room, otherwise the unload that makes room.
func (s *State) place(now time.Time, e *catalog.Engine, pool map[string]*replica, n need) *Action {
	var best *Order
	var bestReplica *replica
	bestScore := 0.0
	for id, r := range pool {
		if !r.free(now) || r.moving() || len(r.wishes) > 0 || r.holds(n.model.Name) {
			continue
		}
		order, score := s.candidate(now, e, pool, id, r, n)
		if order != nil && (best == nil || score > bestScore) {
			best, bestReplica, bestScore = order, r, score
		}
	}
	if best == nil {
		return nil
	}
	if best.FromStore && !s.loads.take(now, e.LoadsPerSec) {
		return nil
	}
	bestReplica.sent = best
	if d := s.demand[n.model.Name]; d != nil && best.Operation == Load {
		d.ordered = now
	}
	return &Action{Order: best}
}

// candidate returns the order that would bring a model to one replica, and how
// good that replica is for it.
func (s *State) candidate(now time.Time, e *catalog.Engine, pool map[string]*replica, id string, r *replica, n need) (*Order, float64) {
	order := &Order{
		Replica: id, Address: r.info.Address, Operation: Load, Model: n.model.Name, Expected: r.orders,
		Reason: "requests wait too long",
	}
	if n.copies == 0 {
		order.Reason = "no copy"
	}
	atHand := slices.Contains(r.info.InMemory, n.model.Name) || slices.Contains(r.info.OnDisk, n.model.Name)
	order.FromStore = !atHand
	score := -s.busyness(r, pool)
	if atHand {
		score += n.weight + 1
	}
	if s.usedMB(r, e)+n.model.WeightsMB <= e.WeightsMB {
		return order, score + n.weight + 1
	}
	victim, loss := s.victim(now, e, pool, r, n)
	if victim == "" {
		return nil, 0
	}
	order.Operation, order.Model, order.FromStore = Unload, victim, false
	order.Reason = "room for " + n.model.Name
	return order, score - loss
}

// busyness is the demand that a replica carries, in prompt tokens a second.
func (s *State) busyness(r *replica, pool map[string]*replica) float64 {
	sum := 0.0
	for _, m := range r.info.Models {
		if d := s.demand[m.Name]; d != nil {
			held, _ := copies(pool, m.Name)
			sum += d.tokens / float64(max(held, 1))
		}
	}
	return sum
}

// victim returns the model whose copy on a replica is needed least, or "". The
// last copy of a model stays, as does one that is needed more than the new one.
func (s *State) victim(now time.Time, e *catalog.Engine, pool map[string]*replica, r *replica, n need) (string, float64) {
	best, lowest := "", 0.0
	for _, m := range r.info.Models {
		held, _ := copies(pool, m.Name)
		if held < 2 {
			continue
		}
		declared := e.Model(m.Name)
		if declared == nil || s.usedMB(r, e)-declared.WeightsMB+n.model.WeightsMB > e.WeightsMB {
			continue
		}
		each := 0.0
		if d := s.demand[m.Name]; d != nil {
			each = d.tokens / float64(held-1)
			if d.wait > lateShare && now.Sub(d.asked) < demandHalf {
				continue
			}
		}
		if n.copies > 0 && each > victimShare*n.weight/float64(n.copies) {
			continue
		}
		if best == "" || each < lowest {
			best, lowest = m.Name, each
		}
	}
	return best, lowest
}

// bucket limits loads from the weight store.
type bucket struct {
	tokens float64
	at     time.Time
}

func newBucket(now time.Time) bucket { return bucket{tokens: startLoads, at: now} }

func (b *bucket) take(now time.Time, perSecond float64) bool {
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*perSecond, loadBurst)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
