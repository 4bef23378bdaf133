package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Crash is a crash as an instance reports it. Times between instances are ages, so that
// clocks are not compared.
type Crash struct {
	ID, Version uint64
	Replica     string
	Age         time.Duration
	Parts       []Part // empty if the replica turned out not to have crashed
	Began       bool   // the answers of the requests with these parts had begun
}

// Block is a set of blocked parts as instances exchange it.
type Block struct {
	Parts        []Part
	Wait         time.Duration // time until the next probe is due
	LastCrashAge time.Duration
	Failures     int
	// Wanted means that the reporting instance refuses requests with these parts.
	Wanted bool
	// Probe is the number of the probe that the addressed instance may use, or 0.
	Probe uint64
}

// Report is what an instance sends to the holder of the order lease.
type Report struct {
	// Incarnation differs from one start of the instance to the next. Numbers of
	// crashes start again with it.
	Incarnation uint64
	Crashes     []Crash // those that the holder does not have yet
	// Cleared holds, by watched part, the age of the newest answer that began and has
	// settled.
	Cleared map[Part]time.Duration
	// RecentAnswers holds, by suspected or blocked part, the number of recent answers that
	// have settled, and Answers the number of all settled answers since the start. A report without
	// anything else is not sent.
	RecentAnswers map[Part]int
	Answers       uint64
	// AnswersWith holds, for each suspected part that the instance has heard of, the number
	// of the settled answers with it since then.
	AnswersWith map[Part]uint64
	Blocked     []Block
	needed      bool
}

// IsNeeded reports whether the holder needs the report: the instance has records, or hears
// of suspected or blocked parts.
func (r Report) IsNeeded() bool { return r.needed }

// Decisions is what the holder sends to an instance.
type Decisions struct {
	// CrashVersion is the newest version of the instance's crashes that the holder has.
	CrashVersion uint64
	Suspected    []Part
	Blocked      []Block
}

// Report returns the report for the holder. Crashes are reported in the order of their
// versions, so that the holder has all up to the newest that it has received.
func (s *State) Report(now time.Time) Report {
	r := Report{Incarnation: s.incarnation, Cleared: s.clearedAges(now), needed: len(s.crashes)+len(s.suspected)+len(s.blocks) > 0}
	unknown := make([]crash, 0, len(s.crashes))
	for _, c := range s.crashes {
		if c.version > s.ackVersion {
			unknown = append(unknown, c)
		}
	}
	slices.SortFunc(unknown, func(a, b crash) int { return cmp.Compare(a.version, b.version) })
	parts := 0
	for _, c := range unknown {
		if parts += len(c.parts); parts > maxReportedParts {
			break
		}
		r.Crashes = append(r.Crashes, Crash{ID: c.id, Version: c.version, Replica: c.replica, Age: now.Sub(c.at), Parts: c.parts, Began: c.began})
	}
	addAnswers := func(parts []Part) {
		for _, p := range parts {
			if n := s.history.count(now, p); n > 0 {
				if r.RecentAnswers == nil {
					r.RecentAnswers = make(map[Part]int)
				}
				r.RecentAnswers[p] = n
			}
		}
	}
	addAnswers(s.suspected)
	for _, b := range s.blocks {
		addAnswers(b.parts)
	}
	r.Answers = s.history.answers
	if len(s.suspected) > 0 {
		r.AnswersWith = make(map[Part]uint64, len(s.suspected))
	}
	for _, p := range s.suspected {
		r.AnswersWith[p] = s.answersWith[p]
	}
	r.Blocked = s.Blocks(now)
	return r
}

// Blocks returns the blocked parts.
func (s *State) Blocks(now time.Time) []Block {
	var out []Block
	for _, b := range s.blocks {
		out = append(out, b.message(now))
	}
	return out
}

// clearedAges returns the ages of the newest settled answers, by part that the holder
// suspects or has blocked.
func (s *State) clearedAges(now time.Time) map[Part]time.Duration {
	out := make(map[Part]time.Duration)
	add := func(p Part) {
		if at := s.cleared[p]; !at.IsZero() && now.Sub(at) <= retention {
			out[p] = now.Sub(at)
		}
	}
	for _, p := range s.suspected {
		add(p)
	}
	for _, b := range s.blocks {
		for _, p := range b.parts {
			add(p)
		}
	}
	return out
}

func (b *block) message(now time.Time) Block {
	return Block{
		Parts: b.parts, Wait: max(0, b.until.Sub(now)), LastCrashAge: now.Sub(b.lastCrash), Failures: b.failures,
		Wanted: now.Sub(b.refusedAt) <= probeTime,
	}
}

// block returns the block of a message. Times that can't be are replaced by the nearest
// possible ones, so that the block ends.
func (m Block) block(now time.Time) *block {
	b := newBlock(now, slices.Sorted(slices.Values(m.Parts)), past(now, m.LastCrashAge))
	b.until, b.failures, b.probe = now.Add(min(max(m.Wait, 0), maxBlockTime)), min(max(m.Failures, 0), maxFailures), m.Probe
	return b
}

// past returns the time of an event with an age that another instance has reported.
func past(now time.Time, age time.Duration) time.Time { return now.Add(-max(age, 0)) }

// Adopt replaces the suspected and blocked parts by those of the holder. It returns the
// sets of parts that it has blocked or unblocked.
func (s *State) Adopt(now time.Time, v Decisions) Changes {
	s.ackVersion = v.CrashVersion
	s.suspected = v.Suspected
	for _, p := range v.Suspected {
		s.watch(p)
	}
	old := s.blocks
	s.blocks = nil
	for _, m := range v.Blocked {
		if len(m.Parts) == 0 {
			continue // would match every request
		}
		b := m.block(now)
		if i := slices.IndexFunc(old, func(o *block) bool { return slices.Equal(o.parts, b.parts) }); i >= 0 {
			b.refusedAt = old[i].refusedAt
		}
		s.addBlock(b)
	}
	return compareBlocks(old, s.blocks)
}

// addBlock adds a block and watches its parts.
func (s *State) addBlock(b *block) {
	s.blocks = append(s.blocks, b)
	for _, p := range b.parts {
		s.watch(p)
	}
}

// Changes lists the sets of parts that were blocked and unblocked.
type Changes struct {
	Blocked, Unblocked [][]Part
}

func compareBlocks(old, current []*block) Changes {
	var changes Changes
	contains := func(blocks []*block, parts []Part) bool {
		return slices.ContainsFunc(blocks, func(b *block) bool { return slices.Equal(b.parts, parts) })
	}
	for _, b := range current {
		if !contains(old, b.parts) {
			changes.Blocked = append(changes.Blocked, b.parts)
		}
	}
	for _, b := range old {
		if !contains(current, b.parts) {
			changes.Unblocked = append(changes.Unblocked, b.parts)
		}
	}
	return changes
}
