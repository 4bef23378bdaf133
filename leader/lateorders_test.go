package leader

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/rowstore"
)

const stepTime = 50 * time.Millisecond

// advance runs the cluster for d without faults.
func (c *cluster) advance(now, d time.Duration) time.Duration {
	for end := now + d; now < end; now += stepTime {
		c.step(now)
	}
	return now
}

// lastToOrder returns the instance that sent the last order, or 0.
func (c *cluster) lastToOrder() int {
	if len(c.orders) == 0 {
		return 0
	}
	return c.orders[len(c.orders)-1].by
}

// disrupt applies a fault to instance k, or to the store.
func (c *cluster) disrupt(t *rapid.T, now time.Duration, k int) {
	i := c.instances[k]
	switch rapid.SampledFrom([]string{"stop", "stop", "kill", "restart", "freeze", "partition", "lose the store", "restore"}).Draw(t, "fault") {
	case "stop":
		i.state.Stop()
	case "kill":
		i.frozenUntil = math.MaxInt64
	case "restart":
		c.restart(now, k)
	case "freeze":
		i.frozenUntil = now + time.Duration(rapid.IntRange(1, 60).Draw(t, "frozen"))*100*time.Millisecond
	case "partition":
		i.partitioned = true
	case "lose the store":
		i.storeUnreachable = true
	case "restore":
		c.store.restore(rapid.IntRange(0, len(c.store.copies)-1).Draw(t, "copy"))
	}
}

// repair ends the faults of instance k. A process that was stopped or killed is replaced.
func (c *cluster) repair(now time.Duration, k int) {
	i := c.instances[k]
	i.partitioned, i.storeUnreachable = false, false
	if i.state.stopping || i.frozenUntil == math.MaxInt64 {
		c.restart(now, k)
		i.frozenUntil = 0
	}
}

// Guards against an order of a killed process that arrives after one that the next process of
// its instance sent under a higher epoch, and against a wait after a planned restart.
func TestNextProcessWaitsForLateOrders(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(c *cluster, now time.Duration) time.Duration // of the first process
		wait time.Duration
	}{
		"killed": {func(_ *cluster, now time.Duration) time.Duration { return now }, maxOrderDelay},
		"stopped": {func(c *cluster, now time.Duration) time.Duration {
			c.instances[0].state.Stop()
			return c.advance(now, Term)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(1)
			now := c.advance(0, Term)
			is.Equal(c.lastToOrder(), 0)
			restarted := test.end(c, now)
			sent := len(c.orders)
			c.restart(restarted, 0)
			c.advance(restarted, 2*Term)
			is.True(len(c.orders) > sent)
			waited := c.orders[sent].at - restarted
			is.True(waited >= test.wait)
			is.True(waited <= test.wait+4*stepTime) // the lease is read and written in steps of their own
			c.checkOrders(t)
		})
	}
}

// Guards against an order that is still on its way when its holder gives up the lease or
// loses it, and that arrives among the orders of a successor. All orders between two faults
// have the same delay, of up to a Term; most faults strike the holder.
func TestLateOrdersKeepHandoverGap(t *testing.T) {
	for range 30 {
		rapid.Check(t, runWithLateOrders)
	}
}

func runWithLateOrders(t *rapid.T) {
	c := newCluster(3)
	c.store.era = 1
	c.store.row.Version = rowstore.NewVersion(1, 0)
	var delay time.Duration
	c.orderDelay = func() time.Duration { return delay }
	now := c.advance(0, Term+stepTime)
	for range rapid.IntRange(1, 6).Draw(t, "faults") {
		c.store.copy()
		delay = time.Duration(rapid.IntRange(0, int(Term/stepTime)).Draw(t, "delay")) * stepTime
		now = c.advance(now, time.Duration(rapid.IntRange(0, 120).Draw(t, "steps"))*stepTime)
		k := c.lastToOrder()
		if rapid.IntRange(0, 3).Draw(t, "struck") == 0 {
			k = rapid.IntRange(0, 2).Draw(t, "instance")
		}
		c.disrupt(t, now, k)
		now = c.advance(now, time.Duration(rapid.IntRange(0, 20).Draw(t, "steps"))*stepTime)
		c.repair(now, rapid.IntRange(0, 2).Draw(t, "repaired"))
	}
	delay = 0
	c.advance(now, 2*(orderWindow+maxOrderDelay+handoverGap))
	c.checkOrders(t)
}
