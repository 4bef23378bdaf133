package suspect

import (
	"cmp"
	"slices"
	"time"
)

// maxInstances limits the instances whose crashes the holder keeps, and maxFleetParts the
// parts of these crashes.
const (
	maxInstances  = 1024
	maxFleetParts = 4 * maxOwnParts
)

// fleet is what the holder of the order lease has collected from other instances.
type fleet struct {
	instances  map[string]*reported
	cleared    map[Part]time.Time // newest settled answers of other instances
	suspicions map[Part]suspicion
	answers    uint64 // settled answers that other instances have reported
}

// suspicion describes a part in the list of suspected parts: since when it has been
// there, and the number of settled answers of all instances at that time.
type suspicion struct {
	since   time.Time
	answers uint64
}

// reported holds the crashes that one instance has reported.
type reported struct {
	incarnation uint64
	crashes     map[uint64]crash
	version     uint64 // newest version
	reportedAt  time.Time
	answers     uint64
	proven      map[Part]int
}

func newFleet() fleet {
	return fleet{instances: make(map[string]*reported), cleared: make(map[Part]time.Time), suspicions: make(map[Part]suspicion)}
}

// Merge records the report of another instance.
func (s *State) Merge(now time.Time, instance string, r Report) {
	s.mergeCrashes(now, instance, r)
	for p, age := range r.Cleared {
		if at := now.Add(-age); at.After(s.fleet.cleared[p]) {
			s.fleet.cleared[p] = at
		}
	}
	for _, m := range r.Blocked {
		s.mergeBlock(now, m)
	}
}

func (s *State) mergeCrashes(now time.Time, instance string, r Report) {
	known, ok := s.fleet.instances[instance]
	if !ok && (len(r.Crashes) == 0 && r.Answers == 0 || len(s.fleet.instances) >= maxInstances) {
		return
	}
	if !ok || known.incarnation != r.Incarnation {
		known = &reported{incarnation: r.Incarnation, crashes: make(map[uint64]crash), answers: r.Answers}
		s.fleet.instances[instance] = known
	}
	if r.Answers > known.answers {
		s.fleet.answers += r.Answers - known.answers
		known.answers = r.Answers
	}
	known.reportedAt, known.proven = now, r.Proven
	for _, c := range r.Crashes {
		known.crashes[c.ID] = crash{id: c.ID, version: c.Version, replica: c.Replica, at: now.Add(-c.Age), parts: union(nil, c.Parts), began: c.Began}
		known.version = max(known.version, c.Version)
	}
	if len(r.Crashes) > 0 {
		s.fleet.limitParts()
	}
}

// limitParts drops the oldest crashes while there are too many parts.
func (f *fleet) limitParts() {
	type entry struct {
		from *reported
		crash
	}
	var all []entry
	parts := 0
	for _, known := range f.instances {
		for _, c := range known.crashes {
			all = append(all, entry{known, c})
			parts += len(c.parts)
		}
	}
	if parts <= maxFleetParts {
		return
	}
	slices.SortFunc(all, func(a, b entry) int { return a.at.Compare(b.at) })
	for _, e := range all {
		if parts <= maxFleetParts {
			return
		}
		parts -= len(e.parts)
		delete(e.from.crashes, e.id)
	}
}

// mergeBlock adopts a block that another instance knows, for example from an earlier
// holder, unless an answer has cleared the part since its last crash.
func (s *State) mergeBlock(now time.Time, m Block) {
	lastCrash := now.Add(-m.LastCrashAge)
	if _, ok := s.blocked[m.Part]; ok || len(s.blocked) >= maxBlocked || !lastCrash.After(s.clearedAt(m.Part)) {
		return
	}
	s.blocked[m.Part] = &block{until: now.Add(m.Wait), lastCrash: lastCrash, failures: m.Failures}
	s.watch(m.Part)
}

// clearedAt returns when the newest answer of any instance began that clears a part.
func (s *State) clearedAt(p Part) time.Time {
	own, others := s.cleared[p], s.fleet.cleared[p]
	if own.After(others) {
		return own
	}
	return others
}

