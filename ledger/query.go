package ledger

import (
	"cmp"
	"slices"

	"github.com/hyssophaven/hyssophaven/engine"
)

// HoldsLease reports whether this process holds the lease, as far as the ledger
// knows. It does not check the end of the lease.
func (r *Replica) HoldsLease() bool { return r.holdsLease }

// HasLostOrders reports whether load orders that are in no entry can still take
// effect, so that nothing is loaded.
func (r *Replica) HasLostOrders() bool { return r.lostOrders }

// CountedMB returns the memory in MB that the replica's entries can occupy.
func (r *Replica) CountedMB() int {
	sum := 0
	for _, e := range r.entries {
		if !e.Freed {
			sum += e.MemoryMB
		}
	}
	return sum
}

// CapacityMB returns the memory in MB that is available to entries: the configured
// capacity, or the engine's if that is smaller.
func (r *Replica) CapacityMB() int { return r.capacity }

// Entries returns the entries in order of their reservation.
func (r *Replica) Entries() []EntryStatus {
	out := make([]EntryStatus, len(r.entries))
	for i, e := range r.entries {
		out[i] = EntryStatus{Entry: cloneEntry(e.Entry), Running: e.running, DrainOverruns: e.drainOverruns}
	}
	return out
}

// Servable reports whether any version of name is ready on the replica, so that
// requests for it can be sent now.
func (r *Replica) Servable(name string) bool {
	return slices.ContainsFunc(r.entries, func(e *entry) bool { return e.Name == name && e.State == Ready })
}

// OpenOrders returns the orders that are decided or outstanding, sorted by token. The
// lease can be released if there are none.
func (r *Replica) OpenOrders() []engine.Order {
	var out []engine.Order
	for _, o := range r.outstanding {
		out = append(out, o.Order)
	}
	if r.decidedOrder != nil {
		out = append(out, r.decidedOrder.Order)
	}
	if r.pendingWrite != nil && r.pendingWrite.order != nil {
		out = append(out, r.pendingWrite.order.Order)
	}
	slices.SortFunc(out, func(a, b engine.Order) int {
		return cmp.Or(a.Token.Compare(b.Token), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// View returns what can be routed to the replica. An adapter is loadable only if
// the committed record reserves its memory.
func (r *Replica) View() View {
	v := ViewOf(r.stored)
	v.Replica, v.Token = r.settings.Replica, r.highestToken
	loadable := map[Key]bool{}
	for _, e := range v.Entries {
		loadable[Key{e.Name, e.Version}] = e.Loadable
	}
	v.Entries = nil
	for _, e := range r.entries {
		ve := viewEntry(e.Entry)
		ve.Loadable = ve.Loadable && loadable[e.Key()]
		v.Entries = append(v.Entries, ve)
	}
	v.Entries = usableEntries(v.Entries)
	return v
}

// ViewOf returns the view of a stored record, for instances that do not hold
// the replica's lease.
func ViewOf(rec Record) View {
	v := View{Replica: rec.Replica, Token: rec.HighestToken}
	for _, e := range rec.Entries {
		v.Entries = append(v.Entries, viewEntry(e))
	}
	v.Entries = usableEntries(v.Entries)
	return v
}

// usableEntries returns the entries that can be used or loaded. An adapter is
// usable only while its base is servable.
func usableEntries(all []ViewEntry) []ViewEntry {
	var out []ViewEntry
	for _, e := range all {
		hasBase := e.Base == "" || slices.ContainsFunc(all, func(b ViewEntry) bool { return b.Name == e.Base && b.Servable })
		if hasBase && (e.Servable || e.Loadable) {
			out = append(out, e)
		}
	}
	return out
}

func viewEntry(e Entry) ViewEntry {
	return ViewEntry{
		Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB,
		Servable: e.State == Ready,
		// After an unload order, only a load order of the lease holder has a newer
		// token, which makes the engine reject a late copy of the unload order.
		Loadable: (e.State == Reserved || e.State == Ready) && slices.Contains(e.LoadSenders, Sender{}) &&
			!e.LoadToken.Less(e.UnloadToken),
	}
}
