package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/rowstore"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(id string, version rowstore.Version, address string, startMillis int64) Entry {
	return Entry{ID: id, Version: version, Replica: &Replica{ID: id, Address: address, StartMillis: startMillis}}
}

// Guards against requests that reach the wrong service because a shorter prefix
// matches too.
func TestFindPrefersLongestPrefix(t *testing.T) {
	is := is.New(t)
	short, long := &Route{Name: "short", Host: "h", Prefix: "/a/"}, &Route{Name: "long", Host: "h", Prefix: "/a/b/"}
	c := NewConfig(1, Limits{}, nil, []*Route{short, long})
	is.Equal(c.FindRoute("h", "/a/b/c"), long)
	is.Equal(c.FindRoute("h:80", "/a/c"), short)
	is.Equal(c.FindRoute("h", "/b/"), nil)
	is.Equal(c.FindRoute("other", "/a/"), nil)
}

// Guards against a split that ignores the weights, or that gives one request id
// different services.
func TestPickFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{Targets: []Target{{"a", 90}, {"b", 10}, {"none", 0}}}
	counts := make(map[string]int)
	for i := range 5000 {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		is.Equal(r.PickService(id), r.PickService(id))
		counts[r.PickService(id)]++
	}
	is.True(counts["b"] > 350 && counts["b"] < 650)
	is.Equal(counts["none"], 0)
}

// Guards against entries that are replaced by an older row or dropped because of
// a read from a stale store.
func TestReplicaListIgnoresOlderVersions(t *testing.T) {
	is := is.New(t)
	r := NewReplicaList()
	r.Apply([]Entry{entry("a", 5, "x:1", 1)}, 5)
	is.Equal(len(r.Apply([]Entry{entry("a", 4, "old:1", 1)}, 5)), 0)
	is.Equal(len(r.Replace(nil, 3, time.Time{})), 0)
	is.Equal(len(r.Replicas()), 1)
	is.Equal(r.Remove("a", 4, time.Time{}), false)
	is.Equal(r.Remove("a", 6, time.Time{}), true)
	is.Equal(len(r.Replicas()), 0)
}

// Guards against dropping replicas at once when their entries lapsed while the
// store was unavailable, and against keeping them forever if they never reappear.
func TestMissingEntriesHaveGracePeriod(t *testing.T) {
	is := is.New(t)
	r := NewReplicaList()
	r.Apply([]Entry{entry("a", 1, "x:1", 1), entry("b", 2, "y:1", 1)}, 2)
	r.Replace(nil, 5, epoch.Add(2*time.Second))
	is.Equal(len(r.Replicas()), 2)
	r.Apply([]Entry{entry("a", 6, "x:1", 1)}, 6)
	is.Equal(len(r.Expire(epoch.Add(time.Second))), 0)
	is.Equal(r.Expire(epoch.Add(2*time.Second)), []string{"b"})
	is.Equal(len(r.Replicas()), 1)
}

// Guards against work for a replica whose address is now used by a replica that
// started later.
func TestNewerReplicaSupersedesAddress(t *testing.T) {
	is := is.New(t)
	r := NewReplicaList()
	r.Apply([]Entry{entry("old", 1, "x:1", 10), entry("other", 2, "y:1", 5), entry("new", 3, "x:1", 20)}, 3)
	is.Equal(r.Superseded(), []string{"old"})
}

// Guards against changes of the list that are not relayed to other instances:
// removed entries, and entries that expired after their grace period.
func TestChangedSinceIncludesRemovals(t *testing.T) {
	is := is.New(t)
	r := NewReplicaList()
	r.Apply([]Entry{entry("a", 1, "x:1", 1), entry("b", 2, "y:1", 1), entry("c", 3, "z:1", 1)}, 3)
	is.Equal(len(r.ChangedSince(0)), 3)
	is.Equal(len(r.ChangedSince(3)), 0)
	r.Remove("a", 4, time.Time{})
	r.Remove("b", 5, epoch)
	r.Expire(epoch)
	other := NewReplicaList()
	other.Apply([]Entry{entry("a", 1, "x:1", 1), entry("b", 2, "y:1", 1), entry("c", 3, "z:1", 1)}, 3)
	is.Equal(len(other.Apply(r.ChangedSince(3), r.Version())), 2)
	is.Equal(len(other.Replicas()), 1)
	is.Equal(other.Version(), rowstore.Version(5))
}

