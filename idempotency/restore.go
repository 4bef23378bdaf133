package idempotency

// MustWriteAgain reports whether own, the newest record of a call, has to be written
// again because a restore of the store lost it. stored is the record in the
// store. If own was sent, no other call could claim the key while own was stored: a
// claim of another one is from before own, or was made after the restore and will
// not be sent. A released claim was not sent either, and need not be in the store.
func MustWriteAgain(own Record, stored ReadResult) bool {
	if own.Status == Released {
		return stored.Found && stored.Record.Owner == own.Owner && stored.Record.Status == Claimed
	}
	switch {
	case !stored.Found || stored.Record.Status == Released:
		return true
	case stored.Record.Owner == own.Owner:
		return stored.Record.Status == Claimed && own.Status != Claimed
	default:
		return stored.Record.Status == Claimed
	}
}
