// Package routing chooses the endpoint for a request among those that hold its
// model or adapter. It owns the counts of this instance's requests in flight, and
// corrects delayed load reports by them. It prefers the local data
// centre, resident adapters, cached prefixes and, for equal content, the same
// endpoint. To avoid herding, it otherwise takes the better of two random
// candidates from the best few.
//
// Unlike package dispatch of the edge program, it does not estimate the time to the
// first byte and leaves waiting, refusal and retries to package admission and its
// callers. It does no I/O and reads no clock.
package routing

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Policy selects how Choose picks an endpoint.
type Policy uint8

// The policies. RoundRobin and LeastLoaded are baselines for comparison.
const (
	BestOfTwo   Policy = iota // better of two candidates among the best, by score
	RoundRobin                // next endpoint with a free slot
	LeastLoaded               // lowest reported load, without correction
)

var policyNames = [...]string{"best-of-two", "round-robin", "least-loaded"}

// String returns the policy's name for logs and measurements.
func (p Policy) String() string {
	if int(p) < len(policyNames) {
		return policyNames[p]
	}
	return fmt.Sprintf("policy(%d)", uint8(p))
}

// Config configures a Router.
type Config struct {
	Policy     Policy
	DataCentre fleet.DataCentre // of this instance
	Seed       uint64           // of the random choices
}

// Resident is a model or adapter that an endpoint holds, or for which it has
// reserved memory.
type Resident struct {
	Name    string
	Version string
	// Ready is false while memory is only reserved. A request for an adapter that
	// is not ready can be sent once the adapter is loaded with Token. A model that
	// is not ready cannot serve requests.
	Ready    bool
	Token    fleet.Token
	MemoryMB int
}

// Endpoint is an endpoint with its load report and this instance's limits on it.
type Endpoint struct {
	fleet.Endpoint
	// Window limits this instance's requests in flight on the endpoint.
	Window         int
	RankLimits     [fleet.RankCount]int // limits for the requests of each rank
	NonUrgentLimit int                  // limit for the requests of all ranks except urgent
	Closed         bool                 // takes no new requests
	Residents      []Resident
	// Running and Waiting are from the latest load report, taken at ReportedAt by
	// this process's clock. ReportedAt is zero if there is none.
	Running    int
	Waiting    int
	ReportedAt time.Time
}

// Key identifies what a request needs from an endpoint. For plain services, only
// the pool is set.
type Key struct {
	Pool    string
	Model   string
	Adapter string
	Version string // of the adapter, or of the model if there is no adapter; empty for any
}

// Candidate is an endpoint that can serve a key, and the resident that serves it.
// EndpointIndex is valid until the next Replace.
type Candidate struct {
	EndpointIndex int
	Resident      Resident
}

// Query describes a request for which Choose picks an endpoint.
type Query struct {
	Key         Key
	Fingerprint uint64             // equal content prefers the same endpoint; 0 for none
	Prefix      uint64             // hash of model and prompt prefix; 0 for none
	Exclude     []fleet.EndpointID // endpoints that must not be chosen
	Rank        fleet.Rank
	ExtraSlots  int // requests allowed beyond each limit of the endpoint
}
