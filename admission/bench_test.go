package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

// newBenchQueue returns a queue with 12 full endpoints, each with 5 models and 20
// adapters, and the given number of waiting requests of 300 rows. The function
// returned creates further requests.
func newBenchQueue(waiting int) (*Queue, func(id uint64) Request) {
	q := NewQueue(Config{QueueBound: [fleet.RankCount]int{1 << 20, 1 << 20, 1 << 20}})
	v := &View{}
	for i := range 12 {
		e := EndpointView{
			Endpoint: fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Pool: "m", Slots: 16},
			Window:   WholeWindow(16, 2, testFloors),
		}
		for m := range 5 {
			e.Residents = append(e.Residents, routing.Resident{Name: fmt.Sprint("m", (i+m*4)%20), Ready: true})
			for a := range 4 {
				e.Residents = append(e.Residents, routing.Resident{Name: fmt.Sprint("a", (i+m*4)%20, "-", a), Ready: true})
			}
		}
		v.Endpoints = append(v.Endpoints, e)
	}
	q.Step(epoch, ViewChanged{View: v})
	newRequest := func(id uint64) Request {
		row := id % 300
		m := row % 20
		r := Request{
			ID: id, Row: fmt.Sprint("row", row), Rank: fleet.Rank(row % 3), Weight: 1, Pool: "m",
			Model: fmt.Sprint("m", m), Adapter: fmt.Sprint("a", m, "-", row/20%4), Tokens: 100, Fingerprint: id * 0x9e3779b97f4a7c15,
		}
		return r
	}
	for id := uint64(1); id <= uint64(waiting)+12*16; id++ {
		q.Step(epoch, Arrive{Request: newRequest(id)})
	}
	return q, newRequest
}

// BenchmarkDecision measures one arrival and one finish, which dispatches the
// next request, at several numbers of waiting requests.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{10, 1000, 10000, 100000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			q, newRequest := newBenchQueue(waiting)
			var running []uint64
			for id := range q.inFlight {
				running = append(running, id)
			}
			next := uint64(1 << 30)
			requests := [300]Request{}
			for i := range requests {
				requests[i] = newRequest(uint64(i))
			}
			now := epoch
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				next++
				r := requests[next%300]
				r.ID = next
				q.Step(now, Arrive{Request: r})
				id := running[i%len(running)]
				for _, a := range q.Step(now, Finish{Outcome: Outcome{ID: id, Duration: time.Second, Total: time.Second}}) {
					if d, ok := a.(Dispatch); ok {
						running[i%len(running)] = d.ID
					}
				}
			}
		})
	}
}

// BenchmarkEndpointWindow measures the computation of one instance's window on one
// endpoint.
func BenchmarkEndpointWindow(b *testing.B) {
	var members []MemberDemand
	for i := range 7 {
		m := MemberDemand{Member: fleet.InstanceID(fmt.Sprint("i", i))}
		for r := range 20 {
			m.Rows = append(m.Rows, Demand{Row: fmt.Sprint("row", r), Rank: fleet.Rank(r % 3), Weight: 1, Slots: 0.1})
		}
		members = append(members, m)
	}
	b.ReportAllocs()
	for b.Loop() {
		EndpointWindow("i3", members, SharedEndpoint{Key: "e", Slots: 16, Floors: testFloors})
	}
}
