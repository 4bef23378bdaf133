// Package burn counts requests against their service-level targets, decides
// when the counts of an incarnation are stored, sums the counts of all
// incarnations, and computes burn rates and the remaining error budget. It does
// no I/O and never reads a clock.
//
// Each incarnation owns one document and is its only writer. A count in a
// bucket never decreases until the bucket expires. Therefore a newer version of
// a document always replaces an older one, and summing the documents of
// different incarnations counts nothing twice.
package burn

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Source identifies the incarnation that a document belongs to.
type Source struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
}

// Counter is the index of a count in Counts.
type Counter uint8

// The counters. Received uses the bucket in which the request arrived. All other
// counters of requests use the bucket in which the request ended. The counters of
// targets come in pairs, in the order of the targets.
const (
	Received            Counter = iota
	Good                        // answered within every target of its row
	Late                        // answered, but missed at least one target
	FirstTokenMet               // answered within the target for the first token
	FirstTokenMissed            // answered, but missed that target
	BetweenTokensMet            // answered within the target for the time between tokens
	BetweenTokensMissed         // answered, but missed that target
	WholeAnswerMet              // answered within the target for the whole answer
	WholeAnswerMissed           // answered, but missed that target
	RefusedOverload             // the target could not be met, or the queue was full
	RefusedDeadline             // the deadline passed while the request was queued
	RefusedLimit                // a limit of the row was reached
	RefusedUnavailable          // no endpoint was usable, or the instance could not serve
	RefusedCaller               // the request itself was invalid
	Failed                      // admitted, but not answered completely
	Cancelled                   // the caller disconnected or read too slowly
	MovesPlanned                // planned model moves; always 0 in counts of requests
	// CounterCount is the number of counters.
	CounterCount = 17
)

// Counts holds the counts of one bucket or window, by Counter.
type Counts [CounterCount]uint64

// Add adds each count of o to the same count of c.
func (c *Counts) Add(o *Counts) {
	for i, n := range o {
		c[i] += n
	}
}

// Errors returns the number of requests that count against attainment: late
// answers, failures, and refusals that are not the caller's fault. Cancelled
// requests and refusals of invalid requests do not count.
func (c *Counts) Errors() uint64 {
	return c[Late] + c[Failed] + c[RefusedOverload] + c[RefusedDeadline] + c[RefusedLimit] + c[RefusedUnavailable]
}

// Valid returns the number of requests that count towards attainment: good
// answers and errors.
func (c *Counts) Valid() uint64 { return c[Good] + c.Errors() }

// Attainment returns the share of valid requests that were good, or 1 without
// valid requests.
func (c *Counts) Attainment() float64 { return goodShare(c[Good], c.Errors()) }

// goodShare returns good / (good + bad), or 1 if both are 0.
func goodShare(good, bad uint64) float64 {
	if good+bad == 0 {
		return 1
	}
	return float64(good) / float64(good+bad)
}

// Target identifies a service-level target of a row.
type Target uint8

// The targets, in the order of their counters.
const (
	FirstToken Target = iota
	BetweenTokens
	WholeAnswer
	// TargetCount is the number of targets.
	TargetCount = 3
)

var targetNames = [TargetCount]string{"first token", "between tokens", "whole answer"}

// String returns the name of the target as reports show it.
func (t Target) String() string { return targetNames[t] }

// counters returns the counters of the answers that met the target and of those
// that missed it.
func (t Target) counters() (met, missed Counter) {
	met = FirstTokenMet + 2*Counter(t)
	return met, met + 1
}

// Result is the outcome of a request.
type Result uint8

const (
	ResultAnswered Result = iota
	ResultRefused
	ResultFailed    // admitted, but not answered completely
	ResultCancelled // the caller disconnected or read too slowly
)

// RefusalClass groups refusals by their reason.
type RefusalClass uint8

// The refusal classes, in the order of their counters. All but ClassCaller
// count against attainment.
const (
	ClassOverload RefusalClass = iota
	ClassDeadline
	ClassLimit
	ClassUnavailable
	ClassCaller
)

// Sample describes a request that has ended.
type Sample struct {
	Row      string
	Rank     fleet.Rank
	Result   Result
	Class    RefusalClass // set if Result is ResultRefused
	Duration time.Duration
	Targets  [TargetCount]Measurement // set if Result is ResultAnswered
}

// Measurement is a measured duration and the limit set by the target. Limit is zero
// if the row does not set the target, and Duration is zero if nothing was measured.
type Measurement struct{ Duration, Limit time.Duration }

// counts returns the counts to add to the bucket in which the request ended.
func (s *Sample) counts() Counts {
	var c Counts
	switch s.Result {
	case ResultRefused:
		c[RefusedOverload+Counter(s.Class)] = 1
	case ResultFailed:
		c[Failed] = 1
	case ResultCancelled:
		c[Cancelled] = 1
	default:
		outcome := Good
		for t, m := range s.Targets {
			if m.Limit <= 0 || m.Duration <= 0 {
				continue
			}
			met, missed := Target(t).counters()
			if m.Duration > m.Limit {
				outcome = Late
				met = missed
			}
			c[met] = 1
		}
		c[outcome] = 1
	}
	return c
}

// Move is a kind of model move: what it does and why it was planned.
type Move struct {
	Action string // "add" or "remove"
	Cause  string // such as "demand"
}
