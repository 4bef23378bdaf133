package quarantine

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

func (s *State) trialWanted(now time.Time, ev TrialWanted) *entry {
	e := s.getOrCreate(now, ev.Fingerprint)
	if ev.QuarantineFor > 0 {
		e.quarantineFor = ev.QuarantineFor
	}
	index := slices.IndexFunc(e.waiting, func(w waitingRequest) bool { return w.request == ev.Request })
	if index < 0 {
		e.waiting = append(e.waiting, waitingRequest{request: ev.Request, candidates: ev.Candidates})
	} else {
		e.waiting[index].candidates = ev.Candidates
	}
	return e
}

// advance takes every step that is possible for the entry at time now.
func (s *State) advance(now time.Time, e *entry) {
	s.resolveWaiting(now, e)
	if e.readPending || e.pendingCommitID != 0 {
		return
	}
	if !e.dirty && !s.needsTrial(now, e) {
		return
	}
	if !e.recordCurrent {
		s.readRecord(now, e)
		return
	}
	switch {
	case e.dirty:
		s.syncRecord(now, e)
	case e.trial.phase == noTrial, e.trial.phase == claiming:
		s.claimTrial(now, e)
	case e.trial.phase == reserved, e.trial.phase == starting:
		s.advanceReserved(now, e)
	}
}

// resolveWaiting admits or refuses the waiting requests once the fingerprint is
// clear or quarantined. It ends a trial that has not started and is no longer
// needed.
func (s *State) resolveWaiting(now time.Time, e *entry) {
	verdict := e.verdict(now)
	if len(e.waiting) > 0 && verdict != NeedsTrial {
		requests := make([]uint64, len(e.waiting))
		for i, w := range e.waiting {
			requests[i] = w.request
		}
		e.waiting = nil
		if verdict == Clear {
			s.emit(AdmitRequests{Fingerprint: e.fingerprint, Requests: requests})
		} else {
			s.emit(RefuseRequests{Fingerprint: e.fingerprint, Requests: requests, Until: e.quarantinedUntil})
		}
	}
	if p := e.trial.phase; p != noTrial && p != running && len(e.waiting) == 0 {
		s.endTrial(e)
	}
}

// endTrial drops the claim and marks the record for syncRecord.
func (s *State) endTrial(e *entry) {
	e.trial = localTrial{}
	e.dirty = true
	s.noticesDue[e.fingerprint] = true
}

func (s *State) needsTrial(now time.Time, e *entry) bool {
	return len(e.waiting) > 0 && e.trial.phase != running && e.verdict(now) == NeedsTrial
}

func (s *State) readRecord(now time.Time, e *entry) {
	if now.Before(e.nextStoreCall) {
		return
	}
	e.readPending, e.storeCallAt = true, now
	s.emit(ReadRecord{Fingerprint: e.fingerprint})
}

func (s *State) commitRecord(now time.Time, e *entry, c CommitRecord) {
	s.lastID++
	c.ID, c.Fingerprint, c.IfVersion = s.lastID, e.fingerprint, e.version
	e.pendingCommitID, e.storeCallAt, e.pendingCommit = c.ID, now, c
	e.dirtyOnFailure, e.dirty = e.dirty, false
	s.pendingCommits[c.ID] = e.fingerprint
	s.emit(c)
}

// syncRecord writes the entry to the store, or deletes the record if nothing is
// left to store. It keeps the trial of another live holder. If that trial has
// not started, the new version makes its holder's next write fail.
func (s *State) syncRecord(now time.Time, e *entry) {
	if now.Before(e.nextStoreCall) {
		return
	}
	trial := s.otherHoldersTrial(now, e)
	if e.trial.phase == running {
		t := s.ownClaim(e)
		trial = &t
	}
	switch {
	case len(e.losses) == 0 && trial == nil && e.version == 0:
		e.dirty, e.liftPending = false, false
	case len(e.losses) == 0 && trial == nil:
		s.commitRecord(now, e, CommitRecord{Delete: true})
	default:
		s.commitRecord(now, e, CommitRecord{Record: Record{Losses: slices.Clone(e.losses), Until: e.quarantinedUntil, Trial: trial}})
	}
}

