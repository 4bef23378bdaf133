// Package ingress is the request path of the edge program. It accepts callers'
// requests, asks the control goroutine for a replica, relays the answer, and retries
// a request or resumes a stream at another replica. It keeps no state beyond the
// connections and requests in flight; package dispatch decides on replicas, waits
// and refusals.
//
// A replica's silence ends no answer. If another replica can run the request, it is asked
// to take it over, one at a time, and both connections stay open until one of the replicas
// goes on; the other connection is then closed. The wait for the other replica's head is
// bounded by its answer timeout, or by the request's deadline if no third replica may run
// the request.
//
// Package gateway is the request path of the serve program. Package edge is the
// assembly: it creates this service and the others of an instance.
package ingress

import (
	"net/http"
	"time"

	"github.com/hyssophaven/hyssophaven/dispatch"
)

// RequestHead holds the values that a Protocol reads from the head of a caller's
// request.
type RequestHead struct {
	ID string
	// TimeLeft is how long the caller waits for the answer; 0 if not stated.
	TimeLeft       time.Duration
	Model, Adapter string
	PromptTokens   int
	OutputTokens   int
	Parts          []PromptPart
	// LastEvent is the id of the last event that the caller received; empty if none.
	LastEvent string
	// Key is the key of a customer; empty if the request carries none or several.
	Key string
}

// PromptPart is one part of a prompt. Requests with the same leading parts share a
// cached prefix.
type PromptPart struct {
	ID     string
	Tokens int
}

// ForwardInfo holds the values that the system adds to a request for a replica.
type ForwardInfo struct {
	Replica  string
	TimeLeft time.Duration
	// Urgency ranges from 0, the most urgent, to 9. It is negative if the request
	// carries no urgency.
	Urgency int
	// PrefixSource is the address of the replica from whose KV cache the replica takes
	// the prompt parts that its own cache lacks, or empty.
	PrefixSource string
	// LastEvent is the id of the event after which the replica resumes the stream.
	// If it is empty, the caller's own value is sent.
	LastEvent string
	// ByCustomer is set if the config names customers. The caller's key and the name of a
	// customer that it sent are not forwarded then, and Customer is the customer that the
	// key belongs to, empty on a public route.
	ByCustomer bool
	Customer   string
}

// AnswerHead holds the values that a Protocol reads from the head of a replica's
// answer.
type AnswerHead struct {
	NotExecuted bool // the replica did not run the request
	// Misdirected means that another replica answered, or that the replica lacks
	// the model.
	Misdirected bool
	Signed      bool // the answer carries the replica's signature
	// Report is the load that the replica states, or nil. ReportErr is set if it is
	// malformed.
	Report    *dispatch.Report
	ReportErr error
	// Notice is what the replica asks for. NoticeErr is set if a header of it is
	// malformed.
	Notice    dispatch.Notice
	NoticeErr error
}

// Protocol reads and writes the headers of requests and answers. Its methods are safe
// for concurrent use.
type Protocol interface {
	// RequestID returns the ID of a caller's request, or "" if the head names none.
	RequestID(r *http.Request) string
	// ReadRequest reads the head of a caller's request. It returns an error if the head
	// is malformed.
	ReadRequest(r *http.Request) (RequestHead, error)
	// Forward returns the headers of a request to a replica. It copies the caller's
	// headers except hop-by-hop headers and headers that only the system sets, and
	// adds the values of to.
	Forward(caller http.Header, to ForwardInfo) http.Header
	// ReadAnswer reads the head of a replica's answer.
	ReadAnswer(status int, h http.Header) AnswerHead
	// CopyAnswer copies the headers of a replica's answer to the caller's answer.
	CopyAnswer(to, from http.Header)
	// SetRefusalHeaders sets the headers of an answer by the instance itself.
	// retryAfter is 0 if the answer states no time to retry.
	SetRefusalHeaders(h http.Header, requestID string, retryAfter time.Duration)
}
