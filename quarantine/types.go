// Package quarantine isolates requests that may crash endpoints. A fingerprint
// that was in flight on an endpoint when it died becomes a suspect. A suspect
// is retried only in a trial: alone on a reserved endpoint, with at most one
// trial per fingerprint in the fleet. A completed trial clears the fingerprint;
// a second lost endpoint quarantines it. The package does no I/O, reads no
// clock and leaves the encoding of records and notices to others.
package quarantine

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Fingerprint identifies a request by its table row and canonical content.
type Fingerprint uint64

// Loss identifies one death of an endpoint. All instances that had the
// fingerprint in flight on the endpoint report an equal Loss.
type Loss struct {
	Endpoint fleet.EndpointID
	BootID   string // boot ID of the endpoint when it died; distinguishes repeated deaths
	// Attempt is the trial during which the endpoint died or may have died. It
	// is 0 if the endpoint died outside a trial.
	Attempt uint64
}

// Trial describes the claim of an instance to run a suspect, and the run itself
// once it has started.
type Trial struct {
	Holder      fleet.InstanceID
	Incarnation fleet.Incarnation
	Attempt     uint64 // identifies the trial in the fleet
	Endpoint    fleet.EndpointID
	BootID      string // boot ID of the endpoint when it was claimed
	// Running is set by a separate write before the request is sent. If the
	// holder dies before that write, the trial has cost no endpoint.
	Running bool
}

// Record holds the stored state of a fingerprint under the key
// quarantine/<fingerprint>. It is deleted when the fingerprint is cleared.
type Record struct {
	Losses []Loss // ordered by endpoint and boot
	// Until is the end of the quarantine in wall-clock time, truncated to
	// seconds. Clock skew between machines can be seconds, which is small
	// compared with the length of a quarantine. Safety does not depend on it.
	Until time.Time
	Trial *Trial // nil if no trial is claimed
}

// Notice carries the state of one fingerprint from an instance to its peers.
type Notice struct {
	Fingerprint Fingerprint
	Losses      []Loss // losses known to the sender that are not cleared
	Cleared     []Loss // losses that the fingerprint was cleared of
	Until       time.Time
	// LastUsed is the wall-clock time at which the sender last used its entry.
	// Receivers expire the fingerprint at the same time as the sender.
	LastUsed time.Time
	Trial    *Trial // the sender's own trial, if any
	// InFlight is the number of the sender's runs of the fingerprint outside
	// trials. No trial starts while any instance has one.
	InFlight int
}

// Verdict is how admission must handle a request.
type Verdict uint8

// The verdicts returned by Check.
const (
	Clear       Verdict = iota // run the request normally
	NeedsTrial                 // send TrialWanted
	Quarantined                // refuse the request
)

// CommitOutcome is the outcome of a store commit.
type CommitOutcome uint8

// The outcomes of a commit. NotApplied means that the commit had no effect and
// will have none; Unknown means that it may have taken effect or may still do so.
const (
	Applied CommitOutcome = iota
	Conflict
	NotApplied
	Unknown
)

// TrialResult is the result of a trial.
type TrialResult uint8

// The results of a trial.
const (
	TrialCompleted    TrialResult = iota // the complete answer was relayed
	TrialEndpointLost                    // the endpoint died
	TrialInconclusive                    // cancelled, refused or failed; the endpoint is still alive
)

// Event is an input to State.Step.
type Event interface{ quarantineEvent() }

// Tick drives the timeouts. It should be sent at least once a second while
// there are suspects.
type Tick struct{}

// RunStarted reports that a run outside a trial was admitted.
type RunStarted struct{ Fingerprint Fingerprint }

// RunEnded reports that a run outside a trial has ended. If the run was on a lost
// endpoint, EndpointLost must be sent first.
type RunEnded struct{ Fingerprint Fingerprint }

// EndpointLost reports the death of an endpoint and the fingerprints that this
// instance had in flight on it, except trials.
type EndpointLost struct {
	Loss          Loss
	Fingerprints  []Fingerprint
	QuarantineFor time.Duration // length of a quarantine for the row; 0 means the default
}