// Guards against a new lease holder that never learns which models replicas have
// in memory and on disk, because the entries relayed to it before lack them.
func TestCompleteEntryReplacesPartialOne(t *testing.T) {
	is := is.New(t)
	r := NewReplicaList()
	partial := Entry{ID: "r", Version: 5, Replica: &Replica{ID: "r"}, Partial: true}
	complete := Entry{ID: "r", Version: 5, Replica: &Replica{ID: "r", OnDisk: []string{"m"}}}
	is.Equal(len(r.Apply([]Entry{partial}, 5)), 1)
	is.Equal(len(r.Apply([]Entry{complete}, 5)), 1)
	is.Equal(r.Replica("r").OnDisk, []string{"m"})
	is.Equal(len(r.Apply([]Entry{partial}, 5)), 0)
	is.Equal(len(r.Apply([]Entry{complete}, 5)), 0)
	is.Equal(r.Replica("r").OnDisk, []string{"m"})
}

// Guards against a restored copy of a row that replaces newer knowledge: of a replica that
// leaves, was removed, or runs as a later process. A row that is written again in the new
// era replaces it, and so does one that nobody removes. Each case gives the replica that is listed after the rows that follow
// the restore, one by one; 0 means none, a negative number one that is leaving.
func TestRestoredRowsDoNotReplaceNewerOnes(t *testing.T) {
	row := func(era, counter uint64, start int64) Entry {
		e := entry("r", 0, "x:1", max(start, -start))
		e.Version, e.Replica.Leaving = rowstore.NewVersion(era, counter), start < 0
		return e
	}
	removed := Entry{ID: "r", Version: rowstore.NewVersion(1, 9)}
	for _, test := range []struct {
		name  string
		known Entry
		rows  []Entry
		want  []int64
	}{
		{"leaving", row(1, 9, -5), []Entry{row(2, 3, 5), row(2, 4, -5)}, []int64{-5, -5}},
		{"removed", removed, []Entry{row(2, 3, 5), row(2, 4, 5)}, []int64{0, 5}},
		{"later process", row(1, 9, 7), []Entry{row(2, 3, 5), row(2, 4, 7)}, []int64{7, 7}},
		{"later process is leaving", row(1, 9, 7), []Entry{row(2, 3, -5)}, []int64{7}},
		{"restored as leaving", row(1, 9, 5), []Entry{row(2, 3, -5)}, []int64{-5}},
		{"restored as a later process", row(1, 9, 5), []Entry{row(2, 3, 7)}, []int64{7}},
		{"removed in the new era", row(1, 9, 5), []Entry{{ID: "r", Version: rowstore.NewVersion(2, 3)}}, []int64{0}},
		{"removed again", removed, []Entry{row(2, 3, 5), {ID: "r", Version: rowstore.NewVersion(2, 4)}, {}}, []int64{0, 0, 0}},
		{"removed, but not in the new era", removed, []Entry{row(2, 3, 5), {}}, []int64{0, 5}},
		{"restored twice", row(1, 9, -5), []Entry{row(2, 3, 5), row(3, 2, 5), row(3, 4, 5)}, []int64{-5, -5, 5}},
		{"removed, then a later process", row(1, 9, 5), []Entry{{ID: "r", Version: rowstore.NewVersion(1, 10)}, row(2, 3, 7)}, []int64{0, 7}},
		{"known to the holder only", row(2, 3, 5), []Entry{row(2, 3, -5)}, []int64{-5}},
		{"delayed row of the earlier era", row(2, 3, -5), []Entry{row(1, 9, 5)}, []int64{-5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := NewReplicaList()
			r.Apply([]Entry{test.known}, test.known.Version)
			for n, e := range test.rows {
				if e.ID == "" { // some time later
					r.ReleaseHeld(epoch, time.Second)
					r.ReleaseHeld(epoch.Add(time.Second), time.Second)
				} else {
					r.Replace([]Entry{e}, e.Version, time.Time{})
					relayed := e
					relayed.Partial = true
					r.Apply([]Entry{relayed, e}, e.Version) // the same row from another source
				}
				got := int64(0)
				if replica := r.Replica("r"); replica != nil {
					got = replica.StartMillis
					if replica.Leaving {
						got = -got
					}
				}
				is.Equal(got, test.want[n])
			}
		})
	}
}

