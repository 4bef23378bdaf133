// Package table defines the operators' table: its rows, how they are
// validated and edited, and which snapshot of the table an instance adopts.
// It does no I/O; the operator and platform packages carry rows in and out.
package table

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Kind is what a row describes.
type Kind uint8

// The kinds of row.
const (
	KindModel   Kind = iota // a base model
	KindAdapter             // an adapter of a base model
	KindWork                // a kind of work, served by a model or adapter under its own rank and limits
	KindService             // a plain service
	KindRank                // settings of one rank; the row is named after the rank
)

// Limits bound the work of a row over the whole fleet. Zero means no limit.
type Limits struct {
	InFlight  int     // requests being served or waiting for an endpoint
	PerSecond float64 // requests admitted per second
}

// Targets are the service-level targets of a row. Zero means no target.
type Targets struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	WholeAnswer   time.Duration
}

// Row is one row of the table.
type Row struct {
	Name    string
	Kind    Kind
	Rank    fleet.Rank
	Weight  float64 // share inside the rank; must be positive
	Limits  Limits
	Targets Targets

	Pool     string // model pool or service name that serves the row
	Base     string // adapter: its base model; work: the model or adapter that serves it
	Version  string // model and adapter: version to serve
	MemoryMB int    // model and adapter: accelerator memory
	// MinReplicas is the least number of replicas kept resident; 0 means 1.
	MinReplicas int

	// NotIdempotent lists the calls of a service that must not be repeated, as
	// "METHOD /path" with an optional trailing "*".
	NotIdempotent []string
	// RequireKey makes Idempotency-Key mandatory for those calls.
	RequireKey bool

	// Floor is the share of slot time that a rank keeps under contention, in
	// [0, 1). Only rows of KindRank have one.
	Floor float64
	// QuarantineFor is how long a request that crashes endpoints stays refused.
	QuarantineFor time.Duration

	// RowVersion is the table revision that last changed the row. Conditional
	// edits name the version they are based on.
	RowVersion uint64
}

// Snapshot is the whole table at one revision. It is immutable.
type Snapshot struct {
	Revision uint64
	rows     map[string]Row
	names    []string
}
