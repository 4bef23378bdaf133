package controlplane

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/residency"
)

const (
	// lapseGrace is the time after the store's return for which entries that
	// lapsed while it was away are kept.
	lapseGrace = 2 * time.Second
	// planInterval is the time between plans of model loads.
	planInterval = 200 * time.Millisecond
	// assumedInstances is the number of instances among which the slack of the retry
	// budget is divided at least, and while the number is not known.
	assumedInstances = 10
	// budgetShare is the part of the allowed retry ratio that is used, because
	// requests are counted here a little later than by the deployment.
	budgetShare = 0.8
)

// core is the control state. Only the control goroutine touches it.
type core struct {
	node    nodeconfig.Node
	log     *log.Logger
	metrics *metrics.Registry
	bus     *kernel.Bus
	publish func(*Snapshot)
	post    func(event)

	config        *catalog.Config
	roster        *catalog.Roster
	dispatch      *dispatch.State
	leader        *leader.State
	plan          *residency.State
	planned       time.Time
	modelsLogged  time.Time
	ordering      bool          // this instance may give orders
	holderSeen    time.Time     // last answer of another instance that holds the lease
	holderOrders  time.Time     // when that instance may order
	stateInterval time.Duration // between two of its answers
	noOrders      bool          // no instance can order an adapter now
	stopping      bool

	storeAway map[string]bool      // by table
	storeBack time.Time            // last return of the store
	versions  map[string]uint64    // newest row that was read, by table
	behind    map[string]time.Time // since when a peer knows a newer row, by table
	leaseLost bool                 // the last call for the lease had no answer
	storeSeen time.Time            // last answer of the store

	listTable  string    // table of the list of replicas
	listRead   time.Time // last answer of its feed
	listAt     time.Time // when the holder's list was current
	listSource ListSource

	said   map[string]string // what the last line on a replica said, by id
	demand map[string]*modelDemand
	peers  map[string]*peerState
	fleet  fleetSum // of all instances, at the last tick
	// instances is the number of them that the holder knew last; 0 before that.
	instances int
	adapters  map[adapterKey][]adapterWaiter
	waiting   map[string][]modelWaiter // requests, by the model that they wait for
}

func newCore(node nodeconfig.Node, logger *log.Logger, registry *metrics.Registry, bus *kernel.Bus, now time.Time) *core {
	b := node.Bounds
	c := &core{
		node: node, log: logger, metrics: registry, bus: bus, publish: func(*Snapshot) {}, post: func(event) {},
		roster: catalog.NewRoster(), plan: residency.New(residency.Limits{Window: b.LoadWindow, Excess: b.LoadExcess}),
		leader: leader.New(node.ID, node.PeerAddress(), now.UnixNano(), leader.Options{Turn: b.LeaseTurn, Reluctant: node.Weak()}),
		dispatch: dispatch.New(dispatch.Options{
			DataCentre: node.DataCentre, Seed: uint64(now.UnixNano()),
			Retries: retryLimits(b, 0),
		}),
		stateInterval: StateInterval, storeAway: make(map[string]bool), versions: make(map[string]uint64), behind: make(map[string]time.Time), said: make(map[string]string), demand: make(map[string]*modelDemand),
		peers: make(map[string]*peerState), fleet: newFleetSum(), adapters: make(map[adapterKey][]adapterWaiter), waiting: make(map[string][]modelWaiter),
	}
	return c
}

func (c *core) tick(now time.Time, boot bootclock.Time) {
	for _, id := range c.roster.Expire(now) {
		c.log.Info("replica dropped", "replica", id, "reason", "entry did not come back with the store")
		c.replicaChanged(now, id, nil)
	}
	c.sumPeers(now)
	c.tickLeader(now, boot)
	c.checkOrders(now, boot)
	c.checkList(now)
	c.expireAdapters(now)
	c.expireWaiting(now)
	c.exportState(now)
}

// exportState sets the gauges of what this instance believes.
func (c *core) exportState(now time.Time) {
	current := c.listAt // by the holder
	if c.listRead.After(current) {
		current = c.listRead
	}
	age := int64(-1)
	if !current.IsZero() {
		age = now.Sub(current).Milliseconds()
	}
	ordering := int64(0)
	if c.ordering {
		ordering = 1
	}
	version := int64(0)
	if c.config != nil {
		version = c.config.Version
	}
	c.metrics.Gauge("list_age").Set(age)
	c.metrics.Gauge("config_version").Set(version)
	c.metrics.Gauge("ordering").Set(ordering)
	c.metrics.Gauge("peers").Set(int64(len(c.peers)))
	c.metrics.Gauge("replicas_moving").Set(int64(len(c.plan.Moving(now))))
}

// snapshotChanged publishes what traffic sees.
func (c *core) snapshotChanged() {
	c.publish(&Snapshot{Config: c.config, Stopping: c.stopping})
}

// send publishes work for another service.
func (c *core) send(ev any) {
	if err := kernel.PublishAny(c.bus, ev); err != nil {
		c.log.Error("publish an event", "error", err)
	}
}

// takeConfig takes over a newer config.
func (c *core) takeConfig(config *catalog.Config) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = config
	c.dispatch.SetConfig(config)
	c.plan.SetConfig(config)
	c.snapshotChanged()
	c.log.Info("config taken over", "version", config.Version, "routes", len(config.Routes()), "services", len(config.Services))
}

// replicaChanged hands a replica's new description to the decisions.
func (c *core) replicaChanged(now time.Time, id string, info *catalog.Replica) {
	if info == nil {
		delete(c.said, id)
	}
	c.dispatch.SetReplica(id, info)
	c.plan.SetReplica(now, id, info)
	c.wakeWaiting(info)
}
