package burnstore

import (
	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/gateway"
	"github.com/hyssophaven/hyssophaven/openai"
)

// sampleOf converts a finished request to a sample.
func sampleOf(r gateway.FinishedRequest) burn.Sample {
	s := burn.Sample{Row: r.Row, Rank: r.Rank, Duration: r.Duration}
	switch r.Outcome {
	case gateway.OutcomeAnswered:
		s.Targets = [burn.TargetCount]burn.Measurement{
			burn.FirstToken:    {Duration: r.TimeToFirstToken, Limit: r.Targets.FirstToken},
			burn.BetweenTokens: {Duration: r.TimeBetweenTokens, Limit: r.Targets.BetweenTokens},
			burn.WholeAnswer:   {Duration: r.Duration, Limit: r.Targets.WholeAnswer},
		}
	case gateway.OutcomeRefused:
		s.Result, s.Class = burn.ResultRefused, refusalClassOf(r.Code)
	case gateway.OutcomeCancelled:
		s.Result = burn.ResultCancelled
	case gateway.OutcomeFailed:
		s.Result = burn.ResultFailed
		if r.Code == openai.CodeInProgress {
			// An earlier request of the caller still uses the idempotency key.
			s.Result, s.Class = burn.ResultRefused, burn.ClassCaller
		}
	}
	return s
}

// refusalClassOf maps the error code of a refusal to its class. Quarantined requests
// count as the caller's fault, since their content crashes endpoints.
func refusalClassOf(code openai.Code) burn.RefusalClass {
	switch code {
	case openai.CodeOverloaded, openai.CodeQueueFull:
		return burn.ClassOverload
	case openai.CodeDeadlineExceeded:
		return burn.ClassDeadline
	case openai.CodeLimitReached:
		return burn.ClassLimit
	case openai.CodeModelNotFound, openai.CodeServiceNotFound, openai.CodeQuarantined, openai.CodeKeyReused,
		openai.CodeKeyInvalid, openai.CodeKeyRequired, openai.CodeInvalidJSON, openai.CodeInvalidValue, openai.CodeInProgress:
		return burn.ClassCaller
	default:
		return burn.ClassUnavailable
	}
}
