package ledger

import (
	"time"
)

// handleStoreEvent handles the answers to Persist and ReadRecord. It returns the
// EngineOrder action of an order once the record that contains it is committed.
func (r *Replica) handleStoreEvent(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Persisted:
		if r.isPendingWrite(ev.Write, ev.Epoch) {
			return r.handleCommit(now, ev.Version)
		}
	case PersistFailed:
		if r.isPendingWrite(ev.Write, ev.Epoch) {
			r.retryWrite(now)
		}
	case PersistConflict:
		// An earlier write of this holder with an unknown outcome may have
		// been applied late, so the record is read before the lease is
		// considered lost.
		if r.isPendingWrite(ev.Write, ev.Epoch) {
			r.pendingWrite.outcomeUnknown = true
		}
	case PersistUnknown:
		if r.isPendingWrite(ev.Write, ev.Epoch) {
			r.pendingWrite.outcomeUnknown = true
		}
	case RecordRead:
		return r.handleRecordRead(now, ev)
	case RecordReadFailed:
		if r.readPending {
			r.readPending, r.nextStoreCallAt = false, now.Add(r.settings.RetryDelay)
		}
	}
	return nil
}

func (r *Replica) isPendingWrite(write, epoch uint64) bool {
	return r.pendingWrite != nil && r.pendingWrite.record.Write == write && r.pendingWrite.record.Holder.Epoch == epoch
}

// retryWrite discards the pending write; the next write contains its changes.
func (r *Replica) retryWrite(now time.Time) {
	r.decidedOrder = r.pendingWrite.order
	r.pendingWrite, r.dirty, r.nextStoreCallAt = nil, true, now.Add(r.settings.RetryDelay)
}

func (r *Replica) handleRecordRead(now time.Time, ev RecordRead) []Action {
	if !r.readPending {
		return nil
	}
	r.readPending = false
	if r.pendingWrite == nil || !r.pendingWrite.outcomeUnknown {
		return nil
	}
	switch {
	case ev.Version != 0 && ev.Record.Holder == r.self && ev.Record.Write == r.pendingWrite.record.Write:
		return r.handleCommit(now, ev.Version)
	case ev.Version == r.storedVersion:
		r.retryWrite(now)
	case ev.Version != 0 && ev.Record.Holder == r.self:
		r.storedVersion = ev.Version
		r.retryWrite(now)
	default:
		r.holdsLease = false // another holder wrote the record
	}
	return nil
}

// handleCommit handles the commit of the pending write. It returns the EngineOrder
// action of the order that the written record contains, if the lease is valid.
func (r *Replica) handleCommit(now time.Time, version uint64) []Action {
	s := r.pendingWrite
	r.pendingWrite, r.storedVersion, r.stored = nil, version, s.record
	for _, st := range s.record.Entries {
		e := r.findEntry(st.Key())
		if e != nil && st.State == Draining && e.State == Draining && e.drainStart.IsZero() {
			// The last read does not show requests that started between it and the start
			// of the drain.
			e.drainStart, e.drainDeadline, e.readSentAt = now, now.Add(r.settings.DrainDeadline), time.Time{}
			r.generation++
		}
	}
	if s.order == nil {
		return nil
	}
	if !r.leaseValid(now) {
		if e := r.findEntry(s.order.key); e != nil {
			e.retryAt = now.Add(r.settings.RetryDelay)
		}
		return nil
	}
	r.outstanding[s.order.ID] = *s.order
	r.generation++
	return []Action{EngineOrder{Order: s.order.Order, NotAfter: r.leaseUntil}}
}

// record returns the record of the current state.
func (r *Replica) record() Record {
	rec := Record{
		Replica: r.settings.Replica, Holder: r.self, Write: r.lastWrite, HighestToken: r.highestToken, BootID: r.bootID,
		LostOrders: r.lostOrders,
	}
	for _, e := range r.entries {
		rec.Entries = append(rec.Entries, cloneEntry(e.Entry))
	}
	return rec
}

// startWrite starts a write of the current record.
func (r *Replica) startWrite() Action {
	r.lastWrite++
	rec := r.record()
	r.pendingWrite = &pendingWrite{record: rec, order: r.decidedOrder}
	r.decidedOrder, r.dirty = nil, false
	return Persist{Record: rec, Expected: r.storedVersion}
}

func (r *Replica) leaseValid(now time.Time) bool { return r.holdsLease && now.Before(r.leaseUntil) }