// VerdictsFor returns the verdicts for another instance. Only the holder calls it.
func (s *State) VerdictsFor(now time.Time, instance string) Verdicts {
	v := Verdicts{Suspected: s.suspected}
	if known, ok := s.fleet.instances[instance]; ok {
		v.CrashVersion = known.version
	}
	for p, b := range s.blocked {
		m := b.message(now, p)
		m.Trial = b.grantTrial(now, instance)
		v.Blocked = append(v.Blocked, m)
	}
	sortBlocks(v.Blocked)
	return v
}

// Changes lists the parts that were blocked and unblocked.
type Changes struct {
	Blocked, Unblocked []Part
}

// Role is the part that an instance has in decisions on parts.
type Role struct {
	// Holder is the instance's own name if it holds the order lease, and otherwise
	// empty. Only the holder grants trials.
	Holder string
	// Settle is how long a part must have been announced as suspected before it is
	// blocked, so that other instances can report answers that clear it.
	Settle time.Duration
}

// Decide blocks and unblocks parts. The holder of the order lease calls it regularly,
// and so does an instance that hears of no holder, which decides by its own records.
func (s *State) Decide(now time.Time, role Role) Changes {
	s.Expire(now)
	if len(s.crashes) == 0 && len(s.blocked) == 0 && len(s.fleet.instances) == 0 && len(s.suspected) == 0 {
		return Changes{}
	}
	crashes := s.allCrashes()
	if role.Holder == "" {
		// The send that crashed the replica may have been that of another instance.
		crashes = slices.DeleteFunc(crashes, func(c crash) bool { return !c.began })
	}
	changes := Changes{Unblocked: s.updateBlocked(now, crashes, role.Holder)}
	crashes = s.unexplained(crashes)
	for {
		parts, last := s.mostSuspected(now, crashes, role.Settle)
		if len(parts) == 0 || len(s.blocked)+len(parts) > maxBlocked {
			break
		}
		for _, p := range parts {
			s.blocked[p] = &block{until: now.Add(holdTime(0)), lastCrash: last}
			s.watch(p)
		}
		changes.Blocked = append(changes.Blocked, parts...)
		crashes = s.unexplained(crashes)
	}
	s.announce(now, crashes)
	return changes
}

// updateBlocked records the crashes of blocked parts, grants due trials to the holder's
// own instance, and unblocks the parts that an answer has cleared since their last
// crash. It returns the latter.
func (s *State) updateBlocked(now time.Time, crashes []crash, holder string) (unblocked []Part) {
	for p, b := range s.blocked {
		for _, c := range crashes {
			if s.suspects(c, p) {
				b.recordCrash(now, c.at)
			}
		}
		if s.clearedAt(p).After(b.lastCrash) {
			delete(s.blocked, p)
			unblocked = append(unblocked, p)
		} else if holder != "" {
			b.trial = b.grantTrial(now, holder)
		}
	}
	slices.Sort(unblocked)
	return unblocked
}

// suspects reports whether a part was in a request that a crash broke, and no answer
// has cleared the part since.
func (s *State) suspects(c crash, p Part) bool {
	_, found := slices.BinarySearch(c.parts, p)
	return found && c.at.After(s.clearedAt(p))
}

// unexplained returns the crashes in which no blocked part is suspected. The others are
// no evidence against further parts.
func (s *State) unexplained(crashes []crash) []crash {
	return slices.DeleteFunc(crashes, func(c crash) bool {
		for p := range s.blocked {
			if s.suspects(c, p) {
				return true
			}
		}
		return false
	})
}

// Expire drops old records. Every instance calls it regularly.
func (s *State) Expire(now time.Time) {
	s.expire(now)
	s.expireFleet(now)
}

func (s *State) expireFleet(now time.Time) {
	for name, known := range s.fleet.instances {
		for id, c := range known.crashes {
			if now.Sub(c.at) > retention {
				delete(known.crashes, id)
			}
		}
		if len(known.crashes) == 0 && now.Sub(known.reportedAt) > retention {
			delete(s.fleet.instances, name)
		}
	}
	for p, at := range s.fleet.cleared {
		if now.Sub(at) > retention {
			delete(s.fleet.cleared, p)
		}
	}
}

