package tablestore

import (
	"context"
	"errors"
	"fmt"
	"reflect"

	"github.com/google/uuid"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/version"
	"github.com/hyssophaven/hyssophaven/table"
)

// restoreAuthor is the author of the history entries of Store.Settle.
const restoreAuthor = "restore of the table service"

// ErrUnsettled means that the table service was restored from a copy and that
// Store.Settle has not run since. An edit would give out revisions again that
// instances have already adopted.
var ErrUnsettled = errors.New("tablestore: the table service was restored and the table is not written again yet")

// Head is the newest state of the table in the table service.
type Head struct {
	Revision uint64 // 0 if there is no table yet
	// Era is the era of the table service that the head was read in.
	Era uint64
	// SettledFrom is the revision that the first one of the current era was made
	// from; 0 in the first era. Higher revisions of earlier eras are lost.
	SettledFrom uint64
}

// Unsettled reports whether the table service was restored and Store.Settle has not
// run since.
func (h Head) Unsettled() bool { return table.RevisionEra(h.Revision) != h.Era }

// eraOf returns the era of a head record with the given version, or the era of the
// newest answer if there is no head record.
func (s *Store) eraOf(headVersion uint64) uint64 {
	if headVersion == 0 {
		return s.records.Era()
	}
	return version.Era(headVersion)
}

// Settlement is the result of Store.Settle.
type Settlement struct {
	Table *table.Snapshot
	From  uint64 // revision that the table was made from
	Rows  int    // rows that were written or removed in the table service
}

// Settle writes the first table of a new era: local, or the table in the table
// service if that is newer. It returns a nil Table if there is nothing to settle.
// It fails with backing.ErrConflict if another instance was quicker.
func (s *Store) Settle(ctx context.Context, local *table.Snapshot) (Settlement, error) {
	stored, h, err := s.load(ctx)
	if err != nil {
		return Settlement{}, err
	}
	era := s.eraOf(h.version)
	if table.RevisionEra(stored.Revision) == era {
		return Settlement{}, nil
	}
	newest := stored
	if local != nil && local.Revision > stored.Revision {
		newest = local
	}
	if newest.Revision == 0 {
		return Settlement{}, nil
	}
	changes := difference(stored, newest)
	after := table.NewSnapshot(table.FirstRevision(era)+table.RevisionInEra(newest.Revision)+1, newest.Rows())
	h.SettledFrom = newest.Revision
	attempt := &editAttempt{id: uuid.NewString(), edit: table.Edit{Author: restoreAuthor, Changes: changes}}
	txn, err := s.editTxn(stored, after, h, attempt)
	if err != nil {
		return Settlement{}, err
	}
	if _, err := s.records.Commit(ctx, txn); err != nil {
		return Settlement{}, fmt.Errorf("settle table: %w", err)
	}
	return Settlement{Table: after, From: newest.Revision, Rows: len(changes)}, nil
}

// difference returns the changes that make to of from.
func difference(from, to *table.Snapshot) []table.Change {
	var out []table.Change
	for _, r := range to.Rows() {
		if old, ok := from.Row(r.Name); !ok || !reflect.DeepEqual(old, r) {
			out = append(out, table.Change{Row: r})
		}
	}
	for _, r := range from.Rows() {
		if _, ok := to.Row(r.Name); !ok {
			out = append(out, table.Change{Row: r, Remove: true})
		}
	}
	return out
}

// checkEdit returns an error if before, with the given head, must not be edited:
// backing.ErrUnavailable, since nothing was written.
func (s *Store) checkEdit(before *table.Snapshot, h headRecord) error {
	if before.Revision != 0 && table.RevisionEra(before.Revision) != s.eraOf(h.version) {
		return fmt.Errorf("%w: %w", backing.ErrUnavailable, ErrUnsettled)
	}
	return nil
}
