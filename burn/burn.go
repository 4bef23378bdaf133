// Package burn decides on service-level counts: how requests are counted, when
// an incarnation's counts are written, how the counts of many incarnations add
// up, and what error budget is left. It does no I/O and never reads a clock.
//
// Every incarnation owns one document, which only it writes. Within an
// incarnation every count only grows until its bucket is too old, so a newer
// version of a document always replaces an older one, and the documents of
// different incarnations add up without counting anything twice.
package burn

import (
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// Source is the incarnation that counted.
type Source struct {
	Instance    fleet.InstanceID
	Incarnation fleet.Incarnation
}

// Counter is one kind of count in a bucket.
type Counter uint8

// The counters. Asked is counted in the bucket in which the request arrived,
// all others in the bucket in which it ended.
const (
	Asked               Counter = iota
	Good                        // answered within every target of its row
	Late                        // answered, but at least one target was missed
	FirstTokenMet               // answered, by target
	FirstTokenMissed            //
	BetweenTokensMet            //
	BetweenTokensMissed         //
	WholeAnswerMet              //
	WholeAnswerMissed           //
	RefusedOverload             // the target could not be met, or the queue was full
	RefusedDeadline             // the deadline passed while the request waited
	RefusedLimit                // a limit of the row was reached
	RefusedUnavailable          // no endpoint, or the instance could not serve
	RefusedCaller               // the request itself was at fault
	Failed                      // admitted, but there was no whole answer
	Cancelled                   // the caller hung up or was too slow
	Planned                     // moves planned; not used for requests
	// CounterCount is the number of counters.
	CounterCount = 17
)

// Counts are the counts of one bucket or window.
type Counts [CounterCount]uint64

// Add adds o to c.
func (c *Counts) Add(o *Counts) {
	for i, n := range o {
		c[i] += n
	}
}

// Errors returns the requests that count against attainment: late ones,
// failures, and refusals for which the fleet is responsible. Cancelled
// requests and those refused for the caller's own fault are left out.
func (c *Counts) Errors() uint64 {
	return c[Late] + c[Failed] + c[RefusedOverload] + c[RefusedDeadline] + c[RefusedLimit] + c[RefusedUnavailable]
}

// Valid returns the requests on which attainment is measured.
func (c *Counts) Valid() uint64 { return c[Good] + c.Errors() }

// Attainment returns the share of valid requests that were good, or 1 if there
// were none.
func (c *Counts) Attainment() float64 { return share(c[Good], c.Errors()) }

func share(good, bad uint64) float64 {
	if good+bad == 0 {
		return 1
	}
	return float64(good) / float64(good+bad)
}

// Target is one of the service-level targets of a row.
type Target uint8

// The targets.
const (
	FirstToken Target = iota
	BetweenTokens
	WholeAnswer
	// TargetCount is the number of targets.
	TargetCount = 3
)

var targetNames = [TargetCount]string{"first token", "between tokens", "whole answer"}

// String returns the target's name in reports.
func (t Target) String() string { return targetNames[t] }

// counters returns the counters for answers that met and missed the target.
func (t Target) counters() (met, missed Counter) {
	met = FirstTokenMet + 2*Counter(t)
	return met, met + 1
}

// Result is how a request ended.
type Result uint8

// The results.
const (
	Answered Result = iota
	Refused
	NotAnswered // admitted, but failed
	HungUp      // cancelled by the caller
)

// RefusalClass groups the reasons of refusals.
type RefusalClass uint8

// The classes of refusals. Only Caller does not count against attainment.
const (
	Overload RefusalClass = iota
	Deadline
	Limit
	Unavailable
	Caller
)

// Sample is one request that has ended.
type Sample struct {
	Row     string
	Rank    fleet.Rank
	Result  Result
	Class   RefusalClass // of a refusal
	Took    time.Duration
	Targets [TargetCount]Measured // of an answer
}

// Measured compares what was measured with a target. A zero Limit means that
// the row has no such target, a zero Took that there was nothing to measure.
type Measured struct{ Took, Limit time.Duration }

// counts returns what the end of the request adds to its bucket.
func (s *Sample) counts() Counts {
	var c Counts
	switch s.Result {
	case Refused:
		c[RefusedOverload+Counter(s.Class)] = 1
	case NotAnswered:
		c[Failed] = 1
	case HungUp:
		c[Cancelled] = 1
	default:
		ended := Good
		for t, m := range s.Targets {
			if m.Limit <= 0 || m.Took <= 0 {
				continue
			}
			met, missed := Target(t).counters()
			if m.Took > m.Limit {
				ended = Late
				met = missed
			}
			c[met] = 1
		}
		c[ended] = 1
	}
	return c
}

// Move is a kind of model move.
type Move struct {
	Action string // "add" or "remove"
	Cause  string // such as "demand"
}
