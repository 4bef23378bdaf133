package residency

import "time"

const (
	// demandHalf is the time over which demand is averaged: demand moves to
	// other models within a few seconds.
	demandHalf = 2500 * time.Millisecond
	// adapterDemandHalf is the same for adapters, each of which is asked for
	// every few seconds only.
	adapterDemandHalf = 15 * time.Second
	// placeMemory is the time for which an adapter that found no place counts as
	// one that needs another copy of its model.
	placeMemory = 3 * time.Second
	// recentDemand is the time for which a model counts as asked for.
	recentDemand = 15 * time.Second
	// engineReading is the reading work that a replica does in a second, the
	// scale of utilization.
	engineReading = 16_000.0
	// engineWorth is the worth of the requests that a replica serves in a second,
	// the scale of values: today's engines read about ten prompts.
	engineWorth = 10.0
)

// Demand is what instances report of the requests for a model.
type Demand struct {
	Requests int // since the last report
	// Worth is what these requests count, by their ranks.
	Worth float64
	// Reading is their reading work, in tokens of a model of pace 1.
	Reading float64
	// WaitShare is the average expected wait as a share of the goal.
	WaitShare float64
	// AdapterWorth is the part of Worth of requests that use an adapter.
	AdapterWorth float64
	// Adapters are the requests by adapter.
	Adapters map[string]int
}

type demand struct {
	reading      float64 // a second, moving average
	worth        float64 // a second, moving average
	adapters     float64 // requests a second that use an adapter, moving average
	adapterWorth float64 // a second, of requests that use an adapter, moving average
	wait         float64 // moving average of WaitShare
	asked        time.Time
}

// work returns the utilization that one copy would have.
func (d *demand) work() float64 {
	if d == nil {
		return 0
	}
	return d.reading / engineReading
}

// value returns the worth of the requests as a share of what a replica serves.
func (d *demand) value() float64 {
	if d == nil {
		return 0
	}
	return d.worth / engineWorth
}

// adapterValue returns the part of value of requests that use an adapter.
func (d *demand) adapterValue() float64 {
	if d == nil {
		return 0
	}
	return d.adapterWorth / engineWorth
}

// adapterRate returns the requests a second that use an adapter.
func (d *demand) adapterRate() float64 {
	if d == nil {
		return 0
	}
	return d.adapters
}

// recent reports whether the model was asked for within a time.
func (d *demand) recent(now time.Time, within time.Duration) bool {
	return d != nil && now.Sub(d.asked) < within
}

// AddDemand takes over the demand for a model since the last call by the same instance.
func (s *State) AddDemand(now time.Time, model string, d Demand) {
	m, ok := s.demand[model]
	if !ok {
		m = &demand{}
		s.demand[model] = m
	}
	if d.Requests == 0 {
		return
	}
	m.asked = now
	for name, n := range d.Adapters {
		s.AddAdapterDemand(model, name, n)
		m.adapters += float64(n) / demandHalf.Seconds()
	}
	m.reading += d.Reading / demandHalf.Seconds()
	m.worth += d.Worth / demandHalf.Seconds()
	m.adapterWorth += d.AdapterWorth / demandHalf.Seconds()
	weight := min(1, 0.1*float64(d.Requests))
	m.wait += weight * (d.WaitShare - m.wait)
}

// AddAdapterDemand records requests for an adapter.
func (s *State) AddAdapterDemand(model, name string, requests int) {
	s.adapterDemand[model+"/"+name] += float64(requests)
}

// decay lets the averages of demand fall with time.
func (s *State) decay(now time.Time) {
	dt := now.Sub(s.last)
	s.last = now
	if dt <= 0 || dt > time.Minute {
		return
	}
	for key, at := range s.noPlace {
		if now.Sub(at) > placeMemory {
			delete(s.noPlace, key)
		}
	}
	for key, n := range s.adapterDemand {
		if n *= 1 - dt.Seconds()/adapterDemandHalf.Seconds(); n < 0.01 {
			delete(s.adapterDemand, key)
		} else {
			s.adapterDemand[key] = n
		}
	}
	keep := max(0, 1-dt.Seconds()/demandHalf.Seconds())
	for _, d := range s.demand {
		d.reading *= keep
		d.worth *= keep
		d.adapterWorth *= keep
		d.adapters *= keep
		if now.Sub(d.asked) > demandHalf {
			d.wait *= keep
		}
	}
}
