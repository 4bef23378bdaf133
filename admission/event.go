package admission

// Event is an input of Queue.Step.
type Event interface{ event() }

// Arrive requests an endpoint. It is answered by exactly one Dispatch or Refuse,
// unless the request is cancelled first.
type Arrive struct{ Request Request }

// Finish reports the end of a dispatched request, which frees its slot. A Finish
// for a request that is not in flight is ignored.
type Finish struct{ Outcome Outcome }

// Cancel withdraws a request, for example because its caller gave up. A waiting
// request leaves the queue without an answer; a dispatched one frees its slot.
type Cancel struct{ ID uint64 }

// ViewChanged replaces the queue's view of the fleet.
type ViewChanged struct{ View *View }

// Tick refuses requests whose deadline has passed. It is due at the time given by
// Queue.NextDeadline.
type Tick struct{}

func (Arrive) event()      {}
func (Finish) event()      {}
func (Cancel) event()      {}
func (ViewChanged) event() {}
func (Tick) event()        {}

// Action is an output of Queue.Step that the owner of the queue must carry out.
type Action interface{ action() }

// Dispatch runs a request on the endpoint of its grant.
type Dispatch struct {
	ID    uint64
	Grant Grant
}

// Refuse answers a request with an error instead of running it.
type Refuse struct {
	ID      uint64
	Refusal *Refusal
}

func (Dispatch) action() {}
func (Refuse) action()   {}
