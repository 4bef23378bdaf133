package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testFloors = [fleet.RankCount]float64{0.5, 0.1, 0.05}

// singleEndpointView returns a view with one endpoint that holds the given models.
func singleEndpointView(slots int, models ...string) *View {
	e := EndpointView{
		Endpoint: fleet.Endpoint{ID: "e", Pool: "m", DataCentre: "a", Slots: slots},
		Window:   WholeWindow(slots, 0, testFloors),
	}
	for _, m := range models {
		e.Residents = append(e.Residents, routing.Resident{Name: m, Version: "1", Ready: true})
	}
	return &View{Endpoints: []EndpointView{e}}
}

func request(id uint64, row string, rank fleet.Rank) Request {
	return Request{ID: id, Row: row, Rank: rank, Weight: 1, Pool: "m", Model: "m", Version: "1"}
}

// completion is the scheduled end of a running request.
type completion struct {
	at  time.Time
	id  uint64
	row string
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	f := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return f
}

// runBacklogged simulates an endpoint on which every row always has requests
// waiting. It returns each row's fraction of the slot time and its number of
// requests served.
func runBacklogged(rows []Request, slots int, service map[string]float64, seed uint64) (map[string]float64, map[string]int) {
	q := NewQueue(Config{Seed: seed})
	now, id := epoch, uint64(0)
	random := rand.New(rand.NewPCG(seed, 2))
	byID, running := map[uint64]Request{}, completionHeap{}
	used, served := map[string]float64{}, map[string]int{}
	total := 0.0
	var step func(ev Event)
	arrive := func(r Request) {
		id++
		r.ID = id
		byID[id] = r
		step(Arrive{Request: r})
	}
	step = func(ev Event) {
		var replacements []Request
		for _, a := range q.Step(now, ev) {
			d, ok := a.(Dispatch)
			if !ok {
				continue
			}
			r := byID[d.ID]
			s := service[r.Row] * (0.5 + random.Float64())
			used[r.Row] += s
			served[r.Row]++
			total += s
			heap.Push(&running, completion{at: now.Add(seconds(s)), id: d.ID, row: r.Row})
			replacements = append(replacements, r)
		}
		for _, r := range replacements {
			arrive(r)
		}
	}
	step(ViewChanged{View: singleEndpointView(slots, "m")})
	for range 2 * slots {
		for _, r := range rows {
			arrive(r)
		}
	}
	for now.Before(epoch.Add(6 * time.Minute)) {
		f := heap.Pop(&running).(completion)
		now = f.at
		s := time.Duration(service[f.row] * float64(time.Second))
		step(Finish{Outcome: Outcome{ID: f.id, Endpoint: "e", Duration: s, Total: s}})
	}
	for row := range used {
		used[row] /= total
	}
	return used, served
}

// Guards against a flood of one rank taking the floor of another.
func TestFloorsHoldWhenAllRanksWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := map[string]float64{}
		var rows []Request
		for _, r := range fleet.Ranks() {
			service[r.String()] = rapid.Float64Range(0.5, 5).Draw(t, "service")
			rows = append(rows, request(0, r.String(), r))
		}
		used, _ := runBacklogged(rows, rapid.IntRange(1, 12).Draw(t, "slots"), service, 1)
		for _, r := range fleet.Ranks() {
			if got, floor := used[r.String()], testFloors[r]; got < 0.97*floor {
				t.Fatalf("rank %s had %.3f of the slot time, floor %.3f", r, got, floor)
			}
		}
	})
}

// Guards against rows of one rank getting more slot time than their weights allow,
// through long requests or through their number.
func TestRowsShareARankByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service, weights := map[string]float64{}, 0.0
		var rows []Request
		for i := range rapid.IntRange(2, 4).Draw(t, "rows") {
			r := request(0, fmt.Sprint("row", i), fleet.Prompt)
			r.Weight = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			weights += r.Weight
			service[r.Row] = rapid.Float64Range(0.2, 2).Draw(t, "service")
			rows = append(rows, r)
		}
		_, served := runBacklogged(rows, 4, service, 1)
		total := 0.0
		for row, n := range served {
			total += float64(n) * service[row]
		}
		for _, r := range rows {
			// The queue charges the expected slot time. Requests in flight at the
			// start and the end of the run cause a deviation: 4 slots, up to 2 s each.
			got, want := float64(served[r.Row])*service[r.Row], total*r.Weight/weights
			if math.Abs(got-want) > 16 {
				t.Fatalf("row %s had %.0f s of the slot time, want %.0f of %.0f by weight", r.Row, got, want, total)
			}
		}
	})
}

