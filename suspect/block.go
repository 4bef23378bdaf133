package suspect

import (
	"time"
)

const (
	// blockCrashes is the number of crashes that a part must have in common, without
	// an answer that clears it, to be blocked.
	blockCrashes = 3
	// minOtherAnswers is the number of answers without a part that must have settled
	// since the part is suspected, if it was in recent answers. Without it, the parts of
	// most requests would be blocked when all replicas fail at once.
	minOtherAnswers = 10
	// A part is blocked for blockTime, doubled after each failed trial up to
	// maxBlockTime. Each failed trial costs a replica.
	blockTime    = 30 * time.Second
	maxBlockTime = 5 * time.Minute
	// maxBlockAge is the time after the last crash at which a block ends without a
	// trial, because no requests with the part come any more.
	maxBlockAge = 15 * time.Minute
	// trialTime is how long an instance can use a trial before another one gets it.
	trialTime = 10 * time.Second
	// minBlockedWait is the shortest time after which a refused caller should return.
	minBlockedWait = time.Second
	// maxBlocked limits the blocked parts, and maxSuspected the parts that the holder
	// announces.
	maxBlocked   = 256
	maxSuspected = 256
)

// block is the state of a blocked part.
type block struct {
	until     time.Time // when the next trial is due
	lastCrash time.Time
	failures  int // failed trials
	// trial identifies the trial that this instance may use; 0 if none. usedTrial is
	// the last one that it has used.
	trial, usedTrial uint64
	// trialOwner is the instance that the holder has given the trial since trialAt.
	trialOwner string
	trialAt    time.Time
}

// mayTry reports whether this instance may send a request with the part.
func (b *block) mayTry() bool { return b.trial != 0 && b.trial != b.usedTrial }

// holdTime returns how long a part is blocked after the given number of failed trials.
func holdTime(failures int) time.Duration {
	hold := blockTime
	for range failures {
		if hold *= 2; hold >= maxBlockTime {
			return maxBlockTime
		}
	}
	return hold
}

// recordCrash records a crash in which the part was suspected. A crash after the trial
// was due makes the part wait longer.
func (b *block) recordCrash(now, at time.Time) {
	if !at.After(b.lastCrash) {
		return
	}
	b.lastCrash = at
	if !at.Before(b.until) {
		b.failures++
		b.until = now.Add(holdTime(b.failures))
		b.trialOwner = ""
	}
}

// grantTrial returns the trial that an instance may use now, or 0. A trial is
// identified by the time of its grant, so that successive holders use different ones.
func (b *block) grantTrial(now time.Time, instance string) uint64 {
	if now.Before(b.until) {
		return 0
	}
	age := now.Sub(b.trialAt)
	// An instance that has not used its trial gets the next one only if no other asks.
	if b.trialOwner == "" || age > 2*trialTime || age > trialTime && b.trialOwner != instance {
		b.trialOwner, b.trialAt = instance, now
	}
	if b.trialOwner != instance {
		return 0
	}
	return uint64(b.trialAt.UnixNano())
}
