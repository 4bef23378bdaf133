package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// newFleetState returns a State of many replicas that hold three models each. A
// fifth of the models are in high demand.
func newFleetState(replicas, models int) (*State, time.Time) {
	e := &catalog.Engine{Slots: 96, WeightsMB: 83, AdapterSlots: 5, LoadsPerSecond: 14}
	for n := range models {
		m := catalog.Model{Name: fmt.Sprintf("m%03d", n), WeightsMB: 16, StoreLoadTime: 2 * time.Second, DiskLoadTime: time.Second}
		if n%3 > 0 {
			m.WeightsMB, m.StoreLoadTime = 34, 4*time.Second
		}
		for a := range 4 {
			m.Adapters = append(m.Adapters, fmt.Sprintf("a%d", a))
		}
		e.Models = append(e.Models, m)
	}
	e.IndexModels()
	now := startTime
	s := New(testLimits)
	s.SetConfig(catalog.NewConfig(1, catalog.Limits{}, []*catalog.Service{{Name: serviceName, Engine: e}}, nil))
	for n := range replicas {
		id := fmt.Sprintf("r%04d", n)
		info := &catalog.Replica{ID: id, Service: serviceName, Address: id + ":1", DataCentre: fmt.Sprintf("z%d", n%3), Slots: 96, StartMillis: 1}
		for k := range 3 {
			info.Models = append(info.Models, catalog.LoadedModel{Name: e.Models[(n+37*k)%models].Name})
			info.OnDisk = append(info.OnDisk, e.Models[(n+37*k)%models].Name, e.Models[(n+11*k+5)%models].Name)
		}
		s.SetReplica(now, id, info)
	}
	s.StartTerm(now)
	for id, r := range s.replicas {
		s.HandleReport(now, id, &Report{StartMillis: 1, Models: r.info.Models})
	}
	for n := range models {
		d := Demand{Requests: 1, Value: 0.1, PrefillWork: 300}
		if n%5 == 0 {
			d = Demand{Requests: 50, Value: 30, PrefillWork: 60_000}
		}
		s.AddDemand(now, e.Models[n].Name, d)
	}
	return s, now
}

// BenchmarkPlan measures Plan in a fleet whose orders are never answered.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ replicas, models int }{{12, 20}, {90, 107}, {300, 300}} {
		b.Run(fmt.Sprintf("%dx%d", size.replicas, size.models), func(b *testing.B) {
			s, now := newFleetState(size.replicas, size.models)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s.Plan(now)
			}
		})
	}
}
