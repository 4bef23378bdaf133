// Package finding collects problems in settings and tables with their positions, so
// that all of them are reported together instead of one at a time.
package finding

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Finding is one problem and its position. Line and Column start at 1; 0 means that the
// position is not known.
type Finding struct {
	File    string
	Line    int
	Column  int
	Key     string // dotted key, such as "callers.listen"
	Message string
}

// String formats the finding as "file:line:column: key: message" and omits the parts
// that are not set.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
			if f.Column > 0 {
				fmt.Fprintf(&b, ":%d", f.Column)
			}
		}
		b.WriteString(": ")
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List collects findings. The zero value is empty and ready to use.
type List struct {
	findings []Finding
}

// Add appends a finding.
func (l *List) Add(f Finding) { l.findings = append(l.findings, f) }

// Addf appends a finding about a key without a file or position.
func (l *List) Addf(key, format string, args ...any) {
	l.Add(Finding{Key: key, Message: fmt.Sprintf(format, args...)})
}

// All returns the findings ordered by file, line and column.
func (l *List) All() []Finding {
	out := slices.Clone(l.findings)
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return out
}

// Err returns nil if the list is empty, and an *Error with all findings otherwise.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error is an error that carries one or more findings.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// FromError returns the findings that err carries, or nil if it carries none.
func FromError(err error) []Finding {
	var e *Error
	if errors.As(err, &e) {
		return e.Findings
	}
	return nil
}
