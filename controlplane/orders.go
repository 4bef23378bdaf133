package controlplane

import (
	"fmt"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

const (
	// modelsLogInterval is the time between two log lines on the most used models.
	// maxLoggedModels bounds the models in one line.
	modelsLogInterval = 2 * time.Second
	maxLoggedModels   = 8
)

// SendOrder is published to have an order sent to its replica. It must not be sent
// at or after Until, when this instance's right to send orders ends.
type SendOrder struct {
	Order  *residency.Order
	Holder string
	Epoch  uint64
	Until  bootclock.Time
}

// ReadReplicaReport is published to have a replica's report read, after Delay.
type ReadReplicaReport struct {
	Replica, Address string
	Delay            time.Duration
}

// AccessLease is published to have the order lease read or written.
type AccessLease struct {
	Action leader.Action
	Write  leader.Write
	// Config, if not nil, is a row that a write requires to be unchanged.
	Config *ConfigRow
}

// tickLeader renews or acquires the order lease. While this instance may send
// orders, it also runs the load planner every planInterval.
func (c *core) tickLeader(now time.Time, boot bootclock.Time) {
	c.accessLease(now, boot)
	_, ok := c.leader.OrderUntil(boot)
	if ok != c.canOrder {
		c.canOrder = ok
		c.log.Info("order lease", "ordering", ok, "holder", c.leader.Row().Holder, "epoch", c.leader.Epoch(), "version", c.leader.Row().Version)
		// In one epoch, no other instance has ordered meanwhile.
		if epoch := c.leader.Epoch(); ok && epoch != c.planEpoch {
			c.planEpoch = epoch
			c.executeActions(now, c.plan.StartTerm(now))
		}
	}
	if !c.leader.Held() {
		return
	}
	if now.Sub(c.plannedAt) >= planInterval {
		c.plannedAt = now
		c.addDemand(now, c.drainDemand())
		if ok {
			c.recordAdapterUse(now, c.dispatch.OwnLoad())
			c.updateRunning(now)
			c.updateUnreachable(now)
			c.executeActions(now, c.plan.Plan(now))
			c.dispatch.SetModelChanges(now, c.plan.ModelChanges(now), c.plan.UnloadingModels())
			c.dispatch.SetModelArrivals(now, c.plan.ModelArrivals(now))
			c.dispatch.SetFullReplicas(c.plan.FullReplicas(now))
			c.logModels(now)
		}
	}
}

// accessLease publishes the call to the store that is due for the lease. A write that does
// not release it also checks that the config has not changed.
func (c *core) accessLease(now time.Time, boot bootclock.Time) {
	a := c.leader.Tick(boot)
	if a == leader.None {
		return
	}
	access := AccessLease{Action: a, Write: c.leader.NextWrite()}
	if a == leader.WriteLease && !access.Write.Lease.Released {
		access.Config = c.configState.startLeaseWrite(now, access.Write.Version)
	}
	c.publishEvent(access)
}

// maxHolderSilence returns how long the holder of the order lease can be silent
// before it is no longer counted as able to load adapters: two missed answers.
func (c *core) maxHolderSilence() time.Duration { return 2*c.stateInterval + maxAnswerTime }

// maxAnswerTime is the allowance for the time that the holder takes to answer.
const maxAnswerTime = 100 * time.Millisecond

// updateOrderAvailability tells dispatch whether adapters can be loaded now, and
// otherwise the estimated time until they can.
func (c *core) updateOrderAvailability(now time.Time, boot bootclock.Time) {
	in := c.leader.TimeUntilOrders(boot)
	switch {
	case c.canOrder:
		in = 0
	case now.Sub(c.holderSeenAt) < c.maxHolderSilence():
		in = max(0, c.holderCanOrderAt.Sub(now))
	}
	if (in > 0) != c.ordersBlocked {
		c.ordersBlocked = in > 0
		c.log.Info("orders of adapters", "possible", !c.ordersBlocked, "probably_in", in, "holder_seen", now.Sub(c.holderSeenAt))
	}
	c.dispatch.SetOrderAvailability(in == 0, in)
}

// logModels logs the most used models every modelsLogInterval, so that waits can be
// explained from the log.
func (c *core) logModels(now time.Time) {
	if now.Sub(c.modelsLoggedAt) < modelsLogInterval {
		return
	}
	c.modelsLoggedAt = now
	var b strings.Builder
	for i, m := range c.plan.ModelStates(now) {
		if i == maxLoggedModels {
			break
		}
		fmt.Fprintf(&b, "%s held=%d coming=%d work=%.2f use=%.2f wait=%.2f pace=%.2f; ", m.Model, m.Held, m.Incoming, m.Utilization, m.Load, m.WaitRatio, c.dispatch.LatencyProfile(m.Model).PerToken)
	}
	c.log.Info("models", "moving", len(c.plan.ModelChanges(now)), "waiting", fmt.Sprint(c.plan.BlockedReplicas(now)), "most_used", b.String())
}

// executeActions carries out actions that the load planner returned.
func (c *core) executeActions(now time.Time, actions []residency.Action) {
	for _, a := range actions {
		switch {
		case a.Order != nil:
			c.sendOrder(now, a.Order)
		case a.ReportFrom != "":
			if r := c.replicaList.Replica(a.ReportFrom); r != nil {
				c.publishEvent(ReadReplicaReport{Replica: a.ReportFrom, Address: r.Address, Delay: a.Delay})
			} else {
				c.executeActions(now, c.plan.HandleReport(now, a.ReportFrom, nil))
			}
		case a.AdapterResult != nil:
			c.finishAdapterRequests(now, *a.AdapterResult, a.Delay)
		}
	}
}

// sendOrder publishes an order with the fencing epoch and deadline of the lease. If
// this instance may not send orders, the order is reported as unsent.
func (c *core) sendOrder(now time.Time, o *residency.Order) {
	until, ok := c.leader.OrderUntil(bootclock.Now())
	if !ok {
		c.executeActions(now, c.plan.HandleOutcome(now, o, residency.Unsent))
		return
	}
	c.leader.RecordOrderSent()
	c.publishEvent(SendOrder{Order: o, Holder: c.node.ID, Epoch: c.leader.Epoch(), Until: until})
}

// OrderAnswered reports the outcome of an order.
type OrderAnswered struct {
	Order   *residency.Order
	Outcome residency.Outcome
	Elapsed time.Duration
	Err     error
}

func (e OrderAnswered) apply(c *core, now time.Time) {
	o := e.Order
	c.leader.RecordOrderOutcome(bootclock.Now(), e.Outcome != residency.Unknown)
	c.metrics.Counter("orders", "operation", operationName(o), "outcome", e.Outcome.String()).Add(1)
	c.metrics.Histogram("order_time", "operation", operationName(o)).Observe(e.Elapsed)
	c.log.Info("order answered", "replica", o.Replica, "operation", operationName(o), "model", o.Model, "adapter", o.Adapter,
		"expected", o.ExpectedOrders, "reason", o.Reason, "outcome", e.Outcome.String(), "took", e.Elapsed, "error", e.Err)
	c.executeActions(now, c.plan.HandleOutcome(now, o, e.Outcome))
}

func operationName(o *residency.Order) string {
	if o.Operation == residency.Load {
		return "load"
	}
	return "unload"
}

// ReplicaReported delivers a replica's report. Report is nil if the replica did not
// return one.
type ReplicaReported struct {
	Replica string
	Report  *residency.Report
	Err     error
}

func (e ReplicaReported) apply(c *core, now time.Time) {
	if e.Err != nil {
		c.log.Warn("replica did not report", "replica", e.Replica, "error", e.Err)
	}
	c.executeActions(now, c.plan.HandleReport(now, e.Replica, e.Report))
}

// leaseCalls is the table label of lease calls in the store_calls metric.
const leaseCalls = "lease"

// LeaseRead reports the lease as read from the store.
type LeaseRead struct{ Row leader.Row }

func (e LeaseRead) apply(c *core, now time.Time) {
	before := c.leader.Row()
	c.observeVersion(now, e.Row.Version)
	c.leader.RecordRead(bootclock.Now(), e.Row)
	c.leaseCallAnswered()
	c.announceHolder(before)
	c.directAdapterRequests(now, bootclock.Now())
}

// LeaseWritten reports that the store confirmed a write of the lease.
type LeaseWritten struct{ Version rowstore.Version }

func (e LeaseWritten) apply(c *core, now time.Time) {
	before := c.leader.Row()
	c.observeVersion(now, e.Version)
	c.leader.RecordWritten(bootclock.Now(), e.Version)
	c.configState.endLeaseWrite(e.Version)
	c.leaseCallAnswered()
	c.announceHolder(before)
	c.directAdapterRequests(now, bootclock.Now())
	c.tickQuotas(now, bootclock.Now())
}

// LeaseFailed reports a read or write of the lease that failed or whose effect is
// unknown. Conflict is set if a write failed because the row had changed.
type LeaseFailed struct {
	Conflict bool
	Err      error
}

func (e LeaseFailed) apply(c *core, _ time.Time) {
	c.configState.leaseWrite = conditionalWrite{}
	result := "failed"
	if e.Conflict {
		result = "conflict"
	}
	c.metrics.Counter("store_calls", "table", leaseCalls, "result", result).Add(1)
	c.leader.RecordFailure(bootclock.Now(), e.Conflict)
	c.leaseCallFailed = c.leaseCallFailed || !e.Conflict
	c.log.Info("lease call failed", "conflict", e.Conflict, "error", e.Err)
}

// HolderChanged is published when the holder or the epoch of the lease changes, or
// the holder's process has restarted. Address is where the holder listens for peers.
// Self is set if this instance is the holder. Sequence grows with each change, because
// events can be delivered out of order.
type HolderChanged struct {
	Address  string
	Self     bool
	Sequence uint64
}

// announceHolder logs and publishes the holder of the order lease if it differs from
// the one in before.
func (c *core) announceHolder(before leader.Row) {
	row := c.leader.Row()
	if before.Holder == row.Holder && before.Epoch == row.Epoch && before.ProcessStart == row.ProcessStart {
		return
	}
	c.log.Info("order lease seen", "holder", row.Holder, "epoch", row.Epoch, "version", row.Version, "held", c.leader.Held())
	c.holder = HolderChanged{Address: row.Address, Self: row.Holder == c.node.ID, Sequence: c.holder.Sequence + 1}
	c.publishEvent(c.holder)
}
