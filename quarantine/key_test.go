package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

func cloneState(s *State) *State {
	c := *s
	c.entries = make(map[Fingerprint]*entry, len(s.entries))
	for f, e := range s.entries {
		copied := *e
		copied.peers = maps.Clone(e.peers)
		copied.waiting = slices.Clone(e.waiting)
		copied.trial.tried = slices.Clone(e.trial.tried)
		c.entries[f] = &copied
	}
	c.runs, c.commits, c.tell = maps.Clone(s.runs), maps.Clone(s.commits), maps.Clone(s.tell)
	return &c
}

func (w *world) clone() *world {
	c := *w
	c.states, c.process, c.boots, c.runs = slices.Clone(w.states), slices.Clone(w.process), slices.Clone(w.boots), slices.Clone(w.runs)
	c.shared = make([]bool, len(w.states))
	for i := range c.shared {
		c.shared[i], w.shared[i] = true, true
	}
	c.messages, c.store = slices.Clone(w.messages), maps.Clone(w.store)
	c.lost, c.answered, c.refused = maps.Clone(w.lost), maps.Clone(w.answered), maps.Clone(w.refused)
	c.waiting, c.waitingAt = maps.Clone(w.waiting), maps.Clone(w.waitingAt)
	return &c
}

// keyBuilder writes the parts of a world's key.
type keyBuilder []byte

func (k *keyBuilder) uint(values ...uint64) {
	b := *k
	for _, v := range values {
		b = binary.AppendUvarint(b, v)
	}
	*k = b
}

func (k *keyBuilder) flags(flags ...bool) {
	for _, f := range flags {
		if f {
			k.uint(1)
		} else {
			k.uint(0)
		}
	}
}

func (k *keyBuilder) text(s string) { *k = append(append(*k, s...), 0) }

// since writes a time, and the same value for all times before from.
func (k *keyBuilder) since(t, from time.Time) { k.uint(uint64(max(0, t.Sub(from)))) }

func (k *keyBuilder) losses(losses []Loss) {
	k.uint(uint64(len(losses)))
	for _, l := range losses {
		k.text(string(l.Endpoint))
		k.text(l.BootID)
		k.uint(l.Attempt)
	}
}

func (k *keyBuilder) trial(t *Trial) {
	if k.flags(t != nil); t != nil {
		k.text(string(t.Holder))
		k.text(string(t.Endpoint))
		k.text(t.BootID)
		k.uint(uint64(t.Incarnation), t.Attempt)
		k.flags(t.Running)
	}
}

func (k *keyBuilder) entry(e *entry, now time.Time) {
	k.losses(e.open)
	k.losses(e.cleared)
	t := e.trial
	k.uint(uint64(e.fingerprint), uint64(len(e.waiting)), uint64(t.phase), t.attempt, t.request, e.version, uint64(len(t.tried)))
	k.text(string(t.endpoint.Endpoint))
	k.text(t.endpoint.BootID)
	k.since(t.reservedAt, start)
	k.flags(t.idle, e.known, e.dirty, e.reading, e.commit != 0, e.missingSince.IsZero())
	k.since(e.next, now)
	k.since(e.missingSince, now.Add(-testConfig.HolderGrace))
	for _, id := range slices.Sorted(maps.Keys(e.peers)) {
		k.text(string(id))
		k.uint(uint64(e.peers[id].inFlight))
		k.trial(e.peers[id].trial)
	}
}

// key identifies a world and the faults that may still happen.
func (n node) key() string {
	w := n.w
	k := make(keyBuilder, 0, 500)
	k.uint(uint64(n.left.losses), uint64(n.left.deaths))
	k.since(w.now, start)
	k.uint(uint64(w.resends), uint64(w.lost[poison]), uint64(w.refused[poison]))
	for e, runs := range w.runs {
		k.uint(uint64(w.boots[e]), uint64(len(runs)))
		for _, r := range runs {
			k.uint(uint64(r.instance+1), r.request, uint64(r.f))
			k.flags(r.trial)
		}
	}
	for _, r := range slices.Sorted(maps.Keys(w.waitingAt)) {
		k.uint(r, uint64(w.waitingAt[r]))
	}
	for _, f := range []Fingerprint{poison, innocent} {
		s := w.store[f]
		k.uint(s.version)
		k.losses(s.record.Losses)
		k.trial(s.record.Trial)
	}
	for i, s := range w.states {
		k.uint(uint64(w.process[i]))
		if k.flags(s != nil); s == nil {
			continue
		}
		k.uint(uint64(s.runs[poison]), uint64(s.runs[innocent]), uint64(len(s.entries)))
		for _, e := range s.sorted() {
			k.entry(e, w.now)
		}
	}
	for _, m := range w.messages {
		_, read := m.action.(ReadRecord)
		k.uint(uint64(m.from), uint64(m.process))
		k.flags(m.abandoned, m.answer != nil, read)
		if c, ok := m.action.(CommitRecord); ok {
			k.uint(uint64(c.Fingerprint), c.IfVersion, uint64(len(c.Record.Losses)))
			k.flags(c.Delete)
			k.trial(c.Record.Trial)
		}
		if r, ok := m.answer.(CommitResult); ok {
			k.uint(uint64(r.Outcome))
		}
	}
	return string(k)
}
