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
	"github.com/hyssophaven/hyssophaven/rowstore"
)

const (
	// recoveryGrace is how long entries that expired while the store was unavailable
	// are kept after it answers again.
	recoveryGrace = 2 * time.Second
	// planInterval is the time between two runs of the load planner.
	planInterval = 200 * time.Millisecond
	// assumedInstances is the smallest number of instances among which the slack of
	// the retry budget is divided. It is also used while the number is unknown.
	assumedInstances = 10
	// retryRatioShare is the fraction of the allowed retry ratio that is used,
	// because an instance counts requests slightly later than the deployment does.
	retryRatioShare = 0.8
)

// core is the control state. Only the control goroutine reads or changes it.
type core struct {
	node    nodeconfig.Node
	log     *log.Logger
	metrics *metrics.Registry
	bus     *kernel.Bus
	publish func(*Snapshot)
	post    func(event)

	config            *catalog.Config
	configValue       []byte           // row of the config
	configState       configState      // what is known about the row
	replacedLimits    []replacedLimits // limits that callers may still go by, oldest first
	replicaList       *catalog.ReplicaList
	dispatch          *dispatch.State
	leader            *leader.State
	plan              *residency.State
	plannedAt         time.Time
	modelsLoggedAt    time.Time
	canOrder          bool          // this instance may send orders
	planEpoch         uint64        // epoch of the order lease for which plan has started a term
	holderSeenAt      time.Time     // last answer from another instance that holds the lease
	suspectsDecidedAt time.Time     // last decision on prompt parts by this instance
	storedBlocks      string        // parts and failures of the blocks in the store
	blocksStale       bool          // the stored blocks may be older than storedBlocks
	blocksFailedAt    time.Time     // last failed write of the blocks
	decisionsSeenAt   time.Time     // last decisions on prompt parts from the holder
	holderCanOrderAt  time.Time     // when the holder may send orders
	stateInterval     time.Duration // time between two answers from the holder
	ordersBlocked     bool          // no instance can send orders for adapters now
	stopping          bool

	storeUnavailable map[string]bool             // tables whose last call failed
	tableVersions    map[string]rowstore.Version // newest row version read, by table
	behindSince      map[string]time.Time        // when a peer was first seen with a newer row, by table
	leaseCallFailed  bool                        // a lease call failed since the last answered one
	storeVersion     rowstore.Version            // newest version of the store that was seen

	listTable      string    // table that holds the list of replicas
	listCurrentAt  time.Time // latest time at which the list is known to have been current; zero if none
	holderListAt   time.Time // time at which the list from the holder was current
	listGraceUntil time.Time // until when replicas are kept whose entries have lapsed
	listSource     ListSource
	listPause      time.Duration // between two calls for the list

	loggedReplicas map[string]string // description in the last log line, by replica
	demand         map[string]*modelDemand
	peers          map[string]*peerState
	fleet          fleetSum // loads and crash counts of all instances, at the last tick
	// instanceCount is the number of instances that the holder last counted, or 0
	// before this instance learns of it.
	instanceCount  int
	holder         HolderChanged // last one published
	adapterWaiters map[adapterKey][]adapterWaiter
	undirected     map[adapterKey]bool      // adapters that were requested while the holder was not known
	modelWaiters   map[string][]modelWaiter // waiting requests, by model

	servedAt time.Time // last pass over the requests that wait in the queues of services

	malformedReports int       // since the last line about them
	malformedAt      time.Time // time of that line
	quotas           quotas
	prefixes         prefixExport
}

func newCore(node nodeconfig.Node, logger *log.Logger, registry *metrics.Registry, bus *kernel.Bus, now time.Time) *core {
	b := node.Bounds
	c := &core{
		node: node, log: logger, metrics: registry, bus: bus, publish: func(*Snapshot) {}, post: func(event) {},
		replicaList: catalog.NewReplicaList(), plan: residency.New(residency.Limits{Window: b.LoadWindow, Excess: b.LoadExcess}),
		leader: leader.New(node.ID, node.PeerAddress(), now.UnixNano(), leader.Options{HandoverGap: b.LeaseTurn, DelayAcquisition: node.AvoidLease(), FirstStart: node.FirstStart, StartedAt: bootclock.Now()}),
		dispatch: dispatch.New(dispatch.Options{
			DataCentre: node.DataCentre, Seed: uint64(now.UnixNano()),
			RetryLimits: retryLimits(b, 0),
		}),
		stateInterval: StateInterval, storeUnavailable: make(map[string]bool), tableVersions: make(map[string]rowstore.Version), behindSince: make(map[string]time.Time), loggedReplicas: make(map[string]string), demand: make(map[string]*modelDemand),
		peers: make(map[string]*peerState), fleet: newFleetSum(), adapterWaiters: make(map[adapterKey][]adapterWaiter), modelWaiters: make(map[string][]modelWaiter),
		undirected: make(map[adapterKey]bool), listPause: listPause(FromStore, leaveTime(b), 0),
		quotas: newQuotas(node, now),
	}
	c.initNoticeCounters()
	registry.Counter(malformedReportsMetric)
	registry.Counter(metricStoreRestores)
	return c
}

