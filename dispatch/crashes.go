package dispatch

import "time"

const (
	// crashLimit is the number of replicas in a row that broke off while they
	// ran a request with the same content, after which it is refused.
	crashLimit = 2
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

func (c crashes) refuses(now time.Time, fingerprint uint64) bool {
	known, ok := c[fingerprint]
	return ok && known.count >= crashLimit && now.Sub(known.last) <= crashMemory
}
