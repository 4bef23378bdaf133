package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// simulation runs two calls with the same key on two instances that share a store
// and a service. Each step depends on choices, such as which call acts and how its
// store call or request ends. Enumerating the choices covers all interleavings.
type simulation struct {
	t              *testing.T
	choices        []int // the given prefix of choices, followed by zeros
	choiceCounts   []int // number of alternatives of each choice
	faultsLeft     int   // faults that can still occur
	now            time.Time
	record         Record
	version        uint64 // 0 if no record exists
	delayedCommits []Commit
	executions     int // number of times the service executed the booking
	callers        [2]*caller
	trace          []string
}

// caller is one call with its pending actions, and what its caller observed.
type caller struct {
	call        *Call
	queue       []Action
	dead        bool
	executed    bool // the service executed this caller's request
	sendCount   int
	answerCount int
	verdict     Verdict
}

// choose returns the next choice among n alternatives.
func (sim *simulation) choose(n int, label string) int {
	if n == 1 {
		return 0
	}
	i := len(sim.choiceCounts)
	sim.choiceCounts = append(sim.choiceCounts, n)
	if i == len(sim.choices) {
		sim.choices = append(sim.choices, 0)
	}
	sim.trace = append(sim.trace, fmt.Sprintf("%s=%d", label, sim.choices[i]))
	return sim.choices[i]
}

// chooseFault chooses between success, which is 0, and n kinds of fault. It
// returns 0 if no faults are left.
func (sim *simulation) chooseFault(n int, label string) int {
	if sim.faultsLeft == 0 {
		return 0
	}
	f := sim.choose(n+1, label)
	if f > 0 {
		sim.faultsLeft--
	}
	return f
}

func (sim *simulation) applyCommit(c Commit) (uint64, bool) {
	if c.IfVersion != sim.version {
		return 0, false
	}
	sim.record, sim.version = c.Record, sim.version+1
	return sim.version, true
}

func (sim *simulation) commit(a Commit) Event {
	switch sim.chooseFault(3, "commit") {
	case 1:
		return CommitFailed{}
	case 2: // takes effect, answer lost
		sim.applyCommit(a)
		return CommitUnknown{}
	case 3: // can take effect later
		sim.delayedCommits = append(sim.delayedCommits, a)
		return CommitUnknown{}
	}
	if v, ok := sim.applyCommit(a); ok {
		return Committed{Version: v}
	}
	return Conflicted{}
}

// perform carries out one action of a caller and returns the event that answers it.
func (sim *simulation) perform(c *caller, a Action) Event {
	switch a := a.(type) {
	case Commit:
		return sim.commit(a)
	case Read:
		if sim.chooseFault(1, "read") == 1 {
			return ReadFailed{}
		}
		ev := ReadResult{Found: sim.version > 0, Version: sim.version, Record: sim.record}
		for _, o := range sim.callers {
			ev.OwnerAlive = ev.OwnerAlive || o.call.owner == sim.record.Owner && !o.dead
		}
		return ev
	case Send:
		c.sendCount++
		switch sim.chooseFault(3, "send") {
		case 1:
			return NotSent{}
		case 2: // executed, answer lost
			sim.executions++
			c.executed = true
			return SendUnknown{}
		case 3: // not executed, outcome unknown
			return SendUnknown{}
		}
		sim.executions++
		c.executed = true
		return Answered{Answer: Answer{Status: 201, Body: []byte("booked")}}
	case PutObject:
		if sim.chooseFault(1, "put") == 1 {
			return ObjectFailed{}
		}
		return ObjectStored{}
	case Wait:
		sim.now = a.Until
		return WaitEnded{}
	case Reply:
		c.answerCount++
		c.verdict = a.Verdict
	}
	return nil
}

