package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Role is the part that an instance has in decisions on parts.
type Role struct {
	// Holder is the instance's own name if it holds the order lease, and otherwise
	// empty. Only the holder grants probes.
	Holder string
	// Settle is how long a part must have been announced as suspected before it is
	// blocked, so that other instances can report answers that clear it. A crash is judged
	// after the same time, when they have reported the sends that it broke.
	Settle time.Duration
}

// isComplete reports whether the records of a crash are there: the instances have recorded
// the sends that it broke and reported them to the holder.
func (r Role) isComplete(now time.Time, c crash) bool {
	return now.Sub(c.at) >= max(r.Settle, processingDelay)
}

// Decide blocks and unblocks parts. The holder of the order lease calls it regularly,
// and so does an instance that hears of no holder, which decides by its own records.
func (s *State) Decide(now time.Time, role Role) Changes {
	s.Expire(now)
	if len(s.crashes) == 0 && len(s.blocks) == 0 && len(s.fleet.instances) == 0 && len(s.suspected) == 0 {
		return Changes{}
	}
	if role.Holder != s.decidedAs || now.Sub(s.decidedAt) > maxDecisionGap {
		// Other instances have not reported to this one meanwhile.
		s.fleet.suspicions = make(map[Part]suspicion)
	}
	s.decidedAs, s.decidedAt = role.Holder, now
	s.fleet.recordAnswers(now, s.recentAnswers(now))
	crashes := s.allCrashes()
	if role.Holder == "" {
		// The send that crashed the replica may have been that of another instance.
		crashes = slices.DeleteFunc(crashes, func(c crash) bool { return !c.began })
	}
	old := make([]*block, len(s.blocks))
	for i, b := range s.blocks {
		old[i] = &block{parts: b.parts}
	}
	complete := slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool { return !role.isComplete(now, c) })
	s.updateBlocks(now, complete, role.Holder)
	complete = s.unexplained(complete)
	for {
		parts, e := s.mostSuspected(now, complete, role.Settle)
		if len(parts) == 0 || !s.makeRoom(now, parts) {
			break
		}
		b := newBlock(now, parts, e.last)
		b.unanswered = !s.allHaveRecentAnswers(now, b.parts)
		s.addBlock(b)
		complete = s.unexplained(complete)
	}
	s.announce(now, s.unexplained(crashes))
	return compareBlocks(old, s.blocks)
}

// updateBlocks records the crashes of blocked requests, drops the parts that are not to
// blame and the blocks without parts, and grants due probes to the holder's own instance.
// A block of unanswered parts ends if there were recent answers with all of them after all,
// and its crashes are no evidence any more.
func (s *State) updateBlocks(now time.Time, crashes []crash, holder string) {
	for _, b := range s.blocks {
		for _, c := range crashes {
			if s.suspectsAll(c, b.parts) {
				b.recordCrash(now, c.at)
			} else if common := s.common(c, b.parts); c.began && c.at.After(b.lastCrash) && len(common) > 0 && s.areEnough(now, common, b.parts) {
				b.parts = common // the others are not needed for a crash
				b.recordCrash(now, c.at)
			}
		}
		if b.unanswered && b.failures == 0 && s.allHaveRecentAnswers(now, b.parts) {
			// Keeps the block from coming back with the reports of other instances, whose
			// times differ by their delay.
			for _, p := range b.parts {
				s.fleet.cleared[p] = b.lastCrash.Add(crashSpan)
			}
		}
		s.dropCleared(b)
	}
	s.blocks = slices.DeleteFunc(s.blocks, func(b *block) bool { return len(b.parts) == 0 })
	if holder == "" {
		return
	}
	for _, b := range s.blocks {
		if now.Sub(b.refusedAt) <= probeTime {
			b.want(now, holder)
		}
		b.probe = b.grantProbe(now, holder)
	}
}

// suspectsAll reports whether all the parts are suspected in a crash.
func (s *State) suspectsAll(c crash, parts []Part) bool {
	return len(parts) > 0 && !slices.ContainsFunc(parts, func(p Part) bool { return !s.suspects(c, p) })
}

// common returns those of the parts that are suspected in a crash.
func (s *State) common(c crash, parts []Part) []Part {
	return slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return !s.suspects(c, p) })
}

// areEnough reports whether a crash of a request with only some of a block's parts shows
// that the others are not needed for it. If a part without recent answers is among the
// others, and none among these, the replica has crashed for another reason.
func (s *State) areEnough(now time.Time, some, all []Part) bool {
	return !s.allHaveRecentAnswers(now, some) || s.allHaveRecentAnswers(now, all)
}

// suspects reports whether a part was in a request that a crash broke, and no answer
// has cleared the part since.
func (s *State) suspects(c crash, p Part) bool {
	_, found := slices.BinarySearch(c.parts, p)
	return found && c.at.After(s.clearedAt(p))
}

