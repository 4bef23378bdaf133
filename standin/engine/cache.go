package standinengine

import (
	"math/rand/v2"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
)

// maxEvents is the maximum number of cache events that are kept. When it is
// exceeded, only the newest maxEvents/2 events are kept.
const maxEvents = 4096

// prefixCache is an LRU cache of prompt prefixes with a log of its changes.
type prefixCache struct {
	capacity     int
	eventDelay   time.Duration
	eventLoss    float64
	random       *rand.Rand
	lastUse      map[uint64]uint64 // value of useCount at the last use, by prefix
	useCount     uint64
	events       []cacheEvent
	lastSequence uint64 // sequence number of the last event; not reset by a crash
}

type cacheEvent struct {
	engine.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(c Config, random *rand.Rand) prefixCache {
	return prefixCache{
		capacity: c.CachePrefixes, eventDelay: c.CacheEventDelay, eventLoss: c.CacheEventLoss,
		random: random, lastUse: make(map[uint64]uint64),
	}
}

// lookupOrInsert marks prefix as used, inserting it if it is not cached, and
// returns whether it was cached.
func (c *prefixCache) lookupOrInsert(prefix uint64, now time.Time) bool {
	_, hit := c.lastUse[prefix]
	if !hit {
		if len(c.lastUse) >= c.capacity {
			c.evict(now)
		}
		c.recordEvent(prefix, false, now)
	}
	c.useCount++
	c.lastUse[prefix] = c.useCount
	return hit
}

// evict removes the least recently used prefix.
func (c *prefixCache) evict(now time.Time) {
	var oldest, prefix uint64
	for p, use := range c.lastUse {
		if oldest == 0 || use < oldest {
			oldest, prefix = use, p
		}
	}
	delete(c.lastUse, prefix)
	c.recordEvent(prefix, true, now)
}

// recordEvent assigns the next sequence number to a cache change and logs the event,
// unless the event is lost at random.
func (c *prefixCache) recordEvent(prefix uint64, removed bool, now time.Time) {
	c.lastSequence++
	if c.eventLoss > 0 && c.random.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, cacheEvent{engine.CacheEvent{Sequence: c.lastSequence, Prefix: prefix, Removed: removed}, now.Add(c.eventDelay)})
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxEvents/2:]...)
	}
}

// publishedEvents returns the events that are visible at time now and have a higher
// sequence number than after.
func (c *prefixCache) publishedEvents(after uint64, now time.Time) []engine.CacheEvent {
	var out []engine.CacheEvent
	for _, e := range c.events {
		if e.Sequence > after && !e.visibleAt.After(now) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

func (c *prefixCache) clear() {
	clear(c.lastUse)
	c.events = nil
}
