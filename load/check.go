package load

import (
	"fmt"
	"strings"
)

// AnswerCheck decides whether an answer belongs to its request. The error says
// why it does not.
type AnswerCheck func(r Request, a Answer) error

// AnswerCheckNamed returns the check that a scenario names.
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

// checkMarker expects the first token of an answer to contain the marker at
// the beginning of the prompt, as the engine stand-in returns it.
func checkMarker(r Request, a Answer) error {
	if r.Prompt == "" || strings.Contains(a.FirstText, r.Marker) {
		return nil
	}
	return fmt.Errorf("request %d: first token %q does not contain marker %s", r.ID, a.FirstText, r.Marker)
}
