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

// Block is a blocked part as instances exchange it.
type Block struct {
	Part         Part
	Wait         time.Duration // time until the next trial is due
	LastCrashAge time.Duration
	Failures     int
	// Trial is the number of the trial that the addressed instance may use, or 0.
	Trial uint64
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
	// Proven holds, by suspected part, the number of recent answers that have settled,
	// and Answers the number of all settled answers since the start.
	Proven  map[Part]int
	Answers uint64
	Blocked []Block
}

// Verdicts is what the holder sends to an instance.
type Verdicts struct {
	// CrashVersion is the newest version of the instance's crashes that the holder has.
	CrashVersion uint64
	Suspected    []Part
	Blocked      []Block
}

// Report returns the report for the holder. Crashes are reported in the order of their
// versions, so that the holder has all up to the newest that it has received.
func (s *State) Report(now time.Time) Report {
	r := Report{Incarnation: s.incarnation, Cleared: s.clearedAges(now)}
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
	for _, p := range s.suspected {
		if n := s.history.count(now, p); n > 0 {
			if r.Proven == nil {
				r.Proven = make(map[Part]int)
			}
			r.Proven[p] = n
		}
	}
	if len(s.suspected)+len(s.crashes) > 0 {
		r.Answers = s.history.answers
	}
	for p, b := range s.blocked {
		r.Blocked = append(r.Blocked, b.message(now, p))
	}
	sortBlocks(r.Blocked)
	return r
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
	for p := range s.blocked {
		add(p)
	}
	return out
}

func (b *block) message(now time.Time, p Part) Block {
	return Block{Part: p, Wait: max(0, b.until.Sub(now)), LastCrashAge: now.Sub(b.lastCrash), Failures: b.failures}
}

func sortBlocks(blocks []Block) {
	slices.SortFunc(blocks, func(a, b Block) int { return cmp.Compare(a.Part, b.Part) })
}

// Adopt replaces the suspected and blocked parts by those of the holder. It returns the
// parts that it has blocked or unblocked.
func (s *State) Adopt(now time.Time, v Verdicts) Changes {
	s.ackVersion = v.CrashVersion
	s.suspected = v.Suspected
	for _, p := range v.Suspected {
		s.watch(p)
	}
	var changes Changes
	blocked := make(map[Part]*block, len(v.Blocked))
	for _, m := range v.Blocked {
		b, ok := s.blocked[m.Part]
		if !ok {
			b = &block{}
			s.watch(m.Part)
			changes.Blocked = append(changes.Blocked, m.Part)
		}
		b.until, b.lastCrash, b.failures, b.trial = now.Add(m.Wait), now.Add(-m.LastCrashAge), m.Failures, m.Trial
		blocked[m.Part] = b
	}
	for p := range s.blocked {
		if blocked[p] == nil {
			changes.Unblocked = append(changes.Unblocked, p)
		}
	}
	s.blocked = blocked
	return changes
}
