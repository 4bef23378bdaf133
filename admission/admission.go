// Package admission decides when a request may run and on which endpoint. It
// keeps the queue of one instance: rank first, weighted fair order between the
// rows of a rank, a floor for every rank, fleet-wide limits by share, and
// early refusal of what cannot meet its target. It does no I/O and reads no clock.
package admission

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

// Request is one request that asks for an endpoint.
type Request struct {
	ID      uint64 // unique within the process
	Row     string // table row that classifies the request
	Rank    fleet.Rank
	Weight  float64
	Limits  table.Limits
	Targets table.Targets

	Pool    string
	Model   string // base model; empty for plain services
	Adapter string // empty for the base model itself
	Version string

	Tokens      int                // expected prompt and completion tokens
	Fingerprint uint64             // hash of row and canonical content
	Prefix      uint64             // hash of model and prompt prefix
	Exclude     []fleet.EndpointID // endpoints that must not be chosen
	// Readmitted marks a request that was admitted before and lost its
	// endpoint. It is not refused for limits or early deadlines.
	Readmitted bool
}

// Grant lets a request run on one endpoint.
type Grant struct {
	Endpoint fleet.Endpoint
	// LoadAdapter tells that the adapter is reserved but may not be resident,
	// so the caller must order it to be loaded, with Token, before it sends
	// the request.
	LoadAdapter bool
	Token       fleet.Token
	MemoryMB    int // memory of the adapter to load
	// Version is the resident version of the adapter, or of the model without
	// one. It differs from the request's when the version changed meanwhile.
	Version string
	// Trial marks the run of a request that is suspected of crashing
	// endpoints; it runs alone on the endpoint.
	Trial bool
}

// Reason is why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonOverload      Reason = iota // the target cannot be met
	ReasonLimit                       // a limit of the row is reached
	ReasonQueueFull                   // the queue bound is reached
	ReasonDeadline                    // the deadline passed while waiting
	ReasonUnknownModel                // no such row
	ReasonNoEndpoint                  // no endpoint serves the row now
	ReasonQuarantined                 // the content crashes endpoints
	ReasonIsolated                    // the instance is cut off from store and peers
	ReasonStopping                    // the instance is stopping
	ReasonRetryBudget                 // the retry budget is used up
	ReasonTrialsBlocked               // a suspect cannot be tried now
)

var reasonCodes = [...]string{
	"overloaded", "limit_reached", "queue_full", "deadline_exceeded",
	"model_not_found", "no_endpoint", "request_quarantined", "instance_isolated",
	"instance_stopping", "retry_budget_exhausted", "trial_unavailable",
}

// String returns the reason's stable code, as used in the error format.
func (r Reason) String() string {
	if int(r) < len(reasonCodes) {
		return reasonCodes[r]
	}
	return fmt.Sprintf("reason_%d", uint8(r))
}

// Refusal is the error for a request that was not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // 0 if a later try would not help
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request refused: %s", r.Reason)
}

// Result is how a granted request ended.
type Result uint8

// The results of a granted request.
const (
	ResultAnswered  Result = iota // the whole answer was relayed
	ResultCancelled               // the caller gave up
	ResultFailed                  // the endpoint failed but lives
	ResultLost                    // the connection to the endpoint broke
)

// Outcome reports the end of a granted request and frees its slot.
type Outcome struct {
	ID          uint64
	Endpoint    fleet.EndpointID
	Result      Result
	Fingerprint uint64
	Trial       bool
	Tokens      int
	FirstToken  time.Duration // from arrival to first token; 0 if none
	Between     time.Duration // mean time between tokens
	Duration    time.Duration // from grant to end
	Total       time.Duration // from arrival to end
}
