// Package answerhead tells which heads an answer can have. Package net/http also passes on
// statuses that HTTP does not have, any text as the reason, and lines that are no fields.
package answerhead

import (
	"errors"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// IsFinal reports whether a status can be that of the final answer to a request that asked
// for no switch of the protocol.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }

// IsError reports whether a status is one with which an HTTP server refuses a request or
// says that it failed.
func IsError(status int) bool { return status >= 400 && status <= 599 }

// ErrSecondStatusLine means that the status line or a header line of an answer holds a further
// status line: the server sent the beginning of another answer first, and the status can be
// that of either.
var ErrSecondStatusLine = errors.New("head of the answer has a second status line")

// Check returns ErrSecondStatusLine if the head of an answer begins with a part of another
// one, and ErrMalformedLine if the name of a field is not valid. A LineChecker finds more of the
// malformed lines.
func Check(r *http.Response) error {
	if containsStatusLine(r.Status) {
		return ErrSecondStatusLine
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrMalformedLine
		}
		if slices.ContainsFunc(values, containsStatusLine) {
			return ErrSecondStatusLine
		}
	}
	return nil
}

// containsStatusLine reports whether s contains a protocol version and a status code.
func containsStatusLine(s string) bool {
	const protocol, form = "HTTP/", "d.d ddd" // d stands for a digit
	for {
		_, rest, found := strings.Cut(s, protocol)
		if !found {
			return false
		}
		if hasForm(rest, form) {
			return true
		}
		s = rest
	}
}

func hasForm(s, form string) bool {
	if len(s) < len(form) {
		return false
	}
	for i := range len(form) {
		isDigit := s[i] >= '0' && s[i] <= '9'
		if form[i] == 'd' && !isDigit || form[i] != 'd' && s[i] != form[i] {
			return false
		}
	}
	return true
}
