package control

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/placement"
)

// planInterval is the time between plans of a pool. Demand that changes tenfold
// within a minute changes by less than a quarter in this time.
const planInterval = time.Second

// plans holds the placement plans of all pools.
type plans struct {
	current map[string]PoolPlan // newest known plan of each pool
	// targets maps pools to the target contents of their endpoints.
	targets map[string]map[fleet.EndpointID][]ledger.Item
	held    map[string]*heldPlan // pools whose plan leases this instance holds
}

// heldPlan is the planning state of a pool whose plan lease this instance holds.
type heldPlan struct {
	epoch      uint64
	planner    *placement.Planner
	lastPlan   time.Time
	persisting bool // a write of the plan is in progress
}

func newPlans() plans {
	return plans{
		current: make(map[string]PoolPlan),
		targets: make(map[string]map[fleet.EndpointID][]ledger.Item),
		held:    make(map[string]*heldPlan),
	}
}

// target returns the models and adapters that an endpoint should hold under the
// newest plan of its pool. It returns false if the plan does not name the
// endpoint, which then keeps its contents.
func (p *plans) target(e fleet.Endpoint) ([]ledger.Item, bool) {
	items, ok := p.targets[e.Pool][e.ID]
	return items, ok
}

// update replaces a pool's plan if it is newer and reports whether it was.
func (p *plans) update(plan PoolPlan) bool {
	if plan.Version == 0 || plan.Version <= p.current[plan.Pool].Version {
		return false
	}
	p.current[plan.Pool] = plan
	p.targets[plan.Pool] = plan.Stored.Targets()
	return true
}

func (c *core) planAdopted(now time.Time, ev PlanAdopted) {
	epoch, _, held := c.leases.Holds(lease.Shard(planPrefix+ev.Plan.Pool), now)
	if !held || epoch != ev.Epoch {
		return
	}
	if !ev.OK {
		c.emit(AdoptPlan{Pool: ev.Plan.Pool, Epoch: epoch})
		return
	}
	planner := placement.NewPlanner(c.config.Placement)
	switch known := c.plans.current[ev.Plan.Pool]; {
	case ev.Plan.Version > 0:
		planner.Restore(now, ev.Plan.Stored)
		if c.plans.update(ev.Plan) {
			c.applyTargets(now, ev.Plan.Pool)
		}
	case known.Version > 0: // a restore of the table service lost the record
		planner.Restore(now, known.Stored)
		known.Version = 0
		c.plans.current[ev.Plan.Pool] = known
	}
	c.plans.held[ev.Plan.Pool] = &heldPlan{epoch: epoch, planner: planner}
}

// tickPlans makes a new plan for each pool that this instance plans and whose
// last plan is old enough.
func (c *core) tickPlans(now time.Time) {
	for _, pool := range sortedKeys(c.plans.held) {
		h := c.plans.held[pool]
		if h.persisting || now.Sub(h.lastPlan) < planInterval || c.table.Current() == nil {
			continue
		}
		shard := lease.Shard(planPrefix + pool)
		if epoch, _, ok := c.leases.Holds(shard, now); !ok || epoch != h.epoch || c.ownership.handingOver[shard] {
			continue
		}
		h.lastPlan = now
		c.makePlan(now, pool, h)
	}
}

// makePlan computes a pool's plan and persists it if it has changed or if none is
// stored.
func (c *core) makePlan(now time.Time, pool string, h *heldPlan) {
	plan := h.planner.Plan(now, c.planInput(now, pool))
	c.findings[pool] = c.findings[pool][:0]
	for _, f := range plan.Findings {
		c.findings[pool] = append(c.findings[pool], f.String())
	}
	if len(plan.Moves) == 0 && c.plans.current[pool].Version > 0 {
		return
	}
	for _, m := range plan.Moves {
		action := "add"
		if m.Remove {
			action = "remove"
		}
		c.emitChange(ChangeMovePlanned, Field{"endpoint", string(m.Replica)}, Field{"action", action}, Field{"name", m.Name}, Field{"cause", m.Cause.String()})
	}
	h.persisting = true
	c.emit(PersistPlan{Pool: pool, Shard: lease.Shard(planPrefix + pool), Epoch: h.epoch, Stored: h.planner.Stored(now), Version: c.plans.current[pool].Version})
}

