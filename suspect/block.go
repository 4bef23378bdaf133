package suspect

import (
	"slices"
	"time"
)

const (
	// blockCrashes is the number of crashes that a part must have in common, without
	// an answer that clears it, to be blocked.
	blockCrashes = 3
	// minMoments is the number of moments at which a part that was in recent answers must
	// have crashed replicas to be blocked.
	minMoments = 2
	// maxDecisionGap is the time between two decisions after which suspicions start anew.
	maxDecisionGap = time.Second
	// minOtherAnswers is the number of answers without a part that must have settled since
	// it is suspected, if it was in recent answers. Without this, the parts of most requests
	// would be blocked when all replicas fail at once.
	minOtherAnswers = 10
	// maxUsedProbes limits the probes that an instance remembers to have used.
	maxUsedProbes = 64
	// Parts are blocked for blockTime, doubled after each failed probe up to
	// maxBlockTime. Each failed probe costs a replica.
	blockTime    = 30 * time.Second
	maxBlockTime = 5 * time.Minute
	// maxFailures is the number of failed probes beyond which more make no difference.
	maxFailures = 8
	// maxBlockAge is the time after the last crash at which a block ends without a
	// probe, because no requests with the part come any more.
	maxBlockAge = 15 * time.Minute
	// probeTime is how long an instance can use a probe before another one gets it.
	probeTime = 10 * time.Second
	// minBlockedWait is the shortest time after which a refused caller should return.
	minBlockedWait = time.Second
	// maxBlocked limits the blocks, maxBlockedParts the parts of all of them, and
	// maxSuspected the parts that the holder announces. All instances get these lists four
	// times a second.
	maxBlocked      = 256
	maxBlockedParts = 4096
	maxSuspected    = 64
)

// block is a set of parts that crashes have in common. Requests that hold all of them are
// refused. A part that several crashes share with a crashing one can't be told from it
// until a request with only one of them is answered, or crashes a replica too. So a block
// is never cut to fewer parts: without the crashing one it would refuse sound requests.
type block struct {
	parts     []Part    // sorted
	until     time.Time // when the next probe is due
	lastCrash time.Time
	failures  int // failed probes
	// unanswered means that this instance has blocked the parts when it knew of no recent
	// answers with one of them.
	unanswered bool
	// probe identifies the probe that this instance may use; 0 if none.
	probe uint64
	// refusedAt is when this instance last refused a request. On the holder, wantedAt
	// is when an instance last reported that it did, by instance.
	refusedAt time.Time
	wantedAt  map[string]time.Time
	// probeOwner is the instance that the holder has given the probe since probeAt.
	probeOwner string
	probeAt    time.Time
}

// evidence is what speaks against a part: the number of crashes in which it is suspected,
// the number of moments, at least crashSpan apart, at which there were any, and the last
// crash.
type evidence struct {
	crashes, moments int
	lastMoment       time.Time
	last             time.Time
}

// add adds a crash that is not earlier than those before.
func (e *evidence) add(at time.Time) {
	e.crashes++
	e.last = at
	if e.moments == 0 || at.Sub(e.lastMoment) >= crashSpan {
		e.moments++
		e.lastMoment = at
	}
}

// want records that an instance refuses requests for the block.
func (b *block) want(now time.Time, instance string) {
	if b.wantedAt == nil {
		b.wantedAt = make(map[string]time.Time)
	}
	if _, ok := b.wantedAt[instance]; ok || len(b.wantedAt) < maxInstances {
		b.wantedAt[instance] = now
	}
}

// isWanted reports whether an instance has refused requests for the block lately.
func (b *block) isWanted(now time.Time) bool {
	for _, at := range b.wantedAt {
		if now.Sub(at) <= probeTime {
			return true
		}
	}
	return false
}

// newBlock returns a block of sorted parts whose last crash was at lastCrash.
func newBlock(now time.Time, parts []Part, lastCrash time.Time) *block {
	return &block{parts: slices.Clone(parts), until: now.Add(holdTime(0)), lastCrash: lastCrash}
}

// matches reports whether a request with parts holds all parts of the block.
func (b *block) matches(parts []Part) bool {
	if len(b.parts) > len(parts) {
		return false
	}
	for _, p := range b.parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// holdTime returns how long parts are blocked after the given number of failed probes.
func holdTime(failures int) time.Duration {
	hold := blockTime
	for range failures {
		if hold *= 2; hold >= maxBlockTime {
			return maxBlockTime
		}
	}
	return hold
}

// recordCrash records a crash of a request that the block matches. A crash after the
// probe was due makes the parts wait longer.
func (b *block) recordCrash(now, at time.Time) {
	if !at.After(b.lastCrash) {
		return
	}
	b.lastCrash = at
	if !at.Before(b.until) {
		b.failures++
		b.until = now.Add(holdTime(b.failures))
		b.probeOwner = ""
	}
}

// grantProbe returns the probe that an instance may use now, or 0. A probe is identified
// by the time of its grant and the block, so that successive holders use different ones.
// Only an instance that refuses requests for the block gets one.
func (b *block) grantProbe(now time.Time, instance string) uint64 {
	if now.Before(b.until) {
		return 0
	}
	age := now.Sub(b.probeAt)
	wanted := now.Sub(b.wantedAt[instance]) <= probeTime
	// An instance that has not used its probe gets the next one only if no other asks.
	if wanted && (b.probeOwner == "" || age > 2*probeTime || age > probeTime && b.probeOwner != instance) {
		b.probeOwner, b.probeAt = instance, now
	}
	if b.probeOwner != instance {
		return 0
	}
	return uint64(b.probeAt.UnixNano()) ^ uint64(b.parts[0])
}

// hasRoom reports whether one more block with the given parts is within the limits.
func (s *State) hasRoom(parts []Part) bool {
	n := len(parts)
	for _, b := range s.blocks {
		n += len(b.parts)
	}
	return len(s.blocks) < maxBlocked && n <= maxBlockedParts
}

// makeRoom ends blocks without recent crashes for which no requests come any more, those
// with the oldest crashes first, while there is no room for one more block with the given
// parts. It reports whether there is room.
func (s *State) makeRoom(now time.Time, parts []Part) bool {
	for !s.hasRoom(parts) {
		oldest := -1
		for i, b := range s.blocks {
			if now.Sub(b.lastCrash) > retention && !b.isWanted(now) && (oldest < 0 || b.lastCrash.Before(s.blocks[oldest].lastCrash)) {
				oldest = i
			}
		}
		if oldest < 0 {
			return false
		}
		s.blocks = slices.Delete(s.blocks, oldest, oldest+1)
	}
	return true
}

// dropCleared drops the parts that an answer has cleared since the block's last crash.
func (s *State) dropCleared(b *block) {
	b.parts = slices.DeleteFunc(slices.Clone(b.parts), func(p Part) bool { return s.clearedAt(p).After(b.lastCrash) })
}
