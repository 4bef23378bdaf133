package catalog

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/rowstore"
)

// modelStore stands in for the store of replica entries, with replicas that know their
// own state.
type modelStore struct {
	modelState
	era      uint64
	copies   []modelState
	replicas map[string]*Replica // the processes that run now
	late     []Replica           // heartbeats that have got no answer and can be performed later
}

type modelState struct {
	counter uint64
	rows    map[string]Entry // with versions of era 0
	changes []Entry
}

func (s *modelStore) write(id string, r *Replica) {
	s.counter++
	e := Entry{ID: id, Version: rowstore.Version(s.counter)}
	if r == nil {
		delete(s.rows, id)
	} else {
		described := *r
		e.Replica = &described
		s.rows[id] = e
	}
	s.changes = append(s.changes, e)
}

// heartbeat writes the row of a replica if it differs in more than its sequence, and drops
// that of a replica which does not run.
func (s *modelStore) heartbeat(id string) {
	replica, row := s.replicas[id], s.rows[id].Replica
	if replica == nil {
		s.write(id, nil)
		return
	}
	replica.Sequence++
	if row == nil || !maps.Equal(describe([]*Replica{row}), describe([]*Replica{replica})) {
		s.write(id, replica)
	}
}

// delay begins a heartbeat that the store performs later, if at all.
func (s *modelStore) delay(id string) {
	if replica := s.replicas[id]; replica != nil {
		replica.Sequence++
		s.late = append(s.late, *replica)
	}
}

// performLate performs the delayed heartbeat with index n.
func (s *modelStore) performLate(n int) {
	s.write(s.late[n].ID, &s.late[n])
	s.late = slices.Delete(s.late, n, n+1)
}

func (s modelState) clone() modelState {
	return modelState{s.counter, maps.Clone(s.rows), slices.Clone(s.changes)}
}

// listReader is an instance's list with the cursor of its feed.
type listReader struct {
	list   *ReplicaList
	cursor rowstore.Version
	left   map[string]int64 // start time of the last process that was listed as leaving, by id
	// listed holds the replicas that were listed by their first process.
	listed map[string]bool
	answer func() // applies a read that is in flight
}

// read applies the read that is in flight, and what the instance reads next.
func (r *listReader) read(s *modelStore) {
	r.receiveRead()
	r.sendRead(s)
	r.receiveRead()
}

func (r *listReader) receiveRead() {
	if r.answer != nil {
		r.answer()
		r.answer = nil
	}
}

// sendRead prepares the answer of the store to the instance's next read.
func (r *listReader) sendRead(s *modelStore) {
	version, rows, removed := rowstore.NewVersion(s.era, s.counter), []Entry(nil), []Entry(nil)
	add := func(e Entry) {
		e.Version = rowstore.NewVersion(s.era, e.Version.Counter())
		if e.Replica == nil {
			removed = append(removed, e)
		} else {
			rows = append(rows, e)
		}
	}
	if r.cursor.Era() != s.era {
		for _, e := range s.rows {
			add(e)
		}
		r.answer = func() {
			r.list.Replace(rows, version, r.dropAt(version))
			r.cursor = version
		}
		return
	}
	last := make(map[string]Entry)
	for _, e := range s.changes {
		if e.Version.Counter() > r.cursor.Counter() {
			last[e.ID] = e
		}
	}
	for _, e := range last {
		add(e)
	}
	r.answer = func() {
		r.list.Apply(rows, version)
		for _, e := range removed {
			r.list.Remove(e.ID, e.Version, time.Time{})
		}
		r.cursor = version
	}
}

// dropAt returns the time at which entries are dropped that a whole list lacks: only the
// first list of an era leaves a grace period.
func (r *listReader) dropAt(version rowstore.Version) time.Time {
	if version.Era() == r.list.Version().Era() {
		return time.Time{}
	}
	return epoch
}

// receive applies the answer of the holder of the order lease.
func (r *listReader) receive(holder *listReader) {
	version := holder.list.Version()
	if version < r.list.Version() {
		return
	}
	since, whole := r.list.Version(), false
	if !holder.list.KnowsChangesSince(since) {
		since, whole = 0, true
	}
	rows := holder.list.ChangedSince(since)
	for n := range rows {
		rows[n].Partial = true
		if rows[n].Replica != nil {
			relayed := *rows[n].Replica
			relayed.OnDisk = nil
			rows[n].Replica = &relayed
		}
	}
	if whole {
		r.list.Replace(rows, version, r.dropAt(version))
	} else {
		r.list.Apply(rows, version)
	}
}

