package catalog

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/rowstore"
)

// Replica is an endpoint as described by its own row in the store.
type Replica struct {
	ID         string
	Service    string
	Address    string // host:port
	DataCentre string
	Slots      int
	// Leaving is true if the replica is draining: it gets no new work.
	Leaving bool
	// TimeToExit is the time until a leaving replica shuts down; 0 if unknown.
	TimeToExit time.Duration
	Models     []LoadedModel
	// InMemory and OnDisk are the names of models whose weights the replica can
	// load without the weight store.
	InMemory, OnDisk []string
	// StartMillis is the start time of the replica in Unix milliseconds. It
	// distinguishes two processes that use the same id one after the other.
	StartMillis int64
	// Sequence orders the descriptions that a process writes of itself; 0 if unknown.
	Sequence int64
}

// LoadedModel is a model that is loaded on a replica, with its loaded adapters.
type LoadedModel struct {
	Name     string
	Version  int
	Adapters []string
}

// Holds reports whether the model is loaded on the replica.
func (r *Replica) Holds(model string) bool {
	return slices.ContainsFunc(r.Models, func(m LoadedModel) bool { return m.Name == model })
}

// newerThan reports whether r describes a later state of the replica than other. Unlike
// the versions of rows, this order holds across restores of the store.
func (r *Replica) newerThan(other *Replica) bool {
	switch {
	case r.StartMillis != other.StartMillis:
		return r.StartMillis > other.StartMillis
	case r.Sequence != 0 && other.Sequence != 0:
		return r.Sequence > other.Sequence
	default:
		return r.Leaving && !other.Leaving
	}
}

// knownNewerThan reports whether r describes a later state of the replica than other for
// certain, by the start times and sequences of both.
func (r *Replica) knownNewerThan(other *Replica) bool {
	if r.StartMillis != other.StartMillis {
		return r.StartMillis > other.StartMillis && other.StartMillis != 0
	}
	return r.Sequence > other.Sequence && other.Sequence != 0
}

// withWeightsOf returns r with the lists of local weights of the same process.
func (r *Replica) withWeightsOf(other *Replica) *Replica {
	out := *r
	out.InMemory, out.OnDisk = other.InMemory, other.OnDisk
	return &out
}

// Entry is one row of the list of replicas. Replica is nil if the row was
// removed or could not be decoded.
type Entry struct {
	ID      string
	Version rowstore.Version // version of the row
	Replica *Replica
	// Partial is true if another instance relayed the entry. Such an entry lacks
	// InMemory and OnDisk.
	Partial bool
	// last is the last known description of a replica that was removed.
	last *Replica
}

// known returns the newest known description of the replica, or nil.
func (e Entry) known() *Replica {
	if e.Replica != nil {
		return e.Replica
	}
	return e.last
}

// supersedes reports whether e replaces current: its row is newer, or it tells more of a
// row of the same version, because current is partial or was restored from a copy.
func (e Entry) supersedes(current Entry) bool {
	if e.Version != current.Version {
		return e.Version > current.Version
	}
	return current.Partial && !e.Partial || e.Replica != nil && current.Replica != nil && e.Replica.newerThan(current.Replica)
}

// mayBeOlderThan reports whether e can describe an earlier state than current although
// it supersedes current. In a new era it can be a copy, if its description is not newer.
// Within an era it is a heartbeat that the store has performed late, if its description is
// older.
func (e Entry) mayBeOlderThan(current Entry) bool {
	if e.Replica == nil {
		return false
	}
	known := current.known()
	if e.Version != current.Version && e.Version.Era() == current.Version.Era() {
		return known != nil && known.knownNewerThan(e.Replica)
	}
	return known == nil || !e.Replica.newerThan(known)
}

// withVersionOf returns the entry that keeps the description of e for the row of a copy.
func (e Entry) withVersionOf(row Entry) Entry {
	out := Entry{ID: e.ID, Version: row.Version, Replica: e.Replica, Partial: row.Partial, last: e.last}
	if e.Replica != nil && e.Partial && !row.Partial && e.Replica.StartMillis == row.Replica.StartMillis {
		out.Replica = e.Replica.withWeightsOf(row.Replica)
	}
	return out
}

// ReplicaList is one instance's copy of the list of replicas. It is not safe for
// concurrent use.
//
// Invariant: an entry is never replaced by one with a lower version.
//
// A restore of the store brings old rows back, with versions of a new era. The first row
// of an era is therefore taken for a copy unless its description is newer: what is known
// of the replica from an earlier era stays until the row is written again in the new era.
// The row is held back until ReleaseHeld: by then the replica has written it again if it
// is outdated, and the store has dropped it if the replica has left.
//
// Versions order what the store has performed, not what a replica has said: the store can
// perform a heartbeat late, after newer ones. A row with an older description than the
// known one is held back in the same way. It is not discarded, because the replica can be
// in the state that it describes again, and then does not write the row anew.
type ReplicaList struct {
	entries map[string]Entry
	// pendingRemovals holds the entries, by id, that disappeared from the store and are
	// dropped later unless they reappear. It is used while entries can have lapsed because
	// the store was unavailable.
	pendingRemovals map[string]pendingRemoval
	version         rowstore.Version
	// held holds the rows that are taken for copies.
	held map[string]heldRow
	// firstVersion is the version of the first full read of the era. Removals before
	// it are not known.
	firstVersion rowstore.Version
}

