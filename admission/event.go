package admission

// Event is something that happened to the queue.
type Event interface{ event() }

// Arrive asks for an endpoint. It is answered by exactly one Dispatch or
// Refuse, unless Cancel comes first.
type Arrive struct{ Request Request }

// Finish reports the end of a dispatched request. A Finish for a request that
// is not in flight is ignored.
type Finish struct{ Outcome Outcome }

// Cancel takes back a request whose caller gave up. A waiting request leaves
// the queue without an answer; a dispatched one gives up its slot.
type Cancel struct{ ID uint64 }

// ViewChanged replaces the view.
type ViewChanged struct{ View *View }

// Tick lets deadlines pass. It is due at the time given by Queue.NextDeadline.
type Tick struct{}

func (Arrive) event()      {}
func (Finish) event()      {}
func (Cancel) event()      {}
func (ViewChanged) event() {}
func (Tick) event()        {}

// Action is what the owner of the queue must do.
type Action interface{ action() }

// Dispatch lets a request run.
type Dispatch struct {
	ID    uint64
	Grant Grant
}

// Refuse answers a request that did not run.
type Refuse struct {
	ID      uint64
	Refusal *Refusal
}

func (Dispatch) action() {}
func (Refuse) action()   {}
