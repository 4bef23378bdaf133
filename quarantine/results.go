package quarantine

import "time"

// recordRead handles the result of a read. Version 0 means that no record
// exists.
func (s *State) recordRead(now time.Time, ev RecordRead) *entry {
	e := s.entries[ev.Fingerprint]
	if !ev.OK {
		if e == nil {
			return nil
		}
		e.readPending, e.recordCurrent = false, false
		e.nextStoreCall = now.Add(s.cfg.PollInterval)
		return e
	}
	if e == nil {
		if ev.Version == 0 {
			return nil
		}
		e = s.getOrCreate(now, ev.Fingerprint)
	}
	if e.pendingCommitID != 0 {
		// The record may have been read before the outstanding commit took
		// effect. The result of that commit is more recent.
		e.readPending = false
		return e
	}
	e.readPending = false
	s.applyRecord(now, e, ev.Record, ev.Version)
	return e
}

// applyRecord merges the stored record into the entry.
func (s *State) applyRecord(now time.Time, e *entry, r Record, version uint64) {
	if old, t := e.record.Trial, r.Trial; old == nil || t == nil || old.Attempt != t.Attempt {
		e.holderMissingSince = time.Time{}
	}
	e.recordCurrent, e.record, e.version = true, r, version
	if version == 0 {
		e.record = Record{}
	}
	if e.liftPending {
		e.cleared = union(e.cleared, e.record.Losses)
	}
	s.mergeLosses(now, e, e.record.Losses, nil, e.record.Until)
	s.reconcileTrial(now, e)
}

// reconcileTrial advances or abandons this instance's trial according to the
// stored record.
func (s *State) reconcileTrial(now time.Time, e *entry) {
	t := e.record.Trial
	ours := t != nil && t.Holder == s.cfg.Self && t.Incarnation == s.cfg.Incarnation &&
		t.Attempt == e.trial.attempt && t.Endpoint == e.trial.endpoint.Endpoint && t.BootID == e.trial.endpoint.BootID
	switch e.trial.phase {
	case claiming:
		if ours && !t.Running {
			e.trial.phase, e.trial.reservedAt, e.trial.idle = reserved, now, false
			s.noticesDue[e.fingerprint] = true
		}
	case reserved, starting:
		switch {
		case !ours:
			// Another instance took over the claim, or it was deleted.
			s.abandonClaim(e)
		case t.Running && e.trial.phase == starting && len(e.waiting) > 0 && e.verdict(now) == NeedsTrial:
			s.startTrial(e)
		}
	}
}

// abandonClaim resets this instance's trial after its claim was lost. The
// requests keep waiting.
func (s *State) abandonClaim(e *entry) {
	e.trial = localTrial{}
	s.noticesDue[e.fingerprint] = true
}

// startTrial starts the first waiting request. Trial.Running is already stored,
// so the death of this instance counts as a crash of the endpoint.
func (s *State) startTrial(e *entry) {
	w := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.trial.phase, e.trial.request = running, w.request
	s.noticesDue[e.fingerprint] = true
	s.emit(StartTrial{Request: w.request, Fingerprint: e.fingerprint, Endpoint: e.trial.endpoint.Endpoint})
}

// commitResult handles the outcome of a commit.
func (s *State) commitResult(now time.Time, ev CommitResult) {
	f, ok := s.pendingCommits[ev.ID]
	if !ok {
		return
	}
	delete(s.pendingCommits, ev.ID)
	e := s.entries[f]
	if e == nil || e.pendingCommitID != ev.ID {
		return
	}
	commit := e.pendingCommit
	e.pendingCommitID, e.pendingCommit = 0, CommitRecord{}
	if ev.Outcome != Applied && e.dirtyOnFailure {
		e.dirty = true
	}
	switch ev.Outcome {
	case Applied:
		if commit.Delete {
			e.liftPending = false
		}
		s.applyRecord(now, e, commit.Record, ev.Version)
	case NotApplied:
		e.nextStoreCall = now.Add(s.cfg.PollInterval)
	case Conflict, Unknown:
		// A conflict can be caused by a duplicate delivery of this instance's
		// own write, so the record is read again in both cases. The result
		// confirms or abandons a trial that is being claimed or started.
		e.recordCurrent = false
	}
	s.advance(now, e)
}
