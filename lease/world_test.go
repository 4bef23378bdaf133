package lease

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// message is a request on its way to the store or an answer on its way back.
type message struct {
	from      int
	action    Action
	answer    Event // nil until the store has executed the request
	abandoned bool  // the sender was told Unknown; the request may still take effect
}

// world is a store and instances under virtual time.
type world struct {
	now      time.Time
	store    map[Shard]Versioned
	states   []*State
	shared   []bool // states that a clone of this world uses too
	paused   []bool
	messages []*message
	// settle answers HandOver at once.
	settle bool
	// rates are how fast the clocks of the instances go; nil means all alike.
	rates  []float64
	writes int // transactions executed
	reads  int
}

// clock returns the monotonic clock of instance i.
func (w *world) clock(i int) time.Time {
	if w.rates == nil {
		return w.now
	}
	return start.Add(time.Duration(float64(w.now.Sub(start)) * w.rates[i]))
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(n int, cfg Config) *world {
	w := &world{now: start, store: make(map[Shard]Versioned), settle: true}
	for i := range n {
		w.add(i, 1, cfg)
	}
	return w
}

func instanceName(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i%02d", i)) }

// add starts or replaces the process of instance i.
func (w *world) add(i int, incarnation fleet.Incarnation, cfg Config) {
	cfg.Self, cfg.Incarnation, cfg.Seed = instanceName(i), incarnation, uint64(i)
	if i == len(w.states) {
		w.states, w.paused = append(w.states, nil), append(w.paused, false)
	}
	w.states[i] = New(cfg)
	w.messages = slices.DeleteFunc(w.messages, func(m *message) bool { return m.from == i && m.answer != nil })
	for _, m := range w.messages {
		m.abandoned = m.abandoned || m.from == i
	}
}

func (w *world) step(i int, ev Event) {
	w.unshare(i)
	for _, a := range w.states[i].Step(w.clock(i), ev) {
		switch a := a.(type) {
		case Read, Commit:
			w.messages = append(w.messages, &message{from: i, action: a})
		case HandOver:
			if w.settle {
				w.step(i, OrdersSettled(a))
			}
		}
	}
}

// execute lets the store carry out a request.
func (w *world) execute(m *message) {
	switch a := m.action.(type) {
	case Read:
		w.reads++
		r := ReadResult{ID: a.ID, OK: true}
		for _, s := range a.Shards {
			if v, ok := w.store[s]; ok {
				r.Records = append(r.Records, v)
			}
		}
		m.answer = r
	case Commit:
		w.writes++
		r := CommitResult{ID: a.ID}
		for _, wr := range a.Writes {
			if w.store[wr.Shard].Version != wr.IfVersion {
				r.Outcome = Conflict
			}
		}
		for _, wr := range a.Writes {
			if r.Outcome == Applied {
				v := wr.IfVersion + 1
				w.store[wr.Shard] = Versioned{wr.Shard, wr.Record, v}
				r.Versions = append(r.Versions, v)
			}
		}
		m.answer = r
	}
	if m.abandoned {
		w.remove(m)
	}
}

func (w *world) remove(m *message) {
	w.messages = slices.DeleteFunc(slices.Clone(w.messages), func(o *message) bool { return o == m })
}

// answer delivers the store's answer.
func (w *world) answer(m *message) {
	w.remove(m)
	w.step(m.from, m.answer)
}

// lose tells the sender that the outcome is unknown. A request that was not
// executed stays on its way.
func (w *world) lose(m *message) {
	if m.answer != nil {
		w.remove(m)
	} else {
		m.abandoned = true
	}
	switch a := m.action.(type) {
	case Read:
		if m.answer == nil {
			w.remove(m)
		}
		w.step(m.from, ReadResult{ID: a.ID})
	case Commit:
		w.step(m.from, CommitResult{ID: a.ID, Outcome: Unknown})
	}
}

// advance lets time pass for all instances that are not paused.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for i := range w.states {
		if !w.paused[i] {
			w.step(i, Tick{})
		}
	}
}

// prefer tells all instances that are not paused who should own what.
func (w *world) prefer(preferences []Preference) {
	for i := range w.states {
		if !w.paused[i] {
			w.step(i, PreferencesChanged{preferences})
		}
	}
}

// drain executes and answers everything at once.
func (w *world) drain() {
	for len(w.messages) > 0 {
		m := w.messages[0]
		if m.answer == nil {
			w.execute(m)
		}
		if !m.abandoned {
			w.answer(m)
		}
	}
}

