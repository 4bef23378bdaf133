// Package routing chooses the endpoint for one request among those that hold
// its model or adapter. It corrects lagging load reports by what this instance
// sent since, prefers its own data centre, resident adapters, cached prefixes
// and, for equal content, the same endpoint, and avoids herding by taking the
// better of two candidates picked at random from the best few. It does no I/O
// and reads no clock.
package routing

import (
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Policy selects how the endpoint is chosen.
type Policy uint8

// The policies. RoundRobin and LeastLoaded are baselines for comparison.
const (
	BestOfTwo   Policy = iota // better of two among the best few, by corrected load
	RoundRobin                // the next endpoint with a free slot
	LeastLoaded               // the least reported load, not corrected
)

var policyNames = [...]string{"best-of-two", "round-robin", "least-loaded"}

// String returns the policy's name for logs and measurements.
func (p Policy) String() string {
	if int(p) < len(policyNames) {
		return policyNames[p]
	}
	return fmt.Sprintf("policy(%d)", uint8(p))
}

// Config sets up a Router.
type Config struct {
	Policy     Policy
	DataCentre fleet.DataCentre // of this instance
	Seed       uint64           // of the random choices
}

// Resident is a model or adapter that an endpoint holds or has reserved memory for.
type Resident struct {
	Name    string
	Version string
	// Ready is false while memory is only reserved. A request for such an
	// adapter may be sent there after the adapter was loaded with Token; a
	// model that is not ready serves nothing.
	Ready    bool
	Token    fleet.Token
	MemoryMB int
}

// Endpoint is one endpoint as the control state sees it.
type Endpoint struct {
	fleet.Endpoint
	// Window is how many requests this instance may have in flight there.
	Window    int
	Ranks     [fleet.RankCount]int // bounds on the requests of each rank
	Lower     int                  // bound on the requests of all ranks but urgent
	Closed    bool                 // no new work
	Residents []Resident
	// Running and Waiting are from the last load report, taken at ReportedAt
	// by this process's clock. A zero ReportedAt means that there is none.
	Running    int
	Waiting    int
	ReportedAt time.Time
}

// Key names what a request needs on an endpoint. Plain services have only a pool.
type Key struct {
	Pool    string
	Model   string
	Adapter string
	Version string // of the adapter, or of the model without one; empty for any
}

// Place is an endpoint that can serve a key. Endpoint is its index, valid
// until the next Replace.
type Place struct {
	Endpoint int
	Resident Resident
}

// Query asks for the endpoint of one request.
type Query struct {
	Key         Key
	Fingerprint uint64 // equal content prefers the same endpoint; 0 for none
	Prefix      uint64 // hash of model and prompt prefix; 0 for none
	Exclude     []fleet.EndpointID
	Rank        fleet.Rank
	Extra       int // requests beyond the window that this one may make
}