// Guards against a heartbeat that the store performs late, after newer ones, and that is taken
// for the state of its replica, which then seems to have room for a model, or to be in service
// again. The next heartbeat replaces it, and so does time if the row stays.
func TestLateHeartbeatIsNoNewState(t *testing.T) {
	row := func(version uint64, start, sequence int64, models ...string) Entry {
		e := entry("r", rowstore.NewVersion(1, version), "x:1", start)
		e.Replica.Sequence = sequence
		for _, m := range models {
			e.Replica.Models = append(e.Replica.Models, LoadedModel{Name: m})
		}
		return e
	}
	leaving := func(e Entry) Entry { e.Replica.Leaving = true; return e }
	for _, test := range []struct {
		name  string
		known Entry
		late  Entry
		next  Entry // the next row, or no entry if time passes
		while string
		after string
	}{
		{"loaded model", row(5, 7, 4, "a", "b"), row(6, 7, 3, "a"), row(7, 7, 5, "a", "b"), "a b", "a b"},
		{"model unloaded meanwhile", row(5, 7, 4, "a", "b"), row(6, 7, 3, "a"), Entry{}, "a b", "a"},
		{"leaving", leaving(row(5, 7, 4, "a")), row(6, 7, 3, "a"), Entry{}, "leaving a", "leaving a"},
		{"earlier process", row(5, 8, 1), row(6, 7, 9, "a"), Entry{}, "", ""},
		{"later process", row(5, 7, 4, "a"), row(6, 8, 1, "b"), Entry{}, "b", "b"},
		{"sequence unknown", row(5, 7, 0, "a"), row(6, 7, 3, "b"), Entry{}, "b", "b"},
		{"removed", Entry{ID: "r", Version: rowstore.NewVersion(1, 6)}, row(7, 7, 3, "a"), Entry{ID: "r", Version: rowstore.NewVersion(1, 8)}, "none", "none"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := NewReplicaList()
			describe := func() string {
				replica := r.Replica("r")
				if replica == nil {
					return "none"
				}
				var words []string
				if replica.Leaving {
					words = append(words, "leaving")
				}
				for _, m := range replica.Models {
					words = append(words, m.Name)
				}
				return strings.Join(words, " ")
			}
			r.Apply([]Entry{row(4, 7, 4, "a", "b")}, rowstore.NewVersion(1, 4))
			r.Apply([]Entry{test.known}, test.known.Version)
			r.Apply([]Entry{test.late}, test.late.Version)
			is.Equal(describe(), test.while)
			is.Equal(r.entries["r"].Version, test.late.Version) // the row is not read again and again
			switch {
			case test.next.ID == "":
				r.ReleaseHeld(epoch, time.Second)
				r.ReleaseHeld(epoch.Add(time.Second), time.Second)
			case test.next.Replica == nil:
				r.Remove("r", test.next.Version, time.Time{})
			default:
				r.Apply([]Entry{test.next}, test.next.Version)
			}
			is.Equal(describe(), test.after)
			is.Equal(len(r.held), 0)
		})
	}
}

// Guards against replicas that joined after the copy and are dropped at once or kept
// forever when the store is restored, and against a whole list that is not relayed to an
// instance of an earlier era.
func TestReplicasMissingAfterRestoreHaveGracePeriod(t *testing.T) {
	is := is.New(t)
	r := NewReplicaList()
	r.Replace([]Entry{entry("old", 1, "x:1", 1), entry("joined", 9, "y:1", 1)}, 9, time.Time{})
	before := r.Version()
	restored := entry("old", rowstore.NewVersion(1, 1), "x:1", 1)
	r.Replace([]Entry{restored}, restored.Version, epoch.Add(2*time.Second))
	is.Equal(len(r.Replicas()), 2)
	is.True(!r.KnowsChangesSince(before))
	is.Equal(len(r.ChangedSince(0)), 1) // each instance keeps missing replicas for itself
	is.Equal(r.Expire(epoch.Add(2*time.Second)), []string{"joined"})
}
