package leader

import "github.com/hyssophaven/hyssophaven/bootclock"

// RecordEra records that the store is in the given era. If the era is new, the lease is
// read before the next write.
func (s *State) RecordEra(now bootclock.Time, era uint64) {
	if !s.eraKnown {
		s.era, s.eraKnown = era, true
	}
	if era <= s.era {
		return
	}
	s.era, s.eraChanged = era, true
	s.resumes = now < s.resumeUntil()
	s.held, s.rowKnown = false, false
	s.nextRead = now
}

// resumeUntil returns the time until which the last holder can go on after a restore,
// because no successor can order before it: until the end of the last term, no instance
// can have acquired the lease. One that acquires it later and loses it in the restore
// orders for a Term after that at most, but not before the handover gap is over, if the
// orders of this instance were the last ones.
//
// A holder that still waits for its predecessor can't go on: the predecessor may have done
// so in an era that this instance has missed.
func (s *State) resumeUntil() bootclock.Time {
	if s.heldUntil == 0 || !s.handoverDone {
		return 0
	}
	return s.heldUntil.Add(max(0, s.options.HandoverGap+handoverMargin-Term))
}

// neverHeld reports whether the lease does not exist and can't have been lost in a restore
// of the store. A store that reports no era is never restored.
func (s *State) neverHeld() bool {
	firstStart := s.options.FirstStart && s.rowSince.Sub(s.options.StartedAt) < Term
	return !s.row.exists() && !s.eraChanged && (firstStart || s.era == 0)
}

func (s *State) released() bool { return s.row.current() && s.row.Released }

// resumesLease reports whether this instance can go on as the holder, because no instance
// has acquired the lease in this era, nor can have ordered since the store was restored. A
// record of the earlier era alone does not show this: a delayed write can have replaced a
// newer one.
func (s *State) resumesLease() bool {
	return s.resumes && !s.row.current() && s.row.Epochs.Version.Counter() == 0
}
