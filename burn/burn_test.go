package burn

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/fleet"
)

var noon = time.Date(2026, 3, 1, 12, 0, 30, 0, time.UTC)

func source(i int) Source {
	return Source{Instance: fleet.InstanceID(fmt.Sprint("entry-", i%3)), Incarnation: fleet.Incarnation(i + 1)}
}

func drawSample(t *rapid.T) Sample {
	s := Sample{
		Row:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "row"),
		Rank:     fleet.Rank(rapid.IntRange(0, fleet.RankCount-1).Draw(t, "rank")),
		Result:   Result(rapid.IntRange(0, 3).Draw(t, "result")),
		Class:    RefusalClass(rapid.IntRange(0, 4).Draw(t, "class")),
		Duration: time.Duration(rapid.IntRange(0, 200).Draw(t, "took")) * time.Second,
	}
	s.Targets[WholeAnswer] = Measurement{Duration: s.Duration, Limit: 100 * time.Second}
	return s
}

// documentSet holds the newest document of each incarnation, like the object
// store. Versions can be put in any order.
type documentSet map[Source]Document

// put stores a document unless the set has the same or a newer version.
func (s documentSet) put(d Document) {
	if have, ok := s[d.Source]; !ok || d.Sequence > have.Sequence {
		s[d.Source] = d
	}
}

// merge puts all documents of o.
func (s documentSet) merge(o documentSet) {
	for _, d := range o {
		s.put(d)
	}
}

// total returns the sum of all documents.
func (s documentSet) total() *Total {
	t := NewTotal()
	for _, d := range s {
		t.Add(d)
	}
	return t
}

// fleetRun is the result of running a few incarnations: every version of their
// documents, and the number of requests that each version counts.
type fleetRun struct {
	versions []Document
	counted  map[Source][]uint64 // requests by version of the document
}

func drawRun(t *rapid.T) fleetRun {
	run := fleetRun{counted: make(map[Source][]uint64)}
	states := make(map[Source]*State)
	totals := make(map[Source]uint64)
	now := noon
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Second)
		src := source(rapid.IntRange(0, 4).Draw(t, "source"))
		if states[src] == nil {
			states[src] = NewState(src, DefaultWriteInterval, noon)
		}
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			states[src].Step(now, Ended{Sample: drawSample(t)})
			totals[src]++
		}
		run.versions = append(run.versions, states[src].Document(now))
		run.counted[src] = append(run.counted[src], totals[src])
	}
	return run
}

// endedRequests returns the number of requests that ended in the budget period.
func (t *Total) endedRequests(now time.Time) uint64 {
	var n uint64
	for i := range t.ranks {
		c := sumNewest(t.ranks[i].Hours, now, time.Hour, hourBuckets)
		for _, counter := range []Counter{Good, Late, RefusedOverload, RefusedDeadline, RefusedLimit, RefusedUnavailable, RefusedCaller, Failed, Cancelled} {
			n += c[counter]
		}
	}
	return n
}

// Guards against totals that depend on the order in which versions of documents
// arrive or on repeated arrivals, and against requests that are counted twice or
// lost when an instance is replaced.
func TestMergeCountsEveryRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := drawRun(t)
		later := noon.Add(time.Hour)
		var want uint64
		for _, versions := range run.counted {
			want += versions[len(versions)-1]
		}
		all := documentSet{}
		for _, d := range run.versions {
			all.put(d)
		}
		shuffled := rapid.Permutation(append(slices.Clone(run.versions), run.versions...)).Draw(t, "order")
		cut := rapid.IntRange(0, len(shuffled)).Draw(t, "cut")
		left, right := documentSet{}, documentSet{}
		for i, d := range shuffled {
			if i < cut {
				left.put(d)
			} else {
				right.put(d)
			}
		}
		left.merge(right)
		left.merge(left)
		for name, set := range map[string]documentSet{"in order": all, "shuffled": left} {
			if got := set.total().endedRequests(later); got != want {
				t.Fatalf("%s: %d requests, want %d", name, got, want)
			}
		}
		a, b := all.total().Report(later, 0.99), left.total().Report(later, 0.99)
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("reports differ:\n%v\n%v", a, b)
		}
	})
}

// Guards against a sum that counts an incarnation twice, that changes when a
// document is added to its clone, or that depends on the order of documents.
func TestTotalIgnoresRepeatedDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := drawRun(t)
		newest := documentSet{}
		for _, d := range run.versions {
			newest.put(d)
		}
		want := newest.total()
		got := NewTotal()
		for i := len(run.versions) - 1; i >= 0; i-- { // newest first
			before := got.endedRequests(noon.Add(time.Hour))
			clone := got.Clone()
			clone.Add(run.versions[i])
			if got.endedRequests(noon.Add(time.Hour)) != before {
				t.Fatal("adding to a copy changed the sum")
			}
			got.Add(run.versions[i])
		}
		if g, w := fmt.Sprint(got.Report(noon, 0.99)), fmt.Sprint(want.Report(noon, 0.99)); g != w {
			t.Fatalf("sum is\n%s\nwant\n%s", g, w)
		}
	})
}

