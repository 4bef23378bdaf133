package residency

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// fill loads models that replicas have at hand into room that is free. Such a
// load takes a second or two and does not use the weight store; replicas that
// restarted are empty, but keep what is on their disks.
func (s *State) fill(now time.Time, e *catalog.Engine, c *census) []Action {
	var actions []Action
	for id, r := range c.pool {
		if !r.idle(now) || r.reservedNow(now) || c.requested[id] {
			continue
		}
		model := s.bestAtHand(e, c, r)
		if model == "" {
			continue
		}
		r.sent = &Order{
			Replica: id, Address: r.info.Address, Operation: Load, Model: model, Expected: r.orders, Reason: "at hand, and room for it",
		}
		c.loads(r, model)
		actions = append(actions, Action{Order: r.sent})
	}
	return actions
}

// bestAtHand returns the model at hand that a replica has room for and whose
// copies are used most, missing ones first, or "".
func (s *State) bestAtHand(e *catalog.Engine, c *census, r *replica) string {
	best, highest := "", 0.0
	room := e.WeightsMB - s.usedMB(r, e)
	for _, name := range append(slices.Clone(r.info.InMemory), r.info.OnDisk...) {
		m := e.Model(name)
		if m == nil || m.WeightsMB > room || r.holds(name) {
			continue
		}
		held, coming := c.copies(name)
		if len(r.info.Models) > 0 && held+coming > 0 && s.demand[name].use(held+coming) < fewUsed {
			continue // a load holds up the adapters of what the replica serves
		}
		value := s.demand[name].use(held+coming) + 1/float64(1+held+coming)
		if value > highest {
			best, highest = name, value
		}
	}
	return best
}
