package lease

import (
	"time"

	"github.com/hyssophaven/hyssophaven/backing/version"
)

// handleCommitResult applies the result of a commit to the shards of its writes.
func (s *State) handleCommitResult(now time.Time, ev CommitResult) {
	req, ok := s.requests[ev.ID]
	if !ok || req.isRead {
		return
	}
	delete(s.requests, ev.ID)
	if ev.Outcome == Applied && len(ev.Versions) != len(req.writes) {
		ev.Outcome = Unknown
	}
	next := s.nextRenewalTime(req.sentAt)
	for i, w := range req.writes {
		sh := s.shards[w.Shard]
		sh.pendingRequest = 0
		switch ev.Outcome {
		case Applied:
			s.applyWrite(now, sh, VersionedRecord{w.Shard, w.Record, ev.Versions[i]}, req.sentAt)
			sh.nextRenewal = next
		case NotApplied:
			sh.openAttempt = 0
			s.backOff(now, sh)
		case Conflict, Unknown:
			// Every record is read back, so that one changed record does not
			// cost the other shards of the batch. After a conflict the read
			// also finds a write of this process that was delivered twice.
			sh.nextRead = now
			if ev.Outcome == Unknown {
				sh.nextRead = now.Add(s.jitter(s.cfg.AcquireJitter))
			}
		}
	}
}

// backOff delays the next write and read of a shard after a write that was not
// applied.
func (s *State) backOff(now time.Time, sh *shardState) {
	at := now.Add(s.cfg.WatchInterval/2 + s.jitter(s.cfg.WatchInterval))
	sh.nextRenewal, sh.nextRead = at, at
}

// applyWrite records that the store contains v, which this process wrote by a
// request sent at sent.
func (s *State) applyWrite(now time.Time, sh *shardState, v VersionedRecord, sent time.Time) {
	if v.Record.Epoch != sh.record.Epoch {
		sh.continues = sh.reclaimEpoch
	}
	sh.known, sh.version, sh.record, sh.era = true, v.Version, v.Record, version.Era(v.Version)
	sh.unchangedSince = now
	sh.openAttempt, sh.reclaimUntil, sh.reclaimEpoch = 0, time.Time{}, 0
	if v.Record.Released || !sh.isOfThisEra() {
		sh.actUntil = time.Time{}
		sh.handOverRequested, sh.ordersClosed = false, false
		return
	}
	if until := sent.Add(s.cfg.actDuration()); until.After(sh.actUntil) {
		sh.actUntil = until
	}
}

// nextRenewalTime returns the time at which records that were written by a request
// sent at sent are renewed: RenewInterval later, or earlier together with the next
// renewal of other shards, so that one transaction renews them all.
func (s *State) nextRenewalTime(sent time.Time) time.Time {
	next := sent.Add(s.cfg.RenewInterval)
	for _, sh := range s.shards {
		if s.isHolder(sh) && sh.nextRenewal.After(sent) && sh.nextRenewal.Before(next) {
			next = sh.nextRenewal
		}
	}
	return next
}

// handleReadResult applies the result of a read to the requested shards.
func (s *State) handleReadResult(now time.Time, ev ReadResult) {
	req, ok := s.requests[ev.ID]
	if !ok || !req.isRead {
		return
	}
	delete(s.requests, ev.ID)
	found := make(map[Shard]VersionedRecord, len(ev.Records))
	for _, v := range ev.Records {
		found[v.Shard] = v
	}
	for _, name := range req.shards {
		sh := s.shards[name]
		sh.pendingRequest = 0
		if !ev.OK {
			sh.nextRead = now.Add(s.cfg.WatchInterval/2 + s.jitter(s.cfg.WatchInterval))
			continue
		}
		sh.nextRead = now.Add(s.cfg.WatchInterval)
		s.applyRead(now, sh, found[name], ev.Era)
	}
}

// applyRead applies a record that was read from the store and is at least as new
// as the last known record of the shard. Version 0 means that no record exists in
// the given era of the store.
func (s *State) applyRead(now time.Time, sh *shardState, v VersionedRecord, era uint64) {
	if v.Version != 0 {
		era = version.Era(v.Version)
	}
	if v.Version != 0 && s.writtenByOpenAttempt(sh, v.Record) && v.Record.Era == era {
		sent := sh.attemptSentAt
		s.applyWrite(now, sh, v, sent)
		sh.nextRenewal = s.nextRenewalTime(sent)
		return
	}
	sh.openAttempt = 0
	if sh.known && v.Version == sh.version && era == sh.era {
		return
	}
	sh.reclaimUntil, sh.reclaimEpoch, sh.continues = time.Time{}, 0, 0
	if s.canAct(sh, now) && era > sh.era {
		sh.reclaimUntil, sh.reclaimEpoch = sh.actUntil, sh.record.Epoch
	}
	wasHolder, epoch := s.isHolder(sh), sh.record.Epoch
	if v.Version == 0 {
		v.Record = Record{Epoch: epoch} // epochs increase even if a record is deleted
	}
	lossReason := TakenOver
	if era > sh.era {
		lossReason = StoreRestored
	}
	sh.known, sh.version, sh.record, sh.era = true, v.Version, v.Record, era
	sh.unchangedSince = now
	sh.nextRenewal = now
	if s.isHolder(sh) {
		// A write of this process took effect, but its send time is no longer
		// known. The next renewal starts a term with a known start.
		if epoch != v.Record.Epoch {
			sh.actUntil = time.Time{}
		}
		return
	}
	sh.actUntil = time.Time{}
	if wasHolder && sh.acting {
		sh.acting = false
		s.emit(Lost{Shard: sh.name, Epoch: epoch, Reason: lossReason})
	}
}

// writtenByOpenAttempt reports whether r was written by the write of this process whose
// outcome is not known yet.
func (s *State) writtenByOpenAttempt(sh *shardState, r Record) bool {
	return sh.openAttempt != 0 && r.Attempt == sh.openAttempt &&
		r.Holder == s.cfg.Self && r.Incarnation == s.cfg.Incarnation
}
