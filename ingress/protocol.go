// Package ingress is the traffic side of an edge instance: it accepts callers'
// requests, asks the control goroutine where to send them, relays the answers,
// and resumes streams. It keeps no state beyond the requests in flight.
package ingress

import (
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/dispatch"
)

// Head is what the head of a caller's request says.
type Head struct {
	ID string
	// TimeLeft is how long the caller waits; 0 if it does not say.
	TimeLeft       time.Duration
	Model, Adapter string
	PromptTokens   int
	OutputTokens   int
	Parts          []PromptPart
	// LastEvent is the id of the last event that the caller has; empty if none.
	LastEvent string
}

// PromptPart is one part of a prompt, in order.
type PromptPart struct {
	ID     string
	Tokens int
}

// Addressing is what the system adds to a request for a replica.
type Addressing struct {
	Replica  string
	TimeLeft time.Duration
	// Urgency is from 0, the most urgent, to 9; negative if not stated.
	Urgency int
	// LastEvent resumes a stream after the event with this id; empty if the
	// caller's own value holds.
	LastEvent string
}

// AnswerHead is what the head of a replica's answer says.
type AnswerHead struct {
	RequestID   string
	NotExecuted bool
	// Misdirected means that another replica answered, or that it lacks the model.
	Misdirected bool
	Sealed      bool // the answer bears the replica's signature
	Report      *dispatch.Report
}

// Protocol translates the heads of requests and answers. Its methods are safe
// for concurrent use.
type Protocol interface {
	// Request reads a caller's request. The error says what is malformed.
	Request(r *http.Request) (Head, error)
	// Forward returns the headers for a replica: those of the caller, without
	// those of one connection and those that only the system sets.
	Forward(caller http.Header, to Addressing) http.Header
	// Answer reads a replica's answer.
	Answer(status int, h http.Header) AnswerHead
	// CopyAnswer copies the headers of a replica's answer to the caller's.
	CopyAnswer(to, from http.Header)
	// Refuse sets the headers of the system's own answer.
	Refuse(h http.Header, requestID string, retryAfter time.Duration)
}
