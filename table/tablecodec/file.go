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

// DecodeFile returns the rows of a table file, which has one [[row]] section per
// row. It adds every problem of the file and of the table to problems, with the
// line if it concerns a row.
func DecodeFile(file string, data []byte, problems *finding.List) []table.Row {
	var rows []table.Row
	sections := make(map[string]tomlfile.Section)
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
		if _, ok := sections[r.Name]; !ok {
			sections[r.Name] = s
		}
	}
	for _, p := range table.Validate(rows) {
		if s, ok := sections[p.Row]; ok {
			s.Problemf(problems, p.Column, "%s", p.Message)
			continue
		}
		problems.Add(finding.Finding{File: file, Key: p.Column, Message: p.Message})
	}
	return rows
}

// columnErrors returns the column errors that err joins.
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

// tableFile is the TOML form of a table.
type tableFile struct {
	Row []fileRow `toml:"row"`
}

// fileRow is the TOML form of a row for writing. It omits empty columns.
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

// EncodeFile returns the rows as a table file for DecodeFile.
func EncodeFile(rows []table.Row) ([]byte, error) {
	var f tableFile
	for _, r := range rows {
		w := fromRow(r)
		f.Row = append(f.Row, fileRow{
			Name: w.Name, Kind: w.Kind, Rank: w.Rank, Weight: r.Weight,
			MaxInFlight: w.MaxInFlight, MaxPerSecond: w.MaxPerSecond,
			FirstToken: nonZero(w.FirstToken), BetweenTokens: nonZero(w.BetweenTokens), WholeAnswer: nonZero(w.WholeAnswer),
			Pool: w.Pool, Base: w.Base, Version: w.Version, MemoryMB: w.MemoryMB, MinReplicas: w.MinReplicas,
			NotIdempotent: w.NotIdempotent, RequireKey: w.RequireKey, Floor: w.Floor, QuarantineFor: nonZero(w.QuarantineFor),
		})
	}
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(f); err != nil {
		return nil, fmt.Errorf("encode table file: %w", err)
	}
	return b.Bytes(), nil
}

// nonZero returns a pointer to d, or nil if d is 0, so that the encoder omits it.
func nonZero(d tomlfile.Duration) *tomlfile.Duration {
	if d == 0 {
		return nil
	}
	return &d
}

// Columns returns the names of the columns that SetColumn accepts.
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

// SetColumn returns r with one column set from its text. The text has the syntax
// of a table file, but quotes are optional and lists are separated by commas:
// for example "urgent" for rank, "12" for max_in_flight, or
// "POST /bookings, POST /holds" for not_idempotent.
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

// listLiteral returns the comma-separated text as a TOML list of strings.
func listLiteral(text string) string {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, fmt.Sprintf("%q", item))
		}
	}
	return "[" + strings.Join(items, ", ") + "]"
}
