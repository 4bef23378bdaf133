package residency

import "time"

const (
	// demandTimeConstant is the time constant of the moving averages of demand.
	// Demand shifts between models within a few seconds.
	demandTimeConstant = 2500 * time.Millisecond
	// adapterDemandTimeConstant is the time constant of the demand for
	// adapters. Requests for one adapter are several seconds apart.
	adapterDemandTimeConstant = 15 * time.Second
	// unplacedAdapterTTL is the time for which an adapter that found no free
	// slot counts as demand for another copy of its model.
	unplacedAdapterTTL = 3 * time.Second
	// recentDemandWindow is the time after its last request during which a
	// model counts as requested.
	recentDemandWindow = 15 * time.Second
	// replicaPrefillRate is the prefill work that a replica does in a second,
	// in the unit of Demand.PrefillWork. It is the unit of utilization.
	replicaPrefillRate = 16_000.0
	// replicaValueRate is the value of the requests that a replica serves in a
	// second. It is the unit of values. A replica prefills about ten prompts a
	// second.
	replicaValueRate = 10.0
)

// Demand summarizes the requests for one model that an instance reports.
type Demand struct {
	Requests int // since the last report
	// Value is the sum of the requests' weights, which depend on their ranks.
	Value float64
	// PrefillWork is the prefill work of the requests, in tokens of a model with a
	// relative prefill cost of 1.
	PrefillWork float64
	// WaitRatio is the mean expected wait as a share of the latency target.
	WaitRatio float64
	// AdapterValue is the part of Value due to requests that use an adapter.
	AdapterValue float64
	// Adapters counts the requests by adapter.
	Adapters map[string]int
}

// modelDemand holds the moving averages of the demand for one model.
type modelDemand struct {
	prefillRate        float64 // prefill work per second
	valueRate          float64 // value per second
	adapterRequestRate float64 // requests per second that use an adapter
	adapterValueRate   float64 // part of valueRate due to requests that use an adapter
	waitRatio          float64 // average of Demand.WaitRatio
	lastRequest        time.Time
}

// utilization returns the utilization of a replica that serves all of the
// demand.
func (d *modelDemand) utilization() float64 {
	if d == nil {
		return 0
	}
	return d.prefillRate / replicaPrefillRate
}

// value returns the value of the requests per second, in units of
// replicaValueRate.
func (d *modelDemand) value() float64 {
	if d == nil {
		return 0
	}
	return d.valueRate / replicaValueRate
}

// adapterValue returns the part of value due to requests that use an adapter.
func (d *modelDemand) adapterValue() float64 {
	if d == nil {
		return 0
	}
	return d.adapterValueRate / replicaValueRate
}

// adapterRate returns the number of requests per second that use an adapter.
func (d *modelDemand) adapterRate() float64 {
	if d == nil {
		return 0
	}
	return d.adapterRequestRate
}

// requestedWithin reports whether the model was requested within the given
// duration before now.
func (d *modelDemand) requestedWithin(now time.Time, within time.Duration) bool {
	return d != nil && now.Sub(d.lastRequest) < within
}

// AddDemand adds the demand for a model that an instance observed since its
// last report.
func (s *State) AddDemand(now time.Time, model string, d Demand) {
	m, ok := s.demand[model]
	if !ok {
		m = &modelDemand{}
		s.demand[model] = m
	}
	if d.Requests == 0 {
		return
	}
	m.lastRequest = now
	for name, n := range d.Adapters {
		s.AddAdapterDemand(model, name, n)
		m.adapterRequestRate += float64(n) / demandTimeConstant.Seconds()
	}
	m.prefillRate += d.PrefillWork / demandTimeConstant.Seconds()
	m.valueRate += d.Value / demandTimeConstant.Seconds()
	m.adapterValueRate += d.AdapterValue / demandTimeConstant.Seconds()
	weight := min(1, 0.1*float64(d.Requests))
	m.waitRatio += weight * (d.WaitRatio - m.waitRatio)
}

// AddAdapterDemand adds requests to the demand for an adapter.
func (s *State) AddAdapterDemand(model, name string, requests int) {
	s.adapterDemand[model+"/"+name] += float64(requests)
}

// decayDemand decays the moving averages of demand and removes expired records
// of unplaced adapters.
func (s *State) decayDemand(now time.Time) {
	dt := now.Sub(s.lastPlan)
	s.lastPlan = now
	if dt <= 0 || dt > time.Minute {
		return
	}
	for key, at := range s.unplacedAdapters {
		if now.Sub(at) > unplacedAdapterTTL {
			delete(s.unplacedAdapters, key)
		}
	}
	for key, n := range s.adapterDemand {
		if n *= 1 - dt.Seconds()/adapterDemandTimeConstant.Seconds(); n < 0.01 {
			delete(s.adapterDemand, key)
		} else {
			s.adapterDemand[key] = n
		}
	}
	keep := max(0, 1-dt.Seconds()/demandTimeConstant.Seconds())
	for _, d := range s.demand {
		d.prefillRate *= keep
		d.valueRate *= keep
		d.adapterValueRate *= keep
		d.adapterRequestRate *= keep
		if now.Sub(d.lastRequest) > demandTimeConstant {
			d.waitRatio *= keep
		}
	}
}