// unexplained returns the crashes of requests that no block matches. The others are no
// evidence against further parts.
func (s *State) unexplained(crashes []crash) []crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c crash) bool {
		return slices.ContainsFunc(s.blocks, func(b *block) bool { return s.suspectsAll(c, b.parts) })
	})
}

// count returns the evidence of the crashes by part.
func (s *State) count(crashes []crash) map[Part]evidence {
	counts := make(map[Part]evidence)
	for _, c := range crashes {
		for _, p := range c.parts {
			if !c.at.After(s.clearedAt(p)) {
				continue
			}
			e := counts[p]
			e.add(c.at)
			counts[p] = e
		}
	}
	return counts
}

// mostSuspected returns the parts to block next, and the evidence against them. It takes
// a part with the most crashes, at least blockCrashes, among those that have been
// announced for settle, and the parts that were in all of its crashes. Parts that were in
// no recent answer come first: a part that every request has is in every crash too.
func (s *State) mostSuspected(now time.Time, crashes []crash, settle time.Duration) (parts []Part, e evidence) {
	counts := s.count(crashes)
	var worst Part
	best := candidate{}
	for p, n := range counts {
		if n.crashes < blockCrashes {
			continue
		}
		c := candidate{crashes: n.crashes, answered: s.hasRecentAnswers(now, p)}
		if !s.isConclusive(now, p, c, n.moments, settle) {
			continue
		}
		if order := c.compare(best); best.crashes == 0 || order > 0 || order == 0 && p < worst {
			worst, best = p, c
		}
	}
	if best.crashes == 0 {
		return nil, evidence{}
	}
	together := make(map[Part]int)
	for _, c := range crashes {
		if !s.suspects(c, worst) {
			continue
		}
		for _, p := range c.parts {
			if s.suspects(c, p) {
				together[p]++
			}
		}
	}
	for p, n := range together {
		if n == best.crashes && counts[p].crashes == n {
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	return parts, counts[worst]
}

// candidate is the evidence against a part.
type candidate struct {
	crashes  int
	answered bool // the part was in recent answers
}

// compare returns a positive number if the evidence is stronger than that of other.
func (c candidate) compare(other candidate) int {
	if c.answered != other.answered {
		if other.answered {
			return 1
		}
		return -1
	}
	return cmp.Compare(c.crashes, other.crashes)
}

// hasRecentAnswers reports whether a part was in a recent settled answer of any instance.
func (s *State) hasRecentAnswers(now time.Time, p Part) bool {
	at, reported := s.fleet.answered[p]
	return s.history.count(now, p) > 0 || reported && now.Sub(at) <= retention
}

// allHaveRecentAnswers reports whether each of the parts was in a recent settled answer.
func (s *State) allHaveRecentAnswers(now time.Time, parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool { return !s.hasRecentAnswers(now, p) })
}

// isConclusive reports whether the evidence against a part suffices to block it. For a
// part that was in recent answers, crashes at one moment do not: replicas also fail
// together, as those of a rack.
func (s *State) isConclusive(now time.Time, p Part, c candidate, moments int, settle time.Duration) bool {
	known, announced := s.fleet.suspicions[p]
	if settle > 0 && (!announced || now.Sub(known.since) < settle) {
		return false
	}
	return !c.answered || announced && moments >= minMoments && s.answersWithout(p) >= minOtherAnswers
}

// announce sets the list of suspected parts. Those of several crashes and of no recent
// answer come first, because they are blocked first, and then those with the most crashes.
// Blocked parts come last, because instances report the answers that clear these anyway.
func (s *State) announce(now time.Time, crashes []crash) {
	counts := s.count(crashes)
	for _, b := range s.blocks {
		for _, p := range b.parts {
			if _, ok := counts[p]; !ok {
				counts[p] = evidence{}
			}
		}
	}
	isNew := make(map[Part]bool)
	for p, e := range counts {
		isNew[p] = e.crashes > 1 && !s.hasRecentAnswers(now, p)
	}
	parts := slices.SortedFunc(maps.Keys(counts), func(a, b Part) int {
		if isNew[a] != isNew[b] {
			if isNew[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(counts[b].crashes, counts[a].crashes), cmp.Compare(a, b))
	})
	parts = parts[:min(len(parts), maxSuspected)]
	suspicions := make(map[Part]suspicion, len(parts))
	for _, p := range parts {
		s.watch(p)
		known, ok := s.fleet.suspicions[p]
		if !ok {
			known = suspicion{since: now, others: s.ownAnswersWithout(p)}
		}
		suspicions[p] = known
	}
	s.suspected, s.fleet.suspicions = parts, suspicions
}
