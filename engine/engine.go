// Package engine declares the interface to a model engine: Client, its messages
// and its errors. An engine generates answers as streams, loads and unloads
// models and adapters on order, and reports its state and load. A client for a
// concrete protocol is a subpackage, such as enginehttp. Package engineclients is
// the service that owns the clients and calls engines for the control goroutine.
package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// GenerateRequest asks an engine for one answer.
type GenerateRequest struct {
	RequestID string
	Model     string // base model
	Adapter   string // empty for the base model itself
	Version   string // version of the adapter, or of the model without one
	Prompt    string // the caller's messages in canonical form
	MaxTokens int
	Priority  fleet.Rank
	// ResumeFrom is the number of chunks already received. The engine
	// continues with the chunk that has this index.
	ResumeFrom int
}

// Chunk is one piece of a streamed answer.
type Chunk struct {
	RequestID string // RequestID of the request being answered
	Index     int    // position in the whole answer, from 0; a resumed answer does not restart it
	Text      string
	Tokens    int // tokens in Text
	// Final marks the end of the answer. FinishReason and the usage fields are
	// set only then.
	Final            bool
	FinishReason     string // "stop" or "length"
	PromptTokens     int
	CompletionTokens int
}

// Stream is an answer in progress. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next chunk. After the chunk with Final set, it returns
	// io.EOF. If the stream ends earlier, it returns an *Error of kind Truncated.
	Next() (Chunk, error)
	// Close cancels the request on the engine if it is still running.
	Close() error
}

// BufferedStream is a Stream that reports whether Next would return without
// waiting, so that a relay can send several chunks in one write.
type BufferedStream interface {
	Stream
	// Buffered reports whether a whole chunk has already been received.
	Buffered() bool
}

// OrderKind is the operation that an order requests.
type OrderKind uint8

// The kinds of order.
const (
	LoadModel OrderKind = iota
	UnloadModel
	LoadAdapter
	UnloadAdapter
)

// Order asks an engine to load or unload a model or adapter at a version.
// Loading one that is already resident at that version has no effect.
type Order struct {
	ID       string      // unique; a retry of an order has the same ID
	Token    fleet.Token // fencing token
	Kind     OrderKind
	Name     string // model or adapter
	Base     string // base model of an adapter
	Version  string
	MemoryMB int
}

// OrderResult is the engine's answer to an order.
type OrderResult struct {
	Accepted     bool
	Reason       string      // why the order was refused
	HighestToken fleet.Token // highest token the engine has seen; zero if it ignores tokens
}

// Resident is a model or adapter that holds memory on an engine.
type Resident struct {
	Name     string
	Base     string // empty for a model
	Version  string
	MemoryMB int
	Ready    bool // can serve now; false while loading or unloading
	Running  int  // requests in progress
}

// State is the memory of an engine and its contents at the time of the answer.
type State struct {
	BootID       string // changes with every start of the engine
	HighestToken fleet.Token
	MemoryMB     int // capacity
	UsedMB       int
	Residents    []Resident
}

// Report is an engine's load report. It can be seconds old.
type Report struct {
	TakenAt   time.Time // by the engine's clock; only differences are meaningful
	Sequence  uint64    // increases with every report of one boot
	BootID    string
	Leaving   bool    // the engine must get no new work
	Running   int     // requests in progress
	Waiting   int     // requests queued on the engine
	Slots     int     // requests that the engine runs concurrently at full speed
	TokenRate float64 // generated tokens per second
	Residents []Resident
}

// CacheEvent reports that a prompt prefix was added to or removed from an
// engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64 // PrefixHash of the requests that have the prefix
	Removed  bool
}

// Client talks to one engine. It is safe for concurrent use.
type Client interface {
	// Generate starts an answer. The error is an *Error.
	Generate(ctx context.Context, r GenerateRequest) (Stream, error)
	// Order sends an order and waits for the engine's answer. After an error
	// the outcome is unknown, unless it is an *Error with Executed ExecutedNo.
	Order(ctx context.Context, o Order) (OrderResult, error)
	// State reads the engine's current state.
	State(ctx context.Context) (State, error)
	// Report reads the latest published load report.
	Report(ctx context.Context) (Report, error)
	// CacheEvents returns the published events with a sequence number above
	// after. Events can be late or missing.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Executed states whether a request ran on the engine, as far as is known.
type Executed uint8

// The values of Executed. ExecutedNo guarantees that the request did not run.
const (
	ExecutedUnknown Executed = iota
	ExecutedNo
	ExecutedYes
)

// String returns "unknown", "no" or "yes", the values of the response header
// X-Hyssophaven-Executed.
func (e Executed) String() string {
	switch e {
	case ExecutedNo:
		return "no"
	case ExecutedYes:
		return "yes"
	default:
		return "unknown"
	}
}

// ErrorKind classifies failures of an engine call.
type ErrorKind uint8

// The kinds of failure.
const (
	Unreachable  ErrorKind = iota // no connection could be made, or a State, Report or CacheEvents call timed out
	Refused                       // the engine refused the request before running it
	NotResident                   // model or adapter is not ready on the engine
	Truncated                     // the connection ended before the end marker
	Malformed                     // the engine's answer does not follow the protocol
	WrongRequest                  // the answer belongs to another request
	Cancelled                     // the caller's context ended
)

var errorKindNames = [...]string{"unreachable", "refused", "not resident", "truncated", "malformed answer", "answer of another request", "cancelled"}

// String returns a short description of the kind.
func (k ErrorKind) String() string {
	if int(k) < len(errorKindNames) {
		return errorKindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Error is the failure of an engine call.
type Error struct {
	Kind     ErrorKind
	Executed Executed
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return "engine: " + e.Kind.String()
	}
	return fmt.Sprintf("engine: %s: %v", e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKindOf returns the kind of the *Error that err is or wraps, and whether
// there is one.
func ErrorKindOf(err error) (ErrorKind, bool) {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind, true
	}
	return 0, false
}
