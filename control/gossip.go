package control

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// ownHeartbeat returns what this instance tells its peers.
func (c *core) ownHeartbeat(now time.Time) membership.Heartbeat {
	retries := c.retries.OwnCounts(now)
	return membership.Heartbeat{
		TableRevision: c.revision(),
		TableAge:      c.tableAge(now),
		Leases:        c.leases.Held(now),
		Demand:        c.ownDemand(now),
		InFlight:      c.ownInFlight(now),
		Reports:       c.ownReports(now),
		WantedLoads:   c.ownWantedLoads(),
		Retries:       membership.RetryCounts{Requests: int(retries.Requests), Retries: int(retries.Retries)},
		Suspects:      c.suspects.Notices(now),
	}
}

func (c *core) ownDemand(now time.Time) []membership.RowDemand {
	stats := c.queue.Stats(now)
	out := make([]membership.RowDemand, 0, len(stats.Rows))
	for _, r := range stats.Rows {
		if r.Rate < minRate && r.Queued == 0 && r.InFlight == 0 {
			continue
		}
		out = append(out, membership.RowDemand{Row: r.Row, ArrivalRate: r.Rate, Queued: r.Queued, InFlight: r.InFlight, Slots: r.Slots()})
	}
	return out
}

// ownInFlight returns what this instance has in flight on each endpoint.
func (c *core) ownInFlight(now time.Time) []membership.EndpointInFlight {
	var out []membership.EndpointInFlight
	for _, e := range c.queue.Stats(now).Endpoints {
		out = append(out, membership.EndpointInFlight{Endpoint: e.Endpoint, InFlight: e.InFlight})
	}
	return out
}

// minRate is the arrival rate below which a row counts as idle: one request
// in more than sixteen minutes.
const minRate = 0.001

// ownReports returns the reports of the endpoints that this instance reads.
func (c *core) ownReports(now time.Time) []membership.EndpointReport {
	var out []membership.EndpointReport
	for _, e := range c.ownEndpoints() {
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

// fleetDemand returns the demand per row over all instances.
func (c *core) fleetDemand(now time.Time) []membership.RowDemand { return c.members.Demand(now) }

func (c *core) endpointIdle(now time.Time, id fleet.EndpointID) {
	c.quarantine(now, quarantine.EndpointIdle{Endpoint: id})
}
