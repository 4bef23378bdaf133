package table

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Change adds, replaces or removes one row.
type Change struct {
	Row    Row // the new row; a removal uses only its name
	Remove bool
	// BaseVersion is the RowVersion that the author of the edit read; 0 means that
	// the row must not exist. It is ignored if Force is set.
	BaseVersion uint64
	Force       bool
}

// Edit is a set of changes that is applied atomically.
type Edit struct {
	Author  string
	Changes []Change
}

// ConflictError reports that a row changed after the author of the edit read it.
type ConflictError struct {
	Row         string
	BaseVersion uint64
	Current     *Row // nil if the row does not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("row %q does not exist, but the edit is based on its version %d", e.Row, e.BaseVersion)
	}
	return fmt.Sprintf("row %q is at version %d, but the edit is based on version %d; read it again and repeat the edit", e.Row, e.Current.RowVersion, e.BaseVersion)
}

// InvalidError reports the problems of a table that is not valid.
type InvalidError struct {
	Problems []Problem
}

// Error returns one problem per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Apply returns the table after the edit, at the next revision. It fails with the
// joined *ConflictErrors of all rows that changed since they were read, or with
// an *InvalidError that lists every problem.
func Apply(current *Snapshot, e Edit) (*Snapshot, error) {
	rows := make(map[string]Row, current.Len())
	for _, r := range current.Rows() {
		rows[r.Name] = r
	}
	var conflicts []error
	for _, c := range e.Changes {
		old, exists := rows[c.Row.Name]
		if !c.Force && c.BaseVersion != old.RowVersion {
			conflicts = append(conflicts, newConflict(c, old, exists))
			continue
		}
		if c.Remove {
			if !exists {
				conflicts = append(conflicts, &ConflictError{Row: c.Row.Name, BaseVersion: c.BaseVersion})
			}
			delete(rows, c.Row.Name)
			continue
		}
		r := c.Row
		r.RowVersion = current.Revision + 1 // not reused if a row is removed and created again
		rows[r.Name] = r
	}
	if len(conflicts) > 0 {
		return nil, errors.Join(conflicts...)
	}
	list := make([]Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	if ps := Validate(list); len(ps) > 0 {
		return nil, &InvalidError{Problems: ps}
	}
	return NewSnapshot(current.Revision+1, list), nil
}

// newConflict returns the ConflictError of a change to the row old.
func newConflict(c Change, old Row, exists bool) error {
	e := &ConflictError{Row: c.Row.Name, BaseVersion: c.BaseVersion}
	if exists {
		e.Current = &old
	}
	return e
}
