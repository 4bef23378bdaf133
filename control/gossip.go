package control

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// ownHeartbeat returns the heartbeat that this instance sends to its peers.
func (c *core) ownHeartbeat(now time.Time) membership.Heartbeat {
	retries := c.retries.OwnCounts(now)
	return membership.Heartbeat{
		TableRevision: c.tableRevision(),
		TableAge:      c.tableAge(now),
		Leases:        c.leases.Held(now),
		Demand:        c.ownDemand(now),
		InFlight:      c.ownInFlight(now),
		Reports:       c.ownReports(now),
		WantedLoads:   c.ownWantedLoads(),
		Retries:       membership.RetryCounts{Requests: int(retries.Requests), Retries: int(retries.Retries)},
		Suspects:      c.quarantineState.Notices(now),
	}
}

// ownDemand returns this instance's demand for each row that is not idle.
func (c *core) ownDemand(now time.Time) []membership.RowDemand {
	stats := c.queue.Stats(now)
	out := make([]membership.RowDemand, 0, len(stats.Rows))
	for _, r := range stats.Rows {
		if r.Rate < minArrivalRate && r.Queued == 0 && r.InFlight == 0 {
			continue
		}
		out = append(out, membership.RowDemand{Row: r.Row, ArrivalRate: r.Rate, Queued: r.Queued, InFlight: r.InFlight, Slots: r.Slots()})
	}
	return out
}

// ownInFlight returns this instance's requests in flight on each endpoint.
func (c *core) ownInFlight(now time.Time) []membership.EndpointInFlight {
	var out []membership.EndpointInFlight
	for _, e := range c.queue.Stats(now).Endpoints {
		out = append(out, membership.EndpointInFlight{Endpoint: e.Endpoint, InFlight: e.InFlight})
	}
	return out
}

// minArrivalRate is the arrival rate in requests per second below which a row
// without requests counts as idle: one request in more than 16 minutes.
const minArrivalRate = 0.001

// ownReports returns the load reports that this instance has read as the
// assigned reader.
func (c *core) ownReports(now time.Time) []membership.EndpointReport {
	var out []membership.EndpointReport
	for _, e := range c.assignedEndpoints() {
		r, ok := c.reports[e.ID]
		if !ok {
			continue
		}
		out = append(out, membership.EndpointReport{
			Endpoint: e.ID, BootID: r.bootID, Age: now.Sub(r.takenAt), Running: r.running, Waiting: r.waiting,
			Slots: r.slots, Leaving: r.leaving, Residents: r.residents,
		})
	}
	return out
}

// fleetDemand returns the demand for each row, summed over all instances.
func (c *core) fleetDemand(now time.Time) []membership.RowDemand { return c.members.Demand(now) }

func (c *core) endpointIdle(now time.Time, id fleet.EndpointID) {
	c.stepQuarantine(now, quarantine.EndpointIdle{Endpoint: id})
}
