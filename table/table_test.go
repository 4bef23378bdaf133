package table

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hyssophaven/hyssophaven/fleet"
)

func modelRow(name string) Row {
	return Row{Name: name, Kind: KindModel, Rank: fleet.Prompt, Weight: 1, Pool: "p", MemoryMB: 1000}
}

// Guards against a validation that stops at the first invalid row or column.
func TestValidateReportsEveryProblem(t *testing.T) {
	is := is.New(t)
	bad := modelRow("m")
	bad.Weight = -1
	bad.Limits.InFlight = -2
	adapter := Row{Name: "a", Kind: KindAdapter, Weight: 1, MemoryMB: 10, Base: "none"}
	floor := Row{Name: "urgent", Kind: KindRank, Rank: fleet.Urgent, Weight: 1, Floor: 1.5}
	ps := Validate([]Row{bad, adapter, floor})
	var columns []string
	for _, p := range ps {
		columns = append(columns, p.Column)
	}
	is.Equal(columns, []string{"weight", "max_in_flight", "base", "floor", "floor"})
}

// Guards against concurrent edits that silently overwrite each other.
func TestSecondOfTwoRacingEditsIsAConflict(t *testing.T) {
	is := is.New(t)
	start, err := Apply(NewSnapshot(0, nil), Edit{Changes: []Change{{Row: modelRow("m")}}})
	is.NoErr(err)
	seen, _ := start.Row("m")
	first, second := seen, seen
	first.Weight, second.Weight = 2, 3
	after, err := Apply(start, Edit{Changes: []Change{{Row: first, BaseVersion: seen.RowVersion}}})
	is.NoErr(err)
	_, err = Apply(after, Edit{Changes: []Change{{Row: second, BaseVersion: seen.RowVersion}}})
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.Weight, 2.0)
}

// Guards against applying an edit to a row that was removed and created again
// after the author of the edit read it.
func TestRowVersionIsNotReusedAfterRemoval(t *testing.T) {
	is := is.New(t)
	s, err := Apply(NewSnapshot(0, nil), Edit{Changes: []Change{{Row: modelRow("m")}}})
	is.NoErr(err)
	old, _ := s.Row("m")
	s, err = Apply(s, Edit{Changes: []Change{{Row: old, Remove: true, BaseVersion: old.RowVersion}}})
	is.NoErr(err)
	s, err = Apply(s, Edit{Changes: []Change{{Row: modelRow("m")}}})
	is.NoErr(err)
	_, err = Apply(s, Edit{Changes: []Change{{Row: old, BaseVersion: old.RowVersion}}})
	is.True(err != nil)
}

// Guards against a local copy that reverts when snapshots arrive out of order.
func TestLocalCopyNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r LocalCopy
		highest := uint64(0)
		for _, rev := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "revisions") {
			r.Adopt(NewSnapshot(rev, nil))
			highest = max(highest, rev)
			if r.Current().Revision != highest {
				t.Fatalf("revision %d in force after %d", r.Current().Revision, highest)
			}
		}
	})
}

// Guards against a stale table that appears confirmed because the confirmation was
// of another revision.
func TestConfirmationOfAnotherRevisionDoesNotCount(t *testing.T) {
	is := is.New(t)
	var r LocalCopy
	now := time.Unix(100, 0)
	r.Adopt(NewSnapshot(3, nil))
	r.NoteConfirmation(2, now)
	is.True(r.ConfirmedAt().IsZero())
	is.True(r.NoteRevision(4))
	r.NoteConfirmation(3, now)
	is.Equal(r.ConfirmedAt(), now)
}

// Guards against an adapter or kind of work that resolves to the wrong model.
func TestResolveFollowsWorkAndAdapterToTheModel(t *testing.T) {
	is := is.New(t)
	s := NewSnapshot(1, []Row{
		modelRow("m"),
		{Name: "a", Kind: KindAdapter, Base: "m"},
		{Name: "w", Kind: KindWork, Base: "a", Rank: fleet.Patient},
		{Name: "booking", Kind: KindService},
	})
	got, ok := s.Resolve("w")
	is.True(ok)
	is.Equal(got.Row.Rank, fleet.Patient)
	is.Equal(got.Model.Name, "m")
	is.Equal(got.Adapter.Name, "a")
	_, ok = s.Resolve("booking")
	is.True(!ok)
}
