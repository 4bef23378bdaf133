package controlplane

import (
	"fmt"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/residency"
)

const (
	// modelsLogInterval is the time between two lines on the most used models,
	// and maxLoggedModels bounds such a line.
	modelsLogInterval = 2 * time.Second
	maxLoggedModels   = 8
)

// SendOrder asks for an order to be sent. It must not be sent at or after Until.
type SendOrder struct {
	Order  *residency.Order
	Holder string
	Epoch  uint64
	Until  bootclock.Time
}

// AskReplica asks for a replica's report.
type AskReplica struct {
	Replica, Address string
	Delay            time.Duration
}

// UseLease asks for a read or a write of the lease.
type UseLease struct {
	Action leader.Action
	Write  leader.Write
}

// tickLeader keeps the lease and, as its holder, plans orders.
func (c *core) tickLeader(now time.Time, boot bootclock.Time) {
	if a := c.leader.Tick(boot); a != leader.None {
		c.send(UseLease{Action: a, Write: c.leader.Next()})
	}
	_, ok := c.leader.OrderUntil(boot)
	if ok != c.ordering {
		c.ordering = ok
		c.log.Info("order lease", "ordering", ok, "holder", c.leader.Row().Holder, "epoch", c.leader.Epoch(), "version", c.leader.Row().Version)
		if ok {
			c.act(now, c.plan.Hold(now))
		}
	}
	if !c.leader.Held() {
		return
	}
	if now.Sub(c.planned) >= planInterval {
		c.planned = now
		for model, d := range c.takeDemand() {
			c.plan.AddDemand(now, model, d)
		}
		if ok {
			c.useAdapters(now, c.dispatch.OwnLoad())
			c.countRunning(now)
			c.findUnreachable(now)
			c.act(now, c.plan.Plan(now))
			c.dispatch.SetMoving(now, c.plan.Moving(now), c.plan.Dropping())
			c.dispatch.SetComing(now, c.plan.Coming(now))
			c.dispatch.SetFull(c.plan.Full(now))
			c.logModels(now)
		}
	}
}

// holderSilence returns the silence of the holder of the order lease after which no
// adapter is asked of it: two of its answers in a row.
func (c *core) holderSilence() time.Duration { return 2*c.stateInterval + answerTime }

// answerTime is the time that an answer of the holder may take.
const answerTime = 100 * time.Millisecond

// checkOrders tells dispatch whether adapters can be ordered, and if not, when
// they probably can.
func (c *core) checkOrders(now time.Time, boot bootclock.Time) {
	in := c.leader.OrdersIn(boot)
	switch {
	case c.ordering:
		in = 0
	case now.Sub(c.holderSeen) < c.holderSilence():
		in = max(0, c.holderOrders.Sub(now))
	}
	if (in > 0) != c.noOrders {
		c.noOrders = in > 0
		c.log.Info("orders of adapters", "possible", !c.noOrders, "probably_in", in, "holder_seen", now.Sub(c.holderSeen))
	}
	c.dispatch.SetOrders(in == 0, in)
}

// logModels writes the most used models, for the explanation of waits.
func (c *core) logModels(now time.Time) {
	if now.Sub(c.modelsLogged) < modelsLogInterval {
		return
	}
	c.modelsLogged = now
	var b strings.Builder
	for i, m := range c.plan.Models(now) {
		if i == maxLoggedModels {
			break
		}
		fmt.Fprintf(&b, "%s held=%d coming=%d work=%.2f use=%.2f wait=%.2f pace=%.2f; ", m.Model, m.Held, m.Coming, m.Work, m.Use, m.Wait, c.dispatch.Pace(m.Model).PerToken)
	}
	c.log.Info("models", "moving", len(c.plan.Moving(now)), "waiting", fmt.Sprint(c.plan.Waiting(now)), "most_used", b.String())
}

