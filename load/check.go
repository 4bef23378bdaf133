package load

import (
	"fmt"
	"strings"
)

// AnswerCheck returns an error if an answer does not belong to its request.
type AnswerCheck func(r Request, a Answer) error

// AnswerCheckNamed returns the check with the given name. An empty name means
// "none".
func AnswerCheckNamed(name string) (AnswerCheck, error) {
	switch name {
	case "", "none":
		return func(Request, Answer) error { return nil }, nil
	case "marker":
		return checkMarker, nil
	default:
		return nil, fmt.Errorf("unknown check %q: want none or marker", name)
	}
}

// checkMarker requires the first token of an answer to contain the marker that the
// prompt begins with. The engine stand-in returns it there.
func checkMarker(r Request, a Answer) error {
	if r.Prompt == "" || strings.Contains(a.FirstText, r.Marker) {
		return nil
	}
	return fmt.Errorf("request %d: first token %q does not contain marker %s", r.ID, a.FirstText, r.Marker)
}
