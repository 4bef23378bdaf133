package catalog

import (
	"slices"
	"time"
)

// Replica is one endpoint as it describes itself.
type Replica struct {
	ID         string
	Service    string
	Address    string // host:port
	DataCentre string
	Slots      int
	// Leaving replicas get no new work.
	Leaving bool
	// Remaining is the time until a leaving replica is gone; 0 if unknown.
	Remaining time.Duration
	Models    []Resident
	// InMemory and OnDisk name models whose weights the replica can load
	// without the weight store.
	InMemory, OnDisk []string
	// Born is the replica's start in Unix milliseconds; it tells two lifetimes
	// under one id apart.
	Born int64
}

// Resident is a model that a replica holds, with its adapters.
type Resident struct {
	Name     string
	Version  int
	Adapters []string
}

// Holds reports whether the replica holds the model.
func (r *Replica) Holds(model string) bool {
	return slices.ContainsFunc(r.Models, func(m Resident) bool { return m.Name == model })
}

// Entry is one row of the list of replicas. Replica is nil if the row was
// removed or could not be read.
type Entry struct {
	ID      string
	Version uint64 // of the row
	Replica *Replica
	// Partial entries were handed on by another instance, without the models that
	// the replica has at hand.
	Partial bool
}

// supersedes reports whether an entry says more than one that is known: it is newer,
// or it is complete where the known one is not.
func (e Entry) supersedes(known Entry) bool {
	return e.Version > known.Version || (e.Version == known.Version && known.Partial && !e.Partial)
}

// Roster is the list of replicas as one instance knows it. It is not safe for
// concurrent use.
//
// Invariant: an entry is never replaced by one of a lower version.
type Roster struct {
	entries map[string]Entry
	// missing are entries that a full read did not contain while the store had
	// just been away, with the time at which they are dropped.
	missing map[string]time.Time
	version uint64
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: make(map[string]Entry), missing: make(map[string]time.Time)}
}

// Replicas returns the known replicas, in no order.
func (r *Roster) Replicas() []*Replica {
	out := make([]*Replica, 0, len(r.entries))
	for _, e := range r.entries {
		if e.Replica != nil {
			out = append(out, e.Replica)
		}
	}
	return out
}

// Replica returns a known replica, or nil.
func (r *Roster) Replica(id string) *Replica { return r.entries[id].Replica }

// Version returns the newest version of the list that was taken over.
func (r *Roster) Version() uint64 { return r.version }

// Since returns the entries that changed after the version, removed ones included.
func (r *Roster) Since(version uint64) []Entry {
	var out []Entry
	for _, e := range r.entries {
		if e.Version > version {
			out = append(out, e)
		}
	}
	return out
}

// Apply takes over changed rows. It returns the ids whose replica changed.
func (r *Roster) Apply(rows []Entry, version uint64) []string {
	var changed []string
	for _, e := range rows {
		if old, ok := r.entries[e.ID]; ok && !e.supersedes(old) {
			continue
		}
		r.entries[e.ID] = e
		delete(r.missing, e.ID)
		changed = append(changed, e.ID)
	}
	r.version = max(r.version, version)
	return changed
}

// Superseded returns the ids of replicas whose address a replica that started
// later has taken.
func (r *Roster) Superseded() []string {
	newest := make(map[string]*Replica)
	var out []string
	for _, e := range r.entries {
		if e.Replica == nil || e.Replica.Born == 0 {
			continue
		}
		other, ok := newest[e.Replica.Address]
		switch {
		case !ok:
			newest[e.Replica.Address] = e.Replica
		case other.Born < e.Replica.Born:
			newest[e.Replica.Address] = e.Replica
			out = append(out, other.ID)
		case other.Born > e.Replica.Born:
			out = append(out, e.ID)
		}
	}
	return out
}

// Replace takes over a full read. A read that is older than what is known is
// ignored. Entries that the read lacks are dropped, at dropAt if that is not zero.
func (r *Roster) Replace(rows []Entry, version uint64, dropAt time.Time) []string {
	if version < r.version {
		return nil
	}
	changed := r.Apply(rows, version)
	present := make(map[string]bool, len(rows))
	for _, e := range rows {
		present[e.ID] = true
	}
	for id, e := range r.entries {
		if present[id] || e.Replica == nil {
			continue
		}
		if !dropAt.IsZero() {
			if _, ok := r.missing[id]; !ok {
				r.missing[id] = dropAt
			}
			continue
		}
		r.entries[id] = Entry{ID: id, Version: version}
		changed = append(changed, id)
	}
	return changed
}

// Remove takes over the removal of a row, at dropAt if that is not zero.
func (r *Roster) Remove(id string, version uint64, dropAt time.Time) bool {
	e, ok := r.entries[id]
	if !ok || e.Replica == nil || e.Version >= version {
		return false
	}
	if !dropAt.IsZero() {
		r.missing[id] = dropAt
		r.version = max(r.version, version)
		return false
	}
	r.entries[id] = Entry{ID: id, Version: version}
	r.version = max(r.version, version)
	return true
}

// Expire drops entries whose time has come and returns their ids.
func (r *Roster) Expire(now time.Time) []string {
	var dropped []string
	for id, at := range r.missing {
		if now.Before(at) {
			continue
		}
		delete(r.missing, id)
		r.entries[id] = Entry{ID: id, Version: r.version}
		dropped = append(dropped, id)
	}
	return dropped
}

// NextExpiry returns the earliest time at which Expire drops an entry, or the
// zero time.
func (r *Roster) NextExpiry() time.Time {
	var next time.Time
	for _, at := range r.missing {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}
