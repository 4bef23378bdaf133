package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// settle lets the store answer everything at once, for some seconds.
func (w *world) settle(seconds int) {
	for range seconds {
		w.drain()
		w.second()
		w.drain()
	}
}

func (w *world) drain() {
	for len(w.messages) > 0 {
		abandoned := w.messages[0].abandoned
		if w.messages[0].answer == nil {
			w.execute(0)
		}
		if !abandoned {
			w.answer(0)
		}
	}
}

// running returns the endpoint on which f runs, or -1.
func (w *world) running(f Fingerprint) int {
	for e, runs := range w.runs {
		if slices.ContainsFunc(runs, func(r run) bool { return r.f == f }) {
			return e
		}
	}
	return -1
}

// Guards against a third endpoint lost because a trial whose holder died with
// the endpoint is not counted.
func TestStartedTrialOfDeadHolderCountsAsCrash(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 3, 1)
	w.send(0, poison)
	w.crash(0)
	w.settle(3)
	e := w.running(poison)
	is.True(e >= 0 && w.runs[e][0].trial)
	w.die(0)
	w.crash(e)
	is.Equal(w.lost[poison], 2)
	w.settle(10)
	is.Equal(w.running(poison), -1)
	is.Equal(w.refused[poison], 1)
	for i := 1; i < 3; i++ {
		verdict, until := w.states[i].Check(poison, w.now)
		is.Equal(verdict, Quarantined)
		is.True(until.After(w.now))
	}
}

// Guards against an innocent request that stays refused because the instance
// that had claimed its trial died before the trial started.
func TestClaimOfDeadHolderIsTakenOver(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 3, 1)
	w.send(0, innocent)
	w.crash(0)
	w.drain() // claimed, and waiting for the endpoint
	is.True(w.store[innocent].record.Trial != nil)
	w.die(0)
	w.settle(10)
	e := w.running(innocent)
	is.True(e >= 0)
	w.complete(e, 0)
	w.settle(2)
	is.Equal(w.answered[innocent], 1)
	is.Equal(w.store[innocent].version, uint64(0)) // the record is deleted
	for i := 1; i < 3; i++ {
		verdict, _ := w.states[i].Check(innocent, w.now)
		is.Equal(verdict, Clear)
	}
}

// Guards against suspicion of requests that were not on the lost endpoint.
func TestLostEndpointWithOneRequestLeavesOneSuspect(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 3, 0)
	w.states[1].Step(w.now, Started{innocent}) // elsewhere
	w.send(0, poison)
	w.crash(0)
	for _, s := range w.states {
		is.Equal(s.Suspects(), 1)
		verdict, _ := s.Check(innocent, w.now)
		is.Equal(verdict, Clear)
	}
}

// Guards against a trial beside a copy of the request that still runs.
func TestNoTrialWhileACopyRuns(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 3, 0)
	w.addRun(1, run{1, 50, innocent, false})
	w.step(1, Started{innocent})
	w.send(0, innocent)
	w.crash(0)
	w.settle(20)
	is.Equal(w.store[innocent].record.Trial.Running, false)
	w.complete(1, 0)
	w.settle(3)
	is.True(w.store[innocent].record.Trial.Running)
}

// Guards against a trial that waits for ever for a run of a dead instance.
func TestLateNoticeOfDeadPeerHoldsUpNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 3, 0)
	w.send(0, innocent)
	w.crash(0)
	w.die(2)
	notice := Notice{Fingerprint: innocent, Losses: w.states[0].Notices(w.now)[0].Losses, Since: w.now, InFlight: 1}
	w.step(0, NoticesReceived{From: instance(2), Notices: []Notice{notice}})
	w.settle(5)
	is.True(w.running(innocent) >= 0)
}

// Guards against trials that start without a claim in the store.
func TestNoTrialWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 3, 0)
	w.send(0, innocent)
	w.crash(0)
	for range 30 {
		w.second()
		for len(w.messages) > 0 {
			m := w.remove(0)
			if a, ok := m.action.(CommitRecord); ok {
				w.step(0, CommitResult{ID: a.ID, Outcome: NotApplied})
			} else {
				w.step(0, RecordRead{Fingerprint: innocent})
			}
		}
	}
	is.Equal(w.running(innocent), -1)
	w.settle(10)
	is.True(w.running(innocent) >= 0)
}

