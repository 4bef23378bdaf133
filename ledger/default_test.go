package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a ledger that stops making progress with the default intervals,
// for example because it waits for a state read that it never requested.
func TestTargetIsReachedWithDefaultIntervals(t *testing.T) {
	for _, e := range engineKinds {
		is := is.New(t)
		w := newLoadedSimulation(e.checks, e.survive, func(c *config) { c.startWhen = bothLoaded })
		w.leaseUntil = 1 << 20
		s := w.cfg.settings()
		r := NewReplica(Settings{Replica: s.Replica, CapacityMB: s.CapacityMB, ChecksTokens: s.ChecksTokens, TokensSurviveRestart: s.TokensSurviveRestart})
		now := startTime
		do := func(ev Event) {
			for acts := r.Step(now, ev); len(acts) > 0; {
				a := acts[0]
				acts = acts[1:]
				switch a := a.(type) {
				case Persist:
					ev = Persisted{Write: a.Record.Write, Epoch: 1, Version: a.Expected + 1}
				case ReadState:
					ev = StateRead{ReadID: a.ID, State: w.engineState()}
				case EngineOrder:
					ev = OrderAnswered{ID: a.Order.ID, Result: w.executeOrder(a.Order)}
					w.performChoice("engine releases")
				}
				acts = append(acts, r.Step(now, ev)...)
			}
		}
		reach := func(what, name string, target []Item) {
			begin := now
			do(TargetChanged{Target: target})
			for !r.Servable(name) {
				if now = now.Add(100 * time.Millisecond); now.Sub(begin) > time.Hour {
					t.Fatalf("%s: %s is never served", e.name, name)
				}
				do(Tick{})
			}
			t.Logf("%s: %s after %v", e.name, what, now.Sub(begin))
		}
		do(LeaseAcquired{Self: ownerSender(0, 1), Until: startTime.Add(24 * time.Hour)})
		reach("b", "b", targetAB)
		reach("c in its place", "c", targetAC)
		now = now.Add(10 * time.Minute)
		do(Tick{})
		reach("b in its place, ten minutes later", "b", targetAB)
		is.Equal(w.violation, "")
	}
}