// step performs the next action of one caller or applies the oldest delayed
// commit. It reports whether there was anything left to do.
func (sim *simulation) step() bool {
	var ready []int
	for i, c := range sim.callers {
		if !c.dead && (len(c.queue) > 0 || c.call.phase == idle) {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 && len(sim.delayedCommits) == 0 {
		return false
	}
	choice := sim.choose(len(ready)+min(len(sim.delayedCommits), 1), "who")
	if choice == len(ready) {
		sim.applyCommit(sim.delayedCommits[0])
		sim.delayedCommits = sim.delayedCommits[1:]
		return true
	}
	c := sim.callers[ready[choice]]
	if sim.chooseFault(1, "die") == 1 {
		c.dead = true
		return true
	}
	if sim.chooseFault(1, "gone") == 1 {
		c.queue = append(c.queue, c.call.Step(sim.now, CallerGone{})...)
	}
	if c.call.phase == idle {
		c.queue = c.call.Step(sim.now, Begun{})
		return true
	}
	a := c.queue[0]
	c.queue = c.queue[1:]
	if ev := sim.perform(c, a); ev != nil {
		c.queue = append(c.queue, c.call.Step(sim.now, ev)...)
	}
	return true
}

// simulationState holds everything on which the rest of a run depends.
type simulationState struct {
	faultsLeft, executions int
	now                    int64
	version                uint64
	record                 string
	delayedCommits         string
	callers                [2]callerState
}

type callerState struct {
	phase                                                  phase
	version                                                uint64
	backoff, deadline                                      int64
	claimPossible, waitPending, callerGone, answered, dead bool
	executed                                               bool
	sendCount, answerCount                                 int
	verdict                                                Verdict
	queue, finalRecord                                     string
}

func (sim *simulation) state() simulationState {
	s := simulationState{faultsLeft: sim.faultsLeft, executions: sim.executions, now: sim.now.UnixNano(), version: sim.version, record: recordState(sim.record)}
	for _, c := range sim.delayedCommits {
		s.delayedCommits += actionState(c)
	}
	for i, c := range sim.callers {
		s.callers[i] = callerState{
			phase: c.call.phase, version: c.call.version, backoff: int64(c.call.backoff), deadline: c.call.deadline.UnixNano(),
			claimPossible: c.call.claimPossible, waitPending: c.call.waitPending, callerGone: c.call.callerGone, answered: c.call.answered, dead: c.dead,
			executed: c.executed, sendCount: c.sendCount, answerCount: c.answerCount, verdict: c.verdict, finalRecord: recordState(c.call.finalRecord),
		}
		for _, a := range c.queue {
			s.callers[i].queue += actionState(a)
		}
	}
	return s
}

func recordState(r Record) string {
	return string([]byte{'a' + byte(r.Status), '0' + byte(r.Owner.Call), '0' + byte(len(r.Answer.Object)), '0' + byte(len(r.Answer.Body)), r.BodyHash[0]})
}

func actionState(a Action) string {
	switch a := a.(type) {
	case Commit:
		return "commit" + recordState(a.Record) + string(rune('0'+a.IfVersion))
	case Reply:
		return "tell" + string(rune('a'+a.Verdict))
	case Wait:
		return "wait" + a.Until.String()
	default:
		return fmt.Sprintf("%T", a)
	}
}

// checkInvariants verifies the invariants at the end of a run.
func (sim *simulation) checkInvariants() {
	fail := func(format string, args ...any) {
		sim.t.Helper()
		sim.t.Fatalf("%s\nsteps: %v", fmt.Sprintf(format, args...), sim.trace)
	}
	if sim.executions > 1 {
		fail("the booking ran %d times", sim.executions)
	}
	for i, c := range sim.callers {
		if c.sendCount > 1 || c.answerCount > 1 {
			fail("caller %d: %d sends, %d answers", i, c.sendCount, c.answerCount)
		}
		if !c.dead && c.answerCount != 1 {
			fail("caller %d was told nothing", i)
		}
		if c.answerCount == 0 {
			continue
		}
		switch c.verdict {
		case StoreUnavailable, NotExecuted, KeyReused:
			if c.executed {
				fail("caller %d was told that its request did not run, but it did", i)
			}
		case Executed:
			if !c.executed {
				fail("caller %d was told that its request ran, but it did not", i)
			}
		case Replayed:
			if sim.executions != 1 {
				fail("caller %d got an answer of a booking that ran %d times", i, sim.executions)
			}
		}
	}
	if sim.version > 0 && sim.record.Status == Claimed && !sim.callers[sim.record.Owner.Call].dead {
		fail("a claim of a living instance is left open")
	}
	if sim.version > 0 && sim.record.Status == Released && sim.executions > 0 {
		fail("the key of a booking that ran is free again")
	}
}

// explore runs the simulation for all sequences of choices with at most the given
// number of faults and returns the number of runs. A run ends early in a state
// that was reached before.
func explore(t *testing.T, faults int, bodies [2]string, large bool) int {
	settings := DefaultSettings()
	if large {
		settings.MaxInlineBytes = 0
	}
	var choices []int
	seen := make(map[simulationState]bool)
	for runs := 1; ; runs++ {
		sim := &simulation{t: t, choices: choices, faultsLeft: faults, now: time.Unix(0, 0)}
		for i := range sim.callers {
			owner := Owner{Instance: fleet.InstanceID(fmt.Sprint("i", i)), Incarnation: 1, Call: uint64(i)}
			sim.callers[i] = &caller{call: NewCall(settings, "once/k", owner, BodyHash("POST", "/bookings", []byte(bodies[i])))}
		}
		stateSeen := false
		path := make(map[simulationState]bool)
		for !stateSeen && sim.step() {
			// Steps before the first new choice repeat the previous run.
			if len(sim.choiceCounts) >= len(choices) {
				state := sim.state()
				if path[state] {
					t.Fatalf("no progress: %v", sim.trace)
				}
				path[state] = true
				stateSeen = seen[state]
				seen[state] = true
			}
		}
		if !stateSeen {
			sim.checkInvariants()
		}
		// The next run changes the last choice that has an alternative left.
		choices = sim.choices
		last := len(choices) - 1
		for last >= 0 && choices[last] == sim.choiceCounts[last]-1 {
			last--
		}
		if last < 0 {
			return runs
		}
		choices = append([]int(nil), choices[:last+1]...)
		choices[last]++
	}
}

// Guards against a booking that is executed twice, a caller told that its request
// was not executed although it was, a key left claimed by a live instance, and a
// caller without an answer. It covers every interleaving of two calls with the
// same key and up to two faults: store calls that fail, lose their answer or take
// effect late, requests and answers that are lost, instances that die and callers
// that disconnect.
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
