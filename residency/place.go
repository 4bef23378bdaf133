package residency

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// place gives the order that brings a copy of the model nearer: a load where
// there is room, otherwise the unload that makes room. An unload is announced
// before it is ordered.
func (s *State) place(now time.Time, e *catalog.Engine, c *census, n need) ([]Action, bool) {
	var best *Order
	var bestReplica *replica
	bestScore := 0.0
	for id, r := range c.pool {
		if !r.idle(now) || r.reservedNow(now) || r.holds(n.model.Name) {
			continue
		}
		requested := c.requested[id]
		if requested && !n.urgent {
			continue
		}
		order, score := s.candidate(now, e, c, id, r, n)
		if requested {
			score -= requestedLoss
		}
		if order != nil && (best == nil || score > bestScore) {
			best, bestReplica, bestScore = order, r, score
		}
	}
	if best == nil {
		return nil, false
	}
	return s.begin(now, e, c, bestReplica, best, n)
}

// begin starts a load, or the unload that makes room for it. It returns false
// if the weight store can't serve the load now.
func (s *State) begin(now time.Time, e *catalog.Engine, c *census, r *replica, order *Order, n need) ([]Action, bool) {
	if order.Operation == Unload {
		c.dropped(order.Model)
		if !r.reservedNow(now) {
			c.loads(r, n.model.Name)
		}
		r.dropping, r.dropBy = order.Model, now.Add(announceTime+unloadPatience)
		r.unload, r.unloadAt = order, now.Add(announceTime)
		r.reserved, r.reservedBy = &n, now.Add(reserveTime)
		return nil, true
	}
	if order.FromStore && !s.loads.take(now, e.LoadsPerSec, s.limits, n.spare) {
		return nil, false
	}
	if !r.reservedNow(now) {
		c.loads(r, order.Model)
	}
	r.sent, r.reserved = order, nil
	if d := s.demand[n.model.Name]; d != nil {
		d.ordered = now
	}
	return []Action{{Order: order}}, true
}

// proceed goes on with the moves of replicas on which room was made: the load,
// or the next model that has to give way.
func (s *State) proceed(now time.Time, e *catalog.Engine, c *census) []Action {
	var actions []Action
	for id, r := range c.pool {
		if !r.reservedNow(now) || !r.idle(now) {
			continue
		}
		n := *r.reserved
		order, _ := s.candidate(now, e, c, id, r, n)
		if order == nil || r.holds(n.model.Name) {
			r.reserved = nil
			continue
		}
		begun, _ := s.begin(now, e, c, r, order, n)
		actions = append(actions, begun...)
	}
	return actions
}

// reservedNow reports whether room is made for a model.
func (r *replica) reservedNow(now time.Time) bool {
	return r.reserved != nil && !now.After(r.reservedBy)
}

// candidate returns the order that would bring a model to one replica, and how
// good that replica is for it.
func (s *State) candidate(now time.Time, e *catalog.Engine, c *census, id string, r *replica, n need) (*Order, float64) {
	order := &Order{
		Replica: id, Address: r.info.Address, Operation: Load, Model: n.model.Name, Expected: r.orders,
		Reason: "requests wait too long",
	}
	switch {
	case n.copies == 0:
		order.Reason = "no copy"
	case n.spare:
		order.Reason = "single copy"
	}
	atHand := slices.Contains(r.info.InMemory, n.model.Name) || slices.Contains(r.info.OnDisk, n.model.Name)
	order.FromStore = !atHand
	score := -s.busyness(r, c)
	if n.copies > 0 && !c.places[place{r.info.DataCentre, n.model.Name}] {
		score += dataCentreBonus
	}
	if atHand {
		score += atHandBonus
	}
	if s.usedMB(r, e)+n.model.WeightsMB <= e.WeightsMB {
		return order, score + freeBonus
	}
	victim, loss := s.victim(now, e, c, r, n)
	if victim == "" {
		return nil, 0
	}
	order.Operation, order.Model, order.FromStore = Unload, victim, false
	order.Reason = "room for " + n.model.Name
	return order, score - loss
}

const (
	// atHandBonus is what a load without the weight store, which is several times
	// as fast, is worth against the utilization of a replica.
	atHandBonus = 0.4
	// requestedLoss is what a load costs on a replica that should load requested adapters first.
	requestedLoss = 0.1
	// freeBonus is what room without an unload is worth.
	freeBonus = 0.3
	// dataCentreBonus is what the first copy in a data centre is worth.
	dataCentreBonus = 0.2
	// copyLoss is how much the loss of one of a few copies counts where demand
	// is not known yet: operators place busy models on many replicas.
	copyLoss = 0.2
)

// busyness is the utilization that a replica's models bring.
func (s *State) busyness(r *replica, c *census) float64 {
	sum := 0.0
	for _, m := range r.info.Models {
		held, _ := c.copies(m.Name)
		sum += s.demand[m.Name].use(held)
	}
	return sum
}

// candidateVictim is a model that may give way on a replica, and what is lost with it.
type candidateVictim struct {
	model string
	mb    float64
	loss  float64
}

// victim returns the model that gives way first so that a replica gets room for
// another, or "", and what is lost with all that must give way. A copy that would
// be needed more than the new one stays.
func (s *State) victim(now time.Time, e *catalog.Engine, c *census, r *replica, n need) (string, float64) {
	var candidates []candidateVictim
	for _, m := range r.info.Models {
		held, _ := c.copies(m.Name)
		declared := e.Model(m.Name)
		d := s.demand[m.Name]
		after := d.use(held - 1)
		missed := n.urgent || n.copies > 0 && !n.spare
		cold := missed && (n.urgent || n.use > fullyUsed) && (d == nil || now.Sub(d.asked) > recentDemand)
		if declared == nil || (held < 2 && !cold) || (n.spare && held < 3) {
			continue
		}
		if !missed && after > fewUsed {
			continue // nobody waits for the new copy
		}
		if n.copies > 0 && missed && (after*swapGain > n.use || d != nil && d.wait > lateShare && now.Sub(d.asked) < demandHalf) {
			continue
		}
		candidates = append(candidates, candidateVictim{m.Name, declared.WeightsMB, after + copyLoss/float64(max(held, 1))})
	}
	slices.SortFunc(candidates, func(a, b candidateVictim) int { return cmp.Compare(a.loss, b.loss) })
	missing := s.usedMB(r, e) + n.model.WeightsMB - e.WeightsMB
	loss := 0.0
	for _, v := range candidates {
		missing, loss = missing-v.mb, loss+v.loss
		if missing <= 0 {
			return candidates[0].model, loss
		}
	}
	return "", 0
}
