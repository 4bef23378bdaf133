// Package rowstore declares the transactional store that instances share: rows
// with versions, conditional transactions and a feed of changes. Clients for a
// concrete store implement Store.
package rowstore

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrConflict means that a condition did not hold. Nothing was written.
	ErrConflict = errors.New("rowstore: condition does not hold")
	// ErrUnavailable means that the store refused the call or was not reached.
	// Nothing was written.
	ErrUnavailable = errors.New("rowstore: unavailable")
	// ErrUnknownOutcome means that the call may take effect, possibly later.
	ErrUnknownOutcome = errors.New("rowstore: outcome unknown")
	// ErrCompacted means that the feed's start is no longer available; read again.
	ErrCompacted = errors.New("rowstore: history compacted")
)

// Row is one row of a table. Version comes from a counter that grows with each
// transaction of the store.
type Row struct {
	Table, Key string
	Value      []byte
	Version    uint64
	Removed    bool
}

// Page is a set of rows as of Version.
type Page struct {
	Rows    []Row
	Version uint64
}

// Condition requires that a row has a version; 0 means that it does not exist.
type Condition struct {
	Table, Key string
	Version    uint64
}

// Store is the shared store. Its methods are safe for concurrent use.
type Store interface {
	// Read returns all rows of a table as of one moment.
	Read(ctx context.Context, table string) (Page, error)
	// Feed returns the rows changed after a version as soon as there is one, or
	// an empty page after wait.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
	// Write puts all rows if all conditions hold, and returns their version.
	Write(ctx context.Context, conditions []Condition, rows []Row) (uint64, error)
}
