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

// Headers of the callers' interface.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderExecuted  = "X-Hyssophaven-Executed"
	HeaderKey       = "Idempotency-Key"
	HeaderReplayed  = "Idempotent-Replayed"
)

// failure is an error answer and what is known about execution.
type failure struct {
	err        *openai.Error
	executed   engine.Executed
	retryAfter time.Duration // 0 if a later try would not help
}

func failf(code openai.Code, executed engine.Executed, format string, args ...any) *failure {
	return &failure{err: &openai.Error{Code: code, Message: fmt.Sprintf(format, args...)}, executed: executed}
}

func (f *failure) after(d time.Duration) *failure {
	f.retryAfter = d
	return f
}

// retrySoon is the Retry-After of faults that pass quickly, such as a lost endpoint.
const retrySoon = time.Second

// refusalFailure returns the answer for an error of Control.Admit that is not
// the caller's own hang-up.
func refusalFailure(err error, executed engine.Executed) *failure {
	var refusal *admission.Refusal
	if !errors.As(err, &refusal) {
		return failf(openai.CodeInternal, executed, "the request could not be admitted: %v", err)
	}
	f := failf(openai.Code(refusal.Reason.String()), executed, "%s", refusalMessage(refusal.Reason))
	return f.after(refusal.RetryAfter)
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

// writeJSON writes a whole JSON answer.
func (g *Gateway) writeJSON(w http.ResponseWriter, status int, body []byte) error {
	w.Header().Set("Content-Type", "application/json")
	return g.writeWhole(w, status, body)
}

// writePiece is how much of a whole answer is written under one write deadline.
const writePiece = 64 << 10

// writeWhole writes a whole answer with its length. The header must hold the
// content type.
func (g *Gateway) writeWhole(w http.ResponseWriter, status int, body []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rc := http.NewResponseController(w)
	g.extendWrite(rc)
	w.WriteHeader(status)
	for len(body) > 0 {
		n := min(len(body), writePiece)
		if _, err := w.Write(body[:n]); err != nil {
			return g.writeError(err)
		}
		if body = body[n:]; len(body) > 0 {
			g.extendWrite(rc)
		}
	}
	return nil
}

// extendWrite gives the caller WriteTimeout from now to take what is written.
// Writers without deadlines, as in tests of handlers, are left as they are.
func (g *Gateway) extendWrite(rc *http.ResponseController) {
	_ = rc.SetWriteDeadline(time.Now().Add(g.cfg.Limits.WriteTimeout))
}

// writeError counts callers that were cut because they read too slowly.
func (g *Gateway) writeError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.counters.slowReader.Add(1)
		return fmt.Errorf("caller reads too slowly: %w", err)
	}
	return fmt.Errorf("write to caller: %w", err)
}

// fail writes an error answer.
func (g *Gateway) fail(w http.ResponseWriter, f *failure) {
	h := w.Header()
	h.Set(HeaderExecuted, f.executed.String())
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((f.retryAfter+time.Second-1)/time.Second), 10))
	}
	_ = g.writeJSON(w, f.err.HTTPStatus(), openai.AppendError(nil, f.err))
}
