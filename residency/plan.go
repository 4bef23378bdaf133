package residency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// demandHalf is the time over which demand is averaged: demand moves to
	// other models within a few seconds.
	demandHalf = 2500 * time.Millisecond
	// adapterDemandHalf is the same for adapters, each of which is asked for
	// every few seconds only.
	adapterDemandHalf = 15 * time.Second
	// recentDemand is the time for which a model counts as asked for.
	recentDemand = 15 * time.Second
	// engineReading is the reading work that a replica does in a second, the
	// scale of utilization.
	engineReading = 19_000.0
	// fewUsed is the utilization of a model's copies below which it gets no more.
	fewUsed = 0.3
	// fullyUsed is the utilization from which on a model takes the room of the only
	// copy of one that nobody has asked for of late. Every model has a copy as long
	// as there is room; without one, the first request for it brings it.
	fullyUsed = 3.0
	// lateShare is the share of the goal that requests for a model may wait on
	// average before it gets one more copy whatever its utilization.
	lateShare = 0.5
	// swapGain is how many times as much used the copies of a model must be as
	// those of the model that gives way would be after it.
	swapGain = 3.0
	// wellUsed is the utilization for which a model gets several copies at a time;
	// at most as many as it has, because a short burst must not push many other
	// models out.
	wellUsed = 0.6
	// copySettle is the time from a load of a model to the next copy of it beyond
	// the first.
	copySettle = 600 * time.Millisecond
	// minLoading is the number of loads that may be in progress over all replicas
	// however slow the weight store is: loads from a replica's disk need none of it.
	minLoading = 6
	// maxSpareLoading is the number of loads at a time for second copies of models
	// that are not missed yet: a replica takes no adapters while it loads a model.
	maxSpareLoading = 3
	// announceTime is the time from the decision to unload a model to its order.
	// Instances hear of it four times a second.
	announceTime = 300 * time.Millisecond
	// reserveTime is how long room stays reserved for the model for which it was
	// made: an unload waits for the runs of the model.
	reserveTime = 10 * time.Second
)

// Demand is what instances report of the requests for a model.
type Demand struct {
	Requests int // since the last report
	// Reading is their reading work, in tokens of a model of pace 1.
	Reading float64
	// WaitShare is the average expected wait as a share of the goal.
	WaitShare float64
	// Adapters are the requests by adapter.
	Adapters map[string]int `json:",omitempty"`
}

type demand struct {
	reading float64 // a second, moving average
	wait    float64 // moving average of WaitShare
	asked   time.Time
	ordered time.Time
}

// use returns the utilization that a number of copies would have.
func (d *demand) use(copies int) float64 {
	if d == nil {
		return 0
	}
	return d.reading / engineReading / float64(max(copies, 1))
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
	for name, n := range d.Adapters {
		s.AddAdapterDemand(model, name, n)
	}
	m.reading += d.Reading / demandHalf.Seconds()
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
	for key, n := range s.adapterDemand {
		if n *= 1 - dt.Seconds()/adapterDemandHalf.Seconds(); n < 0.01 {
			delete(s.adapterDemand, key)
		} else {
			s.adapterDemand[key] = n
		}
	}
	for _, d := range s.demand {
		d.reading *= keep
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
			c := s.count(now, service)
			actions = append(actions, s.planEngine(now, service.Engine, c)...)
			actions = append(actions, s.prefetch(now, service.Engine, c)...)
		}
	}
	return actions
}

// check asks replicas whose state is uncertain and moves adapter wishes on.
func (s *State) check(now time.Time, id string, r *replica) []Action {
	if now.Before(r.retryAt) || r.sent != nil {
		return nil
	}
	if r.unload != nil && r.free(now) {
		if now.Before(r.unloadAt) {
			return nil
		}
		r.sent, r.unload = r.unload, nil
		r.sent.Expected = r.orders
		return []Action{{Order: r.sent}}
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
	// missing is the number of copies to add now.
	missing int
	use     float64 // of each copy
	late    bool
	urgent  bool // no replica holds it and it is asked for
	spare   bool // one replica holds it, and its loss or more demand would make callers wait for a load
}

func (s *State) planEngine(now time.Time, e *catalog.Engine, c *census) []Action {
	loading := 0
	for _, r := range c.pool {
		if r.loading != "" {
			loading++
		}
	}
	most := atOnce(e)
	actions := s.proceed(now, e, c)
	actions = append(actions, s.fill(now, e, c)...)
	for _, n := range s.needs(now, e, c) {
		for range n.missing {
			if loading >= most || (n.spare && loading >= maxSpareLoading) {
				return actions
			}
			placed, placing := s.place(now, e, c, n)
			actions = append(actions, placed...)
			if !placing {
				break
			}
			loading++
		}
	}
	return actions
}

// atOnce returns the number of loads at a time: as many as the weight store
// serves at its rate while one lasts.
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

// needs lists the models that should have one more copy, most important first:
// models without any copy, then those whose requests wait too long.
func (s *State) needs(now time.Time, e *catalog.Engine, c *census) []need {
	var out []need
	for i := range e.Models {
		m := &e.Models[i]
		held, coming := c.copies(m.Name)
		d := s.demand[m.Name]
		n := need{model: m, copies: held + coming, missing: 1, use: d.use(held + coming)}
		switch {
		case held+coming == 0:
			n.urgent = d != nil && now.Sub(d.asked) < recentDemand
			out = append(out, n)
		case held+coming == 1 && n.use <= fewUsed:
			n.spare = true
			out = append(out, n)
		case d == nil || held+coming >= len(c.pool) || now.Sub(d.ordered) < copySettle:
		case n.use > fewUsed:
			wanted := int(math.Ceil(d.use(1) / wellUsed))
			n.missing = max(1, min(wanted-n.copies, n.copies))
			out = append(out, n)
		case d.wait > lateShare && coming == 0:
			n.late = true
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.class(), a.class()), cmp.Compare(b.use, a.use))
	})
	return out
}

// class orders needs: a model that is asked for and missing, one whose copies
// are used much, one whose requests wait, one that is only missing, and one that
// has a single copy.
func (n need) class() int {
	switch {
	case n.spare:
		return -1
	case n.urgent:
		return 3
	case n.copies > 0 && !n.late:
		return 2
	case n.late:
		return 1
	}
	return 0
}
