// Package suspect decides which prompt parts crash replicas. Each instance records
// the parts of the requests whose replica broke off before their answer had settled,
// and the parts of the answers that settled. The holder of the order lease collects
// these records, blocks a part that several crashes have in common and that no answer
// has cleared since, and later admits one request at a time as a probe. It does no I/O
// and reads no clock; the control goroutine owns the state.
package suspect

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Part identifies a part of a prompt, whatever the rest of the request holds.
type Part uint64

// String returns the part as a hexadecimal number.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

const (
	// SettleTime is how long an answer must go on after its first byte to clear the
	// parts of its prompt. A replica that crashes on a part does so when it begins the
	// answer, and its first bytes may still arrive.
	SettleTime = 250 * time.Millisecond
	// crashSpan is the time within which the broken sends to one replica count as one
	// crash. A crashed replica is back after some seconds.
	crashSpan = time.Second
	// minRestartTime is the time that a crashed replica takes at least to answer again.
	minRestartTime = 500 * time.Millisecond
	// processingDelay is the time by which a broken send may be recorded later than an
	// answer of the same replica that began before the crash.
	processingDelay = 100 * time.Millisecond
	// retention is how long crashes, and answers that clear parts, are kept.
	retention = time.Minute
	// maxCrashes, maxCrashParts and maxOwnParts limit the crashes, the parts of a crash
	// and all parts that an instance keeps, and maxReportedParts the parts that it sends
	// to the holder at a time. A head of 16 KB has about 1,200 parts.
	maxCrashes       = 64
	maxCrashParts    = 1024
	maxOwnParts      = 4 * maxCrashParts
	maxReportedParts = maxCrashParts
)

// State holds what one instance knows of suspected and blocked parts. On the holder of
// the order lease it also holds the records of the other instances. It is not safe
// for concurrent use.
type State struct {
	incarnation uint64  // differs from one start of the instance to the next
	crashes     []crash // own crashes, oldest first
	lastVersion uint64
	ackVersion  uint64 // the newest version that the holder has
	// cleared holds, for each watched part, when the newest answer began that has
	// settled; zero if none has. Only parts of crashes, suspected parts and blocked
	// parts are watched.
	cleared map[Part]time.Time
	// answersWith holds, for each watched part, the number of settled answers with it since
	// it is watched.
	answersWith map[Part]uint64
	history     history
	suspected   []Part // as the holder has announced them
	// decidedAt is when Decide last ran, and decidedAs the name with which it did.
	decidedAt time.Time
	decidedAs string
	blocks    []*block
	used      []uint64 // probes that this instance has used, oldest first
	fleet     fleet
}

// New returns a State without records. incarnation must differ from one start of the
// instance to the next.
func New(incarnation uint64) *State {
	return &State{incarnation: incarnation, cleared: make(map[Part]time.Time), answersWith: make(map[Part]uint64), history: newHistory(), fleet: newFleet()}
}

// RecordBreak records that a send broke before its answer had settled; began tells
// whether it broke between the head and the first event of its answer. parts are the parts
// that can be suspected: all but the last, which belongs to the request itself.
func (s *State) RecordBreak(now time.Time, replica string, parts []Part, began bool) {
	if len(parts) == 0 {
		return
	}
	s.lastVersion++
	i := slices.IndexFunc(s.crashes, func(c crash) bool {
		return c.replica == replica && c.began == began && now.Sub(c.at) < crashSpan
	})
	if i < 0 {
		s.crashes = append(s.crashes, crash{id: s.lastVersion, replica: replica, at: now, began: began})
		i = len(s.crashes) - 1
	}
	c := &s.crashes[i]
	c.version = s.lastVersion
	c.parts = union(c.parts, parts)
	s.limitParts(now, c)
	for _, p := range c.parts {
		s.watch(p)
	}
	for len(s.crashes) > maxCrashes || len(s.crashes) > 1 && countParts(s.crashes) > maxOwnParts {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
}

func (s *State) watch(p Part) {
	if _, ok := s.cleared[p]; !ok {
		s.cleared[p] = time.Time{}
	}
}

// RecordSettled records that an answer of a replica, which began at begun, has
// settled. It clears the parts of the prompt.
func (s *State) RecordSettled(begun time.Time, replica string, parts []Part) {
	s.voidCrash(begun, replica)
	s.history.add(begun, parts)
	if len(s.cleared) == 0 {
		return
	}
	for _, p := range union(nil, parts) { // a prompt can hold a part more than once
		at, ok := s.cleared[p]
		if !ok {
			continue
		}
		s.answersWith[p]++
		if begun.After(at) {
			s.cleared[p] = begun
		}
	}
}

// Blocked returns the index of a part for which a request is refused, and the time until
// it is tried again. It returns -1 if the request is not refused, or is due as a probe at
// this instance. Of several parts that are blocked together it returns the last one.
func (s *State) Blocked(now time.Time, parts []Part) (index int, wait time.Duration) {
	for _, b := range s.blocks {
		if !b.matches(parts) || s.mayProbe(b) {
			continue
		}
		b.refusedAt = now
		for i := range slices.Backward(parts) {
			if slices.Contains(b.parts, parts[i]) {
				return i, max(b.until.Sub(now), minBlockedWait)
			}
		}
	}
	return -1, 0
}

// mayProbe reports whether this instance may send a request with the parts of a block.
func (s *State) mayProbe(b *block) bool { return b.probe != 0 && !slices.Contains(s.used, b.probe) }

// RecordSend records that a request is sent. It uses up the probes of the blocks that
// match it.
func (s *State) RecordSend(parts []Part) {
	for _, b := range s.blocks {
		if b.matches(parts) && s.mayProbe(b) {
			s.used = append(s.used, b.probe)
			s.used = s.used[max(0, len(s.used)-maxUsedProbes):]
		}
	}
}

// expire drops old records, and stops watching parts that are in none.
func (s *State) expire(now time.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) > retention })
	s.blocks = slices.DeleteFunc(s.blocks, func(b *block) bool { return now.Sub(b.lastCrash) > maxBlockAge })
	watched := make(map[Part]bool)
	for _, c := range s.crashes {
		for _, p := range c.parts {
			watched[p] = true
		}
	}
	for _, p := range s.suspected {
		watched[p] = true
	}
	for _, b := range s.blocks {
		for _, p := range b.parts {
			watched[p] = true
		}
	}
	s.history.expire(now)
	maps.DeleteFunc(s.cleared, func(p Part, at time.Time) bool {
		return !watched[p] && now.Sub(at) > retention
	})
	maps.DeleteFunc(s.answersWith, func(p Part, _ uint64) bool {
		_, ok := s.cleared[p]
		return !ok
	})
}

// DescribeCrashes returns the crashes of this instance's records in which all the parts
// are suspected, for the log.
func (s *State) DescribeCrashes(parts []Part) string {
	var texts []string
	for _, c := range s.crashes {
		if s.suspectsAll(c, parts) {
			texts = append(texts, c.replica+" "+c.at.UTC().Format("15:04:05.000"))
		}
	}
	return strings.Join(texts, ", ")
}

// Counts returns the number of blocks and of parts that the holder suspects.
func (s *State) Counts() (blocks, suspected int) { return len(s.blocks), len(s.suspected) }
