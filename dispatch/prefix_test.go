package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against prompt parts that are remembered without end, because callers state no tokens
// or so many that their sum overflows.
func TestRememberedPartsAreLimited(t *testing.T) {
	for name, tokens := range map[string]int{"no tokens": 0, "many tokens": math.MaxInt32} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPrefixes()
			now := time.Unix(0, 0)
			for n := range uint64(20_000) {
				p.add(now, []Part{{Key: 2 * n, Tokens: tokens}, {Key: 2*n + 1, Tokens: tokens}})
				is.True(len(p.parts) <= maxPrefixTokens/minPartTokens)
				is.Equal(len(p.parts), p.byUse.Len())
			}
			is.True(p.tokens > 0 && p.tokens <= maxPrefixTokens)
		})
	}
}

// Guards against the loss of a shared part that is in use, and of an earlier part of a prompt
// before a later one.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	is := is.New(t)
	p := newPrefixes()
	now := time.Unix(0, 0)
	const half = maxPrefixTokens / 2
	p.add(now, []Part{{Key: 1, Tokens: half}, {Key: 2, Tokens: half}})
	p.add(now.Add(time.Second), []Part{{Key: 1, Tokens: half}, {Key: 3, Tokens: 100}})
	is.True(p.contains(1))
	is.True(!p.contains(2))
	is.True(p.contains(3))
	is.Equal(p.cachedTokens([]Part{{Key: 1, Tokens: half}, {Key: 3, Tokens: 100}, {Key: 2, Tokens: half}}), half+100)
	at, ok := p.lastUsed(1)
	is.True(ok)
	is.Equal(at, now.Add(time.Second))
}
