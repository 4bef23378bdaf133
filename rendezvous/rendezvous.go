// Package rendezvous assigns keys to members by rendezvous (highest random weight)
// hashing. Every process with the same member list makes the same choice, and
// adding or removing a member moves only the keys that it gains or loses.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a key or member name, for Score.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a member for a key, both given by their Hash. The
// member with the highest score is the first choice.
func Score(key, member uint64) uint64 {
	// The finalizer of MurmurHash3 makes all bits of the result depend on both
	// hashes, at a fraction of the cost of hashing both strings together.
	x := key ^ (member * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Set is an immutable set of members with precomputed hashes.
type Set struct {
	names  []string
	hashes []uint64
}

// NewSet returns a set of the given members. Order and duplicate names don't matter.
func NewSet(members []string) Set {
	names := slices.Clone(members)
	slices.Sort(names)
	names = slices.Compact(names)
	hashes := make([]uint64, len(names))
	for i, n := range names {
		hashes[i] = Hash(n)
	}
	return Set{names: names, hashes: hashes}
}

// Len returns the number of members.
func (s Set) Len() int { return len(s.names) }

// First returns the member with the highest score for key, or "" if the set is
// empty.
func (s Set) First(key string) string {
	k, best := Hash(key), -1
	var bestScore uint64
	for i, h := range s.hashes {
		if score := Score(k, h); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return ""
	}
	return s.names[best]
}

// Top returns the n members with the highest scores for key, highest first, or all
// members if there are fewer.
func (s Set) Top(key string, n int) []string {
	type scored struct {
		index int
		score uint64
	}
	k := Hash(key)
	top := make([]scored, 0, n+1)
	for i, h := range s.hashes {
		c := scored{i, Score(k, h)}
		at := len(top)
		for at > 0 && top[at-1].score < c.score {
			at--
		}
		if at >= n {
			continue
		}
		top = slices.Insert(top, at, c)
		if len(top) > n {
			top = top[:n]
		}
	}
	out := make([]string, len(top))
	for i, c := range top {
		out[i] = s.names[c.index]
	}
	return out
}
