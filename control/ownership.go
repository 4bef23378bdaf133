package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/placement"
)

const (
	shardPrefix = "shard/"
	planPrefix  = "plan/"
	// senderCheckInterval is the period at which ledgers are checked for senders
	// that are gone.
	senderCheckInterval = time.Second
)

// ownership is the state of the shards and of the ledgers that this instance owns.
type ownership struct {
	shards      []lease.Shard // shards of the listed engines and plans of their pools
	shardNames  map[fleet.EndpointID]lease.Shard
	preferences []lease.Preference
	owned       map[fleet.EndpointID]*ownedLedger
	handingOver map[lease.Shard]bool
	// stored holds the newest known ledger record of every endpoint.
	stored     map[fleet.EndpointID]ledger.Record
	hasRecords bool // the stored records have been read at least once
	// pendingLoads are load orders that wait for this instance's share of the
	// weight store's limit.
	pendingLoads    []SendOrder
	runningLoads    map[string]bool // IDs of load orders that were sent and not answered
	loadTokens      float64
	lastTokenRefill time.Time
	lastSenderCheck time.Time
}

// ownedLedger is the ledger of one endpoint. It is kept after the lease is
// lost, because its orders may still be in transit.
type ownedLedger struct {
	shard       lease.Shard
	replica     *ledger.Replica
	leaseExpiry time.Time // last value passed to the replica's ledger
	adopted     bool
}

func newOwnership() ownership {
	return ownership{
		owned:        make(map[fleet.EndpointID]*ownedLedger),
		handingOver:  make(map[lease.Shard]bool),
		stored:       make(map[fleet.EndpointID]ledger.Record),
		runningLoads: make(map[string]bool),
	}
}

// shardOf returns the shard of an endpoint's ledger.
func (c *core) shardOf(id fleet.EndpointID) lease.Shard {
	if shard, ok := c.ownership.shardNames[id]; ok {
		return shard
	}
	return lease.Shard(fmt.Sprintf("%s%d", shardPrefix, xxhash.Sum64String(string(id))%uint64(c.config.Shards)))
}

// computeShards computes the shard of every listed engine and the list of shards
// that need an owner. It runs when the list changes: in every tick, it took most
// of an idle control goroutine's time at 5,400 endpoints.
func (c *core) computeShards() {
	own := &c.ownership
	own.shardNames = make(map[fleet.EndpointID]lease.Shard, len(c.listing.Endpoints))
	wanted := make(map[lease.Shard]bool)
	for _, e := range c.listing.Endpoints {
		if e.Kind == fleet.ModelEngine {
			shard := c.shardOf(e.ID)
			own.shardNames[e.ID] = shard
			wanted[shard] = true
			wanted[lease.Shard(planPrefix+e.Pool)] = true
		}
	}
	own.shards = slices.Sorted(maps.Keys(wanted))
}

// updatePreferences passes the shards and their preferred owners to the lease
// state when they have changed.
func (c *core) updatePreferences(now time.Time) {
	if !c.hasListing {
		return
	}
	var preferences []lease.Preference
	for _, s := range c.ownership.shards {
		preferences = append(preferences, lease.Preference{Shard: s, Owner: c.members.PreferredOwner(string(s))})
	}
	if slices.Equal(preferences, c.ownership.preferences) {
		return
	}
	c.ownership.preferences = preferences
	c.stepLeases(now, lease.PreferencesChanged{Preferences: preferences})
}

// stepLeases passes an event to the lease state and handles its actions.
func (c *core) stepLeases(now time.Time, ev lease.Event) {
	for _, a := range c.leases.Step(now, ev) {
		switch a := a.(type) {
		case lease.Gained:
			c.leaseGained(a)
		case lease.Lost:
			c.leaseLost(now, a)
		case lease.HandOver:
			c.ownership.handingOver[a.Shard] = true
			c.suspendLedgers(now, a.Shard)
		case lease.HandOverCancelled:
			delete(c.ownership.handingOver, a.Shard)
			if epoch, _, ok := c.leases.Holds(a.Shard, now); ok {
				c.adoptShard(a.Shard, epoch, 0)
			}
		default:
			c.emit(a)
		}
	}
}

func (c *core) leaseGained(a lease.Gained) {
	c.emitChange(ChangeLeaseGained, Field{"shard", string(a.Shard)}, Field{"epoch", fmt.Sprint(a.Epoch)})
	c.adoptShard(a.Shard, a.Epoch, a.Continues)
}

// adoptShard requests the stored plan or ledgers of a shard. continues is
// lease.Gained.Continues.
func (c *core) adoptShard(shard lease.Shard, epoch, continues uint64) {
	if pool, ok := strings.CutPrefix(string(shard), planPrefix); ok {
		c.emit(AdoptPlan{Pool: pool, Epoch: epoch})
		return
	}
	for _, e := range c.listing.Endpoints {
		if e.Kind == fleet.ModelEngine && c.shardOf(e.ID) == shard {
			c.emit(AdoptLedger{Endpoint: e.ID, Epoch: epoch, Continues: continues})
		}
	}
}

