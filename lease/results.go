package lease

import "time"

// commitResult takes the answer of the store to a commit.
func (s *State) commitResult(now time.Time, ev CommitResult) {
	req, ok := s.requests[ev.ID]
	if !ok || req.read {
		return
	}
	delete(s.requests, ev.ID)
	if ev.Outcome == Applied && len(ev.Versions) != len(req.writes) {
		ev.Outcome = Unknown
	}
	next := s.nextRenewalTime(req.sent)
	for i, w := range req.writes {
		sh := s.shards[w.Shard]
		sh.pending = 0
		switch ev.Outcome {
		case Applied:
			s.applied(now, sh, Versioned{w.Shard, w.Record, ev.Versions[i]}, req.sent)
			sh.nextRenewal = next
		case NotApplied:
			sh.attempt = 0
			s.backOff(now, sh)
		case Conflict, Unknown:
			// The records are read back one by one, so one changed record does
			// not cost the other shards of the batch. After a conflict this
			// also finds a write of ours that was delivered twice.
			sh.nextRead = now
			if ev.Outcome == Unknown {
				sh.nextRead = now.Add(s.jitter(s.cfg.AcquireJitter))
			}
		}
	}
}

// backOff delays the next write of a shard after the store refused one.
func (s *State) backOff(now time.Time, sh *shardState) {
	at := now.Add(s.cfg.WatchEvery/2 + s.jitter(s.cfg.WatchEvery))
	sh.nextRenewal, sh.nextRead = at, at
}

// applied records that the store holds v, which this process wrote in a
// request sent at sent.
func (s *State) applied(now time.Time, sh *shardState, v Versioned, sent time.Time) {
	sh.known, sh.version, sh.record = true, v.Version, v.Record
	sh.unchangedSince = now
	sh.attempt = 0
	if v.Record.Released {
		sh.until = time.Time{}
		sh.handing, sh.settled = false, false
		return
	}
	if until := sent.Add(s.cfg.actFor()); until.After(sh.until) {
		sh.until = until
	}
}

// nextRenewalTime returns when to renew what was written in a request sent at
// sent. It is at most RenewEvery later, and the time of the next renewal of
// other shards if there is one, so that all are renewed in one transaction.
func (s *State) nextRenewalTime(sent time.Time) time.Time {
	next := sent.Add(s.cfg.RenewEvery)
	for _, sh := range s.shards {
		if s.ours(sh) && sh.nextRenewal.After(sent) && sh.nextRenewal.Before(next) {
			next = sh.nextRenewal
		}
	}
	return next
}

// readResult takes records read from the store.
func (s *State) readResult(now time.Time, ev ReadResult) {
	req, ok := s.requests[ev.ID]
	if !ok || !req.read {
		return
	}
	delete(s.requests, ev.ID)
	found := make(map[Shard]Versioned, len(ev.Records))
	for _, v := range ev.Records {
		found[v.Shard] = v
	}
	for _, name := range req.shards {
		sh := s.shards[name]
		sh.pending = 0
		if !ev.OK {
			sh.nextRead = now.Add(s.cfg.WatchEvery/2 + s.jitter(s.cfg.WatchEvery))
			continue
		}
		sh.nextRead = now.Add(s.cfg.WatchEvery)
		s.observed(now, sh, found[name])
	}
}

// observed takes the stored content of one shard, read after everything that
// is known of it. A missing record has version 0.
func (s *State) observed(now time.Time, sh *shardState, v Versioned) {
	if v.Version != 0 && s.byAttempt(sh, v.Record) {
		sent := sh.attemptSent
		s.applied(now, sh, v, sent)
		sh.nextRenewal = s.nextRenewalTime(sent)
		return
	}
	sh.attempt = 0
	if sh.known && v.Version == sh.version {
		return
	}
	wasOurs, epoch := s.ours(sh), sh.record.Epoch
	if v.Version == 0 {
		v.Record = Record{Epoch: epoch} // epochs grow even if a record is deleted
	}
	sh.known, sh.version, sh.record = true, v.Version, v.Record
	sh.unchangedSince = now
	sh.nextRenewal = now
	if s.ours(sh) {
		// A write of ours whose time of sending is no longer known took
		// effect. A renewal gives a term with a known start.
		if epoch != v.Record.Epoch {
			sh.until = time.Time{}
		}
		return
	}
	sh.until = time.Time{}
	if wasOurs && sh.acting {
		sh.acting = false
		s.emit(Lost{Shard: sh.shard, Epoch: epoch, Reason: TakenOver})
	}
}

// byAttempt reports whether r was written by the write of this process whose
// outcome is open.
func (s *State) byAttempt(sh *shardState, r Record) bool {
	return sh.attempt != 0 && r.Attempt == sh.attempt &&
		r.Holder == s.cfg.Self && r.Incarnation == s.cfg.Incarnation
}
