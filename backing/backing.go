// Package backing declares the interfaces of the platform services that
// hyssophaven is built on: a transactional table service, an object store and an
// instance list. A client for a concrete platform is a subpackage, such as
// backinghttp. Package guard limits the calls of any client.
package backing

import (
	"context"
	"errors"

	"github.com/hyssophaven/hyssophaven/fleet"
)

var (
	// ErrConflict means that a condition of the transaction did not hold.
	// Nothing was written.
	ErrConflict = errors.New("backing: transaction condition does not hold")
	// ErrUnavailable means that the platform refused or could not be reached
	// before the call took effect. Nothing was written.
	ErrUnavailable = errors.New("backing: service unavailable")
	// ErrUnknownOutcome means that it is unknown whether the call took effect.
	ErrUnknownOutcome = errors.New("backing: outcome unknown")
	// ErrNotFound means that an object does not exist.
	ErrNotFound = errors.New("backing: not found")
)

// Record is one record of the table service. Version increases with every write of
// the record, and is higher after a restore of the table service than before (see
// package version).
type Record struct {
	Key     string
	Value   []byte
	Version uint64
}

// Query selects records by exact keys, by prefix, or both. An empty Prefix selects
// none. The result is one consistent snapshot.
type Query struct {
	Keys   []string
	Prefix string
}

// Condition requires that the record at Key has the given Version when the
// transaction commits. Version 0 requires that the record does not exist. A version
// of an earlier era never holds.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes one record.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a set of writes that are all applied if every condition holds, and
// otherwise not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// TableStore is the platform's transactional table service. It may be restored from
// a copy, which loses the writes since then.
type TableStore interface {
	// Read returns the selected records that exist, ordered by key.
	// It fails with ErrUnavailable.
	Read(ctx context.Context, q Query) ([]Record, error)
	// Commit applies t and returns the new version of each written record, in
	// the order of t.Writes (0 for a deletion). It fails with ErrConflict,
	// ErrUnavailable or ErrUnknownOutcome.
	Commit(ctx context.Context, t Txn) ([]uint64, error)
	// Era returns the highest era of the table service in any answer so far. It
	// rises by one with every restore.
	Era() uint64
}

// ObjectStore stores larger values by name. The last write wins.
type ObjectStore interface {
	// Put stores data under name. It fails with ErrUnavailable or ErrUnknownOutcome.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object. It fails with ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names with the given prefix in ascending order.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes the object; a missing object is no error.
	Delete(ctx context.Context, name string) error
}

// ListedInstance is a hyssophaven instance in the platform's list.
type ListedInstance struct {
	ID          fleet.InstanceID
	DataCentre  fleet.DataCentre
	PeerAddress string
	Leaving     bool
}

// Listing is a snapshot of the platform's running instances and endpoints. It is
// some seconds old.
type Listing struct {
	Instances []ListedInstance
	Endpoints []fleet.Endpoint
}

// InstanceList reads the platform's list of instances and endpoints, which lags
// behind their actual state.
type InstanceList interface {
	// List returns the current listing. It fails with ErrUnavailable.
	List(ctx context.Context) (Listing, error)
}