func (c *core) leaseLost(now time.Time, a lease.Lost) {
	c.emitChange(ChangeLeaseLost, Field{"shard", string(a.Shard)}, Field{"epoch", fmt.Sprint(a.Epoch)}, Field{"reason", a.Reason.String()})
	delete(c.ownership.handingOver, a.Shard)
	if pool, ok := strings.CutPrefix(string(a.Shard), planPrefix); ok {
		delete(c.plans.held, pool)
		return
	}
	c.suspendLedgers(now, a.Shard)
}

// suspendLedgers makes the ledgers of a shard stop giving orders.
func (c *core) suspendLedgers(now time.Time, shard lease.Shard) {
	for id, o := range c.ownership.owned {
		if o.shard == shard && o.adopted {
			o.adopted = false
			c.stepLedger(now, id, ledger.LeaseLost{})
		}
	}
}

func (c *core) ledgerAdopted(now time.Time, ev LedgerAdopted) {
	shard := c.shardOf(ev.Endpoint)
	epoch, until, held := c.leases.Holds(shard, now)
	e, listed := c.endpoint(ev.Endpoint)
	if !held || epoch != ev.Epoch || !listed || c.ownership.handingOver[shard] {
		return
	}
	if !ev.OK {
		c.emit(AdoptLedger{Endpoint: ev.Endpoint, Epoch: epoch, Continues: ev.Continues})
		return
	}
	o := c.ownership.owned[ev.Endpoint]
	if o == nil {
		o = &ownedLedger{shard: shard, replica: ledger.NewReplica(c.ledgerSettings(e))}
		c.ownership.owned[ev.Endpoint] = o
	}
	o.adopted, o.leaseExpiry = true, until
	self := ledger.Sender{Instance: c.config.Self.ID, Incarnation: c.config.Self.Incarnation, Epoch: epoch}
	c.stepLedger(now, ev.Endpoint, ledger.LeaseAcquired{
		Record: ev.Record, Version: ev.Version, Self: self, Until: until,
		Restored: lease.EpochEra(ev.Record.Holder.Epoch) < lease.EpochEra(epoch), Continues: ev.Continues,
	})
	if o.replica.HasLostOrders() {
		c.emitChange(ChangeLedgerLost, Field{"endpoint", string(ev.Endpoint)}, Field{"no_loads_for", c.config.MaxOrderDelay.String()})
	}
	c.applyTarget(now, e)
	c.checkSenders(now, o)
}

// stepLedger passes an event to the ledger of an endpoint and handles its actions.
func (c *core) stepLedger(now time.Time, id fleet.EndpointID, ev ledger.Event) {
	o := c.ownership.owned[id]
	if o == nil {
		return
	}
	c.freeLoadSlot(ev)
	for _, a := range o.replica.Step(now, ev) {
		c.ledgerAction(id, o, a)
	}
	c.viewStale = true
}

// ledgerAction publishes an action of a ledger. Model loads are queued, because
// they share the weight store's limit.
func (c *core) ledgerAction(id fleet.EndpointID, o *ownedLedger, a ledger.Action) {
	e, listed := c.endpoint(id)
	if !listed {
		e = fleet.Endpoint{ID: id}
	}
	switch a := a.(type) {
	case ledger.Persist:
		c.emit(PersistLedger{Endpoint: id, Shard: o.shard, Persist: a})
	case ledger.ReadRecord:
		c.emit(ReadLedger{Endpoint: id})
	case ledger.ReadState:
		c.emit(ReadEngineState{Endpoint: e, Read: a})
	case ledger.EngineOrder:
		order := SendOrder{Endpoint: e, EngineOrder: a}
		if a.Order.Kind == engine.LoadModel {
			c.ownership.pendingLoads = append(c.ownership.pendingLoads, order)
			return
		}
		c.emit(order)
	}
}

// freeLoadSlot removes a model load from the running loads when its order was
// answered or has failed.
func (c *core) freeLoadSlot(ev ledger.Event) {
	switch ev := ev.(type) {
	case ledger.OrderAnswered:
		delete(c.ownership.runningLoads, ev.ID)
	case ledger.OrderFailed:
		delete(c.ownership.runningLoads, ev.ID)
	}
}

