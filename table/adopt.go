package table

import "time"

// Replica is an instance's copy of the table. It only moves to higher
// revisions, so an accepted edit that was once in force here never reverts.
// Times are monotonic times of this process.
type Replica struct {
	current *Snapshot
	// wanted is the highest revision that anyone has told of.
	wanted uint64
	// confirmed is when the store last had no higher revision than current, as
	// far as this instance knows, directly or through a peer.
	confirmed time.Time
}

// Current returns the adopted snapshot, or nil before the first one.
func (r *Replica) Current() *Snapshot { return r.current }

// Adopt takes s if it is newer than the current snapshot and reports whether it did.
func (r *Replica) Adopt(s *Snapshot) bool {
	if s == nil || (r.current != nil && s.Revision <= r.current.Revision) {
		return false
	}
	r.current = s
	r.wanted = max(r.wanted, s.Revision)
	return true
}

// Heard notes that a revision exists and reports whether it has to be fetched.
func (r *Replica) Heard(revision uint64) bool {
	r.wanted = max(r.wanted, revision)
	return r.Behind()
}

// Behind reports whether a newer revision than the current one is known to exist.
func (r *Replica) Behind() bool {
	return r.current == nil || r.wanted > r.current.Revision
}

// Confirmed notes that the store's newest revision was the given one at the
// time at. Confirmations of other revisions than the current one don't count.
func (r *Replica) Confirmed(revision uint64, at time.Time) {
	if r.current != nil && revision == r.current.Revision && at.After(r.confirmed) {
		r.confirmed = at
	}
}

// ConfirmedAt returns the time of the newest confirmation, or the zero time.
func (r *Replica) ConfirmedAt() time.Time { return r.confirmed }