func (c *core) tick(now time.Time, boot bootclock.Time) {
	for _, id := range c.replicaList.Expire(now) {
		c.log.Info("replica dropped", "replica", id, "reason", "entry did not come back with the store")
		c.updateReplica(now, id, nil)
	}
	c.releaseHeldRows(now)
	c.updateFleetSum(now)
	c.tickLeader(now, boot)
	c.updateSuspects(now)
	c.updateOrderAvailability(now, boot)
	c.updateListSource(now)
	c.checkConfig(now)
	c.directAdapterRequests(now, boot)
	c.expireAdapterWaiters(now)
	c.expireModelWaiters(now)
	c.expireLimits(now)
	c.tickQuotas(now, boot)
	c.exportState(now)
}

// exportState sets the gauges that describe the control state.
func (c *core) exportState(now time.Time) {
	age := int64(-1)
	if current := c.listCurrentAt; !current.IsZero() {
		age = now.Sub(current).Milliseconds()
	}
	ordering := int64(0)
	if c.canOrder {
		ordering = 1
	}
	c.metrics.Gauge("list_age").Set(age)
	c.metrics.Gauge("config_version").Set(c.configVersion())
	c.metrics.Gauge("ordering").Set(ordering)
	c.metrics.Gauge("peers").Set(int64(len(c.peers)))
	c.metrics.Gauge("requests_queued").Set(int64(c.dispatch.Waiters()))
	c.metrics.Gauge("replicas_moving").Set(int64(len(c.plan.ModelChanges(now))))
	c.exportPrefixes(now)
}

// configVersion returns the version of the config, or 0 if there is none.
func (c *core) configVersion() int64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// publishSnapshot makes the current config and stopping state visible to traffic.
func (c *core) publishSnapshot() {
	c.publish(&Snapshot{Config: c.config, Limits: c.limits(), Stopping: c.stopping})
}

// publishEvent publishes work for another service on the kernel's bus.
func (c *core) publishEvent(ev any) {
	if err := kernel.PublishAny(c.bus, ev); err != nil {
		c.log.Error("event could not be published", "error", err)
	}
}

// adoptConfig replaces the config if the given one has a higher version.
// value is its row.
func (c *core) adoptConfig(now time.Time, config *catalog.Config, value []byte) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	old := c.limits()
	c.keepLimits(now, config.Limits)
	c.config, c.configValue = config, value
	c.dispatch.SetConfig(config)
	c.plan.SetConfig(config)
	c.setCustomers(now, config.Customers())
	c.publishSnapshot()
	if c.limits() != old {
		c.publishEvent(LimitsChanged{})
	}
	c.log.Info("config taken over", "version", config.Version, "routes", len(config.Routes()), "services", len(config.Services), "customers", len(config.Customers()))
	for _, f := range config.Findings {
		c.log.Warn("config has a problem", "version", config.Version, "finding", f.String())
	}
}

// updateReplica passes a replica's new description to dispatch, the load plan and
// waiting requests. A nil info removes the replica.
func (c *core) updateReplica(now time.Time, id string, info *catalog.Replica) {
	if info == nil {
		delete(c.loggedReplicas, id)
	}
	old := c.dispatch.Replica(id)
	c.dispatch.SetReplica(id, info)
	info = c.dispatch.Replica(id)
	if old != nil && (info == nil || info.Address != old.Address || info.StartMillis != old.StartMillis) {
		c.publishEvent(ReplicaEnded{Replica: old})
	}
	c.plan.SetReplica(now, id, info)
	c.plan.SetBackoff(id, c.dispatch.BackoffUntil(id))
	c.wakeModelWaiters(info)
	if info != nil {
		c.serveWaiters(now, info.Service)
	}
}