// otherHoldersTrial returns the recorded trial of another holder, or nil if there
// is none or the holder has been missing for HolderGrace.
func (s *State) otherHoldersTrial(now time.Time, e *entry) *Trial {
	t := e.record.Trial
	if e.version == 0 || t == nil || t.Holder == s.cfg.Self && t.Incarnation == s.cfg.Incarnation {
		return nil
	}
	if s.alive == nil {
		return t
	}
	if s.alive[t.Holder] == t.Incarnation {
		e.holderMissingSince = time.Time{}
		return t
	}
	if e.holderMissingSince.IsZero() {
		e.holderMissingSince = now
	}
	if now.Sub(e.holderMissingSince) < s.cfg.HolderGrace {
		return t
	}
	return nil
}

// claimTrial writes a claim for a trial unless another holder has one.
func (s *State) claimTrial(now time.Time, e *entry) {
	if now.Before(e.nextStoreCall) {
		return
	}
	if s.otherHoldersTrial(now, e) != nil {
		e.recordCurrent, e.nextStoreCall = false, now.Add(s.cfg.PollInterval)
		return
	}
	if s.countDeadHoldersTrial(now, e) {
		return
	}
	if e.trial.phase == noTrial {
		candidate, ok := s.nextCandidate(e)
		if !ok {
			return // tried again by the next advance
		}
		e.trial = localTrial{phase: claiming, attempt: s.newAttempt(), endpoint: candidate, timeout: s.cfg.ReserveTimeout}
	}
	t := s.ownClaim(e)
	s.commitRecord(now, e, CommitRecord{Record: Record{Losses: slices.Clone(e.losses), Until: e.quarantinedUntil, Trial: &t}})
}

// countDeadHoldersTrial counts a trial that a dead holder had started as a lost
// endpoint, because its outcome is unknown. A trial that was claimed but not
// started cost no endpoint. It reports whether a loss was added.
func (s *State) countDeadHoldersTrial(now time.Time, e *entry) bool {
	t := e.record.Trial
	if e.version == 0 || t == nil || !t.Running || t.Holder == s.cfg.Self && t.Incarnation == s.cfg.Incarnation {
		return false
	}
	loss := Loss{Endpoint: t.Endpoint, BootID: t.BootID, Attempt: t.Attempt}
	if slices.Contains(e.losses, loss) || slices.Contains(e.cleared, loss) {
		return false
	}
	s.mergeLosses(now, e, []Loss{loss}, nil, time.Time{})
	e.dirty = true
	s.noticesDue[e.fingerprint] = true
	s.advance(now, e)
	return true
}

// nextCandidate returns the best endpoint for the first waiting request that no
// other trial has reserved and that this trial has not tried. If all unreserved
// endpoints were tried, it starts again with the best one.
func (s *State) nextCandidate(e *entry) (Candidate, bool) {
	if len(e.waiting) == 0 {
		return Candidate{}, false
	}
	unreserved := slices.DeleteFunc(slices.Clone(e.waiting[0].candidates), func(c Candidate) bool {
		return s.reservedByOther(e, c.Endpoint, false)
	})
	for _, c := range unreserved {
		if !slices.Contains(e.trial.tried, c.Endpoint) {
			return c, true
		}
	}
	e.trial.tried = nil
	if len(unreserved) == 0 {
		return Candidate{}, false
	}
	return unreserved[0], true
}

