package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

type faults struct{ losses, deaths int }

// pathStep is the last move of a path. Its text is made only for a failure.
type pathStep struct {
	name   string
	of     int // number of the instance or endpoint
	before *pathStep
}

func (p *pathStep) String() string {
	if p == nil {
		return ""
	}
	return fmt.Sprintf("%v; %s %d", p.before, p.name, p.of)
}

type node struct {
	w    *world
	left faults
	path *pathStep
}

// moves returns the worlds that one move leads to, up to the time end.
func (n node) moves(end time.Time) []node {
	var out []node
	move := func(name string, of int, change func(c *node)) {
		c := node{w: n.w.clone(), left: n.left, path: &pathStep{name, of, n.path}}
		change(&c)
		out = append(out, c)
	}
	for k, m := range n.w.messages {
		_, read := m.action.(ReadRecord)
		switch {
		case read:
			move("read by", m.from, func(c *node) { c.w.execute(k); c.w.answer(k) })
		case m.answer == nil:
			move("execute for", m.from, func(c *node) { c.w.execute(k) })
		default:
			move("answer to", m.from, func(c *node) { c.w.answer(k) })
		}
		if !read && n.left.losses > 0 && !m.abandoned {
			move("lose answer to", m.from, func(c *node) { c.left.losses--; c.w.lose(k) })
		}
	}
	for e, runs := range n.w.runs {
		for at, r := range runs {
			if r.f == poison {
				move("crash", e, func(c *node) { c.w.crash(e) })
			} else {
				move("complete on", e, func(c *node) { c.w.complete(e, at) })
			}
		}
	}
	for i := range n.w.states {
		if n.left.deaths > 0 && n.w.mayDie(i) {
			move("death of", i, func(c *node) { c.left.deaths--; c.w.die(i) })
		}
	}
	for i, s := range n.w.states {
		if s == nil {
			move("restart of", i, func(c *node) { c.w.boot(i) })
		}
	}
	if n.w.now.Before(end) {
		move("second", 0, func(c *node) { c.w.second() })
	}
	return out
}

// mayDie leaves out the death of an instance that is the only one to see a
// first crash: nothing that it knew outlives it, so the crash counts for
// nobody.
func (w *world) mayDie(i int) bool {
	if w.states[i] == nil {
		return false
	}
	for _, runs := range w.runs {
		for _, r := range runs {
			if r.instance == i && r.f == poison && !r.trial {
				return false
			}
		}
	}
	return true
}

type scenario struct {
	name    string
	budget  faults
	resends int
	copies  int // requests of the poison, all on one endpoint at the first crash
	alone   bool
	horizon time.Duration
}

func explore(t *testing.T, s scenario) (worlds, refused int) {
	w := newWorld(3, 3, s.resends)
	for i := range s.copies {
		w.send(i, poison)
	}
	if !s.alone {
		w.send(2, innocent)
	}
	w.crash(0)
	queue := []node{{w: w, left: s.budget}}
	seen := map[string]bool{}
	for len(queue) > 0 {
		n := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, c := range n.moves(start.Add(s.horizon)) {
			if c.w.broken != "" || c.w.lost[poison] > 2 {
				t.Fatalf("%d endpoints lost, %s, after%s", c.w.lost[poison], c.w.broken, c.path)
			}
			key := c.key()
			if seen[key] {
				continue
			}
			seen[key] = true
			if c.w.refused[poison] > 0 {
				refused++
			}
			queue = append(queue, c)
			if len(seen) > 300_000 {
				t.Fatalf("more than %d worlds", len(seen))
			}
		}
	}
	return len(seen), refused
}

// Guards against a third endpoint lost to one request, two trials at once,
// and a trial that does not run alone, over all interleavings of three
// instances within the horizon: the caller sends the request again through
// other instances, answers of the store are lost or late, instances die.
func TestAtMostTwoEndpointsLostInSmallInterleavings(t *testing.T) {
	for _, s := range []scenario{
		{"resends", faults{}, 3, 1, true, 6 * time.Second},
		{"beside an innocent request", faults{}, 0, 1, false, 2 * time.Second},
		{"copies through two instances", faults{}, 1, 2, true, 3 * time.Second},
		{"copies, answer lost", faults{losses: 1}, 1, 2, true, 2 * time.Second},
		{"store answers lost", faults{losses: 2}, 1, 1, true, 4 * time.Second},
		{"instance dies", faults{deaths: 1}, 2, 1, true, 6 * time.Second},
		{"copies, instance dies", faults{deaths: 1}, 1, 2, true, 2 * time.Second},
		{"instance dies, answer lost", faults{deaths: 1, losses: 1}, 1, 1, true, 4 * time.Second},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			worlds, refused := explore(t, s)
			t.Logf("%d worlds, %d with a refused request", worlds, refused)
			is.True(refused > 0) // the horizon includes a quarantine
		})
	}
}
