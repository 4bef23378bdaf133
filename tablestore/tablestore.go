// Package tablestore reads and edits the operators' table in the platform's table
// service. Each edit is one transaction that writes the changed rows, the next
// revision at the head, and a history entry; its commit is the only point at
// which an edit is accepted.
//
// Store runs no goroutine and caches nothing: package tablesync uses it to keep an
// instance's copy of the table up to date. Package table holds the rules of the
// table without I/O, package controlrecords stores the records of the control
// goroutine, and package rowstore declares the shared store of edge instances.
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
	// maxHistoryEntries limits the stored history. At 8,200 edits a day it covers
	// more than five hours.
	maxHistoryEntries = 2000
	// maxEditAttempts limits how often an edit is tried while edits of other rows
	// are committed in between.
	maxEditAttempts = 20
)

// ErrNoTable is returned by Store.Load if the table service holds no table yet.
var ErrNoTable = errors.New("tablestore: no table exists yet")

// Store reads and edits the table in a table service. It is safe for concurrent
// use.
type Store struct {
	records backing.TableStore
	now     func() time.Time
}

// New returns a Store on the given table service.
func New(records backing.TableStore) *Store {
	return &Store{records: records, now: time.Now}
}

// headRecord is the head record with its version, which is 0 if there is none.
type headRecord struct {
	Revision    uint64 `json:"revision"`
	SettledFrom uint64 `json:"settled_from,omitempty"`
	version     uint64
}

// HistoryEntry describes one accepted edit.
type HistoryEntry struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`                // clock of the instance that committed the edit
	Set      []string  `json:"set,omitempty"`     // names of rows added or replaced
	Removed  []string  `json:"removed,omitempty"` // names of rows removed
}

// Head returns the newest revision.
func (s *Store) Head(ctx context.Context) (Head, error) {
	records, err := s.records.Read(ctx, backing.Query{Keys: []string{headKey}})
	if err != nil {
		return Head{}, fmt.Errorf("read table head: %w", err)
	}
	var h headRecord
	if len(records) > 0 {
		if h, err = decodeHead(records[0]); err != nil {
			return Head{}, err
		}
	}
	return Head{Revision: h.Revision, Era: s.eraOf(h.version), SettledFrom: h.SettledFrom}, nil
}

// Load returns the newest snapshot. It fails with ErrNoTable if there is none.
func (s *Store) Load(ctx context.Context) (*table.Snapshot, error) {
	snapshot, _, err := s.load(ctx)
	if err == nil && snapshot.Revision == 0 {
		return nil, ErrNoTable
	}
	return snapshot, err
}

// load returns the newest snapshot, with revision 0 if there is none, and the head
// record.
func (s *Store) load(ctx context.Context) (*table.Snapshot, headRecord, error) {
	records, err := s.records.Read(ctx, backing.Query{Keys: []string{headKey}, Prefix: rowPrefix})
	if err != nil {
		return nil, headRecord{}, fmt.Errorf("read table: %w", err)
	}
	var h headRecord
	var rows []table.Row
	for _, r := range records {
		if r.Key == headKey {
			if h, err = decodeHead(r); err != nil {
				return nil, headRecord{}, err
			}
			continue
		}
		row, err := tablecodec.DecodeRow(r.Value)
		if err != nil {
			return nil, headRecord{}, fmt.Errorf("read table: record %s: %w", r.Key, err)
		}
		rows = append(rows, row)
	}
	return table.NewSnapshot(h.Revision, rows), h, nil
}

func decodeHead(r backing.Record) (headRecord, error) {
	h := headRecord{version: r.Version}
	if err := json.Unmarshal(r.Value, &h); err != nil {
		return headRecord{}, fmt.Errorf("read table head: %w", err)
	}
	return h, nil
}

// Edit commits e and returns a table that contains it. It fails with a
// *table.ConflictError, a *table.InvalidError, backing.ErrUnavailable (with
// ErrUnsettled while a restored table is not written again), backing.ErrConflict after maxEditAttempts conflicts with other edits, or
// backing.ErrUnknownOutcome if neither the answer to the commit nor the history
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

// editAttempt holds the state of an edit across several commits.
type editAttempt struct {
	id   string
	edit table.Edit
	// unknownRevision is the revision of the latest commit with an unknown
	// outcome, or 0. That commit can still take effect until a later commit
	// changes the head record.
	unknownRevision uint64
}

// tryEdit commits the edit once. If done is false and err is nil, the edit has to
// be tried again.
func (s *Store) tryEdit(ctx context.Context, a *editAttempt) (after *table.Snapshot, done bool, err error) {
	before, h, err := s.load(ctx)
	if err == nil {
		err = s.checkEdit(before, h)
	}
	if err != nil {
		return nil, false, s.wrapEditError(a, err)
	}
	if before.Revision == 0 {
		before = table.NewSnapshot(table.FirstRevision(s.eraOf(h.version)), nil)
	}
	if after, err = table.Apply(before, a.edit); err != nil {
		// An earlier commit of this edit can be the cause of the conflict.
		if committed, readErr := s.wasCommitted(ctx, a); readErr != nil || committed {
			return before, committed, s.wrapEditError(a, readErr)
		}
		return nil, false, err
	}
	txn, err := s.editTxn(before, after, h, a)
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
		a.unknownRevision = after.Revision
		committed, readErr := s.wasCommitted(ctx, a)
		return after, committed, s.wrapEditError(a, readErr)
	default:
		return nil, false, s.wrapEditError(a, err)
	}
}

// wrapEditError wraps err, with backing.ErrUnknownOutcome if an earlier commit of
// the edit can still take effect.
func (s *Store) wrapEditError(a *editAttempt, err error) error {
	if err == nil {
		return nil
	}
	if a.unknownRevision > 0 {
		return fmt.Errorf("commit edit %s: %w; look for it in the history (%w)", a.id, backing.ErrUnknownOutcome, err)
	}
	return fmt.Errorf("commit edit: %w", err)
}

// wasCommitted reports whether the commit of unknownRevision took effect, by the
// edit ID in the history.
func (s *Store) wasCommitted(ctx context.Context, a *editAttempt) (bool, error) {
	if a.unknownRevision == 0 {
		return false, nil
	}
	records, err := s.records.Read(ctx, backing.Query{Keys: []string{historyKey(a.unknownRevision)}})
	if err != nil || len(records) == 0 {
		return false, err
	}
	var h HistoryEntry
	if err := json.Unmarshal(records[0].Value, &h); err != nil {
		return false, err
	}
	return h.EditID == a.id, nil
}

// editTxn returns the transaction that changes the table from before to after. It
// also deletes the oldest history entry beyond maxHistoryEntries.
func (s *Store) editTxn(before, after *table.Snapshot, h headRecord, a *editAttempt) (backing.Txn, error) {
	entry := HistoryEntry{Revision: after.Revision, EditID: a.id, Author: a.edit.Author, At: s.now().UTC()}
	txn := backing.Txn{Conditions: []backing.Condition{{Key: headKey, Version: h.version}}}
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
	headValue, err := json.Marshal(headRecord{Revision: after.Revision, SettledFrom: h.SettledFrom})
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
	if before.Revision > maxHistoryEntries {
		txn.Writes = append(txn.Writes, backing.Write{Key: historyKey(before.Revision - maxHistoryEntries), Delete: true})
	}
	return txn, nil
}

// historyKey returns the key of a history entry. Keys sort by revision.
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