// violation describes two instances that may act for one shard, or "".
func (w *world) violation() string {
	holder := make(map[Shard]int)
	for i, s := range w.states {
		for _, h := range s.Held(w.clock(i)) {
			if j, ok := holder[h.Shard]; ok {
				return fmt.Sprintf("%s is held by %d and %d at %v", h.Shard, j, i, w.now.Sub(start))
			}
			holder[h.Shard] = i
		}
	}
	return ""
}

// unshare copies the state of instance i if another world uses it too.
func (w *world) unshare(i int) {
	if w.shared == nil || !w.shared[i] {
		return
	}
	w.shared[i] = false
	s := w.states[i]
	t := *s
	t.rng = rand.New(rand.NewPCG(1, uint64(i))) // the same in all worlds, for reproducible runs
	t.shards = make(map[Shard]*shardState, len(s.shards))
	for name, sh := range s.shards {
		copied := *sh
		t.shards[name] = &copied
	}
	t.order = slices.Clone(s.order)
	t.requests = maps.Clone(s.requests)
	w.states[i] = &t
}

// clone returns a copy that shares the states until they are stepped.
func (w *world) clone() *world {
	c := *w
	c.store = maps.Clone(w.store)
	c.paused = slices.Clone(w.paused)
	c.states = slices.Clone(w.states)
	c.shared = make([]bool, len(w.states))
	for i := range c.shared {
		c.shared[i] = true
	}
	c.messages = make([]*message, len(w.messages))
	for i, m := range w.messages {
		copied := *m
		c.messages[i] = &copied
	}
	return &c
}

// keyBuilder writes the parts of a world's key. Numbers that only matter by
// being equal or not are replaced by the order of their first appearance.
type keyBuilder struct {
	now     time.Time
	b       []byte
	numbers []number
}

type number struct {
	kind byte
	n    uint64
}

func (k *keyBuilder) number(kind byte, n uint64) {
	i := slices.Index(k.numbers, number{kind, n})
	if i < 0 {
		i = len(k.numbers)
		k.numbers = append(k.numbers, number{kind, n})
	}
	k.b = append(k.b, byte(i))
}

func (k *keyBuilder) time(t time.Time) {
	seconds := int64(-100)
	if t.After(k.now.Add(-9 * time.Second)) {
		seconds = int64(t.Sub(k.now) / time.Second)
	}
	k.b = append(k.b, byte(seconds))
}

func (k *keyBuilder) flags(flags ...bool) {
	for _, f := range flags {
		if f {
			k.b = append(k.b, 1)
		} else {
			k.b = append(k.b, 0)
		}
	}
}

func (k *keyBuilder) record(r Record) {
	k.b = append(k.b, r.Holder...)
	k.number('e', r.Epoch)
	k.flags(r.Released)
	var holder byte
	if r.Holder != "" {
		holder = r.Holder[len(r.Holder)-1]
	}
	k.number(holder, r.Attempt)
}

// key identifies a world with one shard and the faults that may still happen,
// up to the absolute numbers of epochs, versions and writes.
func (n node) key() string {
	w := n.w
	k := keyBuilder{now: w.now, b: make([]byte, 0, 200)}
	for _, v := range []int{n.left.losses, n.left.pauses, n.left.flips, int(w.now.Sub(start))} {
		k.b = binary.AppendVarint(k.b, int64(v))
	}
	for _, v := range w.store {
		k.number('v', v.Version)
		k.record(v.Record)
	}
	for i, s := range w.states {
		k.flags(w.paused[i], s.leaving)
		for _, name := range s.order {
			sh := s.shards[name]
			k.number('v', sh.version)
			k.record(sh.record)
			k.b = append(k.b, sh.owner...)
			k.flags(sh.known, sh.acting, sh.handing, sh.settled, sh.pending != 0, sh.attempt != 0)
			k.time(sh.until)
			k.time(sh.ownerSince)
			k.time(sh.nextRenewal)
			if !s.ours(sh) {
				k.time(sh.unchangedSince)
				k.time(sh.nextRead)
			}
			if sh.attempt != 0 {
				k.number('0'+byte(i), sh.attempt)
				k.time(sh.attemptSent)
				k.time(sh.nextRead)
			}
		}
	}
	for _, m := range w.messages {
		k.b = append(k.b, byte(m.from))
		k.flags(m.abandoned, m.answer != nil)
		if c, ok := m.action.(Commit); ok {
			k.number('v', c.Writes[0].IfVersion)
			k.record(c.Writes[0].Record)
		}
		if r, ok := m.answer.(CommitResult); ok {
			k.b = append(k.b, byte(r.Outcome))
		}
	}
	return string(k.b)
}
