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
	poison   Fingerprint = 1 // every run ends in the death of its endpoint
	innocent Fingerprint = 2
)

// run is one request on an endpoint.
type run struct {
	instance int // -1 once the instance has died
	request  uint64
	f        Fingerprint
	trial    bool
}

// message is a store call on its way there or back.
type message struct {
	from      int
	process   fleet.Incarnation
	action    Action
	answer    Event
	abandoned bool
}

type stored struct {
	record  Record
	version uint64
}

// world is a fleet with a store under virtual time. Notices reach all live
// instances at once.
type world struct {
	now      time.Time
	states   []*State // nil while the instance is down
	shared   []bool
	process  []fleet.Incarnation
	boots    []int   // of each endpoint
	runs     [][]run // of each endpoint
	store    map[Fingerprint]stored
	messages []message

	requests  uint64                 // number of the last request
	resends   int                    // resends that callers still make
	lost      map[Fingerprint]int    // endpoints lost while the fingerprint ran
	answered  map[Fingerprint]int    // requests answered
	refused   map[Fingerprint]int    // requests refused
	waiting   map[uint64]Fingerprint // requests that wait for a trial, by number
	waitingAt map[uint64]int
	broken    string // the first violation
}

var testConfig = Config{
	DefaultFor: 10 * time.Minute, SettleAfter: time.Second, PollEvery: time.Second, HolderGrace: time.Second,
	ResultTimeout: time.Hour, ReserveTimeout: time.Minute,
}

func newWorld(instances, endpoints, resends int) *world {
	w := &world{
		now: start, states: make([]*State, instances), shared: make([]bool, instances), process: make([]fleet.Incarnation, instances),
		boots: make([]int, endpoints), runs: make([][]run, endpoints), store: map[Fingerprint]stored{}, resends: resends,
		lost: map[Fingerprint]int{}, answered: map[Fingerprint]int{}, refused: map[Fingerprint]int{},
		waiting: map[uint64]Fingerprint{}, waitingAt: map[uint64]int{},
	}
	for i := range instances {
		w.boot(i)
	}
	return w
}

func instance(i int) fleet.InstanceID    { return fleet.InstanceID("i" + strconv.Itoa(i)) }
func endpoint(e int) fleet.EndpointID    { return fleet.EndpointID("e" + strconv.Itoa(e)) }
func (w *world) bootID(e int) string     { return "b" + strconv.Itoa(w.boots[e]) }
func index(e fleet.EndpointID) int       { return int(e[1] - '0') }
func (w *world) fail(s string, a ...any) { w.broken = cmp.Or(w.broken, fmt.Sprintf(s, a...)) }

func (w *world) boot(i int) {
	w.process[i]++
	cfg := testConfig
	cfg.Self, cfg.Incarnation = instance(i), w.process[i]
	w.states[i], w.shared[i] = New(cfg), false
	w.members()
	w.gossip()
}

func (w *world) members() {
	alive := map[fleet.InstanceID]fleet.Incarnation{}
	for i, s := range w.states {
		if s != nil {
			alive[instance(i)] = w.process[i]
		}
	}
	for i := range w.states {
		w.step(i, MembersChanged{alive})
	}
}

// gossip sends every instance's heartbeat to all others.
func (w *world) gossip() {
	for i, s := range w.states {
		if s == nil {
			continue
		}
		notices := s.Notices(w.now)
		for j := range w.states {
			if j != i {
				w.step(j, NoticesReceived{From: instance(i), Complete: true, Notices: notices})
			}
		}
	}
}

func (w *world) step(i int, ev Event) {
	if w.states[i] == nil {
		return
	}
	if w.shared[i] {
		w.states[i], w.shared[i] = cloneState(w.states[i]), false
	}
	for _, a := range w.states[i].Step(w.now, ev) {
		switch a := a.(type) {
		case ReadRecord, CommitRecord:
			w.messages = append(w.messages, message{from: i, process: w.process[i], action: a})
		case TellPeers:
			for j := range w.states {
				if j != i {
					w.step(j, NoticesReceived{From: instance(i), Notices: a.Notices})
				}
			}
		case StartTrial:
			w.startTrial(i, a)
		case AdmitRequests:
			for _, r := range a.Requests {
				w.stopWaiting(r)
				w.admit(i, r, a.Fingerprint)
			}
		case RefuseRequests:
			for _, r := range a.Requests {
				w.stopWaiting(r)
				w.refuse(i, a.Fingerprint)
			}
		}
	}
}

func (w *world) stopWaiting(r uint64) { delete(w.waiting, r); delete(w.waitingAt, r) }

func (w *world) startTrial(i int, a StartTrial) {
	w.stopWaiting(a.Request)
	e := index(a.Endpoint)
	if len(w.runs[e]) > 0 {
		w.fail("trial of %d starts on busy endpoint %d: %v", a.Fingerprint, e, w.runs[e])
	}
	for _, runs := range w.runs {
		for _, r := range runs {
			if r.f == a.Fingerprint {
				w.fail("trial of %d starts on %d beside %v", a.Fingerprint, e, r)
			}
		}
	}
	w.addRun(e, run{i, a.Request, a.Fingerprint, true})
}

func (w *world) addRun(e int, r run) { w.runs[e] = append(slices.Clone(w.runs[e]), r) }

// send is a new request of a caller.
func (w *world) send(i int, f Fingerprint) {
	w.requests++
	w.admit(i, w.requests, f)
}

