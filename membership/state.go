package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

// member is the mutable state behind a Member.
type member struct {
	Member
	sequence uint64 // sequence of the newest heartbeat of the incarnation
	// listLeaving is set by the platform's list and announcedLeaving by the
	// instance itself; Leaving is set if either is.
	listLeaving, announcedLeaving bool
	storeFresh                    bool
	everListed                    bool
	firstHeard                    time.Time // when the incarnation was first heard of
}

// State holds the membership as seen by one instance. It is not safe for
// concurrent use.
type State struct {
	cfg      Config
	members  map[fleet.InstanceID]*member // excludes this instance
	listRead bool                         // a list was read at least once
	// firstListRead and lastListRead are the times of the first and the latest
	// ListingRead.
	firstListRead, lastListRead time.Time
	ownHeartbeat                Heartbeat
	ownUpdatedAt                time.Time // reference time of the ages in ownHeartbeat
	leaving                     bool

	sequence          uint64
	nextSend          time.Time
	nextSummary       time.Time
	summarySeq        uint64
	ownSummary        Summary
	remoteSummaries   map[fleet.DataCentre]Summary
	summaryReceivedAt map[fleet.DataCentre]time.Time
	relayPositions    map[fleet.InstanceID]relayPosition
	lastContact       time.Time
	isolated          bool
	replacedBy        fleet.Incarnation
	highestRevision   uint64

	// Cached candidates for PreferredOwner and ReportReaders.
	ownerCandidates rendezvous.Set
	readersByDC     map[fleet.DataCentre]rendezvous.Set
	allReaders      rendezvous.Set
	candidatesStale bool // the cached candidate sets must be recomputed
	// readersVersion counts the recomputations of these sets.
	readersVersion uint64
	actions        []Action
}

// relayPosition identifies the newest summary received from a relay.
type relayPosition struct {
	incarnation fleet.Incarnation
	sequence    uint64
}

// New returns a State without other members. It treats now as the time of the
// last contact, so isolation starts IsolatedAfter later at the earliest.
func New(cfg Config, now time.Time) *State {
	return &State{
		cfg:               cfg.withDefaults(),
		members:           make(map[fleet.InstanceID]*member),
		remoteSummaries:   make(map[fleet.DataCentre]Summary),
		summaryReceivedAt: make(map[fleet.DataCentre]time.Time),
		relayPositions:    make(map[fleet.InstanceID]relayPosition),
		lastContact:       now,
		candidatesStale:   true,
	}
}

// Step applies one event and returns the resulting actions.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = nil
	switch ev := ev.(type) {
	case ListingRead:
		s.applyListing(now, ev)
	case HeartbeatReceived:
		s.receiveHeartbeat(now, ev.Heartbeat)
	case StoreAnswered:
		s.noteContact(ev.Sent)
	case Tick:
		if s.ownStoreFresh() != (ev.Own.TableAge < s.cfg.StoreStaleAfter) {
			s.candidatesStale = true
		}
		s.ownHeartbeat, s.ownUpdatedAt = ev.Own, now
		s.tick(now)
	case LeaveRequested:
		s.leaving, s.candidatesStale = true, true
		s.nextSend = now
		s.sendIfDue(now)
	}
	s.updateIsolation(now)
	return s.actions
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) noteContact(at time.Time) {
	if at.After(s.lastContact) {
		s.lastContact = at
	}
}

func (s *State) applyListing(now time.Time, ev ListingRead) {
	if !s.listRead {
		s.listRead, s.firstListRead = true, now
	}
	s.lastListRead = now
	inList := make(map[fleet.InstanceID]bool, len(ev.Instances))
	for _, l := range ev.Instances {
		if l.ID == s.cfg.Self.ID {
			continue
		}
		inList[l.ID] = true
		m := s.memberFor(l.ID)
		before := m.Member
		m.InList, m.everListed, m.listLeaving = true, true, l.Leaving
		if m.Instance.Incarnation == 0 {
			// Heartbeats carry newer addresses than the list, which lags.
			m.Instance.DataCentre, m.Instance.PeerAddress = l.DataCentre, l.PeerAddress
		}
		s.updateMember(now, before, m)
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if !m.InList || inList[id] {
			continue
		}
		before := m.Member
		m.InList, m.listLeaving = false, false
		s.updateMember(now, before, m)
		if m.Status == Listed {
			s.removeMember(m)
		}
	}
}

// memberFor returns the member with the given ID and adds it if it is unknown.
func (s *State) memberFor(id fleet.InstanceID) *member {
	m := s.members[id]
	if m == nil {
		m = &member{Member: Member{Instance: fleet.Instance{ID: id}}}
		s.members[id] = m
	}
	return m
}

func (s *State) removeMember(m *member) {
	delete(s.members, m.Instance.ID)
	delete(s.relayPositions, m.Instance.ID)
	s.candidatesStale = true
	s.emit(MemberRemoved{Member: m.Member})
}

// updateMember recomputes the status and the leaving mark of m and emits
// MemberChanged if these, the instance or its presence in the list changed.
func (s *State) updateMember(now time.Time, before Member, m *member) {
	m.Leaving = m.listLeaving || m.announcedLeaving
	if m.Instance.Incarnation != 0 {
		switch silence := now.Sub(m.LastHeard); {
		case silence < s.cfg.SuspectAfter:
			m.Status = Alive
		case silence < s.cfg.DeadAfter:
			m.Status = Suspect
		default:
			m.Status = Dead
		}
	}
	if before.Status == m.Status && before.Leaving == m.Leaving && before.InList == m.InList &&
		before.Instance == m.Instance {
		return
	}
	s.candidatesStale = true
	s.emit(MemberChanged{Before: before, After: m.Member})
}

