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
	// senderCheckInterval is how often the senders named in ledgers are compared
	// with the members that are gone.
	senderCheckInterval = time.Second
)

// ownership is the state of the shards and ledgers that this instance holds.
type ownership struct {
	shards      []lease.Shard // that have something to own
	shardNames  map[fleet.EndpointID]lease.Shard
	preferences []lease.Preference
	owned       map[fleet.EndpointID]*ownedLedger
	handingOver map[lease.Shard]bool
	// stored are the newest known records of all endpoints.
	stored map[fleet.EndpointID]ledger.Record
	read   bool // the records have been read at least once
	// loads are orders that wait for this instance's share of the weight store.
	loads         []SendOrder
	loadsRunning  map[string]bool // order ids
	loadTokens    float64
	lastLoadCheck time.Time
	lastSenders   time.Time
}

// ownedLedger is the ledger of one endpoint. It is kept after the lease is
// lost, because its orders may still be on the way.
type ownedLedger struct {
	shard   lease.Shard
	replica *ledger.Replica
	until   time.Time // lease expiry last told to the replica
	adopted bool
}

func newOwnership() ownership {
	return ownership{
		owned:        make(map[fleet.EndpointID]*ownedLedger),
		handingOver:  make(map[lease.Shard]bool),
		stored:       make(map[fleet.EndpointID]ledger.Record),
		loadsRunning: make(map[string]bool),
	}
}

// shardOf returns the shard that holds an endpoint's ledger.
func (c *core) shardOf(id fleet.EndpointID) lease.Shard {
	if shard, ok := c.ownership.shardNames[id]; ok {
		return shard
	}
	return lease.Shard(fmt.Sprintf("%s%d", shardPrefix, xxhash.Sum64String(string(id))%uint64(c.config.Shards)))
}

