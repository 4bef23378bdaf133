package dispatch

import "time"

const (
	// crashLimit is the number of replicas in a row that broke off while they
	// ran a request with the same content, after which it is refused.
	crashLimit = 2
	// fleetCrashLimit is the same over all instances: callers send such content
	// again through others. It is higher, because requests that ran beside it on
	// the same replica are counted too until they succeed.
	fleetCrashLimit = 3
	// MinPeerCrashes is the count of the other instances from which on it can change a
	// decision: below it, this instance reaches its own limit first.
	MinPeerCrashes = fleetCrashLimit - crashLimit + 1
	// crashMemory is the time for which such content stays refused: callers
	// send it again for as long as their deadline lasts.
	crashMemory = 30 * time.Second
	// maxCrashes bounds the remembered contents.
	maxCrashes = 512
)

// crashes counts, by the content of requests, the replicas that broke off while
// they ran it, without a complete answer between.
type crashes map[uint64]crash

type crash struct {
	count int
	last  time.Time
}

func (c crashes) add(now time.Time, fingerprint uint64) {
	for key, old := range c {
		if now.Sub(old.last) > crashMemory {
			delete(c, key)
		}
	}
	if len(c) >= maxCrashes {
		return
	}
	known := c[fingerprint]
	c[fingerprint] = crash{count: known.count + 1, last: now}
}

// refuses reports whether content crashes replicas. elsewhere is the count of
// the other instances.
func (c crashes) refuses(now time.Time, fingerprint uint64, elsewhere int) bool {
	own := 0
	if known, ok := c[fingerprint]; ok && now.Sub(known.last) <= crashMemory {
		own = known.count
	}
	return own >= crashLimit || own+elsewhere >= fleetCrashLimit
}

// OwnCrashes returns the counts of this instance, by content, for the others.
func (s *State) OwnCrashes(now time.Time) map[uint64]int {
	out := make(map[uint64]int)
	for fingerprint, c := range s.crashes {
		if now.Sub(c.last) <= crashMemory {
			out[fingerprint] = c.count
		}
	}
	return out
}

// SetPeerCrashes takes over the counts of all other instances.
func (s *State) SetPeerCrashes(counts map[uint64]int) { s.peerCrashes = counts }
