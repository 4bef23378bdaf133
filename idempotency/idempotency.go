// Package idempotency ensures that a non-idempotent call with an idempotency key
// is executed at most once, even if the store, the instance or the connection to
// the service fails. A Call is the state machine of one such call: it claims the key
// in the table service, sends the request and records the outcome. The package
// does no I/O and reads no clock. Package claimrecord encodes the records.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// KeyPrefix is the key prefix of all claim records in the table service.
const KeyPrefix = "once/"

// ClaimKey returns the record key of a call. Each part is hashed with its length,
// so that different splits of the same bytes have different keys.
func ClaimKey(service, credential, key string) string {
	return fmt.Sprintf("%s%x", KeyPrefix, hashParts([]byte(service), []byte(credential), []byte(key)))
}

// BodyHash returns the hash of a call's method, target and body. A repeated call
// must have the same hash.
func BodyHash(method, target string, body []byte) [sha256.Size]byte {
	return hashParts([]byte(method), []byte(target), body)
}

func hashParts(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Status is the state of a claim.
type Status uint8

// The states of a claim.
const (
	// Claimed means that the owner can send the request or has sent it.
	Claimed Status = iota
	// Done means that the record holds the answer.
	Done
	// Unknown means that the request was sent and its outcome is unknown.
	Unknown
	// Released means that the request was certainly not executed, so the key
	// can be claimed again. The record is kept instead of being deleted, so
	// that its version keeps growing and a delayed write of an earlier claim
	// cannot take effect.
	Released
)

var statusNames = [...]string{"claimed", "done", "unknown", "released"}

// String returns the name of the status as stored in a record.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return fmt.Sprintf("status(%d)", uint8(s))
}

// ParseStatus returns the status with the given name.
func ParseStatus(name string) (Status, error) {
	for i, n := range statusNames {
		if n == name {
			return Status(i), nil
		}
	}
	return 0, fmt.Errorf("unknown claim status %q", name)
}

// Owner identifies the call that made a claim.
type Owner struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
	Call        uint64 // unique within the incarnation
}

// Answer is the service's answer to a call.
type Answer struct {
	Status      int
	ContentType string
	Location    string // value of the Location header
	Body        []byte // empty if the body is stored as an object
	Object      string // name of the object that holds the body
	BodyLost    bool   // the body could not be stored
}

// Record holds a claim and, once it is known, the answer.
type Record struct {
	Status   Status
	Owner    Owner
	BodyHash [sha256.Size]byte // BodyHash of the call
	At       time.Time         // when the call began, by the owner's clock
	Answer   Answer            // set if Status is Done
}

// Event is an input to Call.Step.
type Event interface{ event() }

// The events of a call. Each Commit, Read, PutObject, Send and Wait action is
// answered by exactly one event: Commit by Committed, Conflicted, CommitFailed or
// CommitUnknown; Read by ReadResult or ReadFailed; PutObject by ObjectStored or
// ObjectFailed; Send by Answered, NotSent or SendUnknown; Wait by WaitEnded.
type (
	// Begun starts the call. Era is the era of the store in which the claims of all
	// instances are known to be complete. A claim in another era is not valid.
	Begun struct{ Era uint64 }
	// Committed reports that the commit took effect.
	Committed struct{ Version uint64 }
	// Conflicted reports that the stored version was not IfVersion.
	Conflicted struct{}
	// CommitFailed reports that the commit certainly had no effect.
	CommitFailed struct{}
	// CommitUnknown reports that the outcome of the commit is unknown. It may have
	// taken effect or may still do so.
	CommitUnknown struct{}
	// ReadResult is the result of a read. Found is false if no record exists.
	ReadResult struct {
		Found      bool
		Version    uint64
		Record     Record
		OwnerAlive bool // the incarnation that owns the record is alive
	}
	// ReadFailed reports that the read failed.
	ReadFailed struct{}
	// ObjectStored and ObjectFailed report the result of a PutObject.
	ObjectStored struct{}
	ObjectFailed struct{}
	// Answered reports that the service sent a complete answer.
	Answered struct{ Answer Answer }
	// NotSent reports that the request certainly did not reach the service.
	NotSent struct{}
	// SendUnknown reports that the request may have been executed and that its
	// answer was lost.
	SendUnknown struct{}
	// WaitEnded reports that a Wait has ended.
	WaitEnded struct{}
	// CallerGone reports that the caller disconnected. It can occur at any time.
	CallerGone struct{}
	// Stopping reports that the instance is shutting down and that retries must
	// end. It can occur at any time.
	Stopping struct{}
)

func (Begun) event()         {}
func (Committed) event()     {}
func (Conflicted) event()    {}
func (CommitFailed) event()  {}
func (CommitUnknown) event() {}
func (ReadResult) event()    {}
func (ReadFailed) event()    {}
func (ObjectStored) event()  {}
func (ObjectFailed) event()  {}
func (Answered) event()      {}
func (NotSent) event()       {}
func (SendUnknown) event()   {}
func (WaitEnded) event()     {}
func (CallerGone) event()    {}
func (Stopping) event()      {}

// Action is an output of Call.Step that the instance must carry out.
type Action interface{ action() }

// The actions of a call.
type (
	// Commit writes Record if the stored version is IfVersion. IfVersion 0
	// requires that no record exists.
	Commit struct {
		Record    Record
		IfVersion uint64
	}
	// Keep gives the newest record of the call, which the instance keeps to write it
	// again after a restore of the store (see MustWriteAgain). It has no answer.
	Keep struct{ Record Record }
	// Read reads the claim record.
	Read struct{}
	// PutObject stores the body of a large answer.
	PutObject struct {
		Name string
		Body []byte
	}
	// Send sends the request to the service. A call returns it at most once.
	Send struct{}
	// Wait requests a WaitEnded event at the given time.
	Wait struct{ Until time.Time }
	// Reply answers the caller. A call returns it at most once.
	Reply struct {
		Verdict Verdict
		Answer  Answer // set for Executed and Replayed
	}
	// End reports that the call is finished.
	End struct{}
)

func (Commit) action()    {}
func (Keep) action()      {}
func (Read) action()      {}
func (PutObject) action() {}
func (Send) action()      {}
func (Wait) action()      {}
func (Reply) action()     {}
func (End) action()       {}

// Verdict is the result that is reported to the caller.
type Verdict uint8

// The verdicts. In all cases except Executed and OutcomeUnknown this call was not
// executed.
const (
	Executed         Verdict = iota // this call was executed; Reply holds its answer
	Replayed                        // Reply holds the answer of the earlier call
	StoreUnavailable                // the key could not be claimed
	NotExecuted                     // the request could not be sent
	InProgress                      // another call with the key is in progress
	KeyReused                       // the key was used with another request
	EarlierUnknown                  // the outcome of an earlier call is unknown
	OutcomeUnknown                  // the request was sent; its outcome is unknown
)
