// Package table defines the operators' table: its rows, their validation and
// edits, and which snapshot of the table an instance adopts. A LocalCopy holds
// the adopted snapshot. The package does no I/O; the operator and platform packages
// transfer rows.
//
// Package catalog, its counterpart in the `edge` program, also holds what
// endpoints declare, and has no edits; package fleet defines the identity types
// that rows refer to.
package table

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Kind is the kind of object that a row describes.
type Kind uint8

// The kinds of row.
const (
	KindModel   Kind = iota // a base model
	KindAdapter             // an adapter of a base model
	KindWork                // a kind of work: served by a model or adapter, with its own rank and limits
	KindService             // a plain service
	KindRank                // settings of one rank; the row is named after the rank
)

// Limits are the fleet-wide limits of a row. Zero means no limit.
type Limits struct {
	InFlight  int     // requests being served or waiting for an endpoint
	PerSecond float64 // requests admitted per second
}

// Targets are the service-level targets of a row. Zero means no target.
type Targets struct {
	FirstToken    time.Duration // time to first token
	BetweenTokens time.Duration // time between two tokens
	WholeAnswer   time.Duration // time to the end of the answer
}

// Row is one row of the table.
type Row struct {
	Name    string
	Kind    Kind
	Rank    fleet.Rank
	Weight  float64 // relative share within the rank; must be positive
	Limits  Limits
	Targets Targets

	Pool     string // model pool or service name that serves the row
	Base     string // adapter: its base model; work: the model or adapter that serves it
	Version  string // model and adapter: version to serve
	MemoryMB int    // model and adapter: accelerator memory
	// MinReplicas is the minimum number of replicas that hold the model or adapter; 0 means 1.
	MinReplicas int

	// NotIdempotent lists the calls of a service that must not be retried, as
	// "METHOD /path" with an optional trailing "*".
	NotIdempotent []string
	// RequireIdempotencyKey makes the Idempotency-Key header mandatory for
	// NotIdempotent calls.
	RequireIdempotencyKey bool

	// Floor is the share of slot time reserved for a rank under contention, in
	// [0, 1). Only rows of KindRank can have one.
	Floor float64
	// QuarantineFor is how long a request that crashes endpoints is refused.
	QuarantineFor time.Duration

	// RowVersion is the table revision that last changed the row. An edit is
	// refused if it is based on another version, see Change.BaseVersion.
	RowVersion uint64
}

// Snapshot is the whole table at one revision. It is immutable.
type Snapshot struct {
	Revision uint64
	rows     map[string]Row
	names    []string
}
