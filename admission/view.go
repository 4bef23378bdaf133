package admission

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

// View is what the queue knows of the fleet. It is replaced as a whole and
// must not be changed after it was handed to the queue.
type View struct {
	Endpoints []EndpointView
	// Rows holds this instance's share of the limits of each row that has
	// any. For a row that is missing here the limits in the request apply whole.
	Rows map[string]RowShare
}

// EndpointView is one endpoint as this instance may use it.
type EndpointView struct {
	Endpoint  fleet.Endpoint
	Window    Window             // from Shares
	Closed    bool               // no new work; a leaving endpoint is closed as well
	Residents []routing.Resident // models and adapters that may take new requests
	// Running and Waiting are from the last load report, taken at ReportedAt
	// by this process's clock; zero if there is none.
	Running    int
	Waiting    int
	ReportedAt time.Time
}

// RowShare is this instance's share of a row's fleet-wide limits.
type RowShare struct {
	LimitInFlight bool // InFlight applies
	InFlight      int
	LimitRate     bool // PerSecond and Burst apply
	PerSecond     float64
	Burst         int
}

// routingEndpoints converts the view for the router.
func (v *View) routingEndpoints(fifo bool) []routing.Endpoint {
	out := make([]routing.Endpoint, len(v.Endpoints))
	for i, e := range v.Endpoints {
		w := e.Window
		if fifo {
			w.Ranks[fleet.Urgent] = w.Total // all requests are in this rank
		}
		out[i] = routing.Endpoint{
			Endpoint: e.Endpoint, Window: w.Total, Ranks: w.Ranks, Lower: w.Lower, Closed: e.Closed,
			Residents: e.Residents, Running: e.Running, Waiting: e.Waiting, ReportedAt: e.ReportedAt,
		}
	}
	return out
}
