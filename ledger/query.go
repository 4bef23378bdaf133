package ledger

import (
	"cmp"
	"slices"

	"github.com/hyssophaven/hyssophaven/engine"
)

// Holding reports whether this process holds the lease as far as the ledger knows.
func (r *Replica) Holding() bool { return r.holding }

// Counted returns the memory in MB that the replica's entries may hold.
func (r *Replica) Counted() int {
	sum := 0
	for _, e := range r.entries {
		if !e.Freed {
			sum += e.MemoryMB
		}
	}
	return sum
}

// Capacity returns the memory in MB that may be counted.
func (r *Replica) Capacity() int { return r.capacity }

// Entries returns the entries in the order of their reservation.
func (r *Replica) Entries() []EntryStatus {
	out := make([]EntryStatus, len(r.entries))
	for i, e := range r.entries {
		out[i] = EntryStatus{Entry: cloneEntry(e.Entry), Running: e.running, Postponed: e.postponed}
	}
	return out
}

// Servable reports whether requests for name may be sent to the replica now,
// at any version.
func (r *Replica) Servable(name string) bool {
	return slices.ContainsFunc(r.entries, func(e *entry) bool { return e.Name == name && e.State == Ready })
}

// Open returns the orders that are in the sender's hands or decided, in the
// order of their tokens. The lease can be released when there are none.
func (r *Replica) Open() []engine.Order {
	var out []engine.Order
	for _, o := range r.open {
		out = append(out, o.Order)
	}
	if r.order != nil {
		out = append(out, r.order.Order)
	}
	if r.saving != nil && r.saving.order != nil {
		out = append(out, r.saving.order.Order)
	}
	slices.SortFunc(out, func(a, b engine.Order) int {
		return cmp.Or(a.Token.Compare(b.Token), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// View returns what may be routed to the replica. An adapter is loadable only
// when the stored record says so, because a reservation must be committed first.
func (r *Replica) View() View {
	v := ViewOf(r.stored)
	v.Replica, v.Token = r.set.Replica, r.seen
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
	v.Entries = usable(v.Entries)
	return v
}

// ViewOf returns the view of a stored record, for instances that do not hold
// the replica's lease.
func ViewOf(rec Record) View {
	v := View{Replica: rec.Replica, Token: rec.Seen}
	for _, e := range rec.Entries {
		v.Entries = append(v.Entries, viewEntry(e))
	}
	v.Entries = usable(v.Entries)
	return v
}

// usable drops entries that may neither be used nor loaded. An adapter can be
// used only beside its base.
func usable(all []ViewEntry) []ViewEntry {
	var out []ViewEntry
	for _, e := range all {
		based := e.Base == "" || slices.ContainsFunc(all, func(b ViewEntry) bool { return b.Name == e.Base && b.Servable })
		if based && (e.Servable || e.Loadable) {
			out = append(out, e)
		}
	}
	return out
}

func viewEntry(e Entry) ViewEntry {
	return ViewEntry{
		Name: e.Name, Base: e.Base, Version: e.Version, MemoryMB: e.MemoryMB,
		Servable: e.State == Ready,
		// After an unload only the owner's load order, with a newer token, makes
		// a late unload harmless.
		Loadable: (e.State == Reserved || e.State == Ready) && slices.Contains(e.LoadSenders, Sender{}) &&
			!e.LoadToken.Less(e.UnloadToken),
	}
}
