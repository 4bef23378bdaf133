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
	sequence uint64 // of the newest heartbeat of the incarnation
	// listLeaving and saidLeaving are the two sources of Leaving.
	listLeaving, saidLeaving bool
	storeFresh               bool
	everInList               bool
	firstHeard               time.Time // of the incarnation
}

// State is the membership as one instance sees it. It is not safe for
// concurrent use.
type State struct {
	cfg     Config
	members map[fleet.InstanceID]*member // without this instance
	listed  bool                         // a list was read
	// firstList and lastList are when the first and the newest list were read.
	firstList, lastList time.Time
	own                 Heartbeat
	ownAt               time.Time // of own, as its ages were true then
	leaving             bool

	sequence     uint64
	nextSend     time.Time
	nextSummary  time.Time
	summarySeq   uint64
	ownSummary   Summary
	foreign      map[fleet.DataCentre]Summary
	summariesAt  map[fleet.DataCentre]time.Time
	relaySeen    map[fleet.InstanceID]relayPosition
	lastContact  time.Time
	isolated     bool
	replacedBy   fleet.Incarnation
	revisionSeen uint64

	owners     rendezvous.Set // cached for PreferredOwner and ReportReaders
	readers    map[fleet.DataCentre]rendezvous.Set
	allReaders rendezvous.Set
	stale      bool // the cached sets must be computed again
	// readersVersion counts how often that was done.
	readersVersion uint64
	actions        []Action
}

type relayPosition struct {
	incarnation fleet.Incarnation
	sequence    uint64
}

// New returns a state that knows no other instance. The isolation rule counts
// from now.
func New(cfg Config, now time.Time) *State {
	return &State{
		cfg:         cfg.withDefaults(),
		members:     make(map[fleet.InstanceID]*member),
		foreign:     make(map[fleet.DataCentre]Summary),
		summariesAt: make(map[fleet.DataCentre]time.Time),
		relaySeen:   make(map[fleet.InstanceID]relayPosition),
		lastContact: now,
		stale:       true,
	}
}