// Guards against head-of-line blocking by a row whose replicas are full.
func TestFullReplicaDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Config{})
	v := singleEndpointView(1, "m")
	other := singleEndpointView(1, "n").Endpoints[0]
	other.Endpoint.ID = "f"
	v.Endpoints = append(v.Endpoints, other)
	q.Step(epoch, ViewChanged{View: v})
	is.Equal(len(q.Step(epoch, Arrive{Request: request(1, "a", fleet.Urgent)})), 1)
	is.Equal(len(q.Step(epoch, Arrive{Request: request(2, "a", fleet.Urgent)})), 0) // waits
	r := request(3, "b", fleet.Patient)
	r.Model = "n"
	is.Equal(q.Step(epoch, Arrive{Request: r})[0].(Dispatch).Grant.Endpoint.ID, fleet.EndpointID("f"))
}

// Guards against refusing a request although a slot is free, against queueing a
// request that cannot meet its target, and against refusing a readmitted request
// on arrival because of limits or targets.
func TestRefusesRequestsThatCannotMeetTargets(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Config{})
	q.Step(epoch, ViewChanged{View: singleEndpointView(1, "m")})
	r := request(1, "a", fleet.Prompt)
	r.Targets = table.Targets{WholeAnswer: 3 * time.Second}
	r.Limits = table.Limits{InFlight: 3}
	arrive := func(id uint64) []Action {
		r.ID = id
		return q.Step(epoch, Arrive{Request: r})
	}
	is.Equal(len(arrive(1)), 1)
	q.Step(epoch, Finish{Outcome: Outcome{ID: 1, Duration: 10 * time.Second, Total: 10 * time.Second}})
	_, ok := arrive(2)[0].(Dispatch) // the previous request took 10 s, but the slot is free
	is.True(ok)
	refused := arrive(3)[0].(Refuse).Refusal
	is.Equal(refused.Reason, ReasonOverload)
	is.True(refused.RetryAfter >= time.Second)
	r.Readmitted = true
	is.Equal(len(arrive(4)), 1) // one beyond the window
	is.Equal(len(arrive(5)), 0) // waits
	is.Equal(len(arrive(6)), 0)
	at, ok := q.NextDeadline()
	is.True(ok)
	is.Equal(len(q.Step(at, Tick{})), 2)
}

// Guards against readmitted requests waiting behind others of their rank, and
// against using an adapter that is reserved but not loaded without ordering it to
// be loaded.
func TestReadmittedRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Config{})
	v := singleEndpointView(1, "m")
	token := fleet.Token{Epoch: 3, Sequence: 4}
	v.Endpoints[0].Residents = append(v.Endpoints[0].Residents, routing.Resident{Name: "x", Version: "2", Token: token, MemoryMB: 5})
	q.Step(epoch, ViewChanged{View: v})
	for id := uint64(1); id <= 4; id++ {
		r := request(id, "a", fleet.Prompt)
		r.Readmitted = id == 2 || id == 4 // request 2 uses the slot beyond the window
		if id == 4 {
			r.Adapter, r.Version = "x", "1"
		}
		q.Step(epoch, Arrive{Request: r})
	}
	is.Equal(len(q.Step(epoch, Cancel{ID: 2})), 1) // request 4 takes the extra slot
	q.Step(epoch, Cancel{ID: 4})
	r := request(5, "a", fleet.Prompt)
	r.Adapter, r.Version, r.Readmitted = "x", "1", true
	g := q.Step(epoch, Arrive{Request: r})[0].(Dispatch).Grant
	is.Equal(g.Version, "2") // the resident version replaced version 1
	is.True(g.LoadAdapter)
	is.Equal(g.Token, token)
	is.Equal(q.Step(epoch, Cancel{ID: 1}), []Action{})
	d := q.Step(epoch, Cancel{ID: 5})
	is.Equal(d[0].(Dispatch).ID, uint64(3))
}

// Guards against a single instance exceeding a row's rate limit.
func TestRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Config{})
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		q.Step(epoch, ViewChanged{View: singleEndpointView(1000, "m")})
		now, accepted := epoch, 0
		for id := range uint64(200) {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			r := request(id+1, "a", fleet.Prompt)
			r.Limits.PerSecond = float64(limit)
			if _, ok := q.Step(now, Arrive{Request: r})[0].(Dispatch); ok {
				accepted++
			}
		}
		if most := float64(limit)*(now.Sub(epoch).Seconds()+1) + 1e-6; float64(accepted) > most {
			t.Fatalf("%d requests accepted in %v, limit %d per second", accepted, now.Sub(epoch), limit)
		}
	})
}
