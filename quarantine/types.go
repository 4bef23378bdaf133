// Package quarantine decides what happens to requests that crash endpoints.
// A fingerprint that was in flight on a lost endpoint is a suspect: it runs
// again only alone on an endpoint, in one trial at a time over the whole
// fleet. A trial that completes clears it; two lost endpoints quarantine it.
// The package does no I/O, reads no clock and knows no encoding.
package quarantine

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Fingerprint identifies a request by row and canonical content.
type Fingerprint uint64

// Loss is one death of an endpoint. All instances that had the fingerprint in
// flight on the endpoint report the same Loss.
type Loss struct {
	Endpoint fleet.EndpointID
	BootID   string // boot of the endpoint that ended; distinguishes repeated deaths
	// Attempt is set if the endpoint died, or may have died, in that trial.
	Attempt uint64
}

// Trial is a claim to run a suspect, or its run.
type Trial struct {
	Holder      fleet.InstanceID
	Incarnation fleet.Incarnation
	Attempt     uint64 // unique in the fleet
	Endpoint    fleet.EndpointID
	BootID      string // boot of the endpoint when the trial was started
	// Running is set by a write of its own before the request is sent. A
	// holder that dies before has cost no endpoint.
	Running bool
}

// Record is the stored record quarantine/<fingerprint>. It is deleted when the
// fingerprint is cleared.
type Record struct {
	Losses []Loss // ordered by endpoint and boot
	// Until is the end of the quarantine by the wall clock, to the second. Clocks of
	// different machines may differ by seconds, which is small against the
	// length of a quarantine; safety does not depend on it.
	Until time.Time
	Trial *Trial // nil if no trial is claimed
}

// Notice tells peers about one fingerprint.
type Notice struct {
	Fingerprint Fingerprint
	Losses      []Loss // losses known to the sender and not cleared
	Cleared     []Loss // losses for which the fingerprint is cleared
	Until       time.Time
	// Since is when the newest loss was seen, by the wall clock. Receivers
	// forget the fingerprint at the same time as the sender.
	Since time.Time
	Trial *Trial // a trial of the sender
	// InFlight is the number of runs of the fingerprint on the sender that
	// are not trials. No trial starts while there are any.
	InFlight int
}

// Verdict is the answer of Check.
type Verdict uint8

// The verdicts.
const (
	Clear       Verdict = iota // run it
	NeedsTrial                 // send TrialWanted
	Quarantined                // refuse it
)

// Outcome is the result of a store commit.
type Outcome uint8

// The outcomes of a commit. NotApplied is certain; Unknown is not.
const (
	Applied Outcome = iota
	Conflict
	NotApplied
	Unknown
)

// TrialResult is how a trial ended.
type TrialResult uint8

// The results of a trial.
const (
	TrialCompleted    TrialResult = iota // whole answer relayed
	TrialEndpointLost                    // the endpoint died
	TrialInconclusive                    // cancelled, refused or failed while the endpoint lives
)

// Event is what the state is told.
type Event interface{ quarantineEvent() }

// Tick lets time pass. It should come at least once a second while there are
// suspects.
type Tick struct{}

// Started tells that a run that is not a trial was granted.
type Started struct{ Fingerprint Fingerprint }

// Ended tells that such a run has ended. For runs that were on a lost
// endpoint, EndpointLost must come first.
type Ended struct{ Fingerprint Fingerprint }

// EndpointLost tells that an endpoint died with the given fingerprints of this
// instance in flight on it, trials not included.
type EndpointLost struct {
	Loss          Loss
	Fingerprints  []Fingerprint
	QuarantineFor time.Duration // of the row; 0 means the default
}

// TrialWanted asks to run a request whose fingerprint needs a trial. Requests
// of one fingerprint are tried in order of arrival. The event may be repeated
// with newer candidates for a request that still waits.
type TrialWanted struct {
	Request       uint64
	Fingerprint   Fingerprint
	Candidates    []Candidate   // endpoints that can run it, best first
	QuarantineFor time.Duration // of the row; 0 means the default
}

