// Package failover decides what follows when a send of a request to a replica has ended:
// the request is over, another replica gets it, or it ends without a whole answer.
//
// A request can go to another replica while nothing of an answer has been relayed, or if
// only events of a stream have been, which the other replica continues after the last one.
// Any other answer that has begun is completed by the replica that began it, or is broken
// off. Invariant: a caller never gets bytes of two answers in one, apart from numbered
// events of runs that follow each other.
//
// Which replica gets the request, and whether the retry budget and the number of attempts
// allow it, is decided by package dispatch.
package failover

import "github.com/hyssophaven/hyssophaven/dispatch"

// Progress is what the caller of a request has got of an answer.
type Progress uint8

const (
	// Nothing means that no byte of an answer was relayed.
	Nothing Progress = iota
	// Events means that the head of a stream was relayed and, apart from comments, only
	// whole events.
	Events
	// Plain means that the head of an answer that is no stream was relayed, maybe with a
	// part of the body. Such an answer can't be continued by another replica.
	Plain
)

var progressNames = [...]string{"nothing", "events", "plain"}

// String returns the name for logs.
func (p Progress) String() string { return progressNames[p] }

// Request describes a request at the end of a send.
type Request struct {
	Progress Progress
	// Complete is set if the caller has a whole answer.
	Complete bool
	Outcome  dispatch.Outcome // of the send
	// MayHaveRun is set if any replica may have run the request.
	MayHaveRun bool
	// Repeatable is set if several replicas may run the request.
	Repeatable bool
	// Unnumbered is set if the last relayed event has no ID, so that another replica would
	// continue the stream before it.
	Unnumbered bool
	// Expired is set if the caller has left, the deadline has passed or the instance's drain
	// has ended.
	Expired bool
}

// Action is what follows the end of a send.
type Action uint8

const (
	// Finish ends a request whose caller has a whole answer.
	Finish Action = iota
	// SendAgain asks for another replica.
	SendAgain
	// BreakOff ends an answer that has begun, so that it does not look complete.
	BreakOff
	// Fail answers the request with a failure; nothing was relayed.
	Fail
)

// Reason tells why a request is not sent to another replica. Its values stand in logs.
type Reason string

const (
	// ReasonPlainBegun means that Progress is Plain.
	ReasonPlainBegun Reason = "plain-answer-begun"
	// ReasonUnnumbered means that the last event has no ID to go on from.
	ReasonUnnumbered Reason = "event-without-id"
	// ReasonNotRepeatable means that a replica may have run a request that must not run twice.
	ReasonNotRepeatable Reason = "may-run-once"
	// ReasonExpired means that the request is Expired or was canceled.
	ReasonExpired Reason = "expired"
)

// Next returns what follows the end of a send and, for BreakOff and Fail, the reason.
func Next(r Request) (Action, Reason) {
	if r.Complete {
		return Finish, ""
	}
	reason := r.hindrance()
	switch {
	case reason == "":
		return SendAgain, ""
	case r.Progress == Nothing:
		return Fail, reason
	}
	return BreakOff, reason
}

// hindrance returns why no other replica can get the request, or "".
func (r Request) hindrance() Reason {
	switch {
	case r.Expired || r.Outcome == dispatch.Canceled:
		return ReasonExpired
	case r.Progress == Plain:
		return ReasonPlainBegun
	case r.Progress == Events && r.Unnumbered:
		return ReasonUnnumbered
	case r.MayHaveRun && !r.Repeatable:
		return ReasonNotRepeatable
	}
	return ""
}
