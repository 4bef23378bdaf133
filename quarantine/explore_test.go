package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// faultBudget is the number of faults of each kind that can still be injected.
type faultBudget struct{ losses, deaths int }

// pathStep is one move of a path and links to the moves before it. The path is
// formatted only for a failure.
type pathStep struct {
	name     string
	target   int // number of the instance or endpoint
	previous *pathStep
}

func (p *pathStep) String() string {
	if p == nil {
		return ""
	}
	return fmt.Sprintf("%v; %s %d", p.previous, p.name, p.target)
}

// node is a state of the exploration and the path that led to it.
type node struct {
	sim        *simulation
	faultsLeft faultBudget
	path       *pathStep
}

// successors returns all states that one move leads to. The clock does not
// advance beyond end.
func (n node) successors(end time.Time) []node {
	var out []node
	add := func(name string, target int, change func(c *node)) {
		c := node{sim: n.sim.clone(), faultsLeft: n.faultsLeft, path: &pathStep{name, target, n.path}}
		change(&c)
		out = append(out, c)
	}
	for k, m := range n.sim.storeCalls {
		_, read := m.action.(ReadRecord)
		switch {
		case read:
			add("read by", m.sender, func(c *node) { c.sim.executeStoreCall(k); c.sim.deliverAnswer(k) })
		case m.answer == nil:
			add("execute for", m.sender, func(c *node) { c.sim.executeStoreCall(k) })
		default:
			add("answer to", m.sender, func(c *node) { c.sim.deliverAnswer(k) })
		}
		if !read && n.faultsLeft.losses > 0 && !m.abandoned {
			add("lose answer to", m.sender, func(c *node) { c.faultsLeft.losses--; c.sim.loseAnswer(k) })
		}
	}
	for e, runs := range n.sim.runs {
		for index, r := range runs {
			if r.fingerprint == poison {
				add("crash", e, func(c *node) { c.sim.crashEndpoint(e) })
			} else {
				add("complete on", e, func(c *node) { c.sim.completeRun(e, index) })
			}
		}
	}
	for i := range n.sim.states {
		if n.faultsLeft.deaths > 0 && n.sim.canDie(i) {
			add("death of", i, func(c *node) { c.faultsLeft.deaths--; c.sim.killInstance(i) })
		}
	}
	for i, s := range n.sim.states {
		if s == nil {
			add("restart of", i, func(c *node) { c.sim.startInstance(i) })
		}
	}
	if n.sim.now.Before(end) {
		add("second", 0, func(c *node) { c.sim.advanceSecond() })
	}
	return out
}

// canDie excludes an instance that runs the poison outside a trial. If it were the
// only witness of the first crash, no other instance would learn of that crash,
// and it could not be counted.
func (sim *simulation) canDie(i int) bool {
	if sim.states[i] == nil {
		return false
	}
	for _, runs := range sim.runs {
		for _, r := range runs {
			if r.instance == i && r.fingerprint == poison && !r.trial {
				return false
			}
		}
	}
	return true
}

// scenario configures one exploration.
type scenario struct {
	name       string
	faults     faultBudget
	resends    int
	copies     int  // requests with the poison, all on one endpoint at the first crash
	poisonOnly bool // sends no innocent request
	horizon    time.Duration
}

// explore walks through all states of the scenario and returns their number, and
// the number of states in which a poison request was refused.
func explore(t *testing.T, s scenario) (states, refused int) {
	sim := newSimulation(3, 3, s.resends)
	for i := range s.copies {
		sim.sendRequest(i, poison)
	}
	if !s.poisonOnly {
		sim.sendRequest(2, innocent)
	}
	sim.crashEndpoint(0)
	queue := []node{{sim: sim, faultsLeft: s.faults}}
	seen := map[string]bool{}
	for len(queue) > 0 {
		n := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, c := range n.successors(start.Add(s.horizon)) {
			if c.sim.violation != "" || c.sim.endpointsLost[poison] > 2 {
				t.Fatalf("%d endpoints lost, %s, after%s", c.sim.endpointsLost[poison], c.sim.violation, c.path)
			}
			key := c.key()
			if seen[key] {
				continue
			}
			seen[key] = true
			if c.sim.refused[poison] > 0 {
				refused++
			}
			queue = append(queue, c)
			if len(seen) > 300_000 {
				t.Fatalf("more than %d states", len(seen))
			}
		}
	}
	return len(seen), refused
}

// Guards against a third endpoint lost to one request, concurrent trials and
// trials that do not run alone. It covers all interleavings of three instances
// within the horizon, with callers that resend through other instances, lost or
// late store answers, and instance deaths.
func TestAtMostTwoEndpointsLostInSmallInterleavings(t *testing.T) {
	for _, s := range []scenario{
		{"resends", faultBudget{}, 3, 1, true, 6 * time.Second},
		{"beside an innocent request", faultBudget{}, 0, 1, false, 2 * time.Second},
		{"copies through two instances", faultBudget{}, 1, 2, true, 3 * time.Second},
		{"copies, answer lost", faultBudget{losses: 1}, 1, 2, true, 2 * time.Second},
		{"store answers lost", faultBudget{losses: 2}, 1, 1, true, 4 * time.Second},
		{"instance dies", faultBudget{deaths: 1}, 2, 1, true, 6 * time.Second},
		{"copies, instance dies", faultBudget{deaths: 1}, 1, 2, true, 2 * time.Second},
		{"instance dies, answer lost", faultBudget{deaths: 1, losses: 1}, 1, 1, true, 4 * time.Second},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			states, refused := explore(t, s)
			t.Logf("%d states, %d with a refused request", states, refused)
			is.True(refused > 0) // the horizon reaches a quarantine
		})
	}
}
