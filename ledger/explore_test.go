package ledger

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

func (r *Replica) clone() *Replica {
	c := *r
	c.entries = make([]*entry, len(r.entries))
	for i, e := range r.entries {
		d := *e
		d.Entry = cloneEntry(e.Entry)
		c.entries[i] = &d
	}
	if r.saving != nil {
		s := *r.saving
		c.saving = &s
	}
	c.open, c.finished = maps.Clone(r.open), maps.Clone(r.finished)
	return &c
}

// clone returns a copy that shares the replicas until they are stepped. Lists
// other than the residents are replaced and never changed in place.
func (w *world) clone() *world {
	c := *w
	for i := range c.own {
		c.own[i].shared, w.own[i].shared = true, true
	}
	c.eng.residents = slices.Clone(w.eng.residents)
	return &c
}

// explore walks through every interleaving of the configuration and returns
// the number of states and the steps to the first violation, if any.
func explore(c *config) (states int, trace []string, bad string, complete bool) {
	seen := map[uint64]struct{}{}
	var walk func(w *world) bool
	walk = func(w *world) bool {
		h := w.hash()
		if _, ok := seen[h]; ok {
			return false
		}
		if len(seen) >= c.maxState {
			return true
		}
		seen[h] = struct{}{}
		if c, limit := w.counted(), capacity; c > limit && w.cfg.broken == faithful {
			w.bad = fmt.Sprintf("ledger counts %d of %d MB", c, limit)
		}
		if last := w.cfg.targets[1][len(w.cfg.targets[1])-1]; slices.ContainsFunc(w.own[w.holder].r.View().Entries, func(e ViewEntry) bool { return e.Name == last.Name }) {
			c.reached++
		}
		if w.bad != "" {
			bad = w.bad
			return true
		}
		for _, ch := range w.choices() {
			next := w.clone()
			trace = append(trace, ch.name)
			ch.do(next)
			if walk(next) {
				return true
			}
			trace = trace[:len(trace)-1]
		}
		return false
	}
	w := newWorld(c)
	for c.from != nil && !c.from(w) {
		ch := w.choices()[0]
		trace = append(trace, ch.name)
		ch.do(w)
	}
	stopped := walk(w)
	return len(seen), trace, bad, !stopped
}

func (w *world) counted() int { return w.own[w.holder].r.Counted() }

func model(name string) Item { return Item{Name: name, Version: "1", MemoryMB: modelSize} }

var (
	targetAB = []Item{model("a"), model("b")}
	targetAC = []Item{model("a"), model("c")}
)

// bothLoaded and secondDecided let an exploration start later: when both
// models of the first target serve, and when the order to load the second one
// is in the sender's hands.
func bothLoaded(w *world) bool {
	r := w.own[0].r
	return r.Servable("a") && r.Servable("b")
}

func secondDecided(w *world) bool {
	return slices.ContainsFunc(w.own[0].outbox, func(a Action) bool { s, ok := a.(Send); return ok && s.Order.Name == "b" })
}

// takenOver lets an exploration start when the first owner paused with an order
// in its hands and the second owner has just taken over.
func takenOver(w *world) bool {
	return secondDecided(w) && w.pick("time passes, renewed false") && w.pick("takeover")
}

var adapterChange = [][]Item{adapterTargets("x", "y"), adapterTargets("x", "z")}

func baseLoaded(w *world) bool { return w.own[0].r.Servable("a") }

var full = flag.Bool("explore.full", false, "explore with the larger budgets")

// engines are the kinds of engine that every configuration is explored with.
var engines = []struct {
	name            string
	checks, survive bool
}{{"tokens that survive a restart", true, true}, {"tokens lost in a restart", true, false}, {"tokens ignored", false, false}}

