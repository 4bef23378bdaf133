package quarantine

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// endpointLost makes suspects of what was in flight on a dead endpoint.
func (s *State) endpointLost(now time.Time, ev EndpointLost) {
	fingerprints := slices.Clone(ev.Fingerprints)
	slices.Sort(fingerprints)
	for _, f := range slices.Compact(fingerprints) {
		e := s.get(now, f)
		if ev.QuarantineFor > 0 {
			e.quarantineFor = ev.QuarantineFor
		}
		loss := ev.Loss
		// A cleared fingerprint was in flight again on an endpoint whose boot
		// id was read too late. The new death must not pass for the old one.
		for slices.Contains(e.cleared, loss) {
			loss.BootID += "+"
		}
		s.merge(now, e, []Loss{loss}, nil, time.Time{})
		e.dirty = e.dirty || len(e.open) >= maxLosses
		s.tell[f] = true
		s.advance(now, e)
	}
}

// merge adds losses and cleared losses that were read, received or seen.
// Losses that neither side knew together extend the quarantine; otherwise the
// later end of both sides counts.
func (s *State) merge(now time.Time, e *entry, open, cleared []Loss, until time.Time) {
	before := e.open
	e.cleared = union(e.cleared, cleared)
	incoming := without(open, e.cleared)
	e.open = without(union(before, incoming), e.cleared)
	if len(e.open) < maxLosses {
		if len(e.open) == 0 {
			e.until = time.Time{}
		}
		return
	}
	if until.After(e.until) {
		e.until = until
	}
	news := len(e.open) > len(incoming) || until.IsZero()
	if news && len(e.open) > len(without(before, e.cleared)) {
		s.quarantine(now, e)
	}
}

func (s *State) quarantine(now time.Time, e *entry) {
	if until := now.Add(e.quarantineFor).Round(0).Truncate(time.Second); until.After(e.until) {
		e.until = until
	}
}

// clear marks all known losses as not caused by the fingerprint.
func (s *State) clear(now time.Time, e *entry) {
	e.cleared = union(e.cleared, e.open)
	e.open, e.until, e.clearedAt = nil, time.Time{}, now
	s.tell[e.fingerprint] = true
}

// noticesReceived takes what a peer says. Everything in a notice is either a
// set that only grows or the peer's own state, so order and repetition of
// notices don't matter for what is lost and cleared.
func (s *State) noticesReceived(now time.Time, ev NoticesReceived) {
	for _, n := range ev.Notices {
		s.noticeReceived(now, ev.From, n)
	}
	if !ev.Complete || len(s.entries) == 0 {
		return
	}
	named := make(map[Fingerprint]bool, len(ev.Notices))
	for _, n := range ev.Notices {
		named[n.Fingerprint] = true
	}
	for _, e := range s.sorted() {
		if _, ok := e.peers[ev.From]; ok && !named[e.fingerprint] {
			delete(e.peers, ev.From)
			s.advance(now, e)
		}
	}
}

func (s *State) noticeReceived(now time.Time, from fleet.InstanceID, n Notice) {
	e := s.entries[n.Fingerprint]
	if e == nil {
		old := now.Sub(n.Since) >= s.cfg.KeepFor && !now.Before(n.Until)
		if old || len(n.Losses) == 0 && len(n.Cleared) == 0 && n.Trial == nil {
			return
		}
		e = s.get(n.Since, n.Fingerprint)
	}
	wasSuspect := len(e.open) > 0
	s.merge(now, e, n.Losses, n.Cleared, n.Until)
	if wasSuspect && len(e.open) == 0 {
		e.clearedAt = now
	}
	if !wasSuspect && len(e.open) > 0 {
		s.get(n.Since, n.Fingerprint)
		if s.runs[n.Fingerprint] > 0 {
			s.tell[n.Fingerprint] = true // no trial may start while this run goes on
		}
	}
	if len(without(n.Losses, e.cleared)) < len(n.Losses) && len(n.Losses) > 0 {
		e.clearedAt = now // the peer has not heard yet
	}
	if _, ok := s.alive[from]; ok || s.alive == nil {
		// A notice that arrives after its sender's death is not withdrawn by
		// the sender, and would hold up trials for ever.
		e.peers[from] = peerView{inFlight: n.InFlight, trial: n.Trial}
	}
	s.advance(now, e)
}

// ended counts a run down and tells peers when the last run of a suspect ended.
func (s *State) ended(f Fingerprint) *entry {
	e := s.entries[f]
	if s.runs[f]--; s.runs[f] > 0 {
		return e
	}
	delete(s.runs, f)
	if e != nil && len(e.open) > 0 {
		s.tell[f] = true
	}
	return e
}

// membersChanged drops what dead peers said.
func (s *State) membersChanged(now time.Time, ev MembersChanged) {
	s.alive = ev.Alive
	for _, e := range s.sorted() {
		for id := range e.peers {
			if _, ok := s.alive[id]; !ok && id != s.cfg.Self {
				delete(e.peers, id)
			}
		}
		s.advance(now, e)
	}
}

// tick treats missing store answers as unknown, advances every entry, and
// forgets entries that were not touched for long.
func (s *State) tick(now time.Time) {
	for _, e := range s.sorted() {
		if now.Sub(e.asked) >= s.cfg.ResultTimeout {
			if e.commit != 0 {
				s.commitResult(now, CommitResult{ID: e.commit, Outcome: Unknown})
			}
			e.reading = false
		}
		s.advance(now, e)
		s.forget(now, e)
	}
}

// forget drops an entry that is no longer of use. A stored record that is
// left over from an ended quarantine is deleted first.
func (s *State) forget(now time.Time, e *entry) {
	if e.dirty || e.reading || e.commit != 0 || len(e.waiting) > 0 || e.trial.phase != noTrial ||
		now.Sub(e.touched) < s.cfg.KeepFor || now.Before(e.until) {
		return
	}
	if len(e.open) > 0 && e.known && e.version != 0 {
		e.open, e.dirty = nil, true
		return
	}
	delete(s.entries, e.fingerprint)
}