// allCrashes returns the crashes of all instances. Records of several instances about
// one crash are merged.
func (s *State) allCrashes() []crash {
	all := slices.Clone(s.crashes)
	for _, known := range s.fleet.instances {
		for _, c := range known.crashes {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b crash) int { return cmp.Or(cmp.Compare(a.replica, b.replica), a.at.Compare(b.at)) })
	var merged []crash
	for _, c := range all {
		if len(c.parts) == 0 {
			continue
		}
		if last := len(merged) - 1; last >= 0 && merged[last].replica == c.replica && c.at.Sub(merged[last].at) < crashSpan {
			merged[last].add(c.parts, c.began)
			continue
		}
		merged = append(merged, c)
	}
	return merged
}

// count returns, by part, the crashes in which it was suspected and that no answer has
// cleared since, and the time of the last of them.
func (s *State) count(crashes []crash) (counts map[Part]int, last map[Part]time.Time) {
	counts, last = make(map[Part]int), make(map[Part]time.Time)
	for _, c := range crashes {
		for _, p := range c.parts {
			if !c.at.After(s.clearedAt(p)) {
				continue
			}
			counts[p]++
			if c.at.After(last[p]) {
				last[p] = c.at
			}
		}
	}
	return counts, last
}

// mostSuspected returns the parts to block next, and the time of their last crash. These
// are the parts with the most crashes, at least blockCrashes, among those that have been
// announced for settle. Parts that always come together have the same count, and all of
// them are returned. Parts that were in no recent answer come first: a part that every
// request has is in every crash too.
func (s *State) mostSuspected(now time.Time, crashes []crash, settle time.Duration) (parts []Part, last time.Time) {
	counts, lasts := s.count(crashes)
	best := candidate{crashes: blockCrashes, proven: true}
	for p, n := range counts {
		c := candidate{crashes: n, proven: s.isProven(now, p)}
		if !s.isConclusive(now, p, c, settle) || c.compare(best) < 0 {
			continue
		}
		if c.compare(best) > 0 {
			parts, best = nil, c
		}
		parts = append(parts, p)
	}
	slices.Sort(parts)
	for _, p := range parts {
		if lasts[p].After(last) {
			last = lasts[p]
		}
	}
	return parts, last
}

// candidate is the evidence against a part.
type candidate struct {
	crashes int
	proven  bool // the part was in recent answers
}

// compare returns a positive number if the evidence is stronger than that of other.
func (c candidate) compare(other candidate) int {
	if c.proven != other.proven {
		if other.proven {
			return 1
		}
		return -1
	}
	return cmp.Compare(c.crashes, other.crashes)
}

// isProven reports whether a part was in a recent settled answer of any instance.
func (s *State) isProven(now time.Time, p Part) bool {
	if s.history.count(now, p) > 0 {
		return true
	}
	for _, known := range s.fleet.instances {
		if known.proven[p] > 0 {
			return true
		}
	}
	return false
}

// isConclusive reports whether the evidence against a part suffices to block it.
func (s *State) isConclusive(now time.Time, p Part, c candidate, settle time.Duration) bool {
	if c.crashes < blockCrashes {
		return false
	}
	known, announced := s.fleet.suspicions[p]
	if settle > 0 && (!announced || now.Sub(known.since) < settle) {
		return false
	}
	return !c.proven || announced && s.allAnswers()-known.answers >= minOtherAnswers
}

// allAnswers returns the number of settled answers of all instances.
func (s *State) allAnswers() uint64 { return s.history.answers + s.fleet.answers }

// announce sets the list of suspected parts to those with the most crashes.
func (s *State) announce(now time.Time, crashes []crash) {
	counts, _ := s.count(crashes)
	parts := make([]Part, 0, len(counts))
	for p := range counts {
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	parts = parts[:min(len(parts), maxSuspected)]
	suspicions := make(map[Part]suspicion, len(parts))
	for _, p := range parts {
		s.watch(p)
		known, ok := s.fleet.suspicions[p]
		if !ok {
			known = suspicion{since: now, answers: s.allAnswers()}
		}
		suspicions[p] = known
	}
	s.suspected, s.fleet.suspicions = parts, suspicions
}
