package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// world is two callers with one key that go through two instances to one
// store and one service. Each step is a choice, so that all interleavings can
// be walked through: which caller acts, and how its store call or request ends.
type world struct {
	t       *testing.T
	choices []int // the choices made; the part beyond the prefix is all 0
	sizes   []int // alternatives that each choice had
	faults  int   // faults that may still happen
	now     time.Time
	record  Record
	version uint64 // 0 without a record
	delayed []Commit
	runs    int // how often the service has run the booking
	callers [2]*caller
	trace   []string
}

type caller struct {
	call    *Call
	queue   []Action
	dead    bool
	ran     bool // the service ran this caller's request
	sends   int
	tells   int
	verdict Verdict
}

func (w *world) choose(n int, label string) int {
	if n == 1 {
		return 0
	}
	i := len(w.sizes)
	w.sizes = append(w.sizes, n)
	if i == len(w.choices) {
		w.choices = append(w.choices, 0)
	}
	w.trace = append(w.trace, fmt.Sprintf("%s=%d", label, w.choices[i]))
	return w.choices[i]
}

// fault chooses among the good outcome 0 and n faulty ones, while faults are left.
func (w *world) fault(n int, label string) int {
	if w.faults == 0 {
		return 0
	}
	f := w.choose(n+1, label)
	if f > 0 {
		w.faults--
	}
	return f
}

func (w *world) apply(c Commit) (uint64, bool) {
	if c.IfVersion != w.version {
		return 0, false
	}
	w.record, w.version = c.Record, w.version+1
	return w.version, true
}

func (w *world) commit(a Commit) Event {
	switch w.fault(3, "commit") {
	case 1:
		return StoreDown{}
	case 2: // took effect, answer lost
		w.apply(a)
		return StoreLost{}
	case 3: // may take effect later
		w.delayed = append(w.delayed, a)
		return StoreLost{}
	}
	if v, ok := w.apply(a); ok {
		return Committed{Version: v}
	}
	return Conflicted{}
}

// do carries out one action of a caller and returns the event that answers it.
func (w *world) do(c *caller, a Action) Event {
	switch a := a.(type) {
	case Commit:
		return w.commit(a)
	case Read:
		if w.fault(1, "read") == 1 {
			return LoadFailed{}
		}
		ev := Loaded{Found: w.version > 0, Version: w.version, Record: w.record}
		for _, o := range w.callers {
			ev.OwnerAlive = ev.OwnerAlive || o.call.owner == w.record.Owner && !o.dead
		}
		return ev
	case Send:
		c.sends++
		switch w.fault(3, "send") {
		case 1:
			return NotSent{}
		case 2: // ran, answer lost
			w.runs++
			c.ran = true
			return SendLost{}
		case 3: // did not run, and nobody knows
			return SendLost{}
		}
		w.runs++
		c.ran = true
		return Answered{Answer: Answer{Status: 201, Body: []byte("booked")}}
	case PutObject:
		if w.fault(1, "put") == 1 {
			return ObjectFailed{}
		}
		return ObjectStored{}
	case Wait:
		w.now = a.Until
		return Woken{}
	case Tell:
		c.tells++
		c.verdict = a.Verdict
	}
	return nil
}

// step lets one caller, or one delayed write, take its next step and reports
// whether there was anything left to do.
func (w *world) step() bool {
	var able []int
	for i, c := range w.callers {
		if !c.dead && (len(c.queue) > 0 || c.call.phase == idle) {
			able = append(able, i)
		}
	}
	if len(able) == 0 && len(w.delayed) == 0 {
		return false
	}
	pick := w.choose(len(able)+min(len(w.delayed), 1), "who")
	if pick == len(able) {
		w.apply(w.delayed[0])
		w.delayed = w.delayed[1:]
		return true
	}
	c := w.callers[able[pick]]
	if w.fault(1, "die") == 1 {
		c.dead = true
		return true
	}
	if w.fault(1, "gone") == 1 {
		c.queue = append(c.queue, c.call.Step(w.now, CallerGone{})...)
	}
	if c.call.phase == idle {
		c.queue = c.call.Step(w.now, Begun{})
		return true
	}
	a := c.queue[0]
	c.queue = c.queue[1:]
	if ev := w.do(c, a); ev != nil {
		c.queue = append(c.queue, c.call.Step(w.now, ev)...)
	}
	return true
}

// worldState identifies everything that decides how a run can go on.
type worldState struct {
	faults, runs int
	now          int64
	version      uint64
	record       string
	delayed      string
	callers      [2]callerState
}

type callerState struct {
	phase                            phase
	version                          uint64
	pause, deadline                  int64
	maybe, waiting, gone, told, dead bool
	ran                              bool
	sends, tells                     int
	verdict                          Verdict
	queue, final                     string
}

