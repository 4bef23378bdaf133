package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// shardState is what this instance knows of one shard.
type shardState struct {
	shard Shard
	known bool // version and record were read or written
	// version and record are the last known content of the store.
	version uint64
	record  Record
	// unchangedSince is when this instance first received version.
	unchangedSince time.Time

	until  time.Time // this instance may act before then
	acting bool      // Gained was told and Lost was not

	owner      fleet.InstanceID // preferred owner
	ownerSince time.Time
	listed     bool // in the list of all shards
	handing    bool // HandOver was told
	settled    bool // may be released

	nextRenewal time.Time
	nextRead    time.Time
	pending     uint64 // id of the outstanding read or commit; 0 if none
	// attempt is the last write whose outcome is not known yet, and attemptSent
	// is when it was asked for.
	attempt     uint64
	attemptSent time.Time
}

// request is an outstanding read or commit.
type request struct {
	read   bool
	sent   time.Time
	shards []Shard
	writes []Write
}

// State is the lease state of one instance. It is not safe for concurrent use.
type State struct {
	cfg      Config
	rng      *rand.Rand
	shards   map[Shard]*shardState
	order    []Shard // all shards of the map, sorted
	requests map[uint64]request
	lastID   uint64
	leaving  bool
	actions  []Action
}

// New returns a state that holds nothing.
func New(cfg Config) *State {
	cfg = cfg.withDefaults()
	return &State{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		shards:   make(map[Shard]*shardState),
		requests: make(map[uint64]request),
	}
}

// Holds reports whether this instance may act for the shard now, under which
// epoch and until when. It must be asked right before each act.
func (s *State) Holds(shard Shard, now time.Time) (epoch uint64, until time.Time, ok bool) {
	sh := s.shards[shard]
	if sh == nil || !s.mayAct(sh, now) {
		return 0, time.Time{}, false
	}
	return sh.record.Epoch, sh.until, true
}

func (s *State) mayAct(sh *shardState, now time.Time) bool { return s.ours(sh) && now.Before(sh.until) }

// Held returns the shards that this instance may act for now, ordered by name.
func (s *State) Held(now time.Time) []Held {
	var held []Held
	for _, name := range s.order {
		if epoch, _, ok := s.Holds(name, now); ok {
			held = append(held, Held{Shard: name, Epoch: epoch})
		}
	}
	return held
}

// Settled reports whether a leaving instance has released everything that it
// still owned by the store's last known record.
func (s *State) Settled() bool {
	for _, sh := range s.shards {
		if s.ours(sh) || sh.attempt != 0 {
			return false
		}
	}
	return true
}

// ours reports whether the last known record names this process as holder.
func (s *State) ours(sh *shardState) bool {
	return sh.known && sh.version != 0 && !sh.record.Released &&
		sh.record.Holder == s.cfg.Self && sh.record.Incarnation == s.cfg.Incarnation
}

// Step takes one event and returns what must be done.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = nil
	switch ev := ev.(type) {
	case Tick:
		s.expireRequests(now)
	case PreferencesChanged:
		s.setPreferences(now, ev.Preferences)
	case ReadResult:
		s.readResult(now, ev)
	case CommitResult:
		s.commitResult(now, ev)
	case OrdersSettled:
		if sh := s.shards[ev.Shard]; sh != nil && sh.handing {
			sh.settled = true
		}
	case LeaveRequested:
		s.leaving = true
	}
	s.advance(now)
	return s.actions
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) setPreferences(now time.Time, preferences []Preference) {
	for _, sh := range s.shards {
		sh.listed = false
	}
	for _, p := range preferences {
		sh := s.shards[p.Shard]
		if sh == nil {
			sh = &shardState{shard: p.Shard, ownerSince: now}
			s.shards[p.Shard] = sh
			s.order = append(s.order, p.Shard)
		}
		sh.listed = true
		if sh.owner == p.Owner {
			continue
		}
		sh.owner, sh.ownerSince = p.Owner, now
		if p.Owner == s.cfg.Self {
			sh.nextRead = now.Add(s.jitter(s.cfg.AcquireJitter))
		}
	}
	s.order = slices.DeleteFunc(s.order, func(name Shard) bool {
		sh := s.shards[name]
		drop := !sh.listed && !s.ours(sh) && sh.pending == 0 && sh.attempt == 0
		if drop {
			delete(s.shards, name)
		}
		return drop
	})
	slices.Sort(s.order)
}

// jitter returns a random duration in [0, d).
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

// wanted reports whether this instance should own the shard.
func (s *State) wanted(sh *shardState) bool {
	return !s.leaving && sh.listed && sh.owner == s.cfg.Self
}

