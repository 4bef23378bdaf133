package ingress

import (
	"context"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
)

// admit returns the decision on the next send.
func (x *exchange) admit(ctx context.Context) (controlplane.Admission, error) {
	if next := x.successor; next != nil {
		x.successor = nil
		return *next, nil
	}
	return x.service.control.Admit(ctx, x.query())
}

// findSuccessor decides whether another replica can take over a stream whose replica is
// silent. If none can, the stream stays where it is: its replica can still go on.
func (x *exchange) findSuccessor(ctx context.Context, f *controlplane.Flight) bool {
	query := x.query()
	query.Tried = append(query.Tried[:len(query.Tried):len(query.Tried)], f.Decision.Replica.ID)
	query.PossibleRuns++
	next, err := x.service.control.Admit(ctx, query)
	if err != nil || next.Decision.Verdict != dispatch.Send {
		return false
	}
	x.successor = &next
	return true
}

// dropSuccessor reports a send that was admitted but will not take place.
func (x *exchange) dropSuccessor() {
	if x.successor != nil {
		x.service.control.Finish(x.successor.Flight, dispatch.NotExecuted, nil)
		x.successor = nil
	}
}
