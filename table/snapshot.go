package table

import (
	"maps"
	"slices"
)

// NewSnapshot returns a snapshot with the given rows. It copies the rows. If two
// rows have the same name, it keeps the later one.
func NewSnapshot(revision uint64, rows []Row) *Snapshot {
	s := &Snapshot{Revision: revision, rows: make(map[string]Row, len(rows))}
	for _, r := range rows {
		s.rows[r.Name] = r
	}
	s.names = slices.Sorted(maps.Keys(s.rows))
	return s
}

// Row returns the row with the given name.
func (s *Snapshot) Row(name string) (Row, bool) {
	r, ok := s.rows[name]
	return r, ok
}

// Names returns the names of all rows in order. Callers must not modify the slice.
func (s *Snapshot) Names() []string { return s.names }

// Rows returns all rows ordered by name.
func (s *Snapshot) Rows() []Row {
	out := make([]Row, len(s.names))
	for i, n := range s.names {
		out[i] = s.rows[n]
	}
	return out
}

// Len returns the number of rows.
func (s *Snapshot) Len() int { return len(s.names) }

// Serving is a row with the base model and adapter that serve it.
type Serving struct {
	Row     Row
	Model   Row
	Adapter *Row // nil when the base model itself serves
}

// Resolve returns the model and adapter that serve the row with the given name.
// It reports false for unknown rows and for rows without an existing model.
func (s *Snapshot) Resolve(name string) (Serving, bool) {
	row, ok := s.rows[name]
	if !ok {
		return Serving{}, false
	}
	target := row
	if row.Kind == KindWork {
		if target, ok = s.rows[row.Base]; !ok {
			return Serving{}, false
		}
	}
	switch target.Kind {
	case KindModel:
		return Serving{Row: row, Model: target}, true
	case KindAdapter:
		model, ok := s.rows[target.Base]
		if !ok || model.Kind != KindModel {
			return Serving{}, false
		}
		return Serving{Row: row, Model: model, Adapter: &target}, true
	default:
		return Serving{}, false
	}
}
