package controlplane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/residency"
)

// newHolderCore returns the state of an instance that may send orders.
func newHolderCore(t *testing.T) *core {
	t.Helper()
	c := newTestCore(t)
	for _, e := range []event{tickAfter(0), LeaseRead{}, tickAfter(0), LeaseWritten{Version: 1}, tickAfter(0)} {
		e.apply(c, epoch)
	}
	return c
}

// Guards against an instance that stops and gives up the order lease although an order
// that it has sent can still arrive.
func TestLeaseIsReleasedWhenOrdersHaveArrived(t *testing.T) {
	for name, test := range map[string]struct {
		outcome  residency.Outcome
		released bool // after the outcome
	}{
		"accepted": {residency.Accepted, true},
		"rejected": {residency.Rejected, true},
		"unsent":   {residency.Unsent, true},
		"unknown":  {residency.Unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newHolderCore(t)
			released := func() bool { return c.leader.NextWrite().Lease.Released }
			order := &residency.Order{Replica: "r", Address: "127.0.0.1:1", Model: "m"}
			c.sendOrder(epoch, order)
			Stopping{Until: epoch.Add(time.Minute)}.apply(c, epoch)
			tickAfter(0).apply(c, epoch)
			is.True(!released())
			OrderAnswered{Order: order, Outcome: test.outcome}.apply(c, epoch)
			tickAfter(0).apply(c, epoch)
			is.Equal(released(), test.released)
		})
	}
}

// Guards against a report from every replica, and the loss of all planned moves, when the
// holder goes on to order after the store did not confirm a renewal in time.
func TestTermStartsOncePerEpoch(t *testing.T) {
	is := is.New(t)
	c := newHolderCore(t)
	started := c.planEpoch
	is.Equal(started, c.leader.Epoch())
	tickAfter(time.Hour).apply(c, epoch)
	is.True(!c.canOrder)
	LeaseWritten{Version: 2}.apply(c, epoch)
	tickAfter(0).apply(c, epoch)
	is.True(c.canOrder)
	is.Equal(c.planEpoch, started)
}
