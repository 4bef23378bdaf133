package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	poison   Fingerprint = 1 // every run crashes its endpoint
	innocent Fingerprint = 2
)

// run is one request on an endpoint.
type run struct {
	instance    int // index of the instance, -1 after its death
	request     uint64
	fingerprint Fingerprint
	trial       bool
}

// storeCall is an outstanding store call.
type storeCall struct {
	sender            int // index of the instance
	senderIncarnation fleet.Incarnation
	action            Action
	answer            Event
	abandoned         bool // the sender was told that the outcome is unknown
}

// storedRecord is a record in the fake store.
type storedRecord struct {
	record  Record
	version uint64
}

// simulation runs the States of a fleet with a fake store in virtual time. Notices
// reach all live instances immediately.
type simulation struct {
	now          time.Time
	states       []*State // nil while the instance is down
	stateShared  []bool   // the state is shared with a clone and copied before a step
	incarnations []fleet.Incarnation
	boots        []int   // number of restarts of each endpoint
	runs         [][]run // requests running on each endpoint
	store        map[Fingerprint]storedRecord
	storeCalls   []storeCall

	lastRequest     uint64                 // number of the last request
	resendsLeft     int                    // resends that callers can still make
	endpointsLost   map[Fingerprint]int    // endpoints crashed by the fingerprint
	answered        map[Fingerprint]int    // requests answered
	refused         map[Fingerprint]int    // requests refused
	waiting         map[uint64]Fingerprint // requests that wait for a trial
	waitingInstance map[uint64]int         // index of the instance that holds the waiting request
	violation       string                 // first violated invariant, empty if none
}

var testConfig = Config{
	DefaultDuration: 10 * time.Minute, MinReservationTime: time.Second, PollInterval: time.Second, HolderGrace: time.Second,
	ResultTimeout: time.Hour, ReserveTimeout: time.Minute,
}

func newSimulation(instances, endpoints, resends int) *simulation {
	sim := &simulation{
		now: start, states: make([]*State, instances), stateShared: make([]bool, instances), incarnations: make([]fleet.Incarnation, instances),
		boots: make([]int, endpoints), runs: make([][]run, endpoints), store: map[Fingerprint]storedRecord{}, resendsLeft: resends,
		endpointsLost: map[Fingerprint]int{}, answered: map[Fingerprint]int{}, refused: map[Fingerprint]int{},
		waiting: map[uint64]Fingerprint{}, waitingInstance: map[uint64]int{},
	}
	for i := range instances {
		sim.startInstance(i)
	}
	return sim
}

func instance(i int) fleet.InstanceID       { return fleet.InstanceID("i" + strconv.Itoa(i)) }
func endpoint(e int) fleet.EndpointID       { return fleet.EndpointID("e" + strconv.Itoa(e)) }
func (sim *simulation) bootID(e int) string { return "b" + strconv.Itoa(sim.boots[e]) }
func index(e fleet.EndpointID) int          { return int(e[1] - '0') }
func (sim *simulation) recordViolation(s string, a ...any) {
	sim.violation = cmp.Or(sim.violation, fmt.Sprintf(s, a...))
}

func (sim *simulation) startInstance(i int) {
	sim.incarnations[i]++
	cfg := testConfig
	cfg.Self, cfg.Incarnation = instance(i), sim.incarnations[i]
	sim.states[i], sim.stateShared[i] = New(cfg), false
	sim.sendMembers()
	sim.exchangeNotices()
}

func (sim *simulation) sendMembers() {
	alive := map[fleet.InstanceID]fleet.Incarnation{}
	for i, s := range sim.states {
		if s != nil {
			alive[instance(i)] = sim.incarnations[i]
		}
	}
	for i := range sim.states {
		sim.step(i, MembersChanged{alive})
	}
}

// exchangeNotices delivers every instance's heartbeat to all others.
func (sim *simulation) exchangeNotices() {
	for i, s := range sim.states {
		if s == nil {
			continue
		}
		notices := s.Notices(sim.now)
		for j := range sim.states {
			if j != i {
				sim.step(j, NoticesReceived{From: instance(i), Complete: true, Notices: notices})
			}
		}
	}
}

