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

// queueStateMachine drives a queue with random events and checks every action
// against its own record of the requests.
type queueStateMachine struct {
	q       *Queue
	now     time.Time
	view    *View
	lastID  uint64
	waiting map[uint64]Request
	running map[uint64]grantedRequest
	ended   map[uint64]string // final state of each ended request
}

// grantedRequest is a running request and the endpoint it was dispatched to.
type grantedRequest struct {
	request  Request
	endpoint fleet.EndpointID
}

func newQueueStateMachine(p Policy) *queueStateMachine {
	m := &queueStateMachine{
		q: NewQueue(Config{Policy: p, Seed: 1, DataCentre: "a",
			QueueBound: [fleet.RankCount]int{20, 20, 20}, MaxWait: [fleet.RankCount]time.Duration{0, time.Minute, 0}}),
		now: epoch, waiting: map[uint64]Request{}, running: map[uint64]grantedRequest{}, ended: map[uint64]string{},
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
		e.Window.RankLimits[fleet.Urgent] = rapid.IntRange(0, window).Draw(t, "urgent")
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

func (m *queueStateMachine) stepAndCheck(t *rapid.T, ev Event) {
	for _, a := range m.q.Step(m.now, ev) {
		switch a := a.(type) {
		case Dispatch:
			m.checkDispatch(t, a)
		case Refuse:
			if _, ok := m.waiting[a.ID]; !ok {
				t.Fatalf("request %d refused while not waiting: %s", a.ID, m.ended[a.ID])
			}
			delete(m.waiting, a.ID)
			m.ended[a.ID] = "refused"
		}
	}
	m.check(t)
}

func (m *queueStateMachine) checkDispatch(t *rapid.T, a Dispatch) {
	r, ok := m.waiting[a.ID]
	if !ok {
		t.Fatalf("request %d dispatched while not waiting: %s", a.ID, m.ended[a.ID])
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
		extra = readmittedExtraSlots
	}
	total, ofRank := m.inFlightOn(a.Grant.Endpoint.ID, r.Rank)
	within := total <= w.Total+extra
	if m.q.config.Policy == Ranked {
		within = within && ofRank <= w.RankLimits[r.Rank]+extra
	}
	if !within {
		t.Fatalf("%d requests, %d of rank %s, in flight on %s, window %+v, readmitted %v", total, ofRank, r.Rank, a.Grant.Endpoint.ID, w, r.Readmitted)
	}
	m.checkResidents(t, r, a.Grant, m.view.Endpoints[i])
}

func (m *queueStateMachine) checkResidents(t *rapid.T, r Request, g Grant, e EndpointView) {
	model := slices.ContainsFunc(e.Residents, func(res routing.Resident) bool { return res.Name == r.Model && res.Ready })
	adapter := r.Adapter == "" || slices.ContainsFunc(e.Residents, func(res routing.Resident) bool {
		return res.Name == r.Adapter && res.Ready != g.LoadAdapter
	})
	if !model || !adapter {
		t.Fatalf("request for %s/%s sent to %s, which holds %v", r.Model, r.Adapter, e.Endpoint.ID, e.Residents)
	}
}

func (m *queueStateMachine) inFlightOn(id fleet.EndpointID, rank fleet.Rank) (total, ofRank int) {
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

// check compares the queue's counts with the recorded requests, and fails if a
// request waits while an endpoint has room for it.
func (m *queueStateMachine) check(t *rapid.T) {
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
			extra = readmittedExtraSlots
		}
		for _, p := range f.keyQueue.candidates {
			e := m.q.router.Endpoint(p.EndpointIndex)
			if m.q.router.HasRoom(p.EndpointIndex, f.rank, extra) && !slices.Contains(r.Exclude, e.ID) {
				t.Fatalf("request %d waits while %s has room", id, e.ID)
			}
		}
	}
}

func (m *queueStateMachine) arrive(t *rapid.T) {
	m.lastID++
	r := drawRequest(t, m.lastID)
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
	m.stepAndCheck(t, Arrive{Request: r})
	share, limited := m.view.Rows[r.Row]
	if limited && !r.Readmitted && before >= share.InFlight && m.ended[r.ID] != "refused" {
		t.Fatalf("row %s accepted request %d beyond its share %d", r.Row, before+1, share.InFlight)
	}
}

func (m *queueStateMachine) finish(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		g := m.running[id]
		delete(m.running, id)
		m.ended[id] = "finished"
		d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
		m.stepAndCheck(t, Finish{Outcome: Outcome{ID: id, Endpoint: g.endpoint, Duration: d, Total: d, FirstToken: d / 4}})
		return
	}
}

func (m *queueStateMachine) cancelWaiting(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.waiting)) {
		delete(m.waiting, id)
		m.ended[id] = "cancelled"
		m.stepAndCheck(t, Cancel{ID: id})
		return
	}
}

func (m *queueStateMachine) cancelRunning(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		delete(m.running, id)
		m.ended[id] = "cancelled"
		m.stepAndCheck(t, Cancel{ID: id})
		m.stepAndCheck(t, Finish{Outcome: Outcome{ID: id}}) // a late report must have no effect
		return
	}
}

func (m *queueStateMachine) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	m.stepAndCheck(t, Tick{})
	if at, ok := m.q.NextDeadline(); ok && !at.After(m.now) {
		t.Fatalf("deadline %v still due after tick at %v", at, m.now)
	}
}

func (m *queueStateMachine) changeView(t *rapid.T) {
	m.view = drawView(t)
	m.stepAndCheck(t, ViewChanged{View: m.view})
}

// drain ends all running requests, makes room for the waiting ones, and checks
// that every arrival was answered.
func (m *queueStateMachine) drain(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		delete(m.running, id)
		m.ended[id] = "finished"
		m.stepAndCheck(t, Cancel{ID: id})
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
	m.stepAndCheck(t, ViewChanged{View: open})
	if len(m.waiting) != 0 {
		t.Fatalf("%d requests still wait although the endpoints have room for all", len(m.waiting))
	}
	if got := len(m.ended) + len(m.running); uint64(got) != m.lastID {
		t.Fatalf("%d of %d requests are accounted for", got, m.lastID)
	}
}

// Guards against requests that are lost or answered twice, sent beyond the window
// or to a closed, excluded or wrong endpoint, or kept waiting while an endpoint
// has room.
func TestQueueAnswersEachRequestOnce(t *testing.T) {
	for _, policy := range []Policy{Ranked, FIFO} {
		t.Run(policy.String(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newQueueStateMachine(policy)
				m.changeView(t)
				t.Repeat(map[string]func(*rapid.T){
					"arrive": m.arrive, "arrive again": m.arrive, "finish": m.finish, "cancel": m.cancelWaiting,
					"cancel running": m.cancelRunning, "tick": m.tick, "view": m.changeView,
				})
				m.drain(t)
			})
		})
	}
}
