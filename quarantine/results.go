package quarantine

import "time"

// recordRead takes the stored record of a fingerprint. Version 0 means that
// there is none.
func (s *State) recordRead(now time.Time, ev RecordRead) *entry {
	e := s.entries[ev.Fingerprint]
	if !ev.OK {
		if e == nil {
			return nil
		}
		e.reading, e.known = false, false
		e.next = now.Add(s.cfg.PollEvery)
		return e
	}
	if e == nil {
		if ev.Version == 0 {
			return nil
		}
		e = s.get(now, ev.Fingerprint)
	}
	if e.commit != 0 {
		// The answer may be older than the commit, whose result tells more.
		e.reading = false
		return e
	}
	e.reading = false
	s.observed(now, e, ev.Record, ev.Version)
	return e
}

// observed takes the content of the store.
func (s *State) observed(now time.Time, e *entry, r Record, version uint64) {
	if old, t := e.record.Trial, r.Trial; old == nil || t == nil || old.Attempt != t.Attempt {
		e.missingSince = time.Time{}
	}
	e.known, e.record, e.version = true, r, version
	if version == 0 {
		e.record = Record{}
	}
	if e.lifting {
		e.cleared = union(e.cleared, e.record.Losses)
	}
	s.merge(now, e, e.record.Losses, nil, e.record.Until)
	s.confirmTrial(now, e)
}

// confirmTrial compares the trial of this instance with the stored record.
func (s *State) confirmTrial(now time.Time, e *entry) {
	t := e.record.Trial
	ours := t != nil && t.Holder == s.cfg.Self && t.Incarnation == s.cfg.Incarnation &&
		t.Attempt == e.trial.attempt && t.Endpoint == e.trial.endpoint.Endpoint && t.BootID == e.trial.endpoint.BootID
	switch e.trial.phase {
	case claiming:
		if ours && !t.Running {
			e.trial.phase, e.trial.reservedAt, e.trial.idle = reserved, now, false
			s.tell[e.fingerprint] = true
		}
	case reserved, arming:
		switch {
		case !ours:
			// Another instance took the claim over, or the claim was deleted.
			s.loseClaim(e)
		case t.Running && e.trial.phase == arming && len(e.waiting) > 0 && e.verdict(now) == NeedsTrial:
			s.start(e)
		}
	}
}

// loseClaim returns to the state before the claim. The requests keep waiting.
func (s *State) loseClaim(e *entry) {
	e.trial = ownTrial{}
	s.tell[e.fingerprint] = true
}

// start runs the first waiting request. Running is stored, so that a death of
// this instance counts as a crash.
func (s *State) start(e *entry) {
	w := e.waiting[0]
	e.waiting = e.waiting[1:]
	e.trial.phase, e.trial.request = running, w.request
	s.tell[e.fingerprint] = true
	s.emit(StartTrial{Request: w.request, Fingerprint: e.fingerprint, Endpoint: e.trial.endpoint.Endpoint})
}

// commitResult takes the answer of the store to a commit.
func (s *State) commitResult(now time.Time, ev CommitResult) {
	f, ok := s.commits[ev.ID]
	if !ok {
		return
	}
	delete(s.commits, ev.ID)
	e := s.entries[f]
	if e == nil || e.commit != ev.ID {
		return
	}
	written := e.writing
	e.commit, e.writing = 0, CommitRecord{}
	if ev.Outcome != Applied && e.writingDirty {
		e.dirty = true
	}
	switch ev.Outcome {
	case Applied:
		if written.Delete {
			e.lifting = false
		}
		s.observed(now, e, written.Record, ev.Version)
	case NotApplied:
		e.next = now.Add(s.cfg.PollEvery)
	case Conflict, Unknown:
		// A conflict may come from a write of ours that was delivered twice,
		// so the record is read in both cases. A trial that is being claimed
		// or started is confirmed or given up by what it shows.
		e.known = false
	}
	s.advance(now, e)
}