// Guards against a count that is lower in a newer version of a document than in
// an older one: a count shown in a report would decrease.
func TestDocumentsAreMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newest := make(map[Source]Document)
		for _, d := range drawRun(t).versions {
			old, ok := newest[d.Source]
			newest[d.Source] = d
			if !ok {
				continue
			}
			if d.Sequence <= old.Sequence {
				t.Fatalf("sequence went from %d to %d", old.Sequence, d.Sequence)
			}
			for i := range d.Ranks {
				checkNoCountDecreased(t, old.Ranks[i].Minutes, d.Ranks[i].Minutes)
				checkNoCountDecreased(t, old.Ranks[i].Hours, d.Ranks[i].Hours)
			}
		}
	})
}

func checkNoCountDecreased(t *rapid.T, old, current []Bucket) {
	byIndex := make(map[int64]Counts)
	for _, b := range current {
		byIndex[b.Index] = b.Counts
	}
	for _, b := range old {
		have, ok := byIndex[b.Index]
		for c, n := range b.Counts {
			if !ok || have[c] < n {
				t.Fatalf("bucket %d: counter %d went from %d to %d", b.Index, c, n, have[c])
			}
		}
	}
}

// Guards against writes that are closer together than the interval, overlap or
// repeat stored counts, and against endless retries when the store is down while
// the instance stops.
func TestWritesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := noon
		s := NewState(source(0), DefaultWriteInterval, now)
		lastWrite := now
		var pending *Write
		var stored uint64
		stopWrites := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Second)
			var ev Event = Tick{}
			switch kind := rapid.IntRange(0, 20).Draw(t, "event"); {
			case kind < 8:
				ev = Ended{Sample: drawSample(t)}
			case kind < 14 && pending != nil:
				ok := rapid.Bool().Draw(t, "stored")
				if ok {
					stored = pending.Document.Sequence
				}
				ev, pending = Written{Sequence: pending.Document.Sequence, OK: ok}, nil
			case kind == 20:
				ev = Stopping{}
			}
			for _, a := range s.Step(now, ev) {
				w := a.(Write)
				switch {
				case pending != nil:
					t.Fatal("a write was requested while another was in progress")
				case w.Document.Sequence == stored:
					t.Fatal("stored counts were written again")
				case !s.stopping && now.Sub(lastWrite) < DefaultWriteInterval:
					t.Fatalf("write after %v", now.Sub(lastWrite))
				}
				if s.stopping {
					stopWrites++
				}
				pending, lastWrite = &w, now
			}
			if stopWrites > 1 {
				t.Fatal("the final write was repeated")
			}
		}
	})
}

// Guards against a state that grows beyond its limits on rows, kinds of move and
// hours, and against requests of rows beyond the limit that are not counted.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	now := noon
	s := NewState(source(0), DefaultWriteInterval, now)
	const requests = 3 * maxRows
	for i := range requests {
		s.Step(now, Ended{Sample: Sample{Row: fmt.Sprint("row-", i), Rank: fleet.Rank(i % fleet.RankCount)}})
		s.Step(now, Moved{Move: Move{Action: "add", Cause: fmt.Sprint("cause-", i)}})
	}
	is.True(len(s.rows) <= maxRows)
	is.True(len(s.moves) <= maxMoves)
	var counted uint64
	for _, series := range s.rows {
		c := sumNewest(series.Hours, now, time.Hour, 1)
		counted += c[Good]
	}
	is.Equal(counted, uint64(requests))
	for range 3 * 24 * 60 {
		now = now.Add(time.Minute)
		s.Step(now, Ended{Sample: Sample{Row: "row-1", Rank: fleet.Prompt, Duration: 5 * time.Minute}})
	}
	is.Equal(len(s.rows), 1) // rows without counts in the period are dropped
	d := s.Document(now)
	is.True(len(d.Ranks[fleet.Prompt].Minutes) <= rankMinuteBuckets)
	is.True(len(d.Ranks[fleet.Prompt].Hours) <= hourBuckets)
	is.True(len(d.Rows[0].Series.Minutes) <= rowMinuteBuckets)
	is.True(!d.Expired(now.Add(BudgetPeriod)))
	is.True(d.Expired(now.Add(BudgetPeriod + 2*time.Hour)))
}
