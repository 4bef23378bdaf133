package controlplane

import (
	"maps"
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/residency"
)

// notLoadedWaitRatio is the ratio of wait to latency target that is recorded for a
// request whose model is not loaded on any replica. It is also the upper bound for
// other requests.
const notLoadedWaitRatio = 3.0

// rankWeight returns the weight of a request by its rank. Rank 0, the most urgent,
// has weight 2; each further rank up to 3 has half the weight of the one before.
func rankWeight(rank int) float64 { return math.Pow(2, float64(1-min(max(rank, 0), 3))) }

// modelDemand accumulates the demand for one model at this instance since the last
// report.
type modelDemand struct {
	requests      int
	weight        float64        // sum of rank weights
	adapterWeight float64        // part of weight from requests that use an adapter
	prefillWork   float64        // sum of estimated prefill work
	waitRatio     float64        // sum of expected wait over latency target
	adapters      map[string]int // requests, by adapter
}

// declaredModel returns the model with the given name if the config declares it, or nil.
// Callers can ask for any name: what this instance remembers by the name of a model or an
// adapter is limited to those of the config.
func (c *core) declaredModel(name string) *catalog.Model {
	if c.config == nil {
		return nil
	}
	return c.config.FindModel(name)
}

// countDemand adds a request and the first decision on it to the demand for its
// model. Requests without a model that the config declares are not counted.
func (c *core) countDemand(req *dispatch.Request, d dispatch.Decision) {
	declared := c.declaredModel(req.Model)
	if declared == nil {
		return
	}
	m, ok := c.demand[req.Model]
	if !ok {
		m = &modelDemand{}
		c.demand[req.Model] = m
	}
	m.requests++
	m.weight += rankWeight(req.Rank())
	if declared.HasAdapter(req.Adapter) {
		if m.adapters == nil {
			m.adapters = make(map[string]int)
		}
		m.adapters[req.Adapter]++
		m.adapterWeight += rankWeight(req.Rank())
	}
	if d.Verdict == dispatch.Send {
		m.prefillWork += d.PrefillWork
	} else {
		m.prefillWork += c.dispatch.UncachedPrefill(req)
	}
	switch {
	case d.Cause == dispatch.CauseNotLoaded:
		m.waitRatio += notLoadedWaitRatio
	case (d.Verdict == dispatch.Send || d.Cause == dispatch.CauseFull) && req.Route.LatencyTarget > 0:
		m.waitRatio += min(notLoadedWaitRatio, float64(d.Expected)/float64(req.Route.LatencyTarget))
	}
}

// addDemand adds the demand at this instance or a peer to that of the fleet.
func (c *core) addDemand(now time.Time, demand map[string]residency.Demand) {
	for model, d := range demand {
		declared := c.declaredModel(model)
		if declared == nil {
			continue
		}
		maps.DeleteFunc(d.Adapters, func(name string, _ int) bool { return !declared.HasAdapter(name) })
		c.plan.AddDemand(now, model, d)
	}
}

// drainDemand returns the demand since the last call and resets it.
func (c *core) drainDemand() map[string]residency.Demand {
	out := make(map[string]residency.Demand, len(c.demand))
	for model, m := range c.demand {
		out[model] = residency.Demand{Requests: m.requests, Value: m.weight, AdapterValue: m.adapterWeight, PrefillWork: m.prefillWork, WaitRatio: m.waitRatio / float64(m.requests), Adapters: m.adapters}
	}
	clear(c.demand)
	return out
}
