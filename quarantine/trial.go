package quarantine

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

func (s *State) trialWanted(now time.Time, ev TrialWanted) *entry {
	e := s.get(now, ev.Fingerprint)
	if ev.QuarantineFor > 0 {
		e.quarantineFor = ev.QuarantineFor
	}
	at := slices.IndexFunc(e.waiting, func(w waiter) bool { return w.request == ev.Request })
	if at < 0 {
		e.waiting = append(e.waiting, waiter{request: ev.Request, candidates: ev.Candidates})
	} else {
		e.waiting[at].candidates = ev.Candidates
	}
	return e
}

// advance brings the entry as far as it can go at now.
func (s *State) advance(now time.Time, e *entry) {
	s.answerWaiting(now, e)
	if e.reading || e.commit != 0 {
		return
	}
	if !e.dirty && !s.wantsTrial(now, e) {
		return
	}
	if !e.known {
		s.read(now, e)
		return
	}
	switch {
	case e.dirty:
		s.writeRecord(now, e)
	case e.trial.phase == noTrial, e.trial.phase == claiming:
		s.claim(now, e)
	case e.trial.phase == reserved, e.trial.phase == arming:
		s.awaitIdle(now, e)
	}
}

// answerWaiting tells waiting requests that are clear or quarantined, and
// gives up a trial that is not needed any more and has not started.
func (s *State) answerWaiting(now time.Time, e *entry) {
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
			s.emit(RefuseRequests{Fingerprint: e.fingerprint, Requests: requests, Until: e.until})
		}
	}
	if p := e.trial.phase; p != noTrial && p != running && len(e.waiting) == 0 {
		s.endTrial(e)
	}
}

// endTrial drops the claim; the record is brought up to date by writeRecord.
func (s *State) endTrial(e *entry) {
	e.trial = ownTrial{}
	e.dirty = true
	s.tell[e.fingerprint] = true
}

func (s *State) wantsTrial(now time.Time, e *entry) bool {
	return len(e.waiting) > 0 && e.trial.phase != running && e.verdict(now) == NeedsTrial
}

func (s *State) read(now time.Time, e *entry) {
	if now.Before(e.next) {
		return
	}
	e.reading, e.asked = true, now
	s.emit(ReadRecord{Fingerprint: e.fingerprint})
}

func (s *State) write(now time.Time, e *entry, c CommitRecord) {
	s.lastID++
	c.ID, c.Fingerprint, c.IfVersion = s.lastID, e.fingerprint, e.version
	e.commit, e.asked, e.writing = c.ID, now, c
	e.writingDirty, e.dirty = e.dirty, false
	s.commits[c.ID] = e.fingerprint
	s.emit(c)
}

// writeRecord brings the stored record up to date. The trial of another live
// holder is kept; the change of version stops it before it starts.
func (s *State) writeRecord(now time.Time, e *entry) {
	if now.Before(e.next) {
		return
	}
	trial := s.othersTrial(now, e)
	if e.trial.phase == running {
		t := s.ownClaim(e)
		trial = &t
	}
	switch {
	case len(e.open) == 0 && trial == nil && e.version == 0:
		e.dirty, e.lifting = false, false
	case len(e.open) == 0 && trial == nil:
		s.write(now, e, CommitRecord{Delete: true})
	default:
		s.write(now, e, CommitRecord{Record: Record{Losses: slices.Clone(e.open), Until: e.until, Trial: trial}})
	}
}

// othersTrial returns the recorded trial of another holder that is not dead.
func (s *State) othersTrial(now time.Time, e *entry) *Trial {
	t := e.record.Trial
	if e.version == 0 || t == nil || t.Holder == s.cfg.Self && t.Incarnation == s.cfg.Incarnation {
		return nil
	}
	if s.alive == nil {
		return t
	}
	if s.alive[t.Holder] == t.Incarnation {
		e.missingSince = time.Time{}
		return t
	}
	if e.missingSince.IsZero() {
		e.missingSince = now
	}
	if now.Sub(e.missingSince) < s.cfg.HolderGrace {
		return t
	}
	return nil
}

// claim writes the claim of a trial, unless another holder has one.
func (s *State) claim(now time.Time, e *entry) {
	if now.Before(e.next) {
		return
	}
	if s.othersTrial(now, e) != nil {
		e.known, e.next = false, now.Add(s.cfg.PollEvery)
		return
	}
	if s.countDeadTrial(now, e) {
		return
	}
	if e.trial.phase == noTrial {
		candidate, ok := s.nextCandidate(e)
		if !ok {
			return // until TrialWanted comes with candidates
		}
		e.trial = ownTrial{phase: claiming, attempt: s.newAttempt(), endpoint: candidate, timeout: s.cfg.ReserveTimeout}
	}
	t := s.ownClaim(e)
	s.write(now, e, CommitRecord{Record: Record{Losses: slices.Clone(e.open), Until: e.until, Trial: &t}})
}

