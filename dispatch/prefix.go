package dispatch

import "time"

// maxPrefixTokens bounds what is remembered of one replica. It is below the
// memory of today's engines (120,000 tokens and more), half of which running
// requests take.
const maxPrefixTokens = 60_000

// prefixes are the parts of prompts that a replica has read, as far as this
// instance sent them.
type prefixes struct {
	parts  map[uint64]prefix
	tokens int
}

type prefix struct {
	tokens int
	used   time.Time
}

func newPrefixes() prefixes { return prefixes{parts: make(map[uint64]prefix)} }

// cached returns the tokens of the longest known beginning of the prompt.
func (p *prefixes) cached(parts []Part) int {
	n := 0
	for _, part := range parts {
		if _, ok := p.parts[part.Key]; !ok {
			break
		}
		n += part.Tokens
	}
	return n
}

// add records that the replica reads the prompt, and forgets the parts that
// were used least recently.
func (p *prefixes) add(now time.Time, parts []Part) {
	for _, part := range parts {
		if _, ok := p.parts[part.Key]; !ok {
			p.tokens += part.Tokens
		}
		p.parts[part.Key] = prefix{tokens: part.Tokens, used: now}
	}
	for p.tokens > maxPrefixTokens && len(p.parts) > 1 {
		p.dropOldest()
	}
}

func (p *prefixes) dropOldest() {
	var oldest uint64
	var at time.Time
	for key, part := range p.parts {
		if at.IsZero() || part.used.Before(at) {
			oldest, at = key, part.used
		}
	}
	p.tokens -= p.parts[oldest].tokens
	delete(p.parts, oldest)
}
