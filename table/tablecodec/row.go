// Package tablecodec encodes and decodes rows and snapshots of the table as JSON,
// for the table service, the operator interface and peers, and whole tables as
// TOML files. Only this package defines these formats; package table defines and
// validates the rows.
package tablecodec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/tomlfile"
)

// row is a table row in JSON and TOML. Durations are text, such as "250ms".
type row struct {
	Name          string            `json:"name" toml:"name"`
	Kind          string            `json:"kind" toml:"kind"`
	Rank          string            `json:"rank,omitempty" toml:"rank"`
	Weight        *float64          `json:"weight,omitempty" toml:"weight"`
	MaxInFlight   int               `json:"max_in_flight,omitempty" toml:"max_in_flight"`
	MaxPerSecond  float64           `json:"max_per_second,omitempty" toml:"max_per_second"`
	FirstToken    tomlfile.Duration `json:"first_token_target,omitempty" toml:"first_token_target"`
	BetweenTokens tomlfile.Duration `json:"between_tokens_target,omitempty" toml:"between_tokens_target"`
	WholeAnswer   tomlfile.Duration `json:"whole_answer_target,omitempty" toml:"whole_answer_target"`
	Pool          string            `json:"pool,omitempty" toml:"pool"`
	Base          string            `json:"base,omitempty" toml:"base"`
	Version       string            `json:"version,omitempty" toml:"version"`
	MemoryMB      int               `json:"memory_mb,omitempty" toml:"memory_mb"`
	MinReplicas   int               `json:"min_replicas,omitempty" toml:"min_replicas"`
	NotIdempotent []string          `json:"not_idempotent,omitempty" toml:"not_idempotent"`
	RequireKey    bool              `json:"require_key,omitempty" toml:"require_key"`
	Floor         float64           `json:"floor,omitempty" toml:"floor"`
	QuarantineFor tomlfile.Duration `json:"quarantine_for,omitempty" toml:"quarantine_for"`
	RowVersion    uint64            `json:"row_version,omitempty" toml:"-"`
}

const defaultWeight = 1.0

func fromRow(r table.Row) row {
	return row{
		Name: r.Name, Kind: r.Kind.String(), Rank: r.Rank.String(), Weight: &r.Weight,
		MaxInFlight: r.Limits.InFlight, MaxPerSecond: r.Limits.PerSecond,
		FirstToken:    tomlfile.Duration(r.Targets.FirstToken),
		BetweenTokens: tomlfile.Duration(r.Targets.BetweenTokens),
		WholeAnswer:   tomlfile.Duration(r.Targets.WholeAnswer),
		Pool:          r.Pool, Base: r.Base, Version: r.Version, MemoryMB: r.MemoryMB,
		MinReplicas: r.MinReplicas, NotIdempotent: r.NotIdempotent, RequireKey: r.RequireIdempotencyKey,
		Floor: r.Floor, QuarantineFor: tomlfile.Duration(r.QuarantineFor), RowVersion: r.RowVersion,
	}
}

// columnError reports a column whose text cannot be parsed.
type columnError struct {
	column string
	err    error
}

func (e *columnError) Error() string { return fmt.Sprintf("%s: %v", e.column, e.err) }
func (e *columnError) Unwrap() error { return e.err }

// toRow returns the table row. The error joins a columnError for each invalid
// column.
func (w row) toRow() (table.Row, error) {
	var errs []error
	kind, err := table.ParseKind(w.Kind)
	if err != nil {
		errs = append(errs, &columnError{"kind", err})
	}
	rankName := w.Rank
	if rankName == "" {
		rankName = fleet.Prompt.String()
		if kind == table.KindRank {
			rankName = w.Name
		}
	}
	rank, err := fleet.ParseRank(rankName)
	if err != nil {
		errs = append(errs, &columnError{"rank", err})
	}
	weight := defaultWeight
	if w.Weight != nil {
		weight = *w.Weight
	}
	return table.Row{
		Name: w.Name, Kind: kind, Rank: rank, Weight: weight,
		Limits: table.Limits{InFlight: w.MaxInFlight, PerSecond: w.MaxPerSecond},
		Targets: table.Targets{
			FirstToken:    time.Duration(w.FirstToken),
			BetweenTokens: time.Duration(w.BetweenTokens),
			WholeAnswer:   time.Duration(w.WholeAnswer),
		},
		Pool: w.Pool, Base: w.Base, Version: w.Version, MemoryMB: w.MemoryMB,
		MinReplicas: w.MinReplicas, NotIdempotent: w.NotIdempotent, RequireIdempotencyKey: w.RequireKey,
		Floor: w.Floor, QuarantineFor: time.Duration(w.QuarantineFor), RowVersion: w.RowVersion,
	}, errors.Join(errs...)
}

// EncodeRow returns the row as JSON.
func EncodeRow(r table.Row) ([]byte, error) { return json.Marshal(fromRow(r)) }

// DecodeRow reads a row from JSON. It fails on unknown columns and does not
// validate the values.
func DecodeRow(data []byte) (table.Row, error) {
	var w row
	if err := decodeStrict(data, &w); err != nil {
		return table.Row{}, fmt.Errorf("decode row: %w", err)
	}
	r, err := w.toRow()
	if err != nil {
		return table.Row{}, fmt.Errorf("decode row %q: %w", w.Name, err)
	}
	return r, nil
}

// snapshot is the JSON form of a table.Snapshot.
type snapshot struct {
	Revision uint64 `json:"revision"`
	Rows     []row  `json:"rows"`
}

// EncodeSnapshot returns the whole table as JSON.
func EncodeSnapshot(s *table.Snapshot) ([]byte, error) {
	w := snapshot{Revision: s.Revision, Rows: make([]row, 0, s.Len())}
	for _, r := range s.Rows() {
		w.Rows = append(w.Rows, fromRow(r))
	}
	return json.Marshal(w)
}

// DecodeSnapshot reads a table from JSON. It fails if the table is not valid.
func DecodeSnapshot(data []byte) (*table.Snapshot, error) {
	var w snapshot
	if err := decodeStrict(data, &w); err != nil {
		return nil, fmt.Errorf("decode table: %w", err)
	}
	rows := make([]table.Row, 0, len(w.Rows))
	for _, wr := range w.Rows {
		r, err := wr.toRow()
		if err != nil {
			return nil, fmt.Errorf("decode table: row %q: %w", wr.Name, err)
		}
		rows = append(rows, r)
	}
	if ps := table.Validate(rows); len(ps) > 0 {
		return nil, fmt.Errorf("decode table: %w", &table.InvalidError{Problems: ps})
	}
	return table.NewSnapshot(w.Revision, rows), nil
}

// decodeStrict decodes one JSON value. It fails on unknown fields and on data
// after the value.
func decodeStrict(data []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the value")
	}
	return nil
}
