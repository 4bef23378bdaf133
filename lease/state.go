package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// shardState is the state of one shard in this process.
type shardState struct {
	name  Shard
	known bool // version and record have been read or written
	// version and record are the last known contents of the store.
	version uint64
	record  Record
	era     uint64 // era of the store in which version was read or written
	// unchangedSince is the time at which this process first received version.
	unchangedSince time.Time

	actUntil time.Time // this process can act until then
	acting   bool      // true after Gained, false after Lost
	// reclaimUntil is the end of the right to act that this process had when the
	// store was restored. No other process can act until then.
	reclaimUntil time.Time
	reclaimEpoch uint64 // epoch of that right
	continues    uint64 // reclaimEpoch if the current tenure came from it, otherwise 0

	owner             fleet.InstanceID // preferred owner
	ownerSince        time.Time
	listed            bool // the last PreferencesChanged contains the shard
	handOverRequested bool // HandOver was requested and not cancelled
	ordersClosed      bool // OrdersClosed was received; the lease can be released

	nextRenewal    time.Time
	nextRead       time.Time
	pendingRequest uint64 // ID of the outstanding read or commit; 0 if there is none
	// openAttempt is the Attempt of the last write while its outcome is unknown,
	// otherwise 0. attemptSentAt is the time at which that write was requested.
	openAttempt   uint64
	attemptSentAt time.Time
}

// request is a read or commit without a result yet.
type request struct {
	isRead bool
	sentAt time.Time
	shards []Shard
	writes []Write
}

// State is the lease state of one instance. It is not safe for concurrent use.
type State struct {
	cfg          Config
	rng          *rand.Rand
	shards       map[Shard]*shardState
	sortedShards []Shard // keys of shards, sorted
	requests     map[uint64]request
	lastID       uint64
	leaving      bool
	actions      []Action
}

// New returns a State that holds no shard.
func New(cfg Config) *State {
	cfg = cfg.withDefaults()
	return &State{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		shards:   make(map[Shard]*shardState),
		requests: make(map[uint64]request),
	}
}

// Holds reports whether this instance can act for the shard now, under which epoch
// and until when. It must be called immediately before each action for the shard.
func (s *State) Holds(shard Shard, now time.Time) (epoch uint64, until time.Time, ok bool) {
	sh := s.shards[shard]
	if sh == nil || !s.canAct(sh, now) {
		return 0, time.Time{}, false
	}
	return sh.record.Epoch, sh.actUntil, true
}

func (s *State) canAct(sh *shardState, now time.Time) bool {
	return s.isHolder(sh) && now.Before(sh.actUntil)
}

// Held returns the shards that this instance can act for now, sorted by name.
func (s *State) Held(now time.Time) []HeldShard {
	var held []HeldShard
	for _, name := range s.sortedShards {
		if epoch, _, ok := s.Holds(name, now); ok {
			held = append(held, HeldShard{Shard: name, Epoch: epoch})
		}
	}
	return held
}

// AllReleased reports whether this process holds no lease according to the last known
// records and has no write with an unknown outcome, so that a stopping instance can
// exit.
func (s *State) AllReleased() bool {
	for _, sh := range s.shards {
		if s.isHolder(sh) || sh.openAttempt != 0 {
			return false
		}
	}
	return true
}

// isHolder reports whether the last known record names this process as holder,
// whether or not its term has ended.
func (s *State) isHolder(sh *shardState) bool {
	return sh.known && sh.version != 0 && !sh.record.Released && sh.isOfThisEra() &&
		sh.record.Holder == s.cfg.Self && sh.record.Incarnation == s.cfg.Incarnation
}

