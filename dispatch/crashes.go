package dispatch

import "time"

const (
	// crashLimit is the number of consecutive broken sends of the same content
	// after which this instance refuses it.
	crashLimit = 2
	// fleetCrashLimit is the limit for the sum over all instances, as callers repeat
	// such content through other instances. It is higher than crashLimit, because
	// other requests that ran on a crashed replica are counted too until they succeed.
	fleetCrashLimit = 3
	// MinPeerCrashes is the lowest count of the other instances that can change a
	// decision. Below it, this instance reaches crashLimit first.
	MinPeerCrashes = fleetCrashLimit - crashLimit + 1
	// crashRetention is the time for which a crash count is kept after its last
	// crash. Callers repeat crashing content until their deadline.
	crashRetention = 30 * time.Second
	// maxCrashes limits the number of fingerprints kept. Those with the fewest crashes,
	// and of these the oldest, give way to new ones: every request that ran on a
	// crashed replica is counted, and most of them are not sent again.
	maxCrashes = 512
)

// crashes holds, by request fingerprint, the number of sends that ended as
// ConnectionBroken since the last one that ended as Answered.
type crashes map[uint64]crashCount

type crashCount struct {
	count     int
	lastCrash time.Time
}

func (c crashes) add(now time.Time, fingerprint uint64) {
	for key, old := range c {
		if now.Sub(old.lastCrash) > crashRetention {
			delete(c, key)
		}
	}
	known, ok := c[fingerprint]
	if !ok && len(c) >= maxCrashes {
		c.evict()
	}
	c[fingerprint] = crashCount{count: known.count + 1, lastCrash: now}
}

// evict drops the oldest of the counts with the fewest crashes.
func (c crashes) evict() {
	var least uint64
	found := false
	for key, count := range c {
		known := c[least]
		if !found || count.count < known.count || count.count == known.count && count.lastCrash.Before(known.lastCrash) {
			least, found = key, true
		}
	}
	delete(c, least)
}

// limitReached reports whether a fingerprint has reached crashLimit on this
// instance or, with peerCount of the other instances, fleetCrashLimit.
func (c crashes) limitReached(now time.Time, fingerprint uint64, peerCount int) bool {
	ownCount := 0
	if known, ok := c[fingerprint]; ok && now.Sub(known.lastCrash) <= crashRetention {
		ownCount = known.count
	}
	return ownCount >= crashLimit || ownCount+peerCount >= fleetCrashLimit
}

// OwnCrashes returns this instance's crash counts by request fingerprint, for the
// other instances.
func (s *State) OwnCrashes(now time.Time) map[uint64]int {
	out := make(map[uint64]int)
	for fingerprint, c := range s.crashes {
		if now.Sub(c.lastCrash) <= crashRetention {
			out[fingerprint] = c.count
		}
	}
	return out
}

// SetPeerCrashes replaces the summed crash counts of all other instances, by
// request fingerprint.
func (s *State) SetPeerCrashes(counts map[uint64]int) { s.peerCrashes = counts }