func (w *world) state() worldState {
	s := worldState{faults: w.faults, runs: w.runs, now: w.now.UnixNano(), version: w.version, record: recordState(w.record)}
	for _, c := range w.delayed {
		s.delayed += actionState(c)
	}
	for i, c := range w.callers {
		s.callers[i] = callerState{
			phase: c.call.phase, version: c.call.version, pause: int64(c.call.pause), deadline: c.call.deadline.UnixNano(),
			maybe: c.call.maybe, waiting: c.call.waiting, gone: c.call.gone, told: c.call.told, dead: c.dead,
			ran: c.ran, sends: c.sends, tells: c.tells, verdict: c.verdict, final: recordState(c.call.final),
		}
		for _, a := range c.queue {
			s.callers[i].queue += actionState(a)
		}
	}
	return s
}

func recordState(r Record) string {
	return string([]byte{'a' + byte(r.Status), '0' + byte(r.Owner.Call), '0' + byte(len(r.Answer.Object)), '0' + byte(len(r.Answer.Body)), r.Body[0]})
}

func actionState(a Action) string {
	switch a := a.(type) {
	case Commit:
		return "commit" + recordState(a.Record) + string(rune('0'+a.IfVersion))
	case Tell:
		return "tell" + string(rune('a'+a.Verdict))
	case Wait:
		return "wait" + a.Until.String()
	default:
		return fmt.Sprintf("%T", a)
	}
}

// check verifies what must hold at the end of every run.
func (w *world) check() {
	fail := func(format string, args ...any) {
		w.t.Helper()
		w.t.Fatalf("%s\nsteps: %v", fmt.Sprintf(format, args...), w.trace)
	}
	if w.runs > 1 {
		fail("the booking ran %d times", w.runs)
	}
	for i, c := range w.callers {
		if c.sends > 1 || c.tells > 1 {
			fail("caller %d: %d sends, %d answers", i, c.sends, c.tells)
		}
		if !c.dead && c.tells != 1 {
			fail("caller %d was told nothing", i)
		}
		if c.tells == 0 {
			continue
		}
		switch c.verdict {
		case StoreUnavailable, NotExecuted, OtherBody:
			if c.ran {
				fail("caller %d was told that its request did not run, but it did", i)
			}
		case Ran:
			if !c.ran {
				fail("caller %d was told that its request ran, but it did not", i)
			}
		case Replayed:
			if w.runs != 1 {
				fail("caller %d got an answer of a booking that ran %d times", i, w.runs)
			}
		}
	}
	if w.version > 0 && w.record.Status == Claimed && !w.callers[w.record.Owner.Call].dead {
		fail("a claim of a living instance is left open")
	}
	if w.version > 0 && w.record.Status == Released && w.runs > 0 {
		fail("the key of a booking that ran is free again")
	}
}

// explore walks through all choices with at most the given number of faults
// and returns the number of runs. A run ends early in a state from which all
// ways on have been walked before.
func explore(t *testing.T, faults int, bodies [2]string, large bool) int {
	settings := DefaultSettings()
	if large {
		settings.InlineBytes = 0
	}
	var choices []int
	seen := make(map[worldState]bool)
	for runs := 1; ; runs++ {
		w := &world{t: t, choices: choices, faults: faults, now: time.Unix(0, 0)}
		for i := range w.callers {
			owner := Owner{Instance: fleet.InstanceID(fmt.Sprint("i", i)), Incarnation: 1, Call: uint64(i)}
			w.callers[i] = &caller{call: NewCall(settings, "once/k", owner, BodyHash("POST", "/bookings", []byte(bodies[i])))}
		}
		known := false
		path := make(map[worldState]bool)
		for !known && w.step() {
			// Steps up to the first new choice repeat the run before.
			if len(w.sizes) >= len(choices) {
				state := w.state()
				if path[state] {
					t.Fatalf("no progress: %v", w.trace)
				}
				path[state] = true
				known = seen[state]
				seen[state] = true
			}
		}
		if !known {
			w.check()
		}
		// The next run differs in the last choice that has an alternative left.
		choices = w.choices
		last := len(choices) - 1
		for last >= 0 && choices[last] == w.sizes[last]-1 {
			last--
		}
		if last < 0 {
			return runs
		}
		choices = append([]int(nil), choices[:last+1]...)
		choices[last]++
	}
}

// Guards against a booking that runs twice, an answer "did not run" for one
// that ran, a key left blocked by a living instance, and a caller left without
// an answer, in every interleaving of two calls with the same key and up to
// two faults: store calls that fail, lose their answer or take effect late,
// requests that are lost on either way, instances that die and callers that
// hang up.
func TestAtMostOnceInEveryInterleaving(t *testing.T) {
	for _, c := range []struct {
		name   string
		bodies [2]string
		large  bool
	}{
		{"same body", [2]string{"a", "a"}, false},
		{"other body", [2]string{"a", "b"}, false},
		{"answer stored as object", [2]string{"a", "a"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("%d runs", explore(t, 2, c.bodies, c.large))
		})
	}
}