// admit does what the control goroutine does with an arriving request, or
// with one that lost its endpoint.
func (w *world) admit(i int, request uint64, f Fingerprint) {
	switch verdict, _ := w.states[i].Check(f, w.now); verdict {
	case Clear:
		for e := range w.runs { // equal content prefers the same endpoint
			if !w.states[i].Reserved(endpoint(e)) {
				w.addRun(e, run{i, request, f, false})
				w.step(i, Started{f})
				return
			}
		}
		w.refuse(i, f)
	case Quarantined:
		w.refuse(i, f)
	case NeedsTrial:
		w.waiting[request], w.waitingAt[request] = f, i
		var candidates []Candidate
		for e := range w.runs {
			candidates = append(candidates, Candidate{endpoint(e), w.bootID(e)})
		}
		slices.Reverse(candidates)
		w.step(i, TrialWanted{Request: request, Fingerprint: f, Candidates: candidates})
	}
}

// refuse ends a request; its caller may send it again through the next instance.
func (w *world) refuse(i int, f Fingerprint) {
	w.refused[f]++
	w.resend(i, f)
}

func (w *world) resend(i int, f Fingerprint) {
	if w.resends == 0 {
		return
	}
	for k := 1; k <= len(w.states); k++ {
		if j := (i + k) % len(w.states); w.states[j] != nil {
			w.resends--
			w.send(j, f)
			return
		}
	}
}

// crash ends an endpoint and everything on it.
func (w *world) crash(e int) {
	loss := Loss{Endpoint: endpoint(e), BootID: w.bootID(e)}
	runs := w.runs[e]
	w.runs[e] = nil
	w.boots[e]++
	for _, r := range runs {
		if r.f == poison {
			w.lost[poison]++
			break
		}
	}
	for i := range w.states {
		var inFlight []Fingerprint
		for _, r := range runs {
			if r.instance == i && !r.trial {
				inFlight = append(inFlight, r.f)
			}
		}
		if len(inFlight) > 0 {
			w.step(i, EndpointLost{Loss: loss, Fingerprints: inFlight})
		}
	}
	for _, r := range runs {
		switch {
		case r.instance < 0:
			continue
		case r.trial:
			w.step(r.instance, TrialEnded{r.request, r.f, TrialEndpointLost})
		default:
			w.step(r.instance, Ended{r.f})
		}
		w.admit(r.instance, r.request, r.f)
	}
}

// complete ends a run with an answer. Runs whose instance died just end.
func (w *world) complete(e, at int) {
	r := w.runs[e][at]
	w.runs[e] = slices.Delete(slices.Clone(w.runs[e]), at, at+1)
	switch {
	case r.instance < 0:
	case r.trial:
		w.answered[r.f]++
		w.step(r.instance, TrialEnded{r.request, r.f, TrialCompleted})
	default:
		w.answered[r.f]++
		w.step(r.instance, Ended{r.f})
	}
}

// die ends an instance. Its callers send their requests again.
func (w *world) die(i int) {
	w.states[i] = nil
	var again []Fingerprint
	for e := range w.runs {
		w.runs[e] = slices.Clone(w.runs[e])
		for k := range w.runs[e] {
			if w.runs[e][k].instance == i {
				again = append(again, w.runs[e][k].f)
				w.runs[e][k].instance = -1
			}
		}
	}
	for _, r := range slices.Sorted(maps.Keys(w.waitingAt)) {
		if w.waitingAt[r] == i {
			again = append(again, w.waiting[r])
			w.stopWaiting(r)
		}
	}
	w.members()
	for _, f := range again {
		w.resend(i, f)
	}
}

// execute lets the store carry out a call.
func (w *world) execute(k int) {
	m := &w.messages[k]
	switch a := m.action.(type) {
	case ReadRecord:
		s := w.store[a.Fingerprint]
		m.answer = RecordRead{Fingerprint: a.Fingerprint, OK: true, Record: s.record, Version: s.version}
	case CommitRecord:
		switch {
		case w.store[a.Fingerprint].version != a.IfVersion:
			m.answer = CommitResult{ID: a.ID, Outcome: Conflict}
		case a.Delete:
			delete(w.store, a.Fingerprint)
			m.answer = CommitResult{ID: a.ID}
		default:
			// Versions never repeat, also after a deletion.
			v := uint64(w.now.Sub(start)) + uint64(len(w.messages)) + a.IfVersion + 1
			w.store[a.Fingerprint] = stored{a.Record, v}
			m.answer = CommitResult{ID: a.ID, Version: v}
		}
	}
	if m.abandoned {
		w.remove(k)
	}
}

func (w *world) remove(k int) message {
	m := w.messages[k]
	w.messages = slices.Delete(slices.Clone(w.messages), k, k+1)
	return m
}

func (w *world) answer(k int) {
	if m := w.remove(k); w.process[m.from] == m.process {
		w.step(m.from, m.answer)
	}
}

// lose tells the sender that the outcome is unknown. A commit that was not
// executed stays on its way.
func (w *world) lose(k int) {
	m := w.messages[k]
	var ev Event
	switch a := m.action.(type) {
	case ReadRecord:
		ev = RecordRead{Fingerprint: a.Fingerprint}
		w.remove(k)
	case CommitRecord:
		ev = CommitResult{ID: a.ID, Outcome: Unknown}
		if m.answer != nil {
			w.remove(k)
		} else {
			w.messages[k].abandoned = true
		}
	}
	if w.process[m.from] == m.process {
		w.step(m.from, ev)
	}
}

// second lets a second pass: heartbeats, load reports and ticks.
func (w *world) second() {
	w.now = w.now.Add(time.Second)
	w.gossip()
	for e, runs := range w.runs {
		for i := range w.states {
			if len(runs) == 0 {
				w.step(i, EndpointIdle{endpoint(e)})
			}
		}
	}
	for i := range w.states {
		w.step(i, Tick{})
	}
}
