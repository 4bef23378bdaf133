// Package idempotency decides how a keyed non-idempotent call is handled so
// that it runs at most once, whatever happens to the store, the instance or
// the connection to the service. It does no I/O and reads no clock; package
// record encodes its records.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// KeyPrefix is the prefix of all claim records in the table service.
const KeyPrefix = "once/"

// ClaimKey returns the record key of a call. Parts are hashed with their
// length, so that no two combinations have the same key.
func ClaimKey(service, credential, key string) string {
	return fmt.Sprintf("%s%x", KeyPrefix, hashParts([]byte(service), []byte(credential), []byte(key)))
}

// BodyHash identifies what a call asks for; a repeat must have the same hash.
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
	// Claimed means that the owner may send the request, or has sent it.
	Claimed Status = iota
	// Done means that the answer is known.
	Done
	// Unknown means that the request was sent and its outcome is not known.
	Unknown
	// Released means that the request was certainly not sent, so the key may
	// be claimed again. The record is kept instead of being deleted: its
	// version goes on growing, so a delayed write of an earlier claim cannot
	// take effect.
	Released
)

var statusNames = [...]string{"claimed", "done", "unknown", "released"}

// String returns the status as written in a record.
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

// Owner identifies the one call that made a claim.
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
	Body        []byte // empty when the body is stored as an object
	Object      string // name of the object that holds the body
	BodyLost    bool   // the body could not be kept
}

// Record is one claim.
type Record struct {
	Status Status
	Owner  Owner
	Body   [sha256.Size]byte // BodyHash of the call
	At     time.Time         // when the claim was made, by the owner's clock
	Answer Answer            // only for Done
}

// Event is something that happened to a call.
type Event interface{ event() }

// The events of a call. Exactly one store event answers each Commit, Read and
// PutObject action, exactly one of Answered, NotSent and SendLost answers a
// Send action, and a Woken event answers a Wait action.
type (
	// Begun starts the call.
	Begun struct{}
	// Committed tells that the commit took effect.
	Committed struct{ Version uint64 }
	// Conflicted tells that the commit's condition did not hold.
	Conflicted struct{}
	// StoreDown tells that the commit certainly had no effect.
	StoreDown struct{}
	// StoreLost tells that the commit may have taken effect, now or later.
	StoreLost struct{}
	// Loaded is the result of a read. Found is false if there is no record.
	Loaded struct {
		Found      bool
		Version    uint64
		Record     Record
		OwnerAlive bool // the record's owner is a live incarnation
	}
	// LoadFailed tells that the read failed.
	LoadFailed struct{}
	// ObjectStored and ObjectFailed tell how a PutObject ended.
	ObjectStored struct{}
	ObjectFailed struct{}
	// Answered tells that the service gave a whole answer.
	Answered struct{ Answer Answer }
	// NotSent tells that the request certainly did not reach a service.
	NotSent struct{}
	// SendLost tells that the request may have run and its answer is lost.
	SendLost struct{}
	// Woken tells that the time of a Wait has come.
	Woken struct{}
	// CallerGone tells that the caller hung up. It may come at any time.
	CallerGone struct{}
	// Stopping tells that the instance stops and that retries must end. It may
	// come at any time.
	Stopping struct{}
)

func (Begun) event()        {}
func (Committed) event()    {}
func (Conflicted) event()   {}
func (StoreDown) event()    {}
func (StoreLost) event()    {}
func (Loaded) event()       {}
func (LoadFailed) event()   {}
func (ObjectStored) event() {}
func (ObjectFailed) event() {}
func (Answered) event()     {}
func (NotSent) event()      {}
func (SendLost) event()     {}
func (Woken) event()        {}
func (CallerGone) event()   {}
func (Stopping) event()     {}

// Action is something that the instance must do for a call.
type Action interface{ action() }

// The actions of a call.
type (
	// Commit writes Record on condition that the stored version is IfVersion.
	Commit struct {
		Record    Record
		IfVersion uint64
	}
	// Read reads the record.
	Read struct{}
	// PutObject stores the body of a large answer.
	PutObject struct {
		Name string
		Body []byte
	}
	// Send sends the request to the service. It occurs at most once for a call.
	Send struct{}
	// Wait asks for a Woken event at the given time.
	Wait struct{ Until time.Time }
	// Tell answers the caller. It occurs at most once for a call.
	Tell struct {
		Verdict Verdict
		Answer  Answer // only for Ran and Replayed
	}
	// End tells that nothing more is to be done.
	End struct{}
)

func (Commit) action()    {}
func (Read) action()      {}
func (PutObject) action() {}
func (Send) action()      {}
func (Wait) action()      {}
func (Tell) action()      {}
func (End) action()       {}

// Verdict is what the caller is told.
type Verdict uint8

// The verdicts.
const (
	Ran              Verdict = iota // this call ran; the answer is given
	Replayed                        // the first call's answer is given
	StoreUnavailable                // not sent: the claim could not be made
	NotExecuted                     // not sent: no endpoint could be reached
	InProgress                      // not sent: another call with the key runs
	OtherBody                       // not sent: the key belongs to another body
	EarlierUnknown                  // not sent: the outcome of an earlier call is unknown
	OutcomeUnknown                  // sent; the outcome is unknown
)