// advance brings every shard as far as it can go at now.
func (s *State) advance(now time.Time) {
	var reads []Shard
	var renewals, acquires, releases []Write
	mayAcquire, counted := 0, false // counted once it is needed, since most steps acquire nothing
	for _, name := range s.order {
		sh := s.shards[name]
		s.updateActing(now, sh)
		s.updateHandOver(now, sh)
		if sh.pending != 0 {
			continue
		}
		switch {
		case sh.attempt != 0 || !sh.known && (s.wanted(sh) || s.ours(sh)):
			if !now.Before(sh.nextRead) {
				reads = append(reads, name)
			}
		case s.ours(sh) && sh.handing && sh.settled:
			if !now.Before(sh.nextRead) {
				releases = append(releases, s.write(sh, true))
			}
		case s.ours(sh):
			if !now.Before(sh.nextRenewal) {
				renewals = append(renewals, s.write(sh, false))
			}
		case s.wanted(sh):
			takeOver := s.mayTakeOver(now, sh)
			if takeOver && !counted {
				mayAcquire, counted = s.cfg.MaxAcquire-s.acquiring(), true
			}
			if takeOver && len(acquires) < mayAcquire {
				acquires = append(acquires, s.write(sh, false))
			} else if !now.Before(sh.nextRead) {
				reads = append(reads, name)
			}
		}
	}
	s.read(now, reads)
	s.commit(now, renewals)
	s.stopActing(releases)
	s.commit(now, releases)
	s.commit(now, acquires)
}

// acquiring returns the number of take-overs whose outcome is open.
func (s *State) acquiring() int {
	n := 0
	for _, sh := range s.shards {
		if sh.attempt != 0 && !s.ours(sh) {
			n++
		}
	}
	return n
}

// stopActing ends the right to act before a release is sent. A release may
// take effect long after it was sent, and the next holder need not wait, so
// only a renewal that is confirmed later may restore the right.
func (s *State) stopActing(releases []Write) {
	for _, w := range releases {
		sh := s.shards[w.Shard]
		sh.until = time.Time{}
		if sh.acting {
			sh.acting = false
			s.emit(Lost{Shard: w.Shard, Epoch: w.Record.Epoch, Reason: HandedOver})
		}
	}
}

// updateActing tells Gained and Lost when the right to act changes.
func (s *State) updateActing(now time.Time, sh *shardState) {
	holds := s.mayAct(sh, now)
	if holds == sh.acting {
		return
	}
	sh.acting = holds
	if holds {
		s.emit(Gained{Shard: sh.shard, Epoch: sh.record.Epoch})
		return
	}
	s.emit(Lost{Shard: sh.shard, Epoch: sh.record.Epoch, Reason: Expired})
}

func (s *State) updateHandOver(now time.Time, sh *shardState) {
	if !s.ours(sh) {
		sh.handing, sh.settled = false, false
		return
	}
	away := s.leaving || !sh.listed ||
		sh.owner != s.cfg.Self && now.Sub(sh.ownerSince) >= s.cfg.HandOverAfter
	switch {
	case away && !sh.handing:
		sh.handing = true
		s.emit(HandOver{Shard: sh.shard})
	case s.wanted(sh) && sh.handing && sh.pending == 0 && sh.attempt == 0:
		sh.handing, sh.settled = false, false
		s.emit(HandOverCancelled{Shard: sh.shard})
	}
}

// mayTakeOver reports whether the known record is free: absent, released, or
// unchanged for longer than any holder may act on it.
func (s *State) mayTakeOver(now time.Time, sh *shardState) bool {
	if !sh.known || now.Before(sh.nextRenewal) {
		return false
	}
	return sh.version == 0 || sh.record.Released ||
		now.Sub(sh.unchangedSince) >= s.cfg.challengeAfter()
}

// write returns the next write of a shard: a renewal if the record is ours, a
// release, or else a take-over under the next epoch.
func (s *State) write(sh *shardState, release bool) Write {
	s.lastID++
	r := Record{Holder: s.cfg.Self, Incarnation: s.cfg.Incarnation, Epoch: sh.record.Epoch, Attempt: s.lastID, Released: release}
	if !s.ours(sh) {
		r.Epoch++
	}
	return Write{Shard: sh.shard, Record: r, IfVersion: sh.version}
}

func (s *State) read(now time.Time, shards []Shard) {
	for batch := range slices.Chunk(shards, s.cfg.MaxBatch) {
		s.lastID++
		s.requests[s.lastID] = request{read: true, sent: now, shards: batch}
		for _, name := range batch {
			s.shards[name].pending = s.lastID
		}
		s.emit(Read{ID: s.lastID, Shards: batch})
	}
}

func (s *State) commit(now time.Time, writes []Write) {
	for batch := range slices.Chunk(writes, s.cfg.MaxBatch) {
		s.lastID++
		s.requests[s.lastID] = request{sent: now, writes: batch}
		for _, w := range batch {
			sh := s.shards[w.Shard]
			sh.pending = s.lastID
			sh.attempt, sh.attemptSent = w.Record.Attempt, now
		}
		s.emit(Commit{ID: s.lastID, Writes: batch})
	}
}

// expireRequests treats results that never came as unknown.
func (s *State) expireRequests(now time.Time) {
	var late []uint64
	for id, r := range s.requests {
		if now.Sub(r.sent) >= s.cfg.ResultTimeout {
			late = append(late, id)
		}
	}
	slices.SortFunc(late, cmp.Compare[uint64])
	for _, id := range late {
		if s.requests[id].read {
			s.readResult(now, ReadResult{ID: id})
		} else {
			s.commitResult(now, CommitResult{ID: id, Outcome: Unknown})
		}
	}
}
