package tablecodec

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/tomlfile"
)

// DecodeFile reads the rows of a table file, which has one [[row]] section per
// row. Every problem, also of the table as a whole, is added with its place.
func DecodeFile(file string, data []byte, problems *finding.List) []table.Row {
	var rows []table.Row
	places := make(map[string]tomlfile.Section)
	for _, s := range tomlfile.Parse(file, data, problems) {
		if s.Path != "row" {
			if s.Path != "" || len(s.Keys) > 0 {
				s.Problemf(problems, "", "unknown section; a table file has only [[row]] sections")
			}
			continue
		}
		var w row
		s.Decode(&w, problems)
		r, err := w.toRow()
		for _, e := range columnErrors(err) {
			s.Problemf(problems, e.column, "%v", e.err)
		}
		rows = append(rows, r)
		if _, ok := places[r.Name]; !ok {
			places[r.Name] = s
		}
	}
	for _, p := range table.Validate(rows) {
		if s, ok := places[p.Row]; ok {
			s.Problemf(problems, p.Column, "%s", p.Message)
			continue
		}
		problems.Add(finding.Finding{File: file, Key: p.Column, Message: p.Message})
	}
	return rows
}

func columnErrors(err error) []*columnError {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return nil
	}
	var out []*columnError
	for _, e := range joined.Unwrap() {
		var ce *columnError
		if errors.As(e, &ce) {
			out = append(out, ce)
		}
	}
	return out
}

type tableFile struct {
	Row []fileRow `toml:"row"`
}

// fileRow is row with empty columns left out.
type fileRow struct {
	Name          string             `toml:"name"`
	Kind          string             `toml:"kind"`
	Rank          string             `toml:"rank"`
	Weight        float64            `toml:"weight"`
	MaxInFlight   int                `toml:"max_in_flight,omitempty"`
	MaxPerSecond  float64            `toml:"max_per_second,omitempty"`
	FirstToken    *tomlfile.Duration `toml:"first_token_target,omitempty"`
	BetweenTokens *tomlfile.Duration `toml:"between_tokens_target,omitempty"`
	WholeAnswer   *tomlfile.Duration `toml:"whole_answer_target,omitempty"`
	Pool          string             `toml:"pool,omitempty"`
	Base          string             `toml:"base,omitempty"`
	Version       string             `toml:"version,omitempty"`
	MemoryMB      int                `toml:"memory_mb,omitempty"`
	MinReplicas   int                `toml:"min_replicas,omitempty"`
	NotIdempotent []string           `toml:"not_idempotent,omitempty"`
	RequireKey    bool               `toml:"require_key,omitempty"`
	Floor         float64            `toml:"floor,omitempty"`
	QuarantineFor *tomlfile.Duration `toml:"quarantine_for,omitempty"`
}

// EncodeFile returns the rows as a table file that DecodeFile reads back.
func EncodeFile(rows []table.Row) ([]byte, error) {
	var f tableFile
	for _, r := range rows {
		w := fromRow(r)
		f.Row = append(f.Row, fileRow{
			Name: w.Name, Kind: w.Kind, Rank: w.Rank, Weight: r.Weight,
			MaxInFlight: w.MaxInFlight, MaxPerSecond: w.MaxPerSecond,
			FirstToken: optional(w.FirstToken), BetweenTokens: optional(w.BetweenTokens), WholeAnswer: optional(w.WholeAnswer),
			Pool: w.Pool, Base: w.Base, Version: w.Version, MemoryMB: w.MemoryMB, MinReplicas: w.MinReplicas,
			NotIdempotent: w.NotIdempotent, RequireKey: w.RequireKey, Floor: w.Floor, QuarantineFor: optional(w.QuarantineFor),
		})
	}
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(f); err != nil {
		return nil, fmt.Errorf("encode table file: %w", err)
	}
	return b.Bytes(), nil
}

func optional(d tomlfile.Duration) *tomlfile.Duration {
	if d == 0 {
		return nil
	}
	return &d
}

// Columns returns the names of the columns that SetColumn takes.
func Columns() []string {
	t := reflect.TypeFor[row]()
	var names []string
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("toml"); name != "-" {
			names = append(names, name)
		}
	}
	return names
}

// SetColumn returns r with one column set from its text, as in a table file
// but with quotes optional: "rank" "urgent", "max_in_flight" "12", or
// "not_idempotent" "POST /bookings, POST /holds".
func SetColumn(r table.Row, column, text string) (table.Row, error) {
	if strings.ContainsAny(text, "\r\n") {
		return table.Row{}, fmt.Errorf("column %q does not take a value of several lines", column)
	}
	w := fromRow(r)
	for _, literal := range []string{text, fmt.Sprintf("%q", text), listLiteral(text)} {
		var problems finding.List
		next := w
		for _, s := range tomlfile.Parse("", []byte(column+" = "+literal), &problems) {
			s.Decode(&next, &problems)
		}
		if problems.Err() == nil {
			return next.toRow()
		}
	}
	for _, known := range Columns() {
		if known == column {
			return table.Row{}, fmt.Errorf("column %q does not take the value %q", column, text)
		}
	}
	return table.Row{}, fmt.Errorf("unknown column %q; columns are %s", column, strings.Join(Columns(), ", "))
}

func listLiteral(text string) string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, fmt.Sprintf("%q", item))
		}
	}
	return "[" + strings.Join(items, ", ") + "]"
}
