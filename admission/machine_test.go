package admission

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
	"github.com/hyssophaven/hyssophaven/table"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// machine drives a queue with random events and keeps its own account of what
// may happen to each request.
type machine struct {
	q       *Queue
	now     time.Time
	view    *View
	next    uint64
	waiting map[uint64]Request
	running map[uint64]grantedRequest
	closed  map[uint64]string // how a request ended that is neither waiting nor running
}

type grantedRequest struct {
	request  Request
	endpoint fleet.EndpointID
}

func newMachine(p Policy) *machine {
	m := &machine{
		q: NewQueue(Config{Policy: p, Seed: 1, DataCentre: "a",
			QueueBound: [fleet.RankCount]int{20, 20, 20}, MaxWait: [fleet.RankCount]time.Duration{0, time.Minute, 0}}),
		now: epoch, waiting: map[uint64]Request{}, running: map[uint64]grantedRequest{}, closed: map[uint64]string{},
	}
	return m
}

func drawView(t *rapid.T) *View {
	v := &View{Rows: map[string]RowShare{}}
	floors := [fleet.RankCount]float64{0.5, 0.1, 0.05}
	for i := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
		e := EndpointView{
			Endpoint: fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Pool: "m", DataCentre: "a", Slots: 8},
			Closed:   rapid.IntRange(0, 5).Draw(t, "closed") == 0,
		}
		window := rapid.IntRange(0, 5).Draw(t, "window")
		e.Window = WholeWindow(window, rapid.IntRange(0, window).Draw(t, "reserved"), floors)
		e.Window.Ranks[fleet.Urgent] = rapid.IntRange(0, window).Draw(t, "urgent")
		for _, name := range []string{"m0", "m1"} {
			if rapid.Bool().Draw(t, "model") {
				e.Residents = append(e.Residents, routing.Resident{Name: name, Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"), Ready: true})
				if rapid.Bool().Draw(t, "adapter") {
					e.Residents = append(e.Residents, routing.Resident{Name: name + "-a", Version: "1", Ready: rapid.Bool().Draw(t, "ready")})
				}
			}
		}
		v.Endpoints = append(v.Endpoints, e)
	}
	if rapid.Bool().Draw(t, "limited") {
		v.Rows["row0"] = RowShare{LimitInFlight: true, InFlight: rapid.IntRange(0, 6).Draw(t, "limit")}
	}
	return v
}

func drawRequest(t *rapid.T, id uint64) Request {
	row := rapid.IntRange(0, 5).Draw(t, "row")
	r := Request{
		ID: id, Row: fmt.Sprint("row", row), Rank: fleet.Rank(row % 3), Weight: float64(row + 1),
		Pool: "m", Model: fmt.Sprint("m", row%2), Version: "1", Tokens: rapid.IntRange(0, 500).Draw(t, "tokens"),
		Fingerprint: uint64(rapid.IntRange(0, 3).Draw(t, "fingerprint")),
		Readmitted:  rapid.IntRange(0, 7).Draw(t, "readmitted") == 0,
	}
	if row > 3 {
		r.Adapter = r.Model + "-a"
	}
	if rapid.Bool().Draw(t, "targets") {
		r.Targets = table.Targets{FirstToken: time.Second, WholeAnswer: 10 * time.Second}
	}
	if rapid.IntRange(0, 5).Draw(t, "exclude") == 0 {
		r.Exclude = []fleet.EndpointID{"e0"}
	}
	return r
}

func (m *machine) step(t *rapid.T, ev Event) {
	for _, a := range m.q.Step(m.now, ev) {
		switch a := a.(type) {
		case Dispatch:
			m.dispatched(t, a)
		case Refuse:
			if _, ok := m.waiting[a.ID]; !ok {
				t.Fatalf("request %d refused while not waiting: %s", a.ID, m.closed[a.ID])
			}
			delete(m.waiting, a.ID)
			m.closed[a.ID] = "refused"
		}
	}
	m.check(t)
}

func (m *machine) dispatched(t *rapid.T, a Dispatch) {
	r, ok := m.waiting[a.ID]
	if !ok {
		t.Fatalf("request %d dispatched while not waiting: %s", a.ID, m.closed[a.ID])
	}
	delete(m.waiting, a.ID)
	m.running[a.ID] = grantedRequest{request: r, endpoint: a.Grant.Endpoint.ID}
	i := slices.IndexFunc(m.view.Endpoints, func(e EndpointView) bool { return e.Endpoint.ID == a.Grant.Endpoint.ID })
	if i < 0 || m.view.Endpoints[i].Closed {
		t.Fatalf("request %d dispatched to closed or unknown endpoint %s", a.ID, a.Grant.Endpoint.ID)
	}
	if slices.Contains(r.Exclude, a.Grant.Endpoint.ID) {
		t.Fatalf("request %d dispatched to excluded endpoint", a.ID)
	}
	w := m.view.Endpoints[i].Window
	extra := 0
	if r.Readmitted {
		extra = readmittedExtra
	}
	total, ofRank := m.onEndpoint(a.Grant.Endpoint.ID, r.Rank)
	within := total <= w.Total+extra
	if m.q.config.Policy == Ranked {
		within = within && ofRank <= w.Ranks[r.Rank]+extra
	}
	if !within {
		t.Fatalf("%d requests, %d of rank %s, in flight on %s, window %+v, readmitted %v", total, ofRank, r.Rank, a.Grant.Endpoint.ID, w, r.Readmitted)
	}
	m.checkResidents(t, r, a.Grant, m.view.Endpoints[i])
}