// act carries out the actions of the plan.
func (c *core) act(now time.Time, actions []residency.Action) {
	for _, a := range actions {
		switch {
		case a.Order != nil:
			c.order(now, a.Order)
		case a.Report != "":
			if r := c.roster.Replica(a.Report); r != nil {
				c.send(AskReplica{Replica: a.Report, Address: r.Address, Delay: a.Delay})
			} else {
				c.act(now, c.plan.Reported(now, a.Report, nil))
			}
		case a.Ready != nil:
			c.adapterReady(*a.Ready, a.Delay)
		}
	}
}

func (c *core) order(now time.Time, o *residency.Order) {
	until, ok := c.leader.OrderUntil(bootclock.Now())
	if !ok {
		c.act(now, c.plan.Answered(now, o, residency.Unsent))
		return
	}
	c.send(SendOrder{Order: o, Holder: c.node.ID, Epoch: c.leader.Epoch(), Until: until})
}

// OrderAnswered is the answer to an order.
type OrderAnswered struct {
	Order   *residency.Order
	Outcome residency.Outcome
	Took    time.Duration
	Err     error
}

func (e OrderAnswered) apply(c *core, now time.Time) {
	o := e.Order
	c.metrics.Counter("orders", "operation", operationName(o), "outcome", e.Outcome.String()).Add(1)
	c.metrics.Histogram("order_time", "operation", operationName(o)).Observe(e.Took)
	c.log.Info("order answered", "replica", o.Replica, "operation", operationName(o), "model", o.Model, "adapter", o.Adapter,
		"expected", o.Expected, "reason", o.Reason, "outcome", e.Outcome.String(), "took", e.Took, "error", e.Err)
	c.act(now, c.plan.Answered(now, o, e.Outcome))
}

func operationName(o *residency.Order) string {
	if o.Operation == residency.Load {
		return "load"
	}
	return "unload"
}

// ReplicaReported is a replica's report; nil if it could not be had.
type ReplicaReported struct {
	Replica string
	Report  *residency.Report
	Err     error
}

func (e ReplicaReported) apply(c *core, now time.Time) {
	if e.Err != nil {
		c.log.Warn("replica did not report", "replica", e.Replica, "error", e.Err)
	}
	c.act(now, c.plan.Reported(now, e.Replica, e.Report))
}

// leaseCalls names the calls for the lease in the metrics of the store's calls.
const leaseCalls = "lease"

// LeaseSeen is the lease as it was read from the store.
type LeaseSeen struct{ Row leader.Row }

func (e LeaseSeen) apply(c *core, now time.Time) {
	before := c.leader.Row()
	c.leader.Seen(bootclock.Now(), e.Row)
	c.leaseAnswered(now)
	c.leaseChanged(before)
}

// LeaseWritten is the confirmation of a write of the lease.
type LeaseWritten struct{ Version uint64 }

func (e LeaseWritten) apply(c *core, now time.Time) {
	before := c.leader.Row()
	c.leader.Written(bootclock.Now(), e.Version)
	c.leaseAnswered(now)
	c.leaseChanged(before)
}

// LeaseFailed is a read or write of the lease without effect or with an unknown one.
type LeaseFailed struct {
	Conflict bool
	Err      error
}

func (e LeaseFailed) apply(c *core, _ time.Time) {
	result := "failed"
	if e.Conflict {
		result = "conflict"
	}
	c.metrics.Counter("store_calls", "table", leaseCalls, "result", result).Add(1)
	c.leader.Failed(bootclock.Now(), e.Conflict)
	c.leaseLost = c.leaseLost || !e.Conflict
	c.log.Info("lease call failed", "conflict", e.Conflict, "error", e.Err)
}

// HolderChanged says where the holder of the order lease listens for peers.
type HolderChanged struct {
	Address string
	Self    bool
}

func (c *core) leaseChanged(before leader.Row) {
	row := c.leader.Row()
	if before.Holder == row.Holder && before.Epoch == row.Epoch && before.Start == row.Start {
		return
	}
	c.log.Info("order lease seen", "holder", row.Holder, "epoch", row.Epoch, "version", row.Version, "held", c.leader.Held())
	c.send(HolderChanged{Address: row.Address, Self: row.Holder == c.node.ID})
}