// Step takes one event and returns what must be done.
func (s *State) Step(now time.Time, ev Event) []Action {
	s.actions = nil
	switch ev := ev.(type) {
	case ListingRead:
		s.listingRead(now, ev)
	case HeartbeatReceived:
		s.heartbeat(now, ev.Heartbeat)
	case StoreContact:
		s.contact(ev.Sent)
	case Tick:
		if s.ownStoreFresh() != (ev.Own.TableAge < s.cfg.StoreStaleAfter) {
			s.stale = true
		}
		s.own, s.ownAt = ev.Own, now
		s.tick(now)
	case LeaveRequested:
		s.leaving, s.stale = true, true
		s.nextSend = now
		s.sendDue(now)
	}
	s.updateIsolation(now)
	return s.actions
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

func (s *State) contact(at time.Time) {
	if at.After(s.lastContact) {
		s.lastContact = at
	}
}

func (s *State) listingRead(now time.Time, ev ListingRead) {
	if !s.listed {
		s.listed, s.firstList = true, now
	}
	s.lastList = now
	inList := make(map[fleet.InstanceID]bool, len(ev.Instances))
	for _, l := range ev.Instances {
		if l.ID == s.cfg.Self.ID {
			continue
		}
		inList[l.ID] = true
		m := s.get(l.ID)
		before := m.Member
		m.InList, m.everInList, m.listLeaving = true, true, l.Leaving
		if m.Instance.Incarnation == 0 {
			// Heartbeats know the addresses better than the lagging list.
			m.Instance.DataCentre, m.Instance.PeerAddress = l.DataCentre, l.PeerAddress
		}
		s.changed(now, before, m)
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if !m.InList || inList[id] {
			continue
		}
		before := m.Member
		m.InList, m.listLeaving = false, false
		s.changed(now, before, m)
		if m.Status == Listed {
			s.forget(m)
		}
	}
}

func (s *State) get(id fleet.InstanceID) *member {
	m := s.members[id]
	if m == nil {
		m = &member{Member: Member{Instance: fleet.Instance{ID: id}}}
		s.members[id] = m
	}
	return m
}

func (s *State) forget(m *member) {
	delete(s.members, m.Instance.ID)
	delete(s.relaySeen, m.Instance.ID)
	s.stale = true
	s.emit(MemberForgotten{Member: m.Member})
}

// changed recomputes the status of m and tells what differs from before.
func (s *State) changed(now time.Time, before Member, m *member) {
	m.Leaving = m.listLeaving || m.saidLeaving
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
	s.stale = true
	s.emit(MemberChanged{Before: before, After: m.Member})
}

// heard takes proof that an incarnation of another instance runs. It returns
// nil for older incarnations and for this instance.
func (s *State) heard(now time.Time, i fleet.Instance) *member {
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
	m := s.get(i.ID)
	if i.Incarnation < m.Instance.Incarnation {
		return nil
	}
	if i.Incarnation > m.Instance.Incarnation {
		m.sequence, m.saidLeaving, m.Heartbeat = 0, false, nil
		m.LastHeard = time.Time{}
		m.storeFresh, m.firstHeard = true, now
	}
	m.Instance = i
	return m
}

func (s *State) heartbeat(now time.Time, h Heartbeat) {
	var before Member
	if old := s.members[h.Member.ID]; old != nil {
		before = old.Member
	}
	m := s.heard(now, h.Member)
	if m == nil || h.Sequence <= m.sequence {
		return
	}
	m.sequence = h.Sequence
	m.LastHeard = now
	m.saidLeaving = m.saidLeaving || h.Leaving
	m.Heartbeat, m.HeartbeatAt = &h, now
	s.setStoreFresh(m, h.TableAge < s.cfg.StoreStaleAfter)
	s.contact(now)
	s.changed(now, before, m)
	s.revision(h.TableRevision, h.Member)
	for _, sum := range h.Summaries {
		s.summary(now, h.Member, sum)
	}
}

func (s *State) setStoreFresh(m *member, fresh bool) {
	if fresh != m.storeFresh {
		m.storeFresh, s.stale = fresh, true
	}
}

func (s *State) revision(r uint64, from fleet.Instance) {
	if r > s.revisionSeen {
		s.revisionSeen = r
		s.emit(RevisionSeen{Revision: r, Member: from})
	}
}

// summary takes a relay's view of another data centre. The revision is
// reported with the instance that passed the summary on, since a member of
// another data centre may not be reachable from here.
func (s *State) summary(now time.Time, via fleet.Instance, sum Summary) {
	if sum.DataCentre == s.cfg.Self.DataCentre || sum.Relay == s.cfg.Self.ID {
		return
	}
	last := s.relaySeen[sum.Relay]
	if sum.RelayIncarnation < last.incarnation ||
		sum.RelayIncarnation == last.incarnation && sum.Sequence <= last.sequence {
		return
	}
	s.relaySeen[sum.Relay] = relayPosition{sum.RelayIncarnation, sum.Sequence}
	s.foreign[sum.DataCentre] = sum
	s.summariesAt[sum.DataCentre] = now
	for _, d := range sum.Members {
		if d.Member.DataCentre != sum.DataCentre {
			continue
		}
		var before Member
		if old := s.members[d.Member.ID]; old != nil {
			before = old.Member
		}
		m := s.heard(now, d.Member)
		if m == nil {
			continue
		}
		if !d.Suspect || m.LastHeard.IsZero() {
			m.LastHeard = now
		}
		m.saidLeaving = m.saidLeaving || d.Leaving
		s.setStoreFresh(m, !d.StoreStale)
		s.changed(now, before, m)
	}
	s.revision(sum.TableRevision, via)
}

func (s *State) tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		s.changed(now, m.Member, m)
		if m.Status == Dead && !m.InList && now.Sub(m.LastHeard) >= s.cfg.ForgetAfter {
			s.forget(m)
		}
	}
	s.sendDue(now)
}

// updateIsolation applies the isolation rule: no contact with the store or any
// peer, while others may run according to the newest list. Without any list
// others are assumed to run.
func (s *State) updateIsolation(now time.Time) {
	isolated := now.Sub(s.lastContact) >= s.cfg.IsolatedAfter && s.othersListed()
	if isolated != s.isolated {
		s.isolated = isolated
		s.emit(IsolationChanged{Isolated: isolated})
	}
}

func (s *State) othersListed() bool {
	if !s.listed {
		return true
	}
	for _, m := range s.members {
		if m.InList {
			return true
		}
	}
	return false
}

// Isolated reports whether the instance is cut off from the store and all
// peers while the list names others.
func (s *State) Isolated(now time.Time) bool {
	return now.Sub(s.lastContact) >= s.cfg.IsolatedAfter && s.othersListed()
}

// LastContact returns when the store or a peer was last heard of.
func (s *State) LastContact() time.Time { return s.lastContact }

// HeartbeatDue reports whether a Tick at now would send heartbeats.
func (s *State) HeartbeatDue(now time.Time) bool { return !now.Before(s.nextSend) }
