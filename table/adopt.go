package table

import "time"

// LocalCopy is an instance's copy of the table. It adopts only higher revisions, so
// an edit that is in force on the instance never reverts. Its times are readings
// of this process's monotonic clock.
type LocalCopy struct {
	current *Snapshot
	// newestKnown is the highest revision known to exist, from the store or a peer.
	newestKnown uint64
	// confirmedAt is the latest time at which current is known to have been the
	// store's newest revision, directly or through a peer.
	confirmedAt time.Time
}

// Current returns the adopted snapshot, or nil before the first one.
func (c *LocalCopy) Current() *Snapshot { return c.current }

// Adopt replaces the current snapshot by s if s is newer, and reports whether it did.
func (c *LocalCopy) Adopt(s *Snapshot) bool {
	if s == nil || (c.current != nil && s.Revision <= c.current.Revision) {
		return false
	}
	c.current = s
	c.newestKnown = max(c.newestKnown, s.Revision)
	return true
}

// NoteRevision records that a revision exists and reports whether a newer revision
// than the current one must be fetched.
func (c *LocalCopy) NoteRevision(revision uint64) bool {
	c.newestKnown = max(c.newestKnown, revision)
	return c.Behind()
}

// Behind reports whether a newer revision than the current one is known to exist,
// or no snapshot has been adopted yet.
func (c *LocalCopy) Behind() bool {
	return c.current == nil || c.newestKnown > c.current.Revision
}

// NoteConfirmation records that revision was the store's newest one at the given
// time. It ignores revisions other than the current one.
func (c *LocalCopy) NoteConfirmation(revision uint64, at time.Time) {
	if c.current != nil && revision == c.current.Revision && at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// ConfirmedAt returns the time of the latest confirmation, or the zero time.
func (c *LocalCopy) ConfirmedAt() time.Time { return c.confirmedAt }