// Candidate is an endpoint on which a trial may run.
type Candidate struct {
	Endpoint fleet.EndpointID
	BootID   string
}

// TrialWithdrawn tells that a waiting request no longer waits.
type TrialWithdrawn struct {
	Request     uint64
	Fingerprint Fingerprint
}

// EndpointIdle tells that nothing runs or waits on the endpoint, by a report
// taken after the endpoint was reserved.
type EndpointIdle struct{ Endpoint fleet.EndpointID }

// TrialEnded tells how a trial started by StartTrial ended.
type TrialEnded struct {
	Request     uint64
	Fingerprint Fingerprint
	Result      TrialResult
}

// NoticesReceived carries the notices of a peer. Complete is true for the
// whole list of a heartbeat, which must be passed on also when it is empty, and
// false for a message about some fingerprints.
type NoticesReceived struct {
	From     fleet.InstanceID
	Complete bool
	Notices  []Notice
}

// MembersChanged carries the live instances. A holder that is missing or has
// another incarnation is dead.
type MembersChanged struct {
	Alive map[fleet.InstanceID]fleet.Incarnation
}

// RecordRead answers ReadRecord, or carries a record that was read otherwise.
// Version 0 means that there is no record.
type RecordRead struct {
	Fingerprint Fingerprint
	OK          bool // false: the store could not be read
	Record      Record
	Version     uint64
}

// CommitResult answers CommitRecord.
type CommitResult struct {
	ID      uint64
	Outcome Outcome
	Version uint64 // new version, if Applied; 0 after a deletion
}

// Lifted tells that an operator lifted the quarantine.
type Lifted struct{ Fingerprint Fingerprint }

func (Tick) quarantineEvent()            {}
func (Started) quarantineEvent()         {}
func (Ended) quarantineEvent()           {}
func (EndpointLost) quarantineEvent()    {}
func (TrialWanted) quarantineEvent()     {}
func (TrialWithdrawn) quarantineEvent()  {}
func (EndpointIdle) quarantineEvent()    {}
func (TrialEnded) quarantineEvent()      {}
func (NoticesReceived) quarantineEvent() {}
func (MembersChanged) quarantineEvent()  {}
func (RecordRead) quarantineEvent()      {}
func (CommitResult) quarantineEvent()    {}
func (Lifted) quarantineEvent()          {}

// Action is what the state asks for.
type Action interface{ quarantineAction() }

// ReadRecord asks for the record of a fingerprint, answered by RecordRead.
type ReadRecord struct{ Fingerprint Fingerprint }

// CommitRecord asks for one conditional write or deletion, answered by
// CommitResult with the same ID. IfVersion 0 requires that there is no record.
type CommitRecord struct {
	ID          uint64
	Fingerprint Fingerprint
	IfVersion   uint64
	Record      Record
	Delete      bool
}

// TellPeers asks to send notices to all peers at once.
type TellPeers struct{ Notices []Notice }

// StartTrial asks to run the waiting request alone on the endpoint.
type StartTrial struct {
	Request     uint64
	Fingerprint Fingerprint
	Endpoint    fleet.EndpointID
}

// AdmitRequests tells that waiting requests need no trial any more.
type AdmitRequests struct {
	Fingerprint Fingerprint
	Requests    []uint64
}

// RefuseRequests tells that waiting requests are quarantined.
type RefuseRequests struct {
	Fingerprint Fingerprint
	Requests    []uint64
	Until       time.Time
}

func (ReadRecord) quarantineAction()     {}
func (CommitRecord) quarantineAction()   {}
func (TellPeers) quarantineAction()      {}
func (StartTrial) quarantineAction()     {}
func (AdmitRequests) quarantineAction()  {}
func (RefuseRequests) quarantineAction() {}
