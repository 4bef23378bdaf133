package leader

import (
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
)

const (
	// orderWindow is the time for which a holder can order after it sent a renewal. It
	// ends before the term, so that most of the time in which a late order can arrive is
	// over when the lease is free. One renewal can fail within it.
	orderWindow = 2 * renewInterval
	// maxOrderDelay is the longest time between the sending of an order and its arrival.
	// It covers the resends of the order's connection, which end with OrderDeliveryTimeout
	// also if the holder's process has ended, and half a second in the network.
	maxOrderDelay = Term
	// OrderDeliveryTimeout is the time after which the connection of an order must have
	// stopped sending it.
	OrderDeliveryTimeout = maxOrderDelay - 500*time.Millisecond
)

// orderFates records what is known about the orders of this instance and of the holders
// before it that can still arrive at a replica.
type orderFates struct {
	inFlight int            // orders of this process without a recorded outcome
	arriveBy bootclock.Time // time by which all other orders have arrived or are lost
	// ownArriveBy is arriveBy of the orders of this process alone.
	ownArriveBy bootclock.Time
}

// RecordOrderSent records that an order is about to be sent.
func (s *State) RecordOrderSent() { s.orders.inFlight++ }

// RecordOrderOutcome records the outcome of an order that RecordOrderSent counted. known
// is false if the order may still arrive: it was sent, and no answer came.
func (s *State) RecordOrderOutcome(now bootclock.Time, known bool) {
	s.orders.inFlight--
	if !known {
		s.orders.ownArriveBy = now.Add(maxOrderDelay)
		s.orders.waitUntil(s.orders.ownArriveBy)
	}
}

func (o *orderFates) waitUntil(t bootclock.Time) { o.arriveBy = max(o.arriveBy, t) }

// settled reports whether no order can arrive any more.
func (o *orderFates) settled(now bootclock.Time) bool { return o.inFlight == 0 && now >= o.arriveBy }

// ordersArriveBy returns the time by which all orders of a holder have arrived or are
// lost. The holder sent its last renewal at renewedAt or earlier.
func ordersArriveBy(renewedAt bootclock.Time) bootclock.Time {
	return renewedAt.Add(orderWindow + maxOrderDelay)
}

// orderUntil returns the end of the time in which this instance, as the holder, can order.
func (s *State) orderUntil() bootclock.Time { return s.heldUntil.Add(orderWindow - Term) }

// OrderUntil returns the time before which this instance may send orders. If ok
// is false, it must send none.
func (s *State) OrderUntil(now bootclock.Time) (until bootclock.Time, ok bool) {
	if !s.held || s.stopping || now < s.orderFrom || now >= s.orderUntil() {
		return 0, false
	}
	return s.orderUntil(), true
}

// TimeUntilOrders returns an estimate of the time until some instance can order. It
// is 0 if one can order now or nothing is known.
func (s *State) TimeUntilOrders(now bootclock.Time) time.Duration {
	switch {
	case s.held && s.stopping:
		return max(0, s.orderTimeAfterStop(now).Sub(now))
	case s.held && now >= s.orderUntil():
		return renewInterval // the store has confirmed no renewal for the order window
	case s.held:
		return max(0, s.orderFrom.Sub(now))
	case !s.rowKnown, s.neverHeld(), s.resumesLease(), s.row.current() && now.Sub(s.lastContact) < s.contactTimeout:
		return 0
	}
	return max(0, s.successorOrderTime().Sub(now))
}

// orderTimeAfterStop estimates when the successor of this instance can order.
func (s *State) orderTimeAfterStop(now bootclock.Time) bootclock.Time {
	gap := s.options.HandoverGap
	if release := max(now, s.orders.arriveBy); release < s.heldUntil {
		return release.Add(gap + handoverMargin)
	}
	return ordersArriveBy(s.heldUntil.Add(gap - Term))
}

// firstOrderTime returns the time from which this instance may order after it
// acquired the lease. The predecessor sent its last renewal before this instance first
// saw the current version of the lease.
func (s *State) firstOrderTime(now bootclock.Time) bootclock.Time {
	switch {
	case s.neverHeld(), s.writtenBySelf() && s.row.HandoverDone:
		return now
	case s.resumesLease():
		return s.orderFrom
	case s.writtenBySelf() && !s.row.Released:
		// This instance already acquired the lease, but has sent no order since: it
		// did not receive the answer, or it restarted. When it did, the predecessor had
		// released the lease or not renewed it for a Term.
		return ordersArriveBy(s.rowSince).Add(s.options.HandoverGap + handoverMargin - Term)
	}
	return s.successorOrderTime()
}

// ownOrdersArriveBy returns the time by which no order of this instance under an earlier
// epoch can arrive any more: of this process, or of one before it, which ended before this
// one started. Before a release, a holder has waited for its orders.
func (s *State) ownOrdersArriveBy(now bootclock.Time) bootclock.Time {
	if s.neverHeld() || s.released() {
		return 0
	}
	by := max(s.orders.ownArriveBy, s.options.StartedAt.Add(maxOrderDelay))
	if s.orders.inFlight > 0 {
		by = max(by, now.Add(maxOrderDelay))
	}
	return by
}

// successorOrderTime returns the time from which a successor of the current holder
// may order: Options.HandoverGap and the margin after the release, or
// Options.HandoverGap after the time at which the holder's last order has arrived.
func (s *State) successorOrderTime() bootclock.Time {
	if s.released() {
		return s.rowSince.Add(s.options.HandoverGap + handoverMargin)
	}
	return ordersArriveBy(s.rowSince).Add(s.options.HandoverGap)
}
