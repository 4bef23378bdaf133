package standinengine

import (
	"math/rand/v2"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
)

// maxEvents bounds the cache events that are kept and published at once.
const maxEvents = 4096

// prefixCache holds the prompt prefixes used last, and the events about them.
type prefixCache struct {
	capacity int
	delay    time.Duration
	loss     float64
	random   *rand.Rand
	lastUse  map[uint64]uint64 // by prefix: number of the last use
	uses     uint64
	events   []cacheEvent
	sequence uint64 // of the last event; goes on after a crash
}

type cacheEvent struct {
	engine.CacheEvent
	visible time.Time
}

func newPrefixCache(c Config, random *rand.Rand) prefixCache {
	return prefixCache{
		capacity: c.CachePrefixes, delay: c.CacheEventDelay, loss: c.CacheEventLoss,
		random: random, lastUse: make(map[uint64]uint64),
	}
}

// use puts a prefix into the cache and reports whether it was there.
func (c *prefixCache) use(prefix uint64, now time.Time) bool {
	_, hit := c.lastUse[prefix]
	if !hit {
		if len(c.lastUse) >= c.capacity {
			c.evict(now)
		}
		c.publish(prefix, false, now)
	}
	c.uses++
	c.lastUse[prefix] = c.uses
	return hit
}

// evict removes the prefix that was not used for longest.
func (c *prefixCache) evict(now time.Time) {
	var oldest, prefix uint64
	for p, use := range c.lastUse {
		if oldest == 0 || use < oldest {
			oldest, prefix = use, p
		}
	}
	delete(c.lastUse, prefix)
	c.publish(prefix, true, now)
}

func (c *prefixCache) publish(prefix uint64, removed bool, now time.Time) {
	c.sequence++
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, cacheEvent{engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Removed: removed}, now.Add(c.delay)})
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxEvents/2:]...)
	}
}

// published returns the events after a sequence number that are visible now.
func (c *prefixCache) published(after uint64, now time.Time) []engine.CacheEvent {
	var out []engine.CacheEvent
	for _, e := range c.events {
		if e.Sequence > after && !e.visible.After(now) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

func (c *prefixCache) clear() {
	clear(c.lastUse)
	c.events = nil
}