func (sim *simulation) step(i int, ev Event) {
	if sim.states[i] == nil {
		return
	}
	if sim.stateShared[i] {
		sim.states[i], sim.stateShared[i] = cloneState(sim.states[i]), false
	}
	for _, a := range sim.states[i].Step(sim.now, ev) {
		switch a := a.(type) {
		case ReadRecord, CommitRecord:
			sim.storeCalls = append(sim.storeCalls, storeCall{sender: i, senderIncarnation: sim.incarnations[i], action: a})
		case NotifyPeers:
			for j := range sim.states {
				if j != i {
					sim.step(j, NoticesReceived{From: instance(i), Notices: a.Notices})
				}
			}
		case StartTrial:
			sim.startTrial(i, a)
		case AdmitRequests:
			for _, r := range a.Requests {
				sim.stopWaiting(r)
				sim.admit(i, r, a.Fingerprint)
			}
		case RefuseRequests:
			for _, r := range a.Requests {
				sim.stopWaiting(r)
				sim.refuse(i, a.Fingerprint)
			}
		}
	}
}

func (sim *simulation) stopWaiting(r uint64) { delete(sim.waiting, r); delete(sim.waitingInstance, r) }

func (sim *simulation) startTrial(i int, a StartTrial) {
	sim.stopWaiting(a.Request)
	e := index(a.Endpoint)
	if len(sim.runs[e]) > 0 {
		sim.recordViolation("trial of %d starts on busy endpoint %d: %v", a.Fingerprint, e, sim.runs[e])
	}
	for _, runs := range sim.runs {
		for _, r := range runs {
			if r.fingerprint == a.Fingerprint {
				sim.recordViolation("trial of %d starts on endpoint %d while %v is running", a.Fingerprint, e, r)
			}
		}
	}
	sim.addRun(e, run{i, a.Request, a.Fingerprint, true})
}

func (sim *simulation) addRun(e int, r run) { sim.runs[e] = append(slices.Clone(sim.runs[e]), r) }

// sendRequest sends a new request through instance i.
func (sim *simulation) sendRequest(i int, f Fingerprint) {
	sim.lastRequest++
	sim.admit(i, sim.lastRequest, f)
}

// admit handles a request that has arrived or has lost its endpoint, as the
// control goroutine does.
func (sim *simulation) admit(i int, request uint64, f Fingerprint) {
	switch verdict, _ := sim.states[i].Check(f, sim.now); verdict {
	case Clear:
		for e := range sim.runs { // requests with equal content prefer the same endpoint
			if !sim.states[i].Reserved(endpoint(e)) {
				sim.addRun(e, run{i, request, f, false})
				sim.step(i, RunStarted{f})
				return
			}
		}
		sim.refuse(i, f)
	case Quarantined:
		sim.refuse(i, f)
	case NeedsTrial:
		sim.waiting[request], sim.waitingInstance[request] = f, i
		var candidates []Candidate
		for e := range sim.runs {
			candidates = append(candidates, Candidate{endpoint(e), sim.bootID(e)})
		}
		slices.Reverse(candidates)
		sim.step(i, TrialWanted{Request: request, Fingerprint: f, Candidates: candidates})
	}
}

// refuse counts a refused request. Its caller resends it through the next instance
// while resends are left.
func (sim *simulation) refuse(i int, f Fingerprint) {
	sim.refused[f]++
	sim.resend(i, f)
}

func (sim *simulation) resend(i int, f Fingerprint) {
	if sim.resendsLeft == 0 {
		return
	}
	for k := 1; k <= len(sim.states); k++ {
		if j := (i + k) % len(sim.states); sim.states[j] != nil {
			sim.resendsLeft--
			sim.sendRequest(j, f)
			return
		}
	}
}

// crashEndpoint restarts an endpoint, which loses all its runs.
func (sim *simulation) crashEndpoint(e int) {
	loss := Loss{Endpoint: endpoint(e), BootID: sim.bootID(e)}
	runs := sim.runs[e]
	sim.runs[e] = nil
	sim.boots[e]++
	for _, r := range runs {
		if r.fingerprint == poison {
			sim.endpointsLost[poison]++
			break
		}
	}
	for i := range sim.states {
		var inFlight []Fingerprint
		for _, r := range runs {
			if r.instance == i && !r.trial {
				inFlight = append(inFlight, r.fingerprint)
			}
		}
		if len(inFlight) > 0 {
			sim.step(i, EndpointLost{Loss: loss, Fingerprints: inFlight})
		}
	}
	for _, r := range runs {
		switch {
		case r.instance < 0:
			continue
		case r.trial:
			sim.step(r.instance, TrialEnded{r.request, r.fingerprint, TrialEndpointLost})
		default:
			sim.step(r.instance, RunEnded{r.fingerprint})
		}
		sim.admit(r.instance, r.request, r.fingerprint)
	}
}

