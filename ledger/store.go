package ledger

import (
	"time"
)

// storeEvent handles the answers to Persist and ReadRecord. It returns the
// order that may be sent now that the record contains it.
func (r *Replica) storeEvent(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Persisted:
		if r.isSaving(ev.Write, ev.Epoch) {
			return r.committed(now, ev.Version)
		}
	case PersistFailed:
		if r.isSaving(ev.Write, ev.Epoch) {
			r.retrySave(now)
		}
	case PersistConflict:
		// An earlier write of this holder with an unknown outcome may have
		// been applied late, so the record is read before giving up.
		if r.isSaving(ev.Write, ev.Epoch) {
			r.saving.unknown = true
		}
	case PersistUnknown:
		if r.isSaving(ev.Write, ev.Epoch) {
			r.saving.unknown = true
		}
	case RecordRead:
		return r.recordRead(now, ev)
	case ReadFailed:
		if r.reading {
			r.reading, r.storeAt = false, now.Add(r.set.Retry)
		}
	}
	return nil
}

func (r *Replica) isSaving(write, epoch uint64) bool {
	return r.saving != nil && r.saving.record.Write == write && r.saving.record.Holder.Epoch == epoch
}

// retrySave drops the write in progress; the next one contains its changes.
func (r *Replica) retrySave(now time.Time) {
	r.order = r.saving.order
	r.saving, r.dirty, r.storeAt = nil, true, now.Add(r.set.Retry)
}

func (r *Replica) recordRead(now time.Time, ev RecordRead) []Action {
	if !r.reading {
		return nil
	}
	r.reading = false
	if r.saving == nil || !r.saving.unknown {
		return nil
	}
	switch {
	case ev.Version != 0 && ev.Record.Holder == r.self && ev.Record.Write == r.saving.record.Write:
		return r.committed(now, ev.Version)
	case ev.Version == r.version:
		r.retrySave(now)
	case ev.Version != 0 && ev.Record.Holder == r.self:
		r.version = ev.Version
		r.retrySave(now)
	default:
		r.holding = false // another holder has written
	}
	return nil
}

// committed notes that the record is stored and returns the order it announced.
func (r *Replica) committed(now time.Time, version uint64) []Action {
	s := r.saving
	r.saving, r.version, r.stored = nil, version, s.record
	for _, st := range s.record.Entries {
		e := r.find(st.Key())
		if e != nil && st.State == Draining && e.State == Draining && e.drainSince.IsZero() {
			// Requests seen by an earlier read may have started before.
			e.drainSince, e.drainUntil, e.readAt = now, now.Add(r.set.DrainDeadline), time.Time{}
			r.generation++
		}
	}
	if s.order == nil {
		return nil
	}
	if !r.mayAct(now) {
		if e := r.find(s.order.key); e != nil {
			e.retryAt = now.Add(r.set.Retry)
		}
		return nil
	}
	r.open[s.order.ID] = *s.order
	r.generation++
	return []Action{Send{Order: s.order.Order, NotAfter: r.until}}
}

// persist starts a write of the current record.
func (r *Replica) persist() Action {
	r.write++
	rec := Record{Replica: r.set.Replica, Holder: r.self, Write: r.write, Seen: r.seen, BootID: r.boot}
	for _, e := range r.entries {
		rec.Entries = append(rec.Entries, cloneEntry(e.Entry))
	}
	r.saving = &saving{record: rec, order: r.order}
	r.order, r.dirty = nil, false
	return Persist{Record: rec, Expected: r.version}
}

func (r *Replica) mayAct(now time.Time) bool { return r.holding && now.Before(r.until) }
