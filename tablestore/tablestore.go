// Package tablestore keeps the operators' table in the platform's table
// service. Each edit is one transaction that writes the changed rows, the next
// revision at the head, and a history entry; the commit is the one point at
// which an edit is accepted.
package tablestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
)

const (
	headKey       = "table/head"
	rowPrefix     = "table/row/"
	historyPrefix = "table/history/"
	// historyLength bounds the history; at 8,200 edits a day it covers more
	// than five hours.
	historyLength = 2000
	// maxEditAttempts bounds the repetitions after another edit of other rows
	// was committed in between.
	maxEditAttempts = 20
)

// ErrNoTable means that the table service holds no table yet.
var ErrNoTable = errors.New("tablestore: no table exists yet")

// Store reads and edits the table. It is safe for concurrent use.
type Store struct {
	records backing.TableStore
	now     func() time.Time
}

// New returns a Store on the given table service.
func New(records backing.TableStore) *Store {
	return &Store{records: records, now: time.Now}
}

type head struct {
	Revision uint64 `json:"revision"`
}

// HistoryEntry describes one accepted edit.
type HistoryEntry struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`                // by the clock of the instance that committed it
	Set      []string  `json:"set,omitempty"`     // names of rows
	Removed  []string  `json:"removed,omitempty"` // names of rows
}

// Head returns the newest revision, 0 if there is no table yet.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	records, err := s.records.Read(ctx, backing.Query{Keys: []string{headKey}})
	if err != nil {
		return 0, fmt.Errorf("read table head: %w", err)
	}
	if len(records) == 0 {
		return 0, nil
	}
	return decodeHead(records[0])
}

// Load returns the newest snapshot. It fails with ErrNoTable if there is none.
func (s *Store) Load(ctx context.Context) (*table.Snapshot, error) {
	snapshot, _, err := s.load(ctx)
	if err == nil && snapshot.Revision == 0 {
		return nil, ErrNoTable
	}
	return snapshot, err
}

// load also returns the version of the head record.
func (s *Store) load(ctx context.Context) (*table.Snapshot, uint64, error) {
	records, err := s.records.Read(ctx, backing.Query{Keys: []string{headKey}, Prefix: rowPrefix})
	if err != nil {
		return nil, 0, fmt.Errorf("read table: %w", err)
	}
	var revision, headVersion uint64
	var rows []table.Row
	for _, r := range records {
		if r.Key == headKey {
			if revision, err = decodeHead(r); err != nil {
				return nil, 0, err
			}
			headVersion = r.Version
			continue
		}
		row, err := tablecodec.DecodeRow(r.Value)
		if err != nil {
			return nil, 0, fmt.Errorf("read table: record %s: %w", r.Key, err)
		}
		rows = append(rows, row)
	}
	return table.NewSnapshot(revision, rows), headVersion, nil
}

func decodeHead(r backing.Record) (uint64, error) {
	var h head
	if err := json.Unmarshal(r.Value, &h); err != nil {
		return 0, fmt.Errorf("read table head: %w", err)
	}
	return h.Revision, nil
}

// Edit applies e and returns the accepted table. It fails with a
// *table.ConflictError, a *table.InvalidError, backing.ErrUnavailable, or
// backing.ErrUnknownOutcome if neither the commit's answer nor the history
// could be read.
func (s *Store) Edit(ctx context.Context, e table.Edit) (*table.Snapshot, error) {
	attempt := editAttempt{id: uuid.NewString(), edit: e}
	for range maxEditAttempts {
		after, done, err := s.tryEdit(ctx, &attempt)
		if done || err != nil {
			return after, err
		}
	}
	return nil, fmt.Errorf("commit edit: %w after %d attempts", backing.ErrConflict, maxEditAttempts)
}

// editAttempt is an edit that may be committed more than once before it is accepted.
type editAttempt struct {
	id   string
	edit table.Edit
	// unknown is the revision of the latest commit with an unknown outcome. It
	// can still take effect until a later commit changes the head record.
	unknown uint64
}

// tryEdit commits the edit once. done is false if it has to be tried again.
func (s *Store) tryEdit(ctx context.Context, a *editAttempt) (after *table.Snapshot, done bool, err error) {
	before, headVersion, err := s.load(ctx)
	if err != nil {
		return nil, false, s.editError(a, err)
	}
	if after, err = table.Apply(before, a.edit); err != nil {
		// The conflict may be with this edit's own earlier commit.
		if committed, readErr := s.committed(ctx, a); readErr != nil || committed {
			return before, committed, s.editError(a, readErr)
		}
		return nil, false, err
	}
	txn, err := s.editTxn(before, after, headVersion, a)
	if err != nil {
		return nil, false, err
	}
	_, err = s.records.Commit(ctx, txn)
	switch {
	case err == nil:
		return after, true, nil
	case errors.Is(err, backing.ErrConflict):
		return nil, false, nil
	case errors.Is(err, backing.ErrUnknownOutcome):
		a.unknown = after.Revision
		committed, readErr := s.committed(ctx, a)
		return after, committed, s.editError(a, readErr)
	default:
		return nil, false, s.editError(a, err)
	}
}

// editError tells an unknown outcome apart from an edit that was not accepted.
func (s *Store) editError(a *editAttempt, err error) error {
	if err == nil {
		return nil
	}
	if a.unknown > 0 {
		return fmt.Errorf("commit edit %s: %w; look for it in the history (%w)", a.id, backing.ErrUnknownOutcome, err)
	}
	return fmt.Errorf("commit edit: %w", err)
}

// committed reads back whether an earlier commit of the edit took effect.
func (s *Store) committed(ctx context.Context, a *editAttempt) (bool, error) {
	if a.unknown == 0 {
		return false, nil
	}
	records, err := s.records.Read(ctx, backing.Query{Keys: []string{historyKey(a.unknown)}})
	if err != nil || len(records) == 0 {
		return false, err
	}
	var h HistoryEntry
	if err := json.Unmarshal(records[0].Value, &h); err != nil {
		return false, err
	}
	return h.EditID == a.id, nil
}

func (s *Store) editTxn(before, after *table.Snapshot, headVersion uint64, a *editAttempt) (backing.Txn, error) {
	entry := HistoryEntry{Revision: after.Revision, EditID: a.id, Author: a.edit.Author, At: s.now().UTC()}
	txn := backing.Txn{Conditions: []backing.Condition{{Key: headKey, Version: headVersion}}}
	for _, c := range a.edit.Changes {
		if c.Remove {
			entry.Removed = append(entry.Removed, c.Row.Name)
			txn.Writes = append(txn.Writes, backing.Write{Key: rowPrefix + c.Row.Name, Delete: true})
			continue
		}
		row, _ := after.Row(c.Row.Name)
		value, err := tablecodec.EncodeRow(row)
		if err != nil {
			return backing.Txn{}, err
		}
		entry.Set = append(entry.Set, c.Row.Name)
		txn.Writes = append(txn.Writes, backing.Write{Key: rowPrefix + c.Row.Name, Value: value})
	}
	headValue, err := json.Marshal(head{Revision: after.Revision})
	if err != nil {
		return backing.Txn{}, err
	}
	entryValue, err := json.Marshal(entry)
	if err != nil {
		return backing.Txn{}, err
	}
	txn.Writes = append(txn.Writes,
		backing.Write{Key: headKey, Value: headValue},
		backing.Write{Key: historyKey(after.Revision), Value: entryValue})
	if before.Revision > historyLength {
		txn.Writes = append(txn.Writes, backing.Write{Key: historyKey(before.Revision - historyLength), Delete: true})
	}
	return txn, nil
}

// historyKey sorts by revision.
func historyKey(revision uint64) string { return fmt.Sprintf("%s%016x", historyPrefix, revision) }

// History returns up to limit accepted edits, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	records, err := s.records.Read(ctx, backing.Query{Prefix: historyPrefix})
	if err != nil {
		return nil, fmt.Errorf("read table history: %w", err)
	}
	var entries []HistoryEntry
	for i := len(records) - 1; i >= 0 && len(entries) < limit; i-- {
		var h HistoryEntry
		if err := json.Unmarshal(records[i].Value, &h); err != nil {
			return nil, fmt.Errorf("read table history: record %s: %w", records[i].Key, err)
		}
		entries = append(entries, h)
	}
	return entries, nil
}
