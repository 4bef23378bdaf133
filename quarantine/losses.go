package quarantine

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// endpointLost adds the loss to every fingerprint that was in flight on the
// endpoint.
func (s *State) endpointLost(now time.Time, ev EndpointLost) {
	fingerprints := slices.Clone(ev.Fingerprints)
	slices.Sort(fingerprints)
	for _, f := range slices.Compact(fingerprints) {
		e := s.getOrCreate(now, f)
		if ev.QuarantineFor > 0 {
			e.quarantineFor = ev.QuarantineFor
		}
		loss := ev.Loss
		// A cleared fingerprint can be in flight again on an endpoint whose new
		// boot ID is not known yet. The suffix distinguishes the new death from
		// the cleared one.
		for slices.Contains(e.cleared, loss) {
			loss.BootID += "+"
		}
		s.mergeLosses(now, e, []Loss{loss}, nil, time.Time{})
		e.dirty = e.dirty || len(e.losses) >= maxLosses
		s.noticesDue[f] = true
		s.advance(now, e)
	}
}

// mergeLosses adds losses and cleared losses from the store, a peer or this
// instance. until is the end of the quarantine known to that source, or zero. The
// later of both ends applies. The quarantine is extended from now if the entry
// gains a loss and the source knows no end or not all of the remaining losses.
func (s *State) mergeLosses(now time.Time, e *entry, losses, cleared []Loss, until time.Time) {
	previous := e.losses
	e.cleared = union(e.cleared, cleared)
	incoming := difference(losses, e.cleared)
	e.losses = difference(union(previous, incoming), e.cleared)
	if len(e.losses) < maxLosses {
		if len(e.losses) == 0 {
			e.quarantinedUntil = time.Time{}
		}
		return
	}
	if until.After(e.quarantinedUntil) {
		e.quarantinedUntil = until
	}
	hasNewLoss := len(e.losses) > len(incoming) || until.IsZero()
	if hasNewLoss && len(e.losses) > len(difference(previous, e.cleared)) {
		s.extendQuarantine(now, e)
	}
}

// extendQuarantine extends the quarantine to its full length from now.
func (s *State) extendQuarantine(now time.Time, e *entry) {
	if until := now.Add(e.quarantineFor).Round(0).Truncate(time.Second); until.After(e.quarantinedUntil) {
		e.quarantinedUntil = until
	}
}

// clearLosses marks all losses of the entry as not caused by its fingerprint.
func (s *State) clearLosses(now time.Time, e *entry) {
	e.cleared = union(e.cleared, e.losses)
	e.losses, e.quarantinedUntil, e.clearedAt = nil, time.Time{}, now
	s.noticesDue[e.fingerprint] = true
}

// noticesReceived merges the notices of a peer. A notice consists of sets that
// only grow and of the peer's own state, so the order and duplication of notices
// do not affect the losses and cleared losses.
func (s *State) noticesReceived(now time.Time, ev NoticesReceived) {
	for _, n := range ev.Notices {
		s.noticeReceived(now, ev.From, n)
	}
	if !ev.Complete || len(s.entries) == 0 {
		return
	}
	listed := make(map[Fingerprint]bool, len(ev.Notices))
	for _, n := range ev.Notices {
		listed[n.Fingerprint] = true
	}
	for _, e := range s.sortedEntries() {
		if _, ok := e.peers[ev.From]; ok && !listed[e.fingerprint] {
			delete(e.peers, ev.From)
			s.advance(now, e)
		}
	}
}

func (s *State) noticeReceived(now time.Time, from fleet.InstanceID, n Notice) {
	e := s.entries[n.Fingerprint]
	if e == nil {
		expired := now.Sub(n.LastUsed) >= s.cfg.Retention && !now.Before(n.Until)
		if expired || len(n.Losses) == 0 && len(n.Cleared) == 0 && n.Trial == nil {
			return
		}
		e = s.getOrCreate(n.LastUsed, n.Fingerprint)
	}
	wasSuspect := len(e.losses) > 0
	s.mergeLosses(now, e, n.Losses, n.Cleared, n.Until)
	if wasSuspect && len(e.losses) == 0 {
		e.clearedAt = now
	}
	if !wasSuspect && len(e.losses) > 0 {
		s.getOrCreate(n.LastUsed, n.Fingerprint)
		if s.runs[n.Fingerprint] > 0 {
			s.noticesDue[n.Fingerprint] = true // reports this instance's runs, which prevent trials
		}
	}
	if len(difference(n.Losses, e.cleared)) < len(n.Losses) && len(n.Losses) > 0 {
		e.clearedAt = now // the peer does not know all cleared losses
	}
	if _, ok := s.alive[from]; ok || s.alive == nil {
		// Ignores the status of dead peers. Nothing would ever withdraw it, so
		// it would block trials forever.
		e.peers[from] = peerStatus{inFlight: n.InFlight, trial: n.Trial}
	}
	s.advance(now, e)
}

// runEnded decrements the run count and notifies peers after the last run of a
// suspect.
func (s *State) runEnded(f Fingerprint) *entry {
	e := s.entries[f]
	if s.runs[f]--; s.runs[f] > 0 {
		return e
	}
	delete(s.runs, f)
	if e != nil && len(e.losses) > 0 {
		s.noticesDue[f] = true
	}
	return e
}

// membersChanged drops the status received from dead peers.
func (s *State) membersChanged(now time.Time, ev MembersChanged) {
	s.alive = ev.Alive
	for _, e := range s.sortedEntries() {
		for id := range e.peers {
			if _, ok := s.alive[id]; !ok && id != s.cfg.Self {
				delete(e.peers, id)
			}
		}
		s.advance(now, e)
	}
}

// tick times out store calls, advances every entry and expires old ones.
func (s *State) tick(now time.Time) {
	for _, e := range s.sortedEntries() {
		if now.Sub(e.storeCallAt) >= s.cfg.ResultTimeout {
			if e.pendingCommitID != 0 {
				s.commitResult(now, CommitResult{ID: e.pendingCommitID, Outcome: Unknown})
			}
			e.readPending = false
		}
		s.advance(now, e)
		s.expire(now, e)
	}
}

// expire drops an entry that was not used for Retention and is not quarantined. If
// it still has a stored record, that record is deleted first.
func (s *State) expire(now time.Time, e *entry) {
	if e.dirty || e.readPending || e.pendingCommitID != 0 || len(e.waiting) > 0 || e.trial.phase != noTrial ||
		now.Sub(e.lastUsed) < s.cfg.Retention || now.Before(e.quarantinedUntil) {
		return
	}
	if len(e.losses) > 0 && e.recordCurrent && e.version != 0 {
		e.losses, e.dirty = nil, true
		return
	}
	delete(s.entries, e.fingerprint)
}