// tickOwnership passes lease renewals and ticks to the ledgers, sends pending
// loads and completes hand-overs.
func (c *core) tickOwnership(now time.Time) {
	checkSenders := now.Sub(c.ownership.lastSenderCheck) >= senderCheckInterval
	if checkSenders {
		c.ownership.lastSenderCheck = now
	}
	for _, id := range sortedKeys(c.ownership.owned) {
		o := c.ownership.owned[id]
		if _, until, ok := c.leases.Holds(o.shard, now); ok && o.adopted && !until.Equal(o.leaseExpiry) {
			o.leaseExpiry = until
			c.stepLedger(now, id, ledger.LeaseRenewed{Until: until})
		}
		if o.adopted && checkSenders {
			c.checkSenders(now, o)
		}
		c.stepLedger(now, id, ledger.Tick{})
	}
	c.dispatchLoads(now)
	for _, shard := range sortedKeys(c.ownership.handingOver) {
		if c.openOrders(shard) == 0 {
			c.stepLeases(now, lease.OrdersClosed{Shard: shard})
		}
	}
}

// openOrders returns the number of open orders of the shard.
func (c *core) openOrders(shard lease.Shard) int {
	n := 0
	for _, o := range c.ownership.owned {
		if o.shard == shard {
			n += len(o.replica.OpenOrders())
		}
	}
	return n
}

// checkSenders reports to a ledger the senders in its record that are gone.
func (c *core) checkSenders(now time.Time, o *ownedLedger) {
	gone := make(map[ledger.Sender]bool)
	for _, entry := range o.replica.Entries() {
		for _, s := range slices.Concat(entry.LoadSenders, entry.UnloadSenders) {
			if s.Instance != "" && c.members.SenderGone(now, s.Instance, s.Incarnation) {
				gone[s] = true
			}
		}
	}
	for s := range gone {
		for _, a := range o.replica.Step(now, ledger.SenderFinished{Sender: s}) {
			c.ledgerAction(o.replicaID(), o, a)
		}
	}
}

func (o *ownedLedger) replicaID() fleet.EndpointID { return o.replica.View().Replica }

// dispatchLoads sends the pending model loads that this instance's share of the
// weight store's limit allows now. A load that still waits after NotAfter, the end
// of the lease when it was decided, is reported to its ledger as not executed.
func (c *core) dispatchLoads(now time.Time) {
	own := &c.ownership
	share := placement.ShareOfLimit(c.config.LoadLimit, c.wantedLoads(), c.config.Self.ID)
	if !own.lastTokenRefill.IsZero() {
		own.loadTokens = min(own.loadTokens+share.PerSecond*now.Sub(own.lastTokenRefill).Seconds(), max(1, share.PerSecond))
	} else {
		own.loadTokens = 1
	}
	own.lastTokenRefill = now
	waiting := own.pendingLoads
	own.pendingLoads = nil
	for _, order := range waiting {
		switch {
		case now.After(order.EngineOrder.NotAfter):
			c.stepLedger(now, order.Endpoint.ID, ledger.OrderFailed{ID: order.EngineOrder.Order.ID, NotExecuted: true})
		case own.loadTokens >= 1 && len(own.runningLoads) < max(1, share.MaxConcurrent):
			own.loadTokens--
			own.runningLoads[order.EngineOrder.Order.ID] = true
			c.emit(order)
		default:
			own.pendingLoads = append(own.pendingLoads, order)
		}
	}
}

// wantedLoads returns the number of pending and running loads of each instance
// that is not dead.
func (c *core) wantedLoads() map[fleet.InstanceID]int {
	wanted := map[fleet.InstanceID]int{c.config.Self.ID: c.ownWantedLoads()}
	for _, m := range c.members.Members() {
		if m.Heartbeat != nil && m.Status != membership.Dead {
			wanted[m.Instance.ID] = m.Heartbeat.WantedLoads
		}
	}
	return wanted
}

func (c *core) ownWantedLoads() int {
	return len(c.ownership.pendingLoads) + len(c.ownership.runningLoads)
}

// endpointsChanged applies a new platform list. It adopts new endpoints of shards
// that this instance holds, and drops the ledgers of unlisted endpoints once they
// have no open orders.
func (c *core) endpointsChanged(now time.Time) {
	listed := make(map[fleet.EndpointID]bool)
	for _, e := range c.listing.Endpoints {
		listed[e.ID] = true
		if o := c.ownership.owned[e.ID]; e.Kind != fleet.ModelEngine || o != nil && o.adopted {
			continue
		}
		shard := c.shardOf(e.ID)
		if epoch, _, ok := c.leases.Holds(shard, now); ok && !c.ownership.handingOver[shard] {
			c.emit(AdoptLedger{Endpoint: e.ID, Epoch: epoch})
		}
	}
	for id, o := range c.ownership.owned {
		if !listed[id] && len(o.replica.OpenOrders()) == 0 {
			delete(c.ownership.owned, id)
		}
	}
	for id := range c.reports {
		if !listed[id] {
			delete(c.reports, id)
		}
	}
}

// sortedKeys returns the keys in ascending order, which keeps event handling
// deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