// Guards against a quarantine that never ends, and against more than one lost
// endpoint per quarantine after the first.
func TestAfterQuarantineOneTrialDecides(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 3, 0)
	w.send(0, poison)
	w.crash(0)
	w.settle(4)
	w.crash(w.running(poison))
	w.settle(2)
	_, until := w.states[1].Check(poison, w.now)
	w.now = until
	w.settle(2)
	w.send(1, poison)
	w.settle(5)
	w.crash(w.running(poison))
	w.settle(5)
	is.Equal(w.lost[poison], 3)
	verdict, again := w.states[0].Check(poison, w.now)
	is.Equal(verdict, Quarantined)
	is.True(again.After(until))

	w.step(0, Lifted{poison})
	w.settle(2)
	for _, s := range w.states {
		verdict, _ := s.Check(poison, w.now)
		is.Equal(verdict, Clear)
	}
	is.Equal(w.store[poison].version, uint64(0))
}

// Guards against an innocent request that stays quarantined because the holder
// of its trial was cut off and counted as dead while the trial ran.
func TestCompletedTrialUndoesItsCountedLoss(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 3, 0)
	w.send(0, innocent)
	w.crash(0)
	w.settle(3)
	e := w.running(innocent)
	w.step(1, MembersChanged{map[fleet.InstanceID]fleet.Incarnation{instance(1): 1, instance(2): 1}})
	w.send(1, innocent)
	w.settle(10)
	verdict, _ := w.states[1].Check(innocent, w.now)
	is.Equal(verdict, Quarantined)
	w.complete(e, 0)
	w.settle(3)
	verdict, _ = w.states[1].Check(innocent, w.now)
	is.Equal(verdict, Clear)
	is.Equal(w.store[innocent].version, uint64(0))
}

// Guards at random against a third lost endpoint, two trials at once and
// trials that don't run alone, and against innocent requests that are never
// cleared and answered.
func TestQuarantineAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, 4, rapid.IntRange(0, 6).Draw(t, "resends"))
		for i := range rapid.IntRange(1, 3).Draw(t, "copies") {
			w.send(i, poison)
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "innocents") {
			w.send(i, innocent)
		}
		w.crash(0)
		for range rapid.IntRange(10, 80).Draw(t, "moves") {
			n := node{w: w, left: faults{losses: 1, deaths: 1}}
			moves := n.moves(w.now.Add(time.Second))
			c := moves[rapid.IntRange(0, len(moves)-1).Draw(t, "move")]
			w = c.w
			if w.broken != "" || w.lost[poison] > 2 {
				t.Fatalf("%d endpoints lost, %s", w.lost[poison], w.broken)
			}
		}
		w.resends = 0
		for i, s := range w.states {
			if s == nil {
				w.boot(i)
			}
		}
		w.finish(30)
		if w.lost[poison] > 2 {
			t.Fatalf("%d endpoints lost", w.lost[poison])
		}
		// The started trial of an instance that died puts the innocent request
		// into quarantine, once it is read. That ends, and a trial clears it.
		before := w.answered[innocent]
		for range 2 {
			w.now = w.now.Add(testConfig.DefaultFor)
			w.finish(5)
			w.send(1, innocent)
			w.finish(30)
		}
		if w.answered[innocent] <= before || len(w.waiting) > 0 {
			t.Fatalf("innocent request is not answered; waiting: %v", w.waiting)
		}
	})
}

// finish lets the world run without faults: endpoints with the poison crash,
// and everything else completes.
func (w *world) finish(seconds int) {
	for range seconds {
		w.settle(1)
		for e := range w.runs {
			switch {
			case len(w.runs[e]) == 0:
			case slices.ContainsFunc(w.runs[e], func(r run) bool { return r.f == poison }):
				w.crash(e)
			default:
				w.complete(e, 0)
			}
		}
	}
}
