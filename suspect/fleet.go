package suspect

import (
	"maps"
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
	instances map[string]*reported
	cleared   map[Part]time.Time // newest settled answers of other instances
	// answered is when an instance last had recent answers. It is kept as long as the
	// crashes, because the instances forget their answers earlier.
	answered   map[Part]time.Time
	suspicions map[Part]suspicion
}

// suspicion describes a part in the list of suspected parts: since when it has been
// there, and the number of this instance's settled answers without it at that time.
type suspicion struct {
	since  time.Time
	others uint64
}

// reported holds the crashes that one instance has reported.
type reported struct {
	incarnation uint64
	crashes     map[uint64]crash
	version     uint64 // newest version
	reportedAt  time.Time
	others      map[Part]otherAnswers // by suspected part
}

func newFleet() fleet {
	return fleet{instances: make(map[string]*reported), cleared: make(map[Part]time.Time), answered: make(map[Part]time.Time), suspicions: make(map[Part]suspicion)}
}

// Merge records the report of another instance.
func (s *State) Merge(now time.Time, instance string, r Report) {
	s.mergeCrashes(now, instance, r)
	for p, age := range r.Cleared {
		if at := past(now, age); at.After(s.fleet.cleared[p]) {
			s.fleet.cleared[p] = at
		}
	}
	for _, m := range r.Blocked {
		s.mergeBlock(now, instance, m)
	}
}

func (s *State) mergeCrashes(now time.Time, instance string, r Report) {
	if r.Incarnation == 0 {
		return // no report
	}
	known, ok := s.fleet.instances[instance]
	if !ok && len(s.fleet.instances) >= maxInstances {
		return
	}
	if !ok || known.incarnation != r.Incarnation {
		known = &reported{incarnation: r.Incarnation, crashes: make(map[uint64]crash), others: make(map[Part]otherAnswers)}
		s.fleet.instances[instance] = known
	}
	known.reportedAt = now
	s.mergeAnswers(now, known, r)
	for _, c := range r.Crashes {
		known.crashes[c.ID] = crash{id: c.ID, version: c.Version, replica: c.Replica, at: past(now, c.Age), parts: union(nil, c.Parts[:min(len(c.Parts), maxCrashParts)]), began: c.Began}
		known.version = max(known.version, c.Version)
	}
	if len(r.Crashes) > 0 {
		s.fleet.limitParts(s.crashes)
	}
}

// limitParts drops crashes while there are too many parts: first records without begun
// answers if there is one with them of the same crash, and then the oldest crashes. own
// are the crashes of the holder's own records.
func (f *fleet) limitParts(own []crash) {
	type entry struct {
		from *reported
		crash
	}
	var all []entry
	parts := 0
	began := make(map[string][]time.Time)
	addBegan := func(c crash) {
		if c.began && len(c.parts) > 0 {
			began[c.replica] = append(began[c.replica], c.at)
		}
	}
	for _, c := range own {
		addBegan(c)
	}
	for _, known := range f.instances {
		for _, c := range known.crashes {
			all = append(all, entry{known, c})
			parts += len(c.parts)
			addBegan(c)
		}
	}
	if parts <= maxFleetParts {
		return
	}
	drop := func(e entry) {
		parts -= len(e.parts)
		delete(e.from.crashes, e.id)
	}
	all = slices.DeleteFunc(all, func(e entry) bool {
		secondary := !e.began && slices.ContainsFunc(began[e.replica], func(at time.Time) bool { return e.at.Sub(at).Abs() < crashSpan })
		if secondary {
			drop(e)
		}
		return secondary
	})
	slices.SortFunc(all, func(a, b entry) int { return a.at.Compare(b.at) })
	for _, e := range all {
		if parts <= maxFleetParts {
			return
		}
		drop(e)
	}
}

// Restore adds blocks that were stored before all instances restarted.
func (s *State) Restore(now time.Time, blocks []Block) {
	for _, m := range blocks {
		m.Wanted = false
		s.mergeBlock(now, "", m)
	}
}

// mergeBlock adopts a block that another instance knows, for example from an earlier
// holder, unless answers have cleared its parts since its last crash.
func (s *State) mergeBlock(now time.Time, instance string, m Block) {
	if len(m.Parts) == 0 {
		return
	}
	if i := slices.IndexFunc(s.blocks, func(b *block) bool { return slices.Equal(b.parts, m.Parts) }); i >= 0 {
		if m.Wanted {
			s.blocks[i].want(now, instance)
		}
		return
	}
	known := func(b *block) bool {
		return slices.ContainsFunc(m.Parts, func(p Part) bool { return slices.Contains(b.parts, p) })
	}
	if slices.ContainsFunc(s.blocks, known) {
		return
	}
	b := m.block(now)
	if s.dropCleared(b); len(b.parts) > 0 && s.hasRoom(b.parts) {
		s.addBlock(b)
	}
}

// clearedAt returns when the newest answer of any instance began that clears a part.
func (s *State) clearedAt(p Part) time.Time {
	own, others := s.cleared[p], s.fleet.cleared[p]
	if own.After(others) {
		return own
	}
	return others
}

// DecisionsFor returns the decisions for another instance. Only the holder calls it.
func (s *State) DecisionsFor(now time.Time, instance string) Decisions {
	v := Decisions{Suspected: s.suspected}
	if known, ok := s.fleet.instances[instance]; ok {
		v.CrashVersion = known.version
	}
	for _, b := range s.blocks {
		m := b.message(now)
		m.Probe = b.grantProbe(now, instance)
		v.Blocked = append(v.Blocked, m)
	}
	return v
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
	old := func(_ Part, at time.Time) bool { return now.Sub(at) > retention }
	maps.DeleteFunc(s.fleet.cleared, old)
	maps.DeleteFunc(s.fleet.answered, old)
}