// noteIncarnation records that the incarnation i of an instance was heard of and
// returns its member. It returns nil for outdated incarnations and for this
// instance, and emits Replaced for a newer incarnation of this instance.
func (s *State) noteIncarnation(now time.Time, i fleet.Instance) *member {
	if i.ID == "" || i.Incarnation == 0 {
		return nil
	}
	if i.ID == s.cfg.Self.ID {
		if i.Incarnation > s.cfg.Self.Incarnation && i.Incarnation > s.replacedBy {
			s.replacedBy = i.Incarnation
			s.emit(Replaced{By: i})
		}
		return nil
	}
	m := s.memberFor(i.ID)
	if i.Incarnation < m.Instance.Incarnation {
		return nil
	}
	if i.Incarnation > m.Instance.Incarnation {
		m.sequence, m.announcedLeaving, m.Heartbeat = 0, false, nil
		m.LastHeard = time.Time{}
		m.storeFresh, m.firstHeard = true, now
	}
	m.Instance = i
	return m
}

func (s *State) receiveHeartbeat(now time.Time, h Heartbeat) {
	var before Member
	if old := s.members[h.Member.ID]; old != nil {
		before = old.Member
	}
	m := s.noteIncarnation(now, h.Member)
	if m == nil || h.Sequence <= m.sequence {
		return
	}
	m.sequence = h.Sequence
	m.LastHeard = now
	m.announcedLeaving = m.announcedLeaving || h.Leaving
	m.Heartbeat, m.HeartbeatAt = &h, now
	s.setStoreFresh(m, h.TableAge < s.cfg.StoreStaleAfter)
	s.noteContact(now)
	s.updateMember(now, before, m)
	s.noteRevision(h.TableRevision, h.Member)
	for _, sum := range h.Summaries {
		s.receiveSummary(now, h.Member, sum)
	}
}

func (s *State) setStoreFresh(m *member, fresh bool) {
	if fresh != m.storeFresh {
		m.storeFresh, s.candidatesStale = fresh, true
	}
}

// noteRevision emits RevisionSeen if r is higher than any revision before.
func (s *State) noteRevision(r uint64, from fleet.Instance) {
	if r > s.highestRevision {
		s.highestRevision = r
		s.emit(RevisionSeen{Revision: r, Member: from})
	}
}

// receiveSummary applies a relay's summary of another data centre, which arrived
// from via. RevisionSeen names via, since the members of another data centre
// can be unreachable from here.
func (s *State) receiveSummary(now time.Time, via fleet.Instance, sum Summary) {
	if sum.DataCentre == s.cfg.Self.DataCentre || sum.Relay == s.cfg.Self.ID {
		return
	}
	last := s.relayPositions[sum.Relay]
	if sum.RelayIncarnation < last.incarnation ||
		sum.RelayIncarnation == last.incarnation && sum.Sequence <= last.sequence {
		return
	}
	s.relayPositions[sum.Relay] = relayPosition{sum.RelayIncarnation, sum.Sequence}
	s.remoteSummaries[sum.DataCentre] = sum
	s.summaryReceivedAt[sum.DataCentre] = now
	for _, d := range sum.Members {
		if d.Member.DataCentre != sum.DataCentre {
			continue
		}
		var before Member
		if old := s.members[d.Member.ID]; old != nil {
			before = old.Member
		}
		m := s.noteIncarnation(now, d.Member)
		if m == nil {
			continue
		}
		if !d.Suspect || m.LastHeard.IsZero() {
			m.LastHeard = now
		}
		m.announcedLeaving = m.announcedLeaving || d.Leaving
		s.setStoreFresh(m, !d.StoreStale)
		s.updateMember(now, before, m)
	}
	s.noteRevision(sum.TableRevision, via)
}

// tick updates all statuses, removes unlisted members that were silent for
// RemoveAfter, and sends heartbeats that are due.
func (s *State) tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		s.updateMember(now, m.Member, m)
		if m.Status == Dead && !m.InList && now.Sub(m.LastHeard) >= s.cfg.RemoveAfter {
			s.removeMember(m)
		}
	}
	s.sendIfDue(now)
}

// updateIsolation emits IsolationChanged if the instance became isolated or is
// no longer. See Isolated for the rule.
func (s *State) updateIsolation(now time.Time) {
	isolated := now.Sub(s.lastContact) >= s.cfg.IsolatedAfter && s.othersMayRun()
	if isolated != s.isolated {
		s.isolated = isolated
		s.emit(IsolationChanged{Isolated: isolated})
	}
}

// othersMayRun reports whether the newest list contains other instances. Until
// a list was read, others are assumed to run.
func (s *State) othersMayRun() bool {
	if !s.listRead {
		return true
	}
	for _, m := range s.members {
		if m.InList {
			return true
		}
	}
	return false
}

// Isolated reports whether this instance had no contact with the store or any peer
// for IsolatedAfter and the newest list contains other instances. Until a list was
// read, others are assumed to run.
func (s *State) Isolated(now time.Time) bool {
	return now.Sub(s.lastContact) >= s.cfg.IsolatedAfter && s.othersMayRun()
}

// LastContact returns the time of the last heartbeat from a peer or of the
// newest call that the store answered.
func (s *State) LastContact() time.Time { return s.lastContact }

// HeartbeatDue reports whether a Tick at now would send heartbeats.
func (s *State) HeartbeatDue(now time.Time) bool { return !now.Before(s.nextSend) }
