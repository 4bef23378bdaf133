package admission

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

// View is the queue's snapshot of the fleet. It is replaced as a whole and must
// not be modified once passed to the queue.
type View struct {
	Endpoints []EndpointView
	// Rows holds this instance's share of the limits of each limited row. For a
	// row that is missing, the limits in the request apply in full.
	Rows map[string]RowShare
}

// EndpointView is an endpoint with the limits on this instance's use of it.
type EndpointView struct {
	Endpoint  fleet.Endpoint
	Window    Window             // from EndpointWindow
	Closed    bool               // takes no new requests; a leaving endpoint is closed too
	Residents []routing.Resident // models and adapters open to new requests
	// Running and Waiting are from the latest load report, taken at ReportedAt
	// by this process's clock. All three are zero if there is none.
	Running    int
	Waiting    int
	ReportedAt time.Time
}

// RowShare is this instance's share of a row's fleet-wide limits.
type RowShare struct {
	LimitInFlight bool // whether InFlight applies
	InFlight      int
	LimitRate     bool // whether PerSecond and Burst apply
	PerSecond     float64
	Burst         int
}

// routingEndpoints returns the endpoints in the router's form.
func (v *View) routingEndpoints(fifo bool) []routing.Endpoint {
	out := make([]routing.Endpoint, len(v.Endpoints))
	for i, e := range v.Endpoints {
		w := e.Window
		if fifo {
			w.RankLimits[fleet.Urgent] = w.Total // FIFO queues all requests in this rank
		}
		out[i] = routing.Endpoint{
			Endpoint: e.Endpoint, Window: w.Total, RankLimits: w.RankLimits, NonUrgentLimit: w.NonUrgentLimit, Closed: e.Closed,
			Residents: e.Residents, Running: e.Running, Waiting: e.Waiting, ReportedAt: e.ReportedAt,
		}
	}
	return out
}
