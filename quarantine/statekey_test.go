package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// cloneState returns a copy of s that shares no mutable data with it.
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
	c.runs, c.pendingCommits, c.noticesDue = maps.Clone(s.runs), maps.Clone(s.pendingCommits), maps.Clone(s.noticesDue)
	return &c
}

// clone returns a copy of the simulation. Both copies share the States until one
// of them steps a State and clones it.
func (sim *simulation) clone() *simulation {
	c := *sim
	c.states, c.incarnations, c.boots, c.runs = slices.Clone(sim.states), slices.Clone(sim.incarnations), slices.Clone(sim.boots), slices.Clone(sim.runs)
	c.stateShared = make([]bool, len(sim.states))
	for i := range c.stateShared {
		c.stateShared[i], sim.stateShared[i] = true, true
	}
	c.storeCalls, c.store = slices.Clone(sim.storeCalls), maps.Clone(sim.store)
	c.endpointsLost, c.answered, c.refused = maps.Clone(sim.endpointsLost), maps.Clone(sim.answered), maps.Clone(sim.refused)
	c.waiting, c.waitingInstance = maps.Clone(sim.waiting), maps.Clone(sim.waitingInstance)
	return &c
}

// keyBuilder encodes the parts of a state key.
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

// timeSince writes the time from start to t, or 0 if t is earlier.
func (k *keyBuilder) timeSince(t, start time.Time) { k.uint(uint64(max(0, t.Sub(start)))) }

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
	k.losses(e.losses)
	k.losses(e.cleared)
	t := e.trial
	k.uint(uint64(e.fingerprint), uint64(len(e.waiting)), uint64(t.phase), t.attempt, t.request, e.version, uint64(len(t.tried)))
	k.text(string(t.endpoint.Endpoint))
	k.text(t.endpoint.BootID)
	k.timeSince(t.reservedAt, start)
	k.flags(t.idle, e.recordCurrent, e.dirty, e.readPending, e.pendingCommitID != 0, e.holderMissingSince.IsZero())
	k.timeSince(e.nextStoreCall, now)
	k.timeSince(e.holderMissingSince, now.Add(-testConfig.HolderGrace))
	for _, id := range slices.Sorted(maps.Keys(e.peers)) {
		k.text(string(id))
		k.uint(uint64(e.peers[id].inFlight))
		k.trial(e.peers[id].trial)
	}
}

// key returns a key that identifies the state and the remaining faults.
func (n node) key() string {
	sim := n.sim
	k := make(keyBuilder, 0, 500)
	k.uint(uint64(n.faultsLeft.losses), uint64(n.faultsLeft.deaths))
	k.timeSince(sim.now, start)
	k.uint(uint64(sim.resendsLeft), uint64(sim.endpointsLost[poison]), uint64(sim.refused[poison]))
	for e, runs := range sim.runs {
		k.uint(uint64(sim.boots[e]), uint64(len(runs)))
		for _, r := range runs {
			k.uint(uint64(r.instance+1), r.request, uint64(r.fingerprint))
			k.flags(r.trial)
		}
	}
	for _, r := range slices.Sorted(maps.Keys(sim.waitingInstance)) {
		k.uint(r, uint64(sim.waitingInstance[r]))
	}
	for _, f := range []Fingerprint{poison, innocent} {
		s := sim.store[f]
		k.uint(s.version)
		k.losses(s.record.Losses)
		k.trial(s.record.Trial)
	}
	for i, s := range sim.states {
		k.uint(uint64(sim.incarnations[i]))
		if k.flags(s != nil); s == nil {
			continue
		}
		k.uint(uint64(s.runs[poison]), uint64(s.runs[innocent]), uint64(len(s.entries)))
		for _, e := range s.sortedEntries() {
			k.entry(e, sim.now)
		}
	}
	for _, m := range sim.storeCalls {
		_, read := m.action.(ReadRecord)
		k.uint(uint64(m.sender), uint64(m.senderIncarnation))
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
