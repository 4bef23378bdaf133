package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/openai"
)

// Headers of callers' requests and their answers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderExecuted       = "X-Hyssophaven-Executed"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Idempotent-Replayed"
)

// failure is an error answer together with whether the request was executed.
type failure struct {
	err        *openai.Error
	executed   engine.Executed
	retryAfter time.Duration // 0 to omit the Retry-After header
}

func failf(code openai.Code, executed engine.Executed, format string, args ...any) *failure {
	return &failure{err: &openai.Error{Code: code, Message: fmt.Sprintf(format, args...)}, executed: executed}
}

func (f *failure) withRetryAfter(d time.Duration) *failure {
	f.retryAfter = d
	return f
}

// shortRetryAfter is the Retry-After for faults of short duration, such as a lost
// endpoint.
const shortRetryAfter = time.Second

// refusalFailure returns the answer for an error of Control.Admit. The answer is
// not used if the caller has hung up.
func refusalFailure(err error, executed engine.Executed) *failure {
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) {
		return failf(openai.CodeInternal, executed, "the request could not be admitted: %v", err)
	}
	f := failf(openai.Code(refusal.Reason.String()), executed, "%s", refusalMessage(refusal.Reason))
	return f.withRetryAfter(refusal.RetryAfter)
}

func refusalMessage(r admission.Reason) string {
	switch r {
	case admission.ReasonOverload:
		return "the service level of the row cannot be met now"
	case admission.ReasonLimit:
		return "a limit of the row is reached"
	case admission.ReasonQueueFull:
		return "too many requests wait already"
	case admission.ReasonDeadline:
		return "the deadline passed while the request waited"
	case admission.ReasonUnknownModel:
		return "the model does not exist"
	case admission.ReasonNoEndpoint:
		return "no endpoint serves the row now"
	case admission.ReasonQuarantined:
		return "requests with this content have crashed endpoints and are refused for now"
	case admission.ReasonIsolated:
		return "this instance is cut off from the rest of the fleet"
	case admission.ReasonStopping:
		return "this instance is stopping"
	case admission.ReasonRetryBudget:
		return "the request lost its endpoint and the retry budget is used up"
	case admission.ReasonTrialUnavailable:
		return "the request may crash endpoints and cannot be tried now"
	default:
		return "the request was refused"
	}
}

// writeJSON writes a JSON answer with its Content-Length.
func (g *Gateway) writeJSON(w http.ResponseWriter, status int, body []byte) error {
	w.Header().Set("Content-Type", "application/json")
	return g.writeWithLength(w, status, body)
}

// writeSegmentBytes is how much of an answer is written under one write deadline.
const writeSegmentBytes = 64 << 10

// writeWithLength writes a complete answer with its Content-Length. The header
// must already have a Content-Type.
func (g *Gateway) writeWithLength(w http.ResponseWriter, status int, body []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rc := http.NewResponseController(w)
	g.extendWriteDeadline(rc)
	w.WriteHeader(status)
	for len(body) > 0 {
		n := min(len(body), writeSegmentBytes)
		if _, err := w.Write(body[:n]); err != nil {
			return g.wrapWriteError(err)
		}
		if body = body[n:]; len(body) > 0 {
			g.extendWriteDeadline(rc)
		}
	}
	return nil
}

// extendWriteDeadline sets the write deadline to WriteTimeout from now. It does
// nothing for writers without deadlines, as in handler tests.
func (g *Gateway) extendWriteDeadline(rc *http.ResponseController) {
	_ = rc.SetWriteDeadline(time.Now().Add(g.cfg.Limits.WriteTimeout))
}

// wrapWriteError describes a failed write and counts callers that read too slowly.
func (g *Gateway) wrapWriteError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.counters.slowReaders.Add(1)
		return fmt.Errorf("caller reads too slowly: %w", err)
	}
	return fmt.Errorf("write to caller: %w", err)
}

// writeFailure answers with f. The headers state whether the request was executed
// and when the caller can retry.
func (g *Gateway) writeFailure(w http.ResponseWriter, f *failure) {
	h := w.Header()
	h.Set(HeaderExecuted, f.executed.String())
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((f.retryAfter+time.Second-1)/time.Second), 10))
	}
	_ = g.writeJSON(w, f.err.HTTPStatus(), openai.AppendError(nil, f.err))
}