// pendingRemoval is the removal of an entry that is dropped at dropAt.
type pendingRemoval struct {
	version rowstore.Version // of the removal, or of the list that lacks the entry
	dropAt  time.Time
}

// heldRow is a row that is held back. releaseAt is zero until the next ReleaseHeld.
type heldRow struct {
	entry     Entry
	releaseAt time.Time
}

// NewReplicaList returns an empty list.
func NewReplicaList() *ReplicaList {
	return &ReplicaList{entries: make(map[string]Entry), pendingRemovals: make(map[string]pendingRemoval), held: make(map[string]heldRow)}
}

// Replicas returns the known replicas in unspecified order.
func (r *ReplicaList) Replicas() []*Replica {
	out := make([]*Replica, 0, len(r.entries))
	for _, e := range r.entries {
		if e.Replica != nil {
			out = append(out, e.Replica)
		}
	}
	return out
}

// Replica returns the replica with the given id, or nil if it is not known.
func (r *ReplicaList) Replica(id string) *Replica { return r.entries[id].Replica }

// Version returns the newest version of the list that was applied.
func (r *ReplicaList) Version() rowstore.Version { return r.version }

// AppliedVersion returns the version up to which all changes were applied. It is lower
// than Version while removals are pending, so that a peer that knows of them returns them.
func (r *ReplicaList) AppliedVersion() rowstore.Version {
	version := r.version
	for id := range r.pendingRemovals {
		if e := r.entries[id]; e.Version.Era() == r.version.Era() {
			version = min(version, e.Version)
		}
	}
	return version
}

// PendingRemovals returns the ids of the entries that are kept although they disappeared from
// the store, with the versions of their removals. Entries that the first list after a restore
// of the store lacks are left out.
func (r *ReplicaList) PendingRemovals() []Entry {
	var out []Entry
	for id, p := range r.pendingRemovals {
		if r.entries[id].Version.Era() == r.version.Era() {
			out = append(out, Entry{ID: id, Version: p.version})
		}
	}
	return out
}

// RemovalPending reports whether the entry with the given id is kept although it disappeared
// from the store.
func (r *ReplicaList) RemovalPending(id string) bool {
	_, pending := r.pendingRemovals[id]
	return pending
}

// ChangedSince returns the entries that changed after version, including removed
// ones. Entries that are missing since the store was restored are left out.
func (r *ReplicaList) ChangedSince(version rowstore.Version) []Entry {
	var out []Entry
	for _, e := range r.entries {
		if e.Version > version && e.Version.Era() == r.version.Era() {
			out = append(out, e)
		}
	}
	return out
}

// KnowsChangesSince reports whether ChangedSince returns all changes after version,
// including removed entries.
func (r *ReplicaList) KnowsChangesSince(version rowstore.Version) bool {
	return version >= r.firstVersion
}

// Apply applies changed rows, up to version of the list, and returns the ids of
// the entries that changed. A row that doesn't supersede its entry is ignored.
func (r *ReplicaList) Apply(rows []Entry, version rowstore.Version) []string {
	var changed []string
	for _, e := range rows {
		current, known := r.entries[e.ID]
		lost := e.Version.Era() < r.version.Era() // the row, by a restore
		if known && !e.supersedes(current) || lost && current.Replica == nil {
			continue
		}
		if e.Version != current.Version && !lost {
			delete(r.pendingRemovals, e.ID)
		}
		delete(r.held, e.ID)
		if known && e.mayBeOlderThan(current) {
			kept := current.withVersionOf(e)
			r.entries[e.ID] = kept
			if !e.Partial {
				r.held[e.ID] = heldRow{entry: e}
			}
			if kept.Replica != current.Replica {
				changed = append(changed, e.ID)
			}
			continue
		}
		if e.Version == current.Version && e.Partial && !current.Partial {
			// The holder knows more than the copy, which the replica may still confirm.
			r.held[e.ID] = heldRow{entry: current}
			e = e.withVersionOf(current)
		}
		if e.Replica == nil {
			e.last = current.known()
		}
		r.entries[e.ID] = e
		changed = append(changed, e.ID)
	}
	r.version = max(r.version, version)
	return changed
}

