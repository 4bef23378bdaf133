package standinengine

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// Faults are the faults on the way of orders to the engine.
type Faults struct {
	// OrderDelay is how late an order arrives. It arrives also if its sender
	// has gone and if the engine has restarted meanwhile.
	OrderDelay time.Duration
	// RepeatAfter, if positive, lets every order arrive once more that much
	// later.
	RepeatAfter time.Duration
	LoseOrders  int // orders that never arrive
	// LoseAnswers is the number of orders that take effect without an answer.
	LoseAnswers int
}

type faultsMessage struct {
	OrderDelay  jsonhttp.Duration `json:"order_delay,omitempty"`
	RepeatAfter jsonhttp.Duration `json:"repeat_after,omitempty"`
	LoseOrders  int               `json:"lose_orders,omitempty"`
	LoseAnswers int               `json:"lose_answers,omitempty"`
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) { e.owner.Do(func() { e.faults = f }) }

// Faults returns the faults as they stand now.
func (e *Engine) Faults() Faults {
	var f Faults
	e.owner.Do(func() { f = e.faults })
	return f
}

// arrival is what happens to one order on its way.
type arrival struct {
	delay       time.Duration
	lost        bool
	answerLost  bool
	repeatAfter time.Duration
}

// takeArrival uses up the faults of one order.
func (e *Engine) takeArrival() arrival {
	f := &e.faults
	a := arrival{delay: f.OrderDelay, repeatAfter: f.RepeatAfter}
	switch {
	case f.LoseOrders > 0:
		f.LoseOrders--
		a.lost = true
	case f.LoseAnswers > 0:
		f.LoseAnswers--
		a.answerLost = true
	}
	return a
}

// delivery is an order on its way to the engine.
type delivery struct {
	arrived chan struct{} // closed when the fields below are set
	err     error
	result  engine.OrderResult
	wait    *resident // entry whose load the answer waits for
}

// deliver sends o on its way under the faults of the engine.
func (e *Engine) deliver(o engine.Order) (*delivery, arrival, error) {
	d := &delivery{arrived: make(chan struct{})}
	var a arrival
	err := e.read(func() {
		a = e.takeArrival()
		switch {
		case a.lost:
			return
		case a.delay <= 0:
			d.result, d.wait = e.order(o)
			close(d.arrived)
		default:
			e.workers.Go(func() { e.arriveLate(d, o, a.delay) })
		}
		if a.repeatAfter > 0 {
			e.workers.Go(func() {
				e.arriveLate(&delivery{arrived: make(chan struct{})}, o, a.delay+a.repeatAfter)
			})
		}
	})
	return d, a, err
}

func (e *Engine) arriveLate(d *delivery, o engine.Order, delay time.Duration) {
	defer close(d.arrived)
	if !e.sleep(context.Background(), delay) {
		d.err = lost()
		return
	}
	d.err = e.read(func() { d.result, d.wait = e.order(o) })
}

func (e *Engine) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := e.Faults()
	jsonhttp.Answer(w, http.StatusOK, faultsMessage{
		OrderDelay: jsonhttp.Duration(f.OrderDelay), RepeatAfter: jsonhttp.Duration(f.RepeatAfter),
		LoseOrders: f.LoseOrders, LoseAnswers: f.LoseAnswers,
	})
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var m faultsMessage
	if !jsonhttp.Decode(w, r, 1<<16, &m) {
		return
	}
	e.SetFaults(Faults{
		OrderDelay: time.Duration(m.OrderDelay), RepeatAfter: time.Duration(m.RepeatAfter),
		LoseOrders: m.LoseOrders, LoseAnswers: m.LoseAnswers,
	})
	jsonhttp.Answer(w, http.StatusOK, m)
}