func (m *machine) checkResidents(t *rapid.T, r Request, g Grant, e EndpointView) {
	model := slices.ContainsFunc(e.Residents, func(res routing.Resident) bool { return res.Name == r.Model && res.Ready })
	adapter := r.Adapter == "" || slices.ContainsFunc(e.Residents, func(res routing.Resident) bool {
		return res.Name == r.Adapter && res.Ready != g.LoadAdapter
	})
	if !model || !adapter {
		t.Fatalf("request for %s/%s sent to %s, which holds %v", r.Model, r.Adapter, e.Endpoint.ID, e.Residents)
	}
}

func (m *machine) onEndpoint(id fleet.EndpointID, rank fleet.Rank) (total, ofRank int) {
	for _, g := range m.running {
		if g.endpoint != id {
			continue
		}
		total++
		if g.request.Rank == rank {
			ofRank++
		}
	}
	return total, ofRank
}

// check compares the queue's account with the machine's, and that no request
// waits while an endpoint has room for it.
func (m *machine) check(t *rapid.T) {
	if len(m.q.waiting) != len(m.waiting) || len(m.q.inFlight) != len(m.running) {
		t.Fatalf("queue has %d waiting, %d in flight; want %d, %d", len(m.q.waiting), len(m.q.inFlight), len(m.waiting), len(m.running))
	}
	s := m.q.Stats(m.now)
	queued, running := 0, 0
	for r := range fleet.RankCount {
		queued += s.Queued[r]
		running += s.InFlight[r]
	}
	for _, r := range s.Rows {
		queued -= r.Queued
		running -= r.InFlight
	}
	if queued != 0 || running != 0 {
		t.Fatalf("rank and row statistics differ by %d queued, %d in flight", queued, running)
	}
	for id, r := range m.waiting {
		f := m.q.waiting[id].flow
		extra := 0
		if r.Readmitted {
			extra = readmittedExtra
		}
		for _, p := range f.target.places {
			e := m.q.router.Endpoint(p.Endpoint)
			if m.q.router.Free(p.Endpoint, f.rank, extra) && !slices.Contains(r.Exclude, e.ID) {
				t.Fatalf("request %d waits while %s has room", id, e.ID)
			}
		}
	}
}

func (m *machine) arrive(t *rapid.T) {
	m.next++
	r := drawRequest(t, m.next)
	before := 0
	for _, w := range m.waiting {
		if w.Row == r.Row {
			before++
		}
	}
	for _, g := range m.running {
		if g.request.Row == r.Row {
			before++
		}
	}
	m.waiting[r.ID] = r
	m.step(t, Arrive{Request: r})
	share, limited := m.view.Rows[r.Row]
	if limited && !r.Readmitted && before >= share.InFlight && m.closed[r.ID] != "refused" {
		t.Fatalf("row %s accepted request %d beyond its share %d", r.Row, before+1, share.InFlight)
	}
}

func (m *machine) finish(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		g := m.running[id]
		delete(m.running, id)
		m.closed[id] = "finished"
		d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
		m.step(t, Finish{Outcome: Outcome{ID: id, Endpoint: g.endpoint, Duration: d, Total: d, FirstToken: d / 4}})
		return
	}
}

func (m *machine) cancel(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.waiting)) {
		delete(m.waiting, id)
		m.closed[id] = "cancelled"
		m.step(t, Cancel{ID: id})
		return
	}
}

func (m *machine) cancelRunning(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		delete(m.running, id)
		m.closed[id] = "cancelled"
		m.step(t, Cancel{ID: id})
		m.step(t, Finish{Outcome: Outcome{ID: id}}) // late report; must change nothing
		return
	}
}

func (m *machine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	m.step(t, Tick{})
	if at, ok := m.q.NextDeadline(); ok && !at.After(m.now) {
		t.Fatalf("deadline %v still due after tick at %v", at, m.now)
	}
}

func (m *machine) change(t *rapid.T) {
	m.view = drawView(t)
	m.step(t, ViewChanged{View: m.view})
}

// drain ends everything and checks that each arrival had its answer.
func (m *machine) drain(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		delete(m.running, id)
		m.closed[id] = "finished"
		m.step(t, Cancel{ID: id})
	}
	open := drawView(t)
	open.Rows, open.Endpoints = nil, nil
	for i := range 2 {
		name := fmt.Sprint("m", i)
		open.Endpoints = append(open.Endpoints, EndpointView{
			Endpoint: fleet.Endpoint{ID: fleet.EndpointID("open" + name), Pool: "m", DataCentre: "b", Slots: 1000}, Window: WholeWindow(1000, 0, [fleet.RankCount]float64{}),
			Residents: []routing.Resident{{Name: name, Ready: true}, {Name: name + "-a"}},
		})
	}
	m.view = open
	m.step(t, ViewChanged{View: open})
	if len(m.waiting) != 0 {
		t.Fatalf("%d requests still wait although there is room for all", len(m.waiting))
	}
	if got := len(m.closed) + len(m.running); uint64(got) != m.next {
		t.Fatalf("%d of %d requests are accounted for", got, m.next)
	}
}

// Guards against requests that are lost, answered twice or after a refusal,
// sent past the window or to a closed, excluded or wrong endpoint, and against
// requests that wait while there is room for them.
func TestQueueAnswersEachRequestOnce(t *testing.T) {
	for _, policy := range []Policy{Ranked, FIFO} {
		t.Run(policy.String(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newMachine(policy)
				m.change(t)
				t.Repeat(map[string]func(*rapid.T){
					"arrive": m.arrive, "arrive again": m.arrive, "finish": m.finish, "cancel": m.cancel,
					"cancel running": m.cancelRunning, "tick": m.tick, "view": m.change,
				})
				m.drain(t)
			})
		})
	}
}