// reservedByOther reports whether the trial of another fingerprint has reserved
// the endpoint. With mustYield set, it considers only trials that take
// precedence over the trial of e: running trials and those with a lower attempt.
// Of two trials that reserve an endpoint at the same time, the one with the
// lower attempt keeps it.
func (s *State) reservedByOther(e *entry, endpoint fleet.EndpointID, mustYield bool) bool {
	conflicts := func(t Trial) bool {
		return t.Endpoint == endpoint && (!mustYield || t.Running || t.Attempt < e.trial.attempt)
	}
	for _, o := range s.entries {
		if o == e {
			continue
		}
		if o.trial.phase >= claiming && conflicts(s.ownClaim(o)) {
			return true
		}
		for _, p := range o.peers {
			if p.trial != nil && conflicts(*p.trial) {
				return true
			}
		}
	}
	return false
}

// advanceReserved starts the trial once the endpoint is idle and the fingerprint
// does not run elsewhere, so that a crash affects no other request. It moves the
// trial to another endpoint if this one does not become idle in time, is no
// longer a candidate, or is reserved by a trial that takes precedence.
func (s *State) advanceReserved(now time.Time, e *entry) {
	if now.Before(e.nextStoreCall) {
		return
	}
	t := &e.trial
	available := slices.ContainsFunc(e.waiting[0].candidates, func(c Candidate) bool { return c == t.endpoint }) &&
		!s.reservedByOther(e, t.endpoint.Endpoint, true)
	timedOut := now.Sub(t.reservedAt) >= t.timeout && !t.idle
	if !available || timedOut {
		s.moveTrial(now, e, timedOut)
		return
	}
	if !t.idle || now.Sub(t.reservedAt) < s.cfg.MinReservationTime || s.hasOtherRuns(e) {
		return
	}
	t.phase = starting
	claim := s.ownClaim(e)
	s.commitRecord(now, e, CommitRecord{Record: Record{Losses: slices.Clone(e.losses), Until: e.quarantinedUntil, Trial: &claim}})
}

// moveTrial claims another endpoint for the trial, if one is available.
func (s *State) moveTrial(now time.Time, e *entry, timedOut bool) {
	t := &e.trial
	t.tried = append(t.tried, t.endpoint.Endpoint)
	c, ok := s.nextCandidate(e)
	if !ok {
		return
	}
	t.reservedAt = now
	if timedOut {
		t.timeout = min(2*t.timeout, maxReserveTimeout)
	}
	if c == t.endpoint {
		return
	}
	t.endpoint, t.phase, t.idle = c, claiming, false
	s.noticesDue[e.fingerprint] = true
	s.claimTrial(now, e)
}

// hasOtherRuns reports whether any live instance runs the fingerprint outside a
// trial, or in a trial whose record was lost in a restore of the store.
func (s *State) hasOtherRuns(e *entry) bool {
	if s.runs[e.fingerprint] > 0 {
		return true
	}
	for _, p := range e.peers {
		if p.inFlight > 0 || p.trial != nil && p.trial.Running {
			return true
		}
	}
	return false
}

func (s *State) endpointIdle(now time.Time, endpoint fleet.EndpointID) {
	for _, e := range s.sortedEntries() {
		if e.trial.phase == reserved && e.trial.endpoint.Endpoint == endpoint &&
			now.Sub(e.trial.reservedAt) >= s.cfg.MinReservationTime {
			e.trial.idle = true
			s.advance(now, e)
		}
	}
}

// trialEnded handles the result of this instance's running trial.
func (s *State) trialEnded(now time.Time, ev TrialEnded) *entry {
	e := s.entries[ev.Fingerprint]
	if e == nil || e.trial.phase != running || e.trial.request != ev.Request {
		return nil
	}
	e.lastUsed = now
	loss := Loss{Endpoint: e.trial.endpoint.Endpoint, BootID: e.trial.endpoint.BootID, Attempt: e.trial.attempt}
	switch ev.Result {
	case TrialCompleted:
		// Peers that took this holder for dead may have counted the trial as
		// a lost endpoint. Clearing that loss as well reverts it.
		e.cleared = union(e.cleared, []Loss{loss})
		s.clearLosses(now, e)
	case TrialEndpointLost:
		s.mergeLosses(now, e, []Loss{loss}, nil, time.Time{})
	}
	s.endTrial(e)
	return e
}