// completeRun completes a run. It counts as answered unless its instance died.
func (sim *simulation) completeRun(e, index int) {
	r := sim.runs[e][index]
	sim.runs[e] = slices.Delete(slices.Clone(sim.runs[e]), index, index+1)
	switch {
	case r.instance < 0:
	case r.trial:
		sim.answered[r.fingerprint]++
		sim.step(r.instance, TrialEnded{r.request, r.fingerprint, TrialCompleted})
	default:
		sim.answered[r.fingerprint]++
		sim.step(r.instance, RunEnded{r.fingerprint})
	}
}

// killInstance stops an instance. Its callers resend their requests.
func (sim *simulation) killInstance(i int) {
	sim.states[i] = nil
	var resend []Fingerprint
	for e := range sim.runs {
		sim.runs[e] = slices.Clone(sim.runs[e])
		for k := range sim.runs[e] {
			if sim.runs[e][k].instance == i {
				resend = append(resend, sim.runs[e][k].fingerprint)
				sim.runs[e][k].instance = -1
			}
		}
	}
	for _, r := range slices.Sorted(maps.Keys(sim.waitingInstance)) {
		if sim.waitingInstance[r] == i {
			resend = append(resend, sim.waiting[r])
			sim.stopWaiting(r)
		}
	}
	sim.sendMembers()
	for _, f := range resend {
		sim.resend(i, f)
	}
}

// executeStoreCall executes a call in the store and keeps its answer for delivery.
func (sim *simulation) executeStoreCall(k int) {
	m := &sim.storeCalls[k]
	switch a := m.action.(type) {
	case ReadRecord:
		s := sim.store[a.Fingerprint]
		m.answer = RecordRead{Fingerprint: a.Fingerprint, OK: true, Record: s.record, Version: s.version}
	case CommitRecord:
		switch {
		case sim.store[a.Fingerprint].version != a.IfVersion:
			m.answer = CommitResult{ID: a.ID, Outcome: Conflict}
		case a.Delete:
			delete(sim.store, a.Fingerprint)
			m.answer = CommitResult{ID: a.ID}
		default:
			// A version is never reused, even after a deletion.
			v := uint64(sim.now.Sub(start)) + uint64(len(sim.storeCalls)) + a.IfVersion + 1
			sim.store[a.Fingerprint] = storedRecord{a.Record, v}
			m.answer = CommitResult{ID: a.ID, Version: v}
		}
	}
	if m.abandoned {
		sim.removeStoreCall(k)
	}
}

func (sim *simulation) removeStoreCall(k int) storeCall {
	m := sim.storeCalls[k]
	sim.storeCalls = slices.Delete(slices.Clone(sim.storeCalls), k, k+1)
	return m
}

func (sim *simulation) deliverAnswer(k int) {
	if m := sim.removeStoreCall(k); sim.incarnations[m.sender] == m.senderIncarnation {
		sim.step(m.sender, m.answer)
	}
}

// loseAnswer reports an unknown outcome to the sender. A commit that was not
// executed remains outstanding and can still be executed.
func (sim *simulation) loseAnswer(k int) {
	m := sim.storeCalls[k]
	var ev Event
	switch a := m.action.(type) {
	case ReadRecord:
		ev = RecordRead{Fingerprint: a.Fingerprint}
		sim.removeStoreCall(k)
	case CommitRecord:
		ev = CommitResult{ID: a.ID, Outcome: Unknown}
		if m.answer != nil {
			sim.removeStoreCall(k)
		} else {
			sim.storeCalls[k].abandoned = true
		}
	}
	if sim.incarnations[m.sender] == m.senderIncarnation {
		sim.step(m.sender, ev)
	}
}

// advanceSecond advances the clock by 1 s and delivers heartbeats, load reports
// and ticks.
func (sim *simulation) advanceSecond() {
	sim.now = sim.now.Add(time.Second)
	sim.exchangeNotices()
	for e, runs := range sim.runs {
		for i := range sim.states {
			if len(runs) == 0 {
				sim.step(i, EndpointIdle{endpoint(e)})
			}
		}
	}
	for i := range sim.states {
		sim.step(i, Tick{})
	}
}