func (c *core) planCommitted(now time.Time, ev PlanCommitted) {
	h := c.plans.held[ev.Pool]
	if h == nil || h.epoch != ev.Epoch {
		return
	}
	h.persisting = false
	if !ev.Applied {
		// The planner's state is ahead of the store, so restart from the stored plan.
		delete(c.plans.held, ev.Pool)
		c.emit(AdoptPlan{Pool: ev.Pool, Epoch: ev.Epoch})
		return
	}
	if c.plans.update(PoolPlan{Pool: ev.Pool, Stored: h.planner.Stored(now), Version: ev.Version}) {
		c.applyTargets(now, ev.Pool)
	}
}

// applyTargets passes the plan's targets to the owned ledgers of a pool.
func (c *core) applyTargets(now time.Time, pool string) {
	for _, e := range c.listing.Endpoints {
		if o := c.ownership.owned[e.ID]; e.Pool == pool && o != nil && o.adopted {
			c.applyTarget(now, e)
		}
	}
}

// applyTarget passes the plan's target to an endpoint's ledger, if the plan has
// one.
func (c *core) applyTarget(now time.Time, e fleet.Endpoint) {
	if items, ok := c.plans.target(e); ok {
		c.stepLedger(now, e.ID, ledger.TargetChanged{Target: items})
	}
}

// planInput returns the rows, demand and replicas of a pool for its planner.
func (c *core) planInput(now time.Time, pool string) placement.Input {
	t := c.table.Current()
	in := placement.Input{Rows: placement.RowsOf(t, pool)}
	for _, d := range c.fleetDemand(now) {
		pd, ok := placement.DemandOf(t, d.Row)
		if !ok {
			continue
		}
		pd.Busy, pd.Queued, pd.Rate = float64(d.InFlight), float64(d.Queued), d.ArrivalRate
		if d.ArrivalRate > 0 {
			pd.SlotSeconds = d.Slots / d.ArrivalRate
		}
		in.Demand = append(in.Demand, pd)
	}
	for _, e := range c.listing.Endpoints {
		if e.Kind != fleet.ModelEngine || e.Pool != pool {
			continue
		}
		in.Replicas = append(in.Replicas, placement.Replica{
			ID: e.ID, DataCentre: e.DataCentre, CapacityMB: e.MemoryMB, Slots: e.Slots,
			Leaving: c.leaving(e), Entries: c.ledgerEntries(e.ID),
		})
	}
	return in
}

// ledgerEntries returns the entries of an endpoint's ledger, from the owned ledger
// or else from the newest known record.
func (c *core) ledgerEntries(id fleet.EndpointID) []ledger.Entry {
	if o := c.ownership.owned[id]; o != nil && o.adopted {
		var entries []ledger.Entry
		for _, s := range o.replica.Entries() {
			entries = append(entries, s.Entry)
		}
		return entries
	}
	return c.ownership.stored[id].Entries
}

// recordsRead stores the ledgers and newer plans that were read from the store.
func (c *core) recordsRead(now time.Time, ev RecordsRead) {
	c.ownership.hasRecords = true
	for _, r := range ev.Ledgers {
		c.ownership.stored[r.Replica] = r
	}
	listed := make(map[fleet.EndpointID]bool)
	for _, e := range c.listing.Endpoints {
		listed[e.ID] = true
	}
	maps.DeleteFunc(c.ownership.stored, func(id fleet.EndpointID, _ ledger.Record) bool { return !listed[id] })
	for _, p := range ev.Plans {
		if c.plans.update(p) {
			c.applyTargets(now, p.Pool)
		}
	}
	c.viewStale = true
}

// allFindings returns the findings of every pool that this instance plans.
func (c *core) allFindings() []string {
	var out []string
	for _, pool := range sortedKeys(c.findings) {
		if c.plans.held[pool] != nil {
			out = append(out, slices.Clone(c.findings[pool])...)
		}
	}
	return out
}
