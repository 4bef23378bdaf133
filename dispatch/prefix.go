package dispatch

import "time"

// maxPrefixTokens limits the tokens of the prompt parts remembered for one
// replica. Engines hold at least 120,000 tokens, and running requests use half of
// them.
const maxPrefixTokens = 60_000

// prefixes is an LRU set of the prompt parts that this instance sent to a replica,
// an estimate of the replica's prefix cache. It is keyed by Part.Key.
type prefixes struct {
	parts  map[uint64]cachedPart
	tokens int
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

func newPrefixes() prefixes { return prefixes{parts: make(map[uint64]cachedPart)} }

// cachedTokens returns the number of tokens of the longest known prefix of a
// prompt.
func (p *prefixes) cachedTokens(parts []Part) int {
	n := 0
	for _, part := range parts {
		if _, ok := p.parts[part.Key]; !ok {
			break
		}
		n += part.Tokens
	}
	return n
}

// add records that the replica processes a prompt, and evicts the least recently
// used parts above maxPrefixTokens.
func (p *prefixes) add(now time.Time, parts []Part) {
	for _, part := range parts {
		if _, ok := p.parts[part.Key]; !ok {
			p.tokens += part.Tokens
		}
		p.parts[part.Key] = cachedPart{tokens: part.Tokens, lastUsed: now}
	}
	for p.tokens > maxPrefixTokens && len(p.parts) > 1 {
		p.evictOldest()
	}
}

func (p *prefixes) evictOldest() {
	var oldest uint64
	var at time.Time
	for key, part := range p.parts {
		if at.IsZero() || part.lastUsed.Before(at) {
			oldest, at = key, part.lastUsed
		}
	}
	p.tokens -= p.parts[oldest].tokens
	delete(p.parts, oldest)
}
