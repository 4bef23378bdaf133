package failover

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/dispatch"
)

// Guards against a request that is sent again although a part of its answer can't be
// continued, and against one that ends although another replica can go on.
func TestNextAfterEndOfSend(t *testing.T) {
	for name, test := range map[string]struct {
		request Request
		action  Action
		reason  Reason
	}{
		"whole answer":                        {Request{Progress: Plain, Complete: true, Outcome: dispatch.Answered, MayHaveRun: true, Expired: true}, Finish, ""},
		"whole failure":                       {Request{Complete: true, Outcome: dispatch.Failed, MayHaveRun: true}, Finish, ""},
		"nothing relayed, not run":            {Request{Outcome: dispatch.NotExecuted}, SendAgain, ""},
		"nothing relayed, repeatable":         {Request{Outcome: dispatch.ConnectionBroken, MayHaveRun: true, Repeatable: true}, SendAgain, ""},
		"nothing relayed, may run once":       {Request{Outcome: dispatch.ConnectionBroken, MayHaveRun: true}, Fail, ReasonNotRepeatable},
		"nothing relayed, deadline passed":    {Request{Outcome: dispatch.TimedOut, MayHaveRun: true, Repeatable: true, Expired: true}, Fail, ReasonExpired},
		"nothing relayed, canceled":           {Request{Outcome: dispatch.Canceled, MayHaveRun: true, Repeatable: true}, Fail, ReasonExpired},
		"events relayed":                      {Request{Progress: Events, Outcome: dispatch.ConnectionBroken, MayHaveRun: true, Repeatable: true}, SendAgain, ""},
		"events relayed, silent":              {Request{Progress: Events, Outcome: dispatch.TimedOut, MayHaveRun: true, Repeatable: true}, SendAgain, ""},
		"events relayed, resumption rejected": {Request{Progress: Events, Outcome: dispatch.NotExecuted, MayHaveRun: true, Repeatable: true}, SendAgain, ""},
		"events relayed, last without an ID":  {Request{Progress: Events, Outcome: dispatch.ConnectionBroken, MayHaveRun: true, Repeatable: true, Unnumbered: true}, BreakOff, ReasonUnnumbered},
		"events relayed, may run once":        {Request{Progress: Events, Outcome: dispatch.ConnectionBroken, MayHaveRun: true}, BreakOff, ReasonNotRepeatable},
		"events relayed, deadline passed":     {Request{Progress: Events, Outcome: dispatch.ConnectionBroken, MayHaveRun: true, Repeatable: true, Expired: true}, BreakOff, ReasonExpired},
		"plain answer broken":                 {Request{Progress: Plain, Outcome: dispatch.ConnectionBroken, MayHaveRun: true, Repeatable: true}, BreakOff, ReasonPlainBegun},
		"plain answer silent":                 {Request{Progress: Plain, Outcome: dispatch.TimedOut, MayHaveRun: true, Repeatable: true}, BreakOff, ReasonPlainBegun},
		"plain answer, may run once":          {Request{Progress: Plain, Outcome: dispatch.ConnectionBroken, MayHaveRun: true}, BreakOff, ReasonPlainBegun},
		"plain answer, deadline passed":       {Request{Progress: Plain, Outcome: dispatch.TimedOut, MayHaveRun: true, Repeatable: true, Expired: true}, BreakOff, ReasonExpired},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			action, reason := Next(test.request)
			is.Equal(action, test.action)
			is.Equal(reason, test.reason)
		})
	}
}

// Guards against a combination of values for which an answer that has begun is taken for one
// that has not, is continued although it can't be, or ends without a reason.
func TestNextKeepsInvariant(t *testing.T) {
	is := is.New(t)
	both := []bool{false, true}
	for progress := Nothing; progress <= Plain; progress++ {
		for outcome := dispatch.Answered; outcome <= dispatch.Canceled; outcome++ {
			for _, mayHaveRun := range both {
				for _, repeatable := range both {
					for _, unnumbered := range both {
						for _, expired := range both {
							r := Request{Progress: progress, Outcome: outcome, MayHaveRun: mayHaveRun, Repeatable: repeatable, Unnumbered: unnumbered, Expired: expired}
							action, reason := Next(r)
							is.Equal(reason == "", action == SendAgain)
							is.True(action != Finish)
							is.True(action != SendAgain || progress != Plain && !expired && (!mayHaveRun || repeatable))
							is.True(action != SendAgain || progress != Events || !unnumbered)
							is.True(action != Fail || progress == Nothing)
							is.True(action != BreakOff || progress != Nothing)
							r.Complete = true
							action, reason = Next(r)
							is.Equal(action, Finish)
							is.Equal(reason, Reason(""))
						}
					}
				}
			}
		}
	}
}
