package burnstore

import (
	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/gateway"
	"github.com/hyssophaven/hyssophaven/openai"
)

// sampleOf translates what the gateway tells of a request.
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
		s.Result, s.Class = burn.ResultRefused, classOf(r.Code)
	case gateway.OutcomeCancelled:
		s.Result = burn.ResultCancelled
	case gateway.OutcomeFailed:
		s.Result = burn.ResultFailed
		if r.Code == openai.CodeInProgress {
			// The key is in use by the caller's own first request.
			s.Result, s.Class = burn.ResultRefused, burn.ClassCaller
		}
	}
	return s
}

// classOf groups the codes of refusals. The content of a quarantined request
// crashes endpoints, which is taken for the caller's fault.
func classOf(code openai.Code) burn.RefusalClass {
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