// nameShards works out the shard of every listed endpoint and which shards
// have something to own. Doing so in every tick took most of an idle control
// goroutine's time at 5,400 endpoints.
func (c *core) nameShards() {
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

// updatePreferences tells the lease state which shards exist and who should
// own them.
func (c *core) updatePreferences(now time.Time) {
	if !c.listed {
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
	c.lease(now, lease.PreferencesChanged{Preferences: preferences})
}

// lease passes an event to the lease state and handles its actions.
func (c *core) lease(now time.Time, ev lease.Event) {
	for _, a := range c.leases.Step(now, ev) {
		switch a := a.(type) {
		case lease.Gained:
			c.gained(a)
		case lease.Lost:
			c.lost(now, a)
		case lease.HandOver:
			c.ownership.handingOver[a.Shard] = true
			c.suspendLedgers(now, a.Shard)
		case lease.HandOverCancelled:
			delete(c.ownership.handingOver, a.Shard)
			if epoch, _, ok := c.leases.Holds(a.Shard, now); ok {
				c.adopt(a.Shard, epoch)
			}
		default:
			c.emit(a)
		}
	}
}

func (c *core) gained(a lease.Gained) {
	c.changed(ChangeLeaseGained, Field{"shard", string(a.Shard)}, Field{"epoch", fmt.Sprint(a.Epoch)})
	c.adopt(a.Shard, a.Epoch)
}

// adopt asks for the stored state of everything in the shard.
func (c *core) adopt(shard lease.Shard, epoch uint64) {
	if pool, ok := strings.CutPrefix(string(shard), planPrefix); ok {
		c.emit(AdoptPlan{Pool: pool, Epoch: epoch})
		return
	}
	for _, e := range c.listing.Endpoints {
		if e.Kind == fleet.ModelEngine && c.shardOf(e.ID) == shard {
			c.emit(AdoptLedger{Endpoint: e.ID, Epoch: epoch})
		}
	}
}

func (c *core) lost(now time.Time, a lease.Lost) {
	c.changed(ChangeLeaseLost, Field{"shard", string(a.Shard)}, Field{"epoch", fmt.Sprint(a.Epoch)})
	delete(c.ownership.handingOver, a.Shard)
	if pool, ok := strings.CutPrefix(string(a.Shard), planPrefix); ok {
		delete(c.plans.held, pool)
		return
	}
	c.suspendLedgers(now, a.Shard)
}

// suspendLedgers stops giving orders for a shard.
func (c *core) suspendLedgers(now time.Time, shard lease.Shard) {
	for id, o := range c.ownership.owned {
		if o.shard == shard && o.adopted {
			o.adopted = false
			c.ledger(now, id, ledger.LeaseLost{})
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
		c.emit(AdoptLedger{Endpoint: ev.Endpoint, Epoch: epoch})
		return
	}
	o := c.ownership.owned[ev.Endpoint]
	if o == nil {
		o = &ownedLedger{shard: shard, replica: ledger.NewReplica(c.ledgerSettings(e))}
		c.ownership.owned[ev.Endpoint] = o
	}
	o.adopted, o.until = true, until
	self := ledger.Sender{Instance: c.config.Self.ID, Incarnation: c.config.Self.Incarnation, Epoch: epoch}
	c.ledger(now, ev.Endpoint, ledger.Adopt{Record: ev.Record, Version: ev.Version, Self: self, Until: until})
	c.want(now, e)
	c.checkSenders(now, o)
}

// ledger passes an event to the ledger of an endpoint and handles its actions.
func (c *core) ledger(now time.Time, id fleet.EndpointID, ev ledger.Event) {
	o := c.ownership.owned[id]
	if o == nil {
		return
	}
	c.orderEnded(ev)
	for _, a := range o.replica.Step(now, ev) {
		c.ledgerAction(id, o, a)
	}
	c.viewStale = true
}

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
	case ledger.Query:
		c.emit(QueryEngine{Endpoint: e, Query: a})
	case ledger.Send:
		order := SendOrder{Endpoint: e, Send: a}
		if a.Order.Kind == engine.LoadModel {
			c.ownership.loads = append(c.ownership.loads, order)
			return
		}
		c.emit(order)
	}
}

// orderEnded frees the place of a load in the weight store.
func (c *core) orderEnded(ev ledger.Event) {
	switch ev := ev.(type) {
	case ledger.OrderAnswered:
		delete(c.ownership.loadsRunning, ev.ID)
	case ledger.OrderFailed:
		delete(c.ownership.loadsRunning, ev.ID)
	}
}

// tickOwnership lets time pass for the ledgers and finishes hand-overs.
func (c *core) tickOwnership(now time.Time) {
	checkSenders := now.Sub(c.ownership.lastSenders) >= senderCheckInterval
	if checkSenders {
		c.ownership.lastSenders = now
	}
	for _, id := range sortedKeys(c.ownership.owned) {
		o := c.ownership.owned[id]
		if _, until, ok := c.leases.Holds(o.shard, now); ok && o.adopted && !until.Equal(o.until) {
			o.until = until
			c.ledger(now, id, ledger.LeaseRenewed{Until: until})
		}
		if o.adopted && checkSenders {
			c.checkSenders(now, o)
		}
		c.ledger(now, id, ledger.Tick{})
	}
	c.releaseLoads(now)
	for _, shard := range sortedKeys(c.ownership.handingOver) {
		if c.openOrders(shard) == 0 {
			c.lease(now, lease.OrdersSettled{Shard: shard})
		}
	}
}

// openOrders returns how many orders of the shard are not settled.
func (c *core) openOrders(shard lease.Shard) int {
	n := 0
	for _, o := range c.ownership.owned {
		if o.shard == shard {
			n += len(o.replica.Open())
		}
	}
	return n
}

// checkSenders tells a ledger which of the senders in its record are gone.
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

// releaseLoads sends the model loads that this instance's share of the weight
// store allows now. A load that waits past its lease is reported as not sent.
func (c *core) releaseLoads(now time.Time) {
	own := &c.ownership
	share := placement.Share(c.config.Loads, c.wantedLoads(), c.config.Self.ID)
	if !own.lastLoadCheck.IsZero() {
		own.loadTokens = min(own.loadTokens+share.PerSecond*now.Sub(own.lastLoadCheck).Seconds(), max(1, share.PerSecond))
	} else {
		own.loadTokens = 1
	}
	own.lastLoadCheck = now
	waiting := own.loads
	own.loads = nil
	for _, order := range waiting {
		switch {
		case now.After(order.Send.NotAfter):
			c.ledger(now, order.Endpoint.ID, ledger.OrderFailed{ID: order.Send.Order.ID, NotExecuted: true})
		case own.loadTokens >= 1 && len(own.loadsRunning) < max(1, share.AtOnce):
			own.loadTokens--
			own.loadsRunning[order.Send.Order.ID] = true
			c.emit(order)
		default:
			own.loads = append(own.loads, order)
		}
	}
}

// wantedLoads returns how many loads each live instance wants or runs now.
func (c *core) wantedLoads() map[fleet.InstanceID]int {
	wanted := map[fleet.InstanceID]int{c.config.Self.ID: c.ownWantedLoads()}
	for _, m := range c.members.Members() {
		if m.Heartbeat != nil && m.Status != membership.Dead {
			wanted[m.Instance.ID] = m.Heartbeat.WantedLoads
		}
	}
	return wanted
}

func (c *core) ownWantedLoads() int { return len(c.ownership.loads) + len(c.ownership.loadsRunning) }

// endpointsChanged follows the platform's list: new endpoints of held shards
// are adopted, ledgers of vanished ones are dropped once they are settled.
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
		if !listed[id] && len(o.replica.Open()) == 0 {
			delete(c.ownership.owned, id)
		}
	}
	for id := range c.reports {
		if !listed[id] {
			delete(c.reports, id)
		}
	}
}

// sortedKeys returns the keys in order, so that equal states act alike.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