// Guards against every overcommitment of memory and every request that an
// unload cuts, in all interleavings of two owners, the store, the network and
// the engine within the budget of faults. Late loads after an unload, late
// unloads after a reload, an unload acknowledged while memory is held, paused
// holders, successors that know only the record and engines that restart with
// orders on the way are all among them.
func TestExploreInterleavings(t *testing.T) {
	for _, c := range []struct {
		config
		larger budget // explored instead with -explore.full
	}{
		{config{name: "delayed and doubled orders", from: bothLoaded, budget: budget{ticks: 2, wants: 1, dups: 1}}, budget{ticks: 2, wants: 1, dups: 1, timeouts: 1}},
		{config{name: "lost orders and answers", budget: budget{ticks: 1, wants: 1, losses: 1}}, budget{ticks: 1, wants: 1, losses: 2}},
		{config{name: "paused holder", from: secondDecided, budget: budget{ticks: 1, takeovers: 1, wants: 1, late: 1}}, budget{ticks: 3, takeovers: 1, wants: 1, late: 1}},
		{config{name: "two owners in turn", from: bothLoaded, budget: budget{ticks: 1, takeovers: 1, wants: 1}}, budget{ticks: 2, takeovers: 2, wants: 1, dups: 1}},
		{config{name: "restart with orders on the way", from: secondDecided, budget: budget{wants: 1, dups: 1, restarts: 1}}, budget{ticks: 1, wants: 1, dups: 1, timeouts: 1, restarts: 1}},
		{config{name: "takeover and restart", from: secondDecided, budget: budget{ticks: 1, takeovers: 1, restarts: 1}}, budget{ticks: 1, takeovers: 1, wants: 1, late: 1, restarts: 1}},
		{config{name: "requests and a target that returns", from: bothLoaded, budget: budget{ticks: 1, wants: 2, requests: 1, timeouts: 1}}, budget{ticks: 1, wants: 2, requests: 1, timeouts: 1, restarts: 1}},
		{config{name: "adapters loaded by instances", from: baseLoaded, targets: adapterChange, budget: budget{wants: 1, instanceLoads: 1, dups: 1}}, budget{ticks: 1, wants: 1, instanceLoads: 2, dups: 1}},
		{config{name: "unknown commits", budget: budget{ticks: 1, takeovers: 1, storeFaults: 1}}, budget{ticks: 1, takeovers: 1, wants: 1, storeFaults: 2}},
	} {
		for _, e := range engines {
			t.Run(c.name+", "+e.name, func(t *testing.T) {
				t.Parallel()
				k := c.config
				k.checks, k.survive, k.maxState = e.checks, e.survive, 10000000
				if *full {
					k.budget = c.larger
				}
				if k.targets == nil {
					k.targets = [][]Item{targetAB, targetAC, targetAB}
				}
				n, trace, bad, complete := explore(&k)
				t.Logf("%d states explored, %d of them with the second target reached", n, k.reached)
				if e.survive && k.budget.wants > 0 && k.budget.restarts == 0 && k.reached == 0 {
					t.Error("the second target is never reached")
				}
				if bad != "" {
					t.Errorf("%s:\n%s", bad, strings.Join(trace, "\n"))
				} else if !complete {
					t.Errorf("not complete after %d states", n)
				}
			})
		}
	}
}

// Guards against an exploration that cannot see faults: each rule of the
// ledger, broken from outside, must lead to a violation.
func TestExplorationFindsBrokenRules(t *testing.T) {
	for _, c := range []config{
		{name: "acknowledged unload taken as proof", checks: true, survive: true, broken: trustAck, budget: budget{ticks: 1, wants: 1}},
		{name: "tokens trusted on an engine that ignores them", broken: trustTokens, budget: budget{ticks: 1, wants: 1, dups: 1}},
		{name: "tokens trusted after a restart", checks: true, broken: trustRestart, budget: budget{ticks: 1, wants: 1, dups: 2, restarts: 1}},
		{name: "former holder taken as finished", broken: noSenderProof, from: takenOver, budget: budget{ticks: 3, takeovers: 1, wants: 1, late: 1}},
		{name: "no order delay", broken: noDelay, budget: budget{ticks: 1, wants: 1, dups: 1}},
		{name: "reservation not committed", broken: noReservation, budget: budget{ticks: 1, takeovers: 1, wants: 1, late: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.maxState, c.targets = 1500000, [][]Item{targetAB, targetAC}
			n, trace, bad, _ := explore(&c)
			t.Logf("%q after %d states of:\n%s", bad, n, strings.Join(trace, "\n"))
			if bad == "" {
				t.Errorf("no violation in %d states", n)
			}
		})
	}
}
