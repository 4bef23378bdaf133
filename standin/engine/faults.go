package standinengine

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// Faults are the faults that the engine injects into the delivery of orders and
// their answers.
type Faults struct {
	// OrderDelay is the delay after which an order arrives. It arrives even if its
	// sender has disconnected or the engine has restarted in the meantime.
	OrderDelay time.Duration
	// RepeatAfter, if positive, duplicates every order that is not lost. The duplicate
	// arrives that much later than the order.
	RepeatAfter time.Duration
	LoseOrders  int // number of further orders that never arrive
	// LoseAnswers is the number of further orders that take effect although their
	// answer is lost.
	LoseAnswers int
}

type faultsMessage struct {
	OrderDelay  jsonhttp.Duration `json:"order_delay,omitempty"`
	RepeatAfter jsonhttp.Duration `json:"repeat_after,omitempty"`
	LoseOrders  int               `json:"lose_orders,omitempty"`
	LoseAnswers int               `json:"lose_answers,omitempty"`
}

// SetFaults replaces the faults of the engine.
func (e *Engine) SetFaults(f Faults) { e.owner.Do(func() { e.faults = f }) }

// Faults returns the current faults, with the counts that are left.
func (e *Engine) Faults() Faults {
	var f Faults
	e.owner.Do(func() { f = e.faults })
	return f
}

// orderFault describes the faults that apply to the delivery of one order.
type orderFault struct {
	delay       time.Duration
	loseOrder   bool
	loseAnswer  bool
	repeatAfter time.Duration
}

// nextOrderFault returns the faults for one order and decrements the count that
// applies.
func (e *Engine) nextOrderFault() orderFault {
	f := &e.faults
	fault := orderFault{delay: f.OrderDelay, repeatAfter: f.RepeatAfter}
	switch {
	case f.LoseOrders > 0:
		f.LoseOrders--
		fault.loseOrder = true
	case f.LoseAnswers > 0:
		f.LoseAnswers--
		fault.loseAnswer = true
	}
	return fault
}

// delivery tracks the arrival of an order and holds its result.
type delivery struct {
	arrived     chan struct{} // closed after the fields below are set
	err         error
	result      engine.OrderResult
	pendingLoad *resident // entry whose load must end before the answer; nil if none
}

// deliver delivers o to the engine, or loses or delays it as the faults require. It
// does not wait for a delayed order. The caller must apply a lost answer.
func (e *Engine) deliver(o engine.Order) (*delivery, orderFault, error) {
	d := &delivery{arrived: make(chan struct{})}
	var fault orderFault
	err := e.doIfUp(func() {
		fault = e.nextOrderFault()
		switch {
		case fault.loseOrder:
			return
		case fault.delay <= 0:
			d.result, d.pendingLoad = e.handleOrder(o)
			close(d.arrived)
		default:
			e.workers.Go(func() { e.deliverLate(d, o, fault.delay) })
		}
		if fault.repeatAfter > 0 {
			e.workers.Go(func() {
				e.deliverLate(&delivery{arrived: make(chan struct{})}, o, fault.delay+fault.repeatAfter)
			})
		}
	})
	return d, fault, err
}

// deliverLate delivers o after delay.
func (e *Engine) deliverLate(d *delivery, o engine.Order, delay time.Duration) {
	defer close(d.arrived)
	if !e.sleep(context.Background(), delay) {
		d.err = outcomeUnknownError()
		return
	}
	d.err = e.doIfUp(func() { d.result, d.pendingLoad = e.handleOrder(o) })
}

func (e *Engine) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := e.Faults()
	jsonhttp.WriteJSON(w, http.StatusOK, faultsMessage{
		OrderDelay: jsonhttp.Duration(f.OrderDelay), RepeatAfter: jsonhttp.Duration(f.RepeatAfter),
		LoseOrders: f.LoseOrders, LoseAnswers: f.LoseAnswers,
	})
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var m faultsMessage
	if !jsonhttp.DecodeRequest(w, r, 1<<16, &m) {
		return
	}
	e.SetFaults(Faults{
		OrderDelay: time.Duration(m.OrderDelay), RepeatAfter: time.Duration(m.RepeatAfter),
		LoseOrders: m.LoseOrders, LoseAnswers: m.LoseAnswers,
	})
	jsonhttp.WriteJSON(w, http.StatusOK, m)
}