// describe returns the replicas of a list in a form that can be compared.
func describe(replicas []*Replica) map[string]string {
	out := make(map[string]string)
	for _, r := range replicas {
		out[r.ID] = fmt.Sprintf("start %d leaving %t models %v on disk %v", r.StartMillis, r.Leaving, r.Models, r.OnDisk)
	}
	return out
}

// Guards against instances whose lists of replicas differ for good after restores of the
// store, and against a process that is listed as healthy by an instance that has listed
// it as leaving. The lists learn of rows from the store and from the holder of the order
// lease, in any order.
func TestListsConvergeAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &modelStore{modelState: modelState{rows: make(map[string]Entry)}, era: 1, replicas: make(map[string]*Replica)}
		s.copies = append(s.copies, s.clone())
		var readers []*listReader
		for range 3 {
			readers = append(readers, &listReader{list: NewReplicaList(), left: make(map[string]int64), listed: make(map[string]bool)})
		}
		started, first := int64(0), make(map[string]int64) // the first process of each replica
		check := func() {
			for n, r := range readers {
				for _, replica := range r.list.Replicas() {
					r.listed[replica.ID] = r.listed[replica.ID] || replica.StartMillis == first[replica.ID]
					if replica.Leaving {
						r.left[replica.ID] = replica.StartMillis
					} else if r.left[replica.ID] == replica.StartMillis {
						t.Fatalf("instance %d lists a leaving process of %s as healthy", n, replica.ID)
					}
				}
				for id := range r.listed {
					if running := s.replicas[id]; running != nil && running.StartMillis == first[id] && r.list.Replica(id) == nil {
						t.Fatalf("instance %d dropped %s, which runs", n, id)
					}
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "replica")
			k := rapid.IntRange(0, 2).Draw(t, "instance")
			replica := s.replicas[id]
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0, 1: // the replica starts, loads or unloads a model, or begins to leave
				switch {
				case replica == nil:
					started++
					if first[id] == 0 {
						first[id] = started
					}
					s.replicas[id] = &Replica{ID: id, StartMillis: started, OnDisk: []string{"m"}}
				case rapid.Bool().Draw(t, "leave"):
					replica.Leaving = true
				case len(replica.Models) == 0:
					replica.Models = []LoadedModel{{Name: "m"}}
				default:
					replica.Models = nil
				}
				s.heartbeat(id)
			case 2:
				if replica != nil && replica.Leaving {
					delete(s.replicas, id)
					s.write(id, nil)
				}
			case 3:
				s.copies = append(s.copies, s.clone())
			case 4:
				n := rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy")
				s.modelState = s.copies[n].clone()
				s.copies = s.copies[:n+1]
				s.era++
			case 5:
				readers[k].read(s)
			case 6:
				readers[k].receiveRead()
				readers[k].sendRead(s)
			case 7, 8:
				readers[k].receive(readers[rapid.IntRange(0, 2).Draw(t, "holder")])
			case 9:
				s.heartbeat(id)
			case 10: // the time for which rows are held back; leaving replicas don't reach the store
				for _, id := range []string{"a", "b"} {
					if replica := s.replicas[id]; replica == nil || !replica.Leaving {
						s.heartbeat(id)
					}
				}
				readers[k].read(s)
				readers[k].list.ReleaseHeld(epoch, 0)
			case 11:
				s.delay(id)
			case 12:
				if len(s.late) > 0 {
					s.performLate(rapid.IntRange(0, len(s.late)-1).Draw(t, "late"))
				}
			}
			check()
		}
		for _, r := range readers {
			r.read(s)
		}
		for _, id := range []string{"a", "b"} {
			s.heartbeat(id)
		}
		for _, r := range readers {
			r.read(s)
			r.list.Expire(epoch)
			check()
			r.list.ReleaseHeld(epoch, 0)
			check()
		}
		want := describe(slices.Collect(maps.Values(s.replicas)))
		for n, r := range readers {
			if got := describe(r.list.Replicas()); !maps.Equal(got, want) {
				t.Fatalf("instance %d lists %v, want %v", n, got, want)
			}
		}
	})
}