// Step handles one event and returns the actions that are due.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = nil
	switch ev := ev.(type) {
	case Tick:
		s.expireRequests(now)
	case PreferencesChanged:
		s.setPreferences(now, ev.Preferences)
	case ReadResult:
		s.handleReadResult(now, ev)
	case CommitResult:
		s.handleCommitResult(now, ev)
	case OrdersClosed:
		if sh := s.shards[ev.Shard]; sh != nil && sh.handOverRequested {
			sh.ordersClosed = true
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
			sh = &shardState{name: p.Shard, ownerSince: now}
			s.shards[p.Shard] = sh
			s.sortedShards = append(s.sortedShards, p.Shard)
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
	s.sortedShards = slices.DeleteFunc(s.sortedShards, func(name Shard) bool {
		sh := s.shards[name]
		drop := !sh.listed && !s.isHolder(sh) && sh.pendingRequest == 0 && sh.openAttempt == 0
		if drop {
			delete(s.shards, name)
		}
		return drop
	})
	slices.Sort(s.sortedShards)
}

// jitter returns a random duration in [0, d).
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

// shouldOwn reports whether this instance is the preferred owner of a listed shard
// and is not stopping.
func (s *State) shouldOwn(sh *shardState) bool {
	return !s.leaving && sh.listed && sh.owner == s.cfg.Self
}

// advance emits the actions that are due at now, for all shards.
func (s *State) advance(now time.Time) {
	var reads []Shard
	var renewals, acquires, releases []Write
	acquireQuota, quotaKnown := 0, false // computed on first use, since most steps acquire nothing
	for _, name := range s.sortedShards {
		sh := s.shards[name]
		s.updateActing(now, sh)
		s.updateHandOver(now, sh)
		if sh.pendingRequest != 0 {
			continue
		}
		switch {
		case sh.openAttempt != 0 || !sh.known && (s.shouldOwn(sh) || s.isHolder(sh)):
			if !now.Before(sh.nextRead) {
				reads = append(reads, name)
			}
		case s.isHolder(sh) && sh.handOverRequested && sh.ordersClosed:
			if !now.Before(sh.nextRead) {
				releases = append(releases, s.newWrite(sh, true))
			}
		case s.isHolder(sh):
			if !now.Before(sh.nextRenewal) {
				renewals = append(renewals, s.newWrite(sh, false))
			}
		case s.shouldOwn(sh):
			takeOverAllowed := s.canTakeOver(now, sh)
			if takeOverAllowed && !quotaKnown {
				acquireQuota, quotaKnown = s.cfg.MaxAcquire-s.openTakeOvers(), true
			}
			if takeOverAllowed && len(acquires) < acquireQuota {
				acquires = append(acquires, s.newWrite(sh, false))
			} else if !now.Before(sh.nextRead) {
				reads = append(reads, name)
			}
		}
	}
	s.emitReads(now, reads)
	s.emitCommits(now, renewals)
	s.stopActing(releases)
	s.emitCommits(now, releases)
	s.emitCommits(now, acquires)
}

// openTakeOvers returns the number of takeovers whose outcome is not known yet.
func (s *State) openTakeOvers() int {
	n := 0
	for _, sh := range s.shards {
		if sh.openAttempt != 0 && !s.isHolder(sh) {
			n++
		}
	}
	return n
}

// stopActing ends the right to act before a release is sent. A release can take
// effect long after it was sent, and the next holder takes over without waiting, so
// only a renewal that is confirmed later can restore the right.
func (s *State) stopActing(releases []Write) {
	for _, w := range releases {
		sh := s.shards[w.Shard]
		sh.actUntil = time.Time{}
		if sh.acting {
			sh.acting = false
			s.emit(Lost{Shard: w.Shard, Epoch: w.Record.Epoch, Reason: HandedOver})
		}
	}
}

// updateActing emits Gained or Lost if the right to act has changed.
func (s *State) updateActing(now time.Time, sh *shardState) {
	holds := s.canAct(sh, now)
	if holds == sh.acting {
		return
	}
	sh.acting = holds
	if holds {
		s.emit(Gained{Shard: sh.name, Epoch: sh.record.Epoch, Continues: sh.continues})
		return
	}
	s.emit(Lost{Shard: sh.name, Epoch: sh.record.Epoch, Reason: Expired})
}

// updateHandOver emits HandOver or HandOverCancelled if the preference for the
// shard requires it.
func (s *State) updateHandOver(now time.Time, sh *shardState) {
	if !s.isHolder(sh) {
		sh.handOverRequested, sh.ordersClosed = false, false
		return
	}
	shouldHandOver := s.leaving || !sh.listed ||
		sh.owner != s.cfg.Self && now.Sub(sh.ownerSince) >= s.cfg.HandOverDelay
	switch {
	case shouldHandOver && !sh.handOverRequested:
		sh.handOverRequested = true
		s.emit(HandOver{Shard: sh.name})
	case s.shouldOwn(sh) && sh.handOverRequested && sh.pendingRequest == 0 && sh.openAttempt == 0:
		sh.handOverRequested, sh.ordersClosed = false, false
		s.emit(HandOverCancelled{Shard: sh.name})
	}
}

// isOfThisEra reports whether the last known record was written in the era of the
// store in which it was read. A record that a restore brought back, or left out,
// proves nothing: another process can have written it and act on that.
func (sh *shardState) isOfThisEra() bool { return sh.record.Era == sh.era }

// canTakeOver reports whether the lease can be acquired: the known record is
// absent, released, or unchanged for longer than its holder can act on it, and the
// next write of the shard is not delayed. After a restore of the store only the
// process that could act until then does not have to wait.
func (s *State) canTakeOver(now time.Time, sh *shardState) bool {
	if !sh.known || now.Before(sh.nextRenewal) {
		return false
	}
	if now.Before(sh.reclaimUntil) {
		return true
	}
	return sh.isOfThisEra() && (sh.version == 0 || sh.record.Released) ||
		now.Sub(sh.unchangedSince) >= s.cfg.challengeDelay()
}

// EpochEra returns the era of the store in which an epoch was given out.
func EpochEra(epoch uint64) uint64 { return epoch >> epochEraShift }

// epochEraShift leaves 32 bits for the epochs within an era of the store. Epochs of a
// later era are higher than those of an earlier one, which a restore can have lost.
const epochEraShift = 32

// newWrite returns the next write of a shard: a renewal or release if this process
// is the holder, otherwise a takeover under the next epoch.
func (s *State) newWrite(sh *shardState, release bool) Write {
	s.lastID++
	r := Record{
		Holder: s.cfg.Self, Incarnation: s.cfg.Incarnation, Epoch: sh.record.Epoch, Attempt: s.lastID,
		Released: release, Era: sh.era,
	}
	if !s.isHolder(sh) {
		r.Epoch = max(r.Epoch, sh.era<<epochEraShift) + 1
	}
	return Write{Shard: sh.name, Record: r, IfVersion: sh.version}
}

func (s *State) emitReads(now time.Time, shards []Shard) {
	for batch := range slices.Chunk(shards, s.cfg.MaxBatch) {
		s.lastID++
		s.requests[s.lastID] = request{isRead: true, sentAt: now, shards: batch}
		for _, name := range batch {
			s.shards[name].pendingRequest = s.lastID
		}
		s.emit(Read{ID: s.lastID, Shards: batch})
	}
}

func (s *State) emitCommits(now time.Time, writes []Write) {
	for batch := range slices.Chunk(writes, s.cfg.MaxBatch) {
		s.lastID++
		s.requests[s.lastID] = request{sentAt: now, writes: batch}
		for _, w := range batch {
			sh := s.shards[w.Shard]
			sh.pendingRequest = s.lastID
			sh.openAttempt, sh.attemptSentAt = w.Record.Attempt, now
		}
		s.emit(Commit{ID: s.lastID, Writes: batch})
	}
}

// expireRequests ends requests that have had no result for ResultTimeout. It
// treats a read as failed and the outcome of a commit as unknown.
func (s *State) expireRequests(now time.Time) {
	var expired []uint64
	for id, r := range s.requests {
		if now.Sub(r.sentAt) >= s.cfg.ResultTimeout {
			expired = append(expired, id)
		}
	}
	slices.SortFunc(expired, cmp.Compare[uint64])
	for _, id := range expired {
		if s.requests[id].isRead {
			s.handleReadResult(now, ReadResult{ID: id})
		} else {
			s.handleCommitResult(now, CommitResult{ID: id, Outcome: Unknown})
		}
	}
}