// TrialWanted adds a request whose fingerprint needs a trial. Requests with the
// same fingerprint run in order of arrival. Repeating the event for a request
// that is still waiting updates its candidates.
type TrialWanted struct {
	Request       uint64
	Fingerprint   Fingerprint
	Candidates    []Candidate   // endpoints that can run the request, best first
	QuarantineFor time.Duration // length of a quarantine for the row; 0 means the default
}

// Candidate identifies an endpoint on which a trial can run.
type Candidate struct {
	Endpoint fleet.EndpointID
	BootID   string
}

// TrialWithdrawn removes a request that was waiting for a trial.
type TrialWithdrawn struct {
	Request     uint64
	Fingerprint Fingerprint
}

// EndpointIdle reports that nothing is running or waiting on the endpoint. The
// load report it is based on must be newer than the reservation.
type EndpointIdle struct{ Endpoint fleet.EndpointID }

// TrialEnded reports the result of a trial started by StartTrial.
type TrialEnded struct {
	Request     uint64
	Fingerprint Fingerprint
	Result      TrialResult
}

// NoticesReceived carries notices from a peer. Complete is true for the full
// list in a heartbeat and false for an update of some fingerprints. A full list
// must be passed on even if it is empty.
type NoticesReceived struct {
	From     fleet.InstanceID
	Complete bool
	Notices  []Notice
}

// MembersChanged carries the set of live instances. A trial holder that is
// missing or has a different incarnation is dead.
type MembersChanged struct {
	Alive map[fleet.InstanceID]fleet.Incarnation
}

// RecordRead answers ReadRecord, or carries a record that was read for another
// reason. Version 0 means that no record exists.
type RecordRead struct {
	Fingerprint Fingerprint
	OK          bool // false if the read failed
	Record      Record
	Version     uint64
}

// CommitResult answers CommitRecord.
type CommitResult struct {
	ID      uint64
	Outcome CommitOutcome
	Version uint64 // new version if Applied; 0 after a deletion
}

// QuarantineLifted reports that an operator lifted the quarantine.
type QuarantineLifted struct{ Fingerprint Fingerprint }

func (Tick) quarantineEvent()             {}
func (RunStarted) quarantineEvent()       {}
func (RunEnded) quarantineEvent()         {}
func (EndpointLost) quarantineEvent()     {}
func (TrialWanted) quarantineEvent()      {}
func (TrialWithdrawn) quarantineEvent()   {}
func (EndpointIdle) quarantineEvent()     {}
func (TrialEnded) quarantineEvent()       {}
func (NoticesReceived) quarantineEvent()  {}
func (MembersChanged) quarantineEvent()   {}
func (RecordRead) quarantineEvent()       {}
func (CommitResult) quarantineEvent()     {}
func (QuarantineLifted) quarantineEvent() {}

// Action is an output of State.Step that the caller must carry out.
type Action interface{ quarantineAction() }

// ReadRecord reads the record of a fingerprint. RecordRead answers it.
type ReadRecord struct{ Fingerprint Fingerprint }

// CommitRecord writes or deletes a record if its version is IfVersion.
// IfVersion 0 requires that no record exists. A CommitResult with the same ID
// answers it.
type CommitRecord struct {
	ID          uint64
	Fingerprint Fingerprint
	IfVersion   uint64
	Record      Record
	Delete      bool
}

// NotifyPeers sends notices to all peers without waiting for the next heartbeat.
type NotifyPeers struct{ Notices []Notice }

// StartTrial runs a waiting request alone on the endpoint.
type StartTrial struct {
	Request     uint64
	Fingerprint Fingerprint
	Endpoint    fleet.EndpointID
}

// AdmitRequests admits waiting requests that no longer need a trial.
type AdmitRequests struct {
	Fingerprint Fingerprint
	Requests    []uint64
}

// RefuseRequests refuses waiting requests whose fingerprint is quarantined.
type RefuseRequests struct {
	Fingerprint Fingerprint
	Requests    []uint64
	Until       time.Time
}

func (ReadRecord) quarantineAction()     {}
func (CommitRecord) quarantineAction()   {}
func (NotifyPeers) quarantineAction()    {}
func (StartTrial) quarantineAction()     {}
func (AdmitRequests) quarantineAction()  {}
func (RefuseRequests) quarantineAction() {}
