// Package admission decides which requests of one instance run, wait or are
// refused. It owns the instance's queue, ordered by rank and, within a rank, by
// weighted fair queueing between rows. Every rank is guaranteed a floor of slot
// time, fleet-wide limits are enforced through this instance's share of them,
// and requests that cannot meet their targets are refused early. Package routing
// chooses the endpoint. The package does no I/O and reads no clock.
package admission

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
)

// Request describes a request that needs an endpoint.
type Request struct {
	ID      uint64 // unique within the process
	Row     string // table row that classifies the request
	Rank    fleet.Rank
	Weight  float64 // of the row in fair queueing; 1 if not positive
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
	// Readmitted marks a request that was granted before and lost its endpoint.
	// It is exempt from the row's limits, the queue bound and early refusal.
	Readmitted bool
}

// Grant assigns a request to an endpoint.
type Grant struct {
	Endpoint fleet.Endpoint
	// LoadAdapter is set if memory is reserved for the adapter, which may not be
	// resident yet. The adapter must then be loaded with Token before the request
	// is sent.
	LoadAdapter bool
	Token       fleet.Token
	MemoryMB    int // memory of the adapter to load
	// Version is the resident version of the adapter, or of the model if the
	// request names no adapter. It differs from the requested version if the
	// version changed while the request waited.
	Version string
	// Trial marks a request that is suspected of crashing endpoints. It runs
	// alone on the endpoint.
	Trial bool
}

// Reason is the cause of a refusal.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonOverload         Reason = iota // the target cannot be met
	ReasonLimit                          // a limit of the row is reached
	ReasonQueueFull                      // the queue bound is reached
	ReasonDeadline                       // the deadline passed while waiting
	ReasonUnknownModel                   // no such row
	ReasonNoEndpoint                     // no endpoint serves the row now
	ReasonQuarantined                    // the content crashes endpoints
	ReasonIsolated                       // the instance is cut off from store and peers
	ReasonStopping                       // the instance is stopping
	ReasonRetryBudget                    // the retry budget is used up
	ReasonTrialUnavailable               // a request suspected of crashing endpoints cannot be tried now
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

// Refusal is the error returned for a request that is not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // 0 if a retry would not help
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request refused: %s", r.Reason)
}

// Result classifies the end of a granted request.
type Result uint8

// The results of a granted request.
const (
	ResultAnswered  Result = iota // the whole answer was relayed
	ResultCancelled               // the caller gave up
	ResultFailed                  // the endpoint failed but is still alive
	ResultLost                    // the connection to the endpoint broke
)

// Outcome describes the end of a granted request.
type Outcome struct {
	ID            uint64
	Endpoint      fleet.EndpointID
	Result        Result
	Fingerprint   uint64
	Trial         bool
	Tokens        int
	FirstToken    time.Duration // from arrival to first token; 0 if there was none
	BetweenTokens time.Duration // mean time between tokens
	Duration      time.Duration // from grant to end
	Total         time.Duration // from arrival to end
}