// countDeadTrial counts the started trial of a dead holder as a crash of
// unknown cause. A trial that was claimed but not started cost no endpoint.
func (s *State) countDeadTrial(now time.Time, e *entry) bool {
	t := e.record.Trial
	if e.version == 0 || t == nil || !t.Running || t.Holder == s.cfg.Self && t.Incarnation == s.cfg.Incarnation {
		return false
	}
	loss := Loss{Endpoint: t.Endpoint, BootID: t.BootID, Attempt: t.Attempt}
	if slices.Contains(e.open, loss) || slices.Contains(e.cleared, loss) {
		return false
	}
	s.merge(now, e, []Loss{loss}, nil, time.Time{})
	e.dirty = true
	s.tell[e.fingerprint] = true
	s.advance(now, e)
	return true
}

// nextCandidate returns the first waiting request's best endpoint that no
// other trial has reserved and that was not tried yet, or its best one without
// a reservation if all were tried.
func (s *State) nextCandidate(e *entry) (Candidate, bool) {
	if len(e.waiting) == 0 {
		return Candidate{}, false
	}
	free := slices.DeleteFunc(slices.Clone(e.waiting[0].candidates), func(c Candidate) bool {
		return s.reservedByOther(e, c.Endpoint, false)
	})
	for _, c := range free {
		if !slices.Contains(e.trial.tried, c.Endpoint) {
			return c, true
		}
	}
	e.trial.tried = nil
	if len(free) == 0 {
		return Candidate{}, false
	}
	return free[0], true
}

// reservedByOther reports whether the trial of another fingerprint has
// reserved the endpoint. With yield set, only reservations count to which the
// trial of e gives way: of two trials that reserved an endpoint at the same
// time, the one with the lower attempt keeps it.
func (s *State) reservedByOther(e *entry, endpoint fleet.EndpointID, yield bool) bool {
	counts := func(t Trial) bool {
		return t.Endpoint == endpoint && (!yield || t.Running || t.Attempt < e.trial.attempt)
	}
	for _, o := range s.entries {
		if o == e {
			continue
		}
		if o.trial.phase >= claiming && counts(s.ownClaim(o)) {
			return true
		}
		for _, p := range o.peers {
			if p.trial != nil && counts(*p.trial) {
				return true
			}
		}
	}
	return false
}

// awaitIdle starts the trial when nothing else can be hit by it. It moves the
// trial to another endpoint when its own does not become idle, is not offered
// any more, or belongs to another trial.
func (s *State) awaitIdle(now time.Time, e *entry) {
	if now.Before(e.next) {
		return
	}
	t := &e.trial
	offered := slices.ContainsFunc(e.waiting[0].candidates, func(c Candidate) bool { return c == t.endpoint }) &&
		!s.reservedByOther(e, t.endpoint.Endpoint, true)
	timeout := now.Sub(t.reservedAt) >= t.timeout && !t.idle
	if !offered || timeout {
		s.move(now, e, timeout)
		return
	}
	if !t.idle || now.Sub(t.reservedAt) < s.cfg.SettleAfter || s.inFlight(e) {
		return
	}
	t.phase = arming
	claim := s.ownClaim(e)
	s.write(now, e, CommitRecord{Record: Record{Losses: slices.Clone(e.open), Until: e.until, Trial: &claim}})
}

// move claims another endpoint for the trial, if there is one.
func (s *State) move(now time.Time, e *entry, timeout bool) {
	t := &e.trial
	t.tried = append(t.tried, t.endpoint.Endpoint)
	c, ok := s.nextCandidate(e)
	if !ok {
		return
	}
	t.reservedAt = now
	if timeout {
		t.timeout = min(2*t.timeout, maxReserveTimeout)
	}
	if c == t.endpoint {
		return
	}
	t.endpoint, t.phase, t.idle = c, claiming, false
	s.tell[e.fingerprint] = true
	s.claim(now, e)
}

// inFlight reports whether the fingerprint runs anywhere outside a trial.
func (s *State) inFlight(e *entry) bool {
	if s.runs[e.fingerprint] > 0 {
		return true
	}
	for _, p := range e.peers {
		if p.inFlight > 0 {
			return true
		}
	}
	return false
}

func (s *State) endpointIdle(now time.Time, endpoint fleet.EndpointID) {
	for _, e := range s.sorted() {
		if e.trial.phase == reserved && e.trial.endpoint.Endpoint == endpoint &&
			now.Sub(e.trial.reservedAt) >= s.cfg.SettleAfter {
			e.trial.idle = true
			s.advance(now, e)
		}
	}
}

// trialEnded takes the result of the running trial.
func (s *State) trialEnded(now time.Time, ev TrialEnded) *entry {
	e := s.entries[ev.Fingerprint]
	if e == nil || e.trial.phase != running || e.trial.request != ev.Request {
		return nil
	}
	e.touched = now
	loss := Loss{Endpoint: e.trial.endpoint.Endpoint, BootID: e.trial.endpoint.BootID, Attempt: e.trial.attempt}
	switch ev.Result {
	case TrialCompleted:
		// Others may have counted this trial as lost. Clearing its loss as
		// well undoes that.
		e.cleared = union(e.cleared, []Loss{loss})
		s.clear(now, e)
	case TrialEndpointLost:
		s.merge(now, e, []Loss{loss}, nil, time.Time{})
	}
	s.endTrial(e)
	return e
}
