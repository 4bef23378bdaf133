package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// small is a configuration with few steps of a second per term: a holder acts
// for 2 s, and a challenger waits 3.3 s.
var small = Config{
	Term: 3 * time.Second, RenewEvery: time.Second, WatchEvery: time.Second, HandOverAfter: time.Second,
	AcquireJitter: time.Nanosecond, ResultTimeout: 4 * time.Second,
}

// faults are what may still happen on a path of the exploration.
type faults struct{ losses, pauses, flips int }

// pathStep is the last move of a path. Its text is made only for a failure.
type pathStep struct {
	name   string
	before *pathStep
}

func (p *pathStep) String() string {
	if p == nil {
		return ""
	}
	return p.before.String() + " " + p.name
}

type node struct {
	w     *world
	left  faults
	owner int
	path  *pathStep
}

// next returns the worlds that one move leads to, up to the time end.
func (n node) next(end time.Time) []node {
	var out []node
	move := func(name string, change func(c *node)) {
		c := node{w: n.w.clone(), left: n.left, owner: n.owner, path: &pathStep{name, n.path}}
		change(&c)
		out = append(out, c)
	}
	for i, m := range n.w.messages {
		if _, read := m.action.(Read); read {
			// A late answer to a read only makes its receiver wait longer, so
			// reads are answered when they are executed.
			if !n.w.paused[m.from] {
				move("read", func(c *node) { c.w.execute(c.w.messages[i]); c.w.answer(c.w.messages[i]) })
			}
			continue
		}
		if m.answer == nil {
			move("execute", func(c *node) { c.w.execute(c.w.messages[i]) })
		} else if !n.w.paused[m.from] {
			move("answer", func(c *node) { c.w.answer(c.w.messages[i]) })
		}
		if n.left.losses > 0 && !m.abandoned && !n.w.paused[m.from] {
			move("lose", func(c *node) { c.left.losses--; c.w.lose(c.w.messages[i]) })
		}
	}
	for i, paused := range n.w.paused {
		if paused {
			move("resume", func(c *node) { c.w.paused[i] = false; c.w.step(i, Tick{}) })
		} else if n.left.pauses > 0 {
			move("pause", func(c *node) { c.left.pauses--; c.w.paused[i] = true })
		}
	}
	if n.left.flips > 0 {
		move("flip", func(c *node) { c.left.flips--; c.owner = 1 - c.owner; c.w.prefer(oneShard(c.owner)) })
	}
	if n.w.now.Before(end) {
		move("second", func(c *node) { c.w.advance(time.Second) })
	}
	return out
}

func oneShard(owner int) []Preference {
	return []Preference{{Shard: "shard/0", Owner: instanceName(owner)}}
}

// scenario is one exploration. It starts with the first instance as holder.
type scenario struct {
	name    string
	budget  faults
	flipped bool          // the second instance is preferred from the start
	horizon time.Duration // of the virtual time
}

// explore visits every world that can be reached within the horizon, and
// returns their number and in how many the second instance holds the shard.
func explore(t *testing.T, s scenario) (worlds, taken int) {
	w := newWorld(2, small)
	w.prefer(oneShard(0))
	w.drain()
	first := node{w: w, left: s.budget}
	if s.flipped {
		first.owner = 1
		w.prefer(oneShard(1))
	}
	queue := []node{first}
	seen := map[string]bool{}
	for len(queue) > 0 {
		n := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, c := range n.next(start.Add(s.horizon)) {
			if v := c.w.violation(); v != "" {
				t.Fatalf("%s after%s", v, c.path)
			}
			key := c.key()
			if seen[key] {
				continue
			}
			seen[key] = true
			if _, _, ok := c.w.states[1].Holds("shard/0", c.w.now); ok {
				taken++
			}
			queue = append(queue, c)
		}
	}
	return len(seen), taken
}

// Guards against two instances that both believe they may act for a shard,
// over all interleavings of two instances within the horizon, with lost and
// late answers, late requests, a pause and changes of the preferred owner.
func TestNoTwoHoldersInSmallInterleavings(t *testing.T) {
	for _, s := range []scenario{
		{"holder cut off", faults{losses: 1}, true, 5 * time.Second},
		{"holder paused", faults{pauses: 1}, true, 5 * time.Second},
		{"hand-over taken back", faults{losses: 1, flips: 2}, false, 3 * time.Second},
		{"pause and loss", faults{losses: 1, pauses: 1}, true, 4 * time.Second},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			worlds, taken := explore(t, s)
			t.Logf("%d worlds, %d with the second instance as holder", worlds, taken)
			is.True(taken > 0) // the horizon includes a take-over
		})
	}
}