// Superseded returns the ids of replicas whose address is now used by a replica
// that started later.
func (r *ReplicaList) Superseded() []string {
	newest := make(map[string]*Replica)
	var out []string
	for _, e := range r.entries {
		if e.Replica == nil || e.Replica.StartMillis == 0 {
			continue
		}
		other, ok := newest[e.Replica.Address]
		switch {
		case !ok:
			newest[e.Replica.Address] = e.Replica
		case other.StartMillis < e.Replica.StartMillis:
			newest[e.Replica.Address] = e.Replica
			out = append(out, other.ID)
		case other.StartMillis > e.Replica.StartMillis:
			out = append(out, e.ID)
		}
	}
	return out
}

// Replace applies a read of the whole list and returns the ids of the entries that
// changed. A read older than Version only completes partial entries. Entries absent from
// rows are dropped at once if dropAt is zero, and otherwise by Expire at that time.
func (r *ReplicaList) Replace(rows []Entry, version rowstore.Version, dropAt time.Time) []string {
	if version < r.version {
		return r.Apply(slices.DeleteFunc(slices.Clone(rows), func(e Entry) bool { return r.entries[e.ID].Version != e.Version }), version)
	}
	if r.firstVersion == 0 || r.firstVersion.Era() < version.Era() {
		r.firstVersion = version
	}
	changed := r.Apply(rows, version)
	inRead := make(map[string]bool, len(rows))
	for _, e := range rows {
		inRead[e.ID] = true
	}
	for id, e := range r.entries {
		if inRead[id] {
			continue
		}
		if e.Replica == nil {
			r.dropHeld(e, version)
			continue
		}
		delete(r.held, id)
		if _, pending := r.pendingRemovals[id]; pending {
			continue // a read that follows within the grace period lacks it as well
		}
		if !dropAt.IsZero() {
			r.pendingRemovals[id] = pendingRemoval{version: version, dropAt: dropAt}
			continue
		}
		r.entries[id] = Entry{ID: id, Version: version, last: e.Replica}
		changed = append(changed, id)
	}
	return changed
}

// Remove applies the removal of a row and reports whether the entry was dropped.
// If dropAt is not zero, Expire drops the entry at that time instead.
func (r *ReplicaList) Remove(id string, version rowstore.Version, dropAt time.Time) bool {
	e, ok := r.entries[id]
	if !ok || e.Version >= version {
		return false
	}
	if e.Replica == nil {
		r.dropHeld(e, version)
		return false
	}
	delete(r.held, id)
	if !dropAt.IsZero() {
		r.pendingRemovals[id] = pendingRemoval{version: version, dropAt: dropAt}
		r.version = max(r.version, version)
		return false
	}
	r.entries[id] = Entry{ID: id, Version: version, last: e.Replica}
	r.version = max(r.version, version)
	return true
}

// dropHeld records that the held row of a removed replica was removed too, so that
// ChangedSince tells instances that list the replica.
func (r *ReplicaList) dropHeld(e Entry, version rowstore.Version) {
	if _, ok := r.held[e.ID]; ok {
		delete(r.held, e.ID)
		r.entries[e.ID] = Entry{ID: e.ID, Version: version, last: e.last}
		r.version = max(r.version, version)
	}
}

// Expire drops the entries whose removal is due at now and returns their ids.
func (r *ReplicaList) Expire(now time.Time) []string {
	var dropped []string
	for id, p := range r.pendingRemovals {
		if now.Before(p.dropAt) {
			continue
		}
		delete(r.pendingRemovals, id)
		r.entries[id] = Entry{ID: id, Version: r.version, last: r.entries[id].known()}
		dropped = append(dropped, id)
	}
	return dropped
}

// ReleaseHeld applies the rows that have been held back for at least d since the first
// call, and returns them. Rows of processes that were known to leave or to be replaced by
// later ones are discarded.
func (r *ReplicaList) ReleaseHeld(now time.Time, d time.Duration) []Entry {
	var released []Entry
	for id, h := range r.held {
		if h.releaseAt.IsZero() {
			h.releaseAt = now.Add(d)
			r.held[id] = h
		}
		if now.Before(h.releaseAt) {
			continue
		}
		delete(r.held, id)
		known := r.entries[id].known()
		if known != nil && (known.StartMillis > h.entry.Replica.StartMillis || known.StartMillis == h.entry.Replica.StartMillis && known.Leaving && !h.entry.Replica.Leaving) {
			continue
		}
		r.entries[id] = h.entry
		released = append(released, h.entry)
	}
	return released
}

// NextExpiry returns the earliest time at which Expire will drop an entry, or the
// zero time if no removal is pending.
func (r *ReplicaList) NextExpiry() time.Time {
	var next time.Time
	for _, p := range r.pendingRemovals {
		if next.IsZero() || p.dropAt.Before(next) {
			next = p.dropAt
		}
	}
	return next
}
