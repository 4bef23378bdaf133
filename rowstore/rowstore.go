// Package rowstore declares the interface of the transactional store that edge
// instances share: rows with versions, conditional transactions and a feed of
// changes. It holds no state; clients of a concrete store, such as the one in
// package platform, implement Store.
//
// Packages controlrecords, tablestore and tablesync belong to the serve program
// and use the platform's table service instead: controlrecords stores the records
// of the control goroutine, tablestore edits the operators' table, and tablesync
// keeps a copy of that table up to date.
package rowstore

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrConflict means that a condition did not hold. Nothing was written.
	ErrConflict = errors.New("rowstore: condition does not hold")
	// ErrUnavailable means that the store refused the call or could not be reached.
	// Nothing was written.
	ErrUnavailable = errors.New("rowstore: unavailable")
	// ErrUnknownOutcome means that the call may have taken effect or may still do so.
	ErrUnknownOutcome = errors.New("rowstore: outcome unknown")
	// ErrCompacted means that the store no longer keeps the changes since the
	// requested version. The table must be read again.
	ErrCompacted = errors.New("rowstore: history compacted")
)

// ConflictError is an ErrConflict with the rows that the conditions name.
type ConflictError struct {
	Rows    []Row   // the current ones; rows that do not exist may be missing
	Version Version // of the store
}

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Row returns a row of the conditions. If it does not exist, the counter of its version
// is 0.
func (e *ConflictError) Row(table, key string) Row {
	for _, r := range e.Rows {
		if r.Table == table && r.Key == key {
			return r
		}
	}
	return Row{Table: table, Key: key, Version: NewVersion(e.Version.Era(), 0)}
}

// Row is one row of a table.
type Row struct {
	Table, Key string
	Value      []byte
	// Version is the position in the store's history of the last write of the row.
	Version Version
	// Removed marks the deletion of the row.
	Removed bool
}

// Page holds the rows that Read or Feed returned. They include all changes up to the
// store version Version. Rows that Read returned can be newer.
type Page struct {
	Rows    []Row
	Version Version
}

// Condition requires that a row has the given version. A version with counter 0
// requires that the row does not exist.
//
// The store compares counters only. A condition on a version of an earlier era can hold
// by accident, so a caller must compare the era of the version that Write returns.
type Condition struct {
	Table, Key string
	Version    Version
}

// Store is a client of the shared store. Its methods are safe for concurrent use.
type Store interface {
	// Read returns all rows of a table. A large table is read in several calls, so the
	// rows need not be a snapshot: Feed after the page's version returns newer changes.
	Read(ctx context.Context, table string) (Page, error)
	// ReadRow returns one row. If it does not exist, the counter of its version is 0. The
	// call uses a connection of its own, so it can be answered although the other
	// connections are silent.
	ReadRow(ctx context.Context, table, key string) (Row, error)
	// Feed returns the rows that changed after the given version. It blocks until
	// a row has changed, and returns an empty page once wait has passed. If the page is
	// of a later era than after, changes are missing from it: the table must be read
	// again.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Page, error)
	// Write stores all rows in one transaction if all conditions hold, and returns
	// the version of the rows. If a condition does not hold, the error is a ConflictError
	// where the store reports the rows.
	Write(ctx context.Context, conditions []Condition, rows []Row) (Version, error)
}
