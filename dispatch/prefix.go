package dispatch

import (
	"container/list"
	"slices"
	"time"
)

const (
	// maxPrefixTokens limits the tokens of the prompt parts remembered for one
	// replica. Engines hold at least 120,000 tokens, and running requests use half of
	// them.
	maxPrefixTokens = 60_000
	// minPartTokens is what a part counts at least, as engines keep whole blocks of tokens.
	// It limits the number of parts, whatever numbers of tokens callers state.
	minPartTokens = 16
)

// prefixes is an LRU set of the prompt parts that this instance sent to a replica,
// an estimate of the replica's prefix cache. It is keyed by Part.Key. The parts have at most
// maxPrefixTokens together, unless there is only one.
type prefixes struct {
	parts  map[uint64]*list.Element // of cachedPart
	byUse  *list.List               // the part that was used last is in front
	tokens int
}

type cachedPart struct {
	key      uint64
	tokens   int
	lastUsed time.Time
}

func newPrefixes() prefixes {
	return prefixes{parts: make(map[uint64]*list.Element), byUse: list.New()}
}

// cachedTokens returns the number of tokens of the longest known prefix of a
// prompt.
func (p *prefixes) cachedTokens(parts []Part) int {
	n := 0
	for _, part := range parts {
		if !p.contains(part.Key) {
			break
		}
		n += part.Tokens
	}
	return n
}

func (p *prefixes) contains(key uint64) bool {
	_, ok := p.parts[key]
	return ok
}

// lastUsed returns when a part was last used, or false if it is not known.
func (p *prefixes) lastUsed(key uint64) (at time.Time, ok bool) {
	element, ok := p.parts[key]
	if !ok {
		return time.Time{}, false
	}
	return element.Value.(cachedPart).lastUsed, true
}

// add records that the replica processes a prompt, and evicts the least recently
// used parts above maxPrefixTokens. Of one prompt, the later parts are evicted first: they
// are of no use without the earlier ones.
func (p *prefixes) add(now time.Time, parts []Part) {
	for _, part := range slices.Backward(parts) {
		fresh := cachedPart{key: part.Key, tokens: min(max(part.Tokens, minPartTokens), maxPrefixTokens), lastUsed: now}
		element, ok := p.parts[part.Key]
		if ok {
			p.tokens -= element.Value.(cachedPart).tokens
			element.Value = fresh
			p.byUse.MoveToFront(element)
		} else {
			p.parts[part.Key] = p.byUse.PushFront(fresh)
		}
		p.tokens += fresh.tokens
	}
	for p.tokens > maxPrefixTokens && p.byUse.Len() > 1 {
		oldest := p.byUse.Remove(p.byUse.Back()).(cachedPart)
		p.tokens -= oldest.tokens
		delete(p.parts, oldest.key)
	}
}
