package controlplane

import (
	"math"

	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/residency"
)

// notLoadedWait is the share of the goal that counts as the wait of a request
// whose model no replica holds.
const notLoadedWait = 3.0

// worthOf returns what a request of a rank counts: each rank twice as much as the
// next one, 1 for the second.
func worthOf(rank int) float64 { return math.Pow(2, float64(1-min(max(rank, 0), 3))) }

// modelDemand is the demand for one model at this instance since the last report.
type modelDemand struct {
	requests     int
	worth        float64        // sum over requests
	adapterWorth float64        // sum over requests that use an adapter
	reading      float64        // sum over requests
	waitShare    float64        // sum over requests
	adapters     map[string]int // requests by adapter
}

// countDemand records the demand that a decision shows.
func (c *core) countDemand(req *dispatch.Request, d dispatch.Decision) {
	if req.Model == "" {
		return
	}
	m, ok := c.demand[req.Model]
	if !ok {
		m = &modelDemand{}
		c.demand[req.Model] = m
	}
	m.requests++
	m.worth += worthOf(req.Route.Rank)
	if req.Adapter != "" {
		if m.adapters == nil {
			m.adapters = make(map[string]int)
		}
		m.adapters[req.Adapter]++
		m.adapterWorth += worthOf(req.Route.Rank)
	}
	if d.Verdict == dispatch.Send {
		m.reading += d.Reading
	} else {
		m.reading += c.dispatch.Reading(req)
	}
	switch {
	case d.Cause == dispatch.CauseNotLoaded:
		m.waitShare += notLoadedWait
	case d.Verdict == dispatch.Send && req.Route.Goal > 0:
		m.waitShare += min(notLoadedWait, float64(d.Expected)/float64(req.Route.Goal))
	}
}

// takeDemand returns the demand since the last call.
func (c *core) takeDemand() map[string]residency.Demand {
	out := make(map[string]residency.Demand, len(c.demand))
	for model, m := range c.demand {
		if m.requests == 0 {
			continue
		}
		out[model] = residency.Demand{Requests: m.requests, Worth: m.worth, AdapterWorth: m.adapterWorth, Reading: m.reading, WaitShare: m.waitShare / float64(m.requests), Adapters: m.adapters}
		*m = modelDemand{}
	}
	return out
}
