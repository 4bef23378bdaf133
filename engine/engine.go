// Package engine declares what hyssophaven needs of a model engine: generating
// an answer as a stream, taking orders about models and adapters, and
// reporting its state. A client for a concrete protocol lives in a package
// beside it, such as enginehttp.
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
	// ResumeFrom is the number of chunks already received; the engine
	// continues with the chunk of that index.
	ResumeFrom int
}

// Chunk is one step of an answer.
type Chunk struct {
	RequestID string // always the RequestID of the request that it answers
	Index     int    // 0 for the first chunk of the whole answer
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
	// Next returns the next chunk. After the chunk with Final set it returns
	// io.EOF. A stream that ends earlier returns an *Error of kind Truncated.
	Next() (Chunk, error)
	// Close cancels the request on the engine if it still runs.
	Close() error
}

// BufferedStream is a Stream that knows whether Next would return without
// waiting. A relay then sends several chunks with one write.
type BufferedStream interface {
	Stream
	// Buffered reports whether a whole chunk has been received already.
	Buffered() bool
}

// OrderKind is what an order changes.
type OrderKind uint8

// The kinds of order.
const (
	LoadModel OrderKind = iota
	UnloadModel
	LoadAdapter
	UnloadAdapter
)

// Order asks an engine to load or unload a model or adapter at a version.
// Loading what is already resident at that version has no effect.
type Order struct {
	ID       string // unique; a repeated order has the same ID
	Token    fleet.Token
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

// State is what an engine holds at the moment it answers.
type State struct {
	BootID       string // changes with every start of the engine
	HighestToken fleet.Token
	MemoryMB     int // capacity
	UsedMB       int
	Residents    []Resident
}

// Report is an engine's load report. It may be seconds old.
type Report struct {
	TakenAt   time.Time // by the engine's clock; only differences are meaningful
	Sequence  uint64    // increases with every report of one boot
	BootID    string
	Leaving   bool
	Running   int
	Waiting   int
	Slots     int
	TokenRate float64 // tokens per second generated
	Residents []Resident
}

// CacheEvent tells that a prompt prefix entered or left the prefix cache.
type CacheEvent struct {
	Sequence uint64
	Prefix   uint64 // hash of model and prefix
	Removed  bool
}

// Client talks to one engine. It is safe for concurrent use.
type Client interface {
	// Generate starts an answer. The error is an *Error.
	Generate(ctx context.Context, r GenerateRequest) (Stream, error)
	// Order sends an order and waits for the engine's answer. An error means
	// that the outcome is unknown unless it is an *Error with Executed ExecutedNo.
	Order(ctx context.Context, o Order) (OrderResult, error)
	// State reads what the engine holds now.
	State(ctx context.Context) (State, error)
	// Report reads the latest published load report.
	Report(ctx context.Context) (Report, error)
	// CacheEvents returns published events after the given sequence number.
	// Events may be late and missing.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// Executed says whether a request ran.
type Executed uint8

// The values of Executed. ExecutedNo is a promise.
const (
	ExecutedUnknown Executed = iota
	ExecutedNo
	ExecutedYes
)

// String returns "unknown", "no" or "yes", as in the response header.
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
	Unreachable ErrorKind = iota // connection could not be made
	Refused                      // the engine refused before running
	NotResident                  // model or adapter is not ready on the engine
	Truncated                    // the connection ended before the end marker
	Malformed                    // the engine's answer does not follow the protocol
	Crossed                      // the answer belongs to another request
	Cancelled                    // the caller gave up
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

// ErrorKindOf returns the kind of an engine error and whether err is one.
func ErrorKindOf(err error) (ErrorKind, bool) {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind, true
	}
	return 0, false
}
