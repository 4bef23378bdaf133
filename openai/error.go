package openai

import (
	"encoding/json"
	"net/http"
)

// Code is the machine-readable code of an error. Its values are stable.
type Code string

// Codes of invalid requests.
const (
	CodeInvalidJSON          Code = "invalid_json"
	CodeMissingParameter     Code = "missing_required_parameter"
	CodeInvalidType          Code = "invalid_type"
	CodeInvalidValue         Code = "invalid_value"
	CodeUnsupportedParameter Code = "unsupported_parameter"
	CodeModelNotFound        Code = "model_not_found"
	CodeServiceNotFound      Code = "service_not_found"
	CodeNotFound             Code = "not_found"
	CodeMethodNotAllowed     Code = "method_not_allowed"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeBodyTimeout          Code = "body_timeout"
	CodeBodyIncomplete       Code = "body_incomplete"
	CodeKeyRequired          Code = "idempotency_key_required"
	CodeKeyInvalid           Code = "idempotency_key_invalid"
	CodeKeyReused            Code = "idempotency_key_reused"
)

// Codes of valid requests that could not be served. They include all reasons for
// refusal of package admission except that of an unknown model.
const (
	CodeOverloaded            Code = "overloaded"
	CodeLimitReached          Code = "limit_reached"
	CodeQueueFull             Code = "queue_full"
	CodeDeadlineExceeded      Code = "deadline_exceeded"
	CodeNoEndpoint            Code = "no_endpoint"
	CodeQuarantined           Code = "request_quarantined"
	CodeIsolated              Code = "instance_isolated"
	CodeStopping              Code = "instance_stopping"
	CodeNotReady              Code = "instance_not_ready"
	CodeRetryBudgetExhausted  Code = "retry_budget_exhausted"
	CodeTrialUnavailable      Code = "trial_unavailable"
	CodeEndpointUnreachable   Code = "endpoint_unreachable"
	CodeEndpointLost          Code = "endpoint_lost"
	CodeEndpointAnswerInvalid Code = "endpoint_answer_invalid"
	CodeAnswerTooLarge        Code = "answer_too_large"
	CodeAdapterNotLoaded      Code = "adapter_not_loaded"
	CodeStoreUnavailable      Code = "store_unavailable"
	CodeInProgress            Code = "request_in_progress"
	CodeOutcomeUnknown        Code = "outcome_unknown"
	CodeAnswerNotKept         Code = "answer_not_kept"
	CodeMemoryShort           Code = "memory_short"
	CodeInternal              Code = "internal_error"
)

var statusByCode = map[Code]int{
	CodeModelNotFound:         http.StatusNotFound,
	CodeServiceNotFound:       http.StatusNotFound,
	CodeNotFound:              http.StatusNotFound,
	CodeMethodNotAllowed:      http.StatusMethodNotAllowed,
	CodeBodyTooLarge:          http.StatusRequestEntityTooLarge,
	CodeBodyTimeout:           http.StatusRequestTimeout,
	CodeKeyReused:             http.StatusUnprocessableEntity,
	CodeOverloaded:            http.StatusTooManyRequests,
	CodeLimitReached:          http.StatusTooManyRequests,
	CodeQueueFull:             http.StatusTooManyRequests,
	CodeDeadlineExceeded:      http.StatusServiceUnavailable,
	CodeNoEndpoint:            http.StatusServiceUnavailable,
	CodeQuarantined:           http.StatusUnprocessableEntity,
	CodeIsolated:              http.StatusServiceUnavailable,
	CodeStopping:              http.StatusServiceUnavailable,
	CodeNotReady:              http.StatusServiceUnavailable,
	CodeRetryBudgetExhausted:  http.StatusServiceUnavailable,
	CodeTrialUnavailable:      http.StatusServiceUnavailable,
	CodeEndpointUnreachable:   http.StatusServiceUnavailable,
	CodeEndpointLost:          http.StatusBadGateway,
	CodeEndpointAnswerInvalid: http.StatusBadGateway,
	CodeAnswerTooLarge:        http.StatusBadGateway,
	CodeAdapterNotLoaded:      http.StatusServiceUnavailable,
	CodeStoreUnavailable:      http.StatusServiceUnavailable,
	CodeInProgress:            http.StatusConflict,
	CodeOutcomeUnknown:        http.StatusConflict,
	CodeAnswerNotKept:         http.StatusConflict,
	CodeMemoryShort:           http.StatusServiceUnavailable,
	CodeInternal:              http.StatusInternalServerError,
}

// Status returns the HTTP status of errors with the code.
func (c Code) Status() int {
	if s, ok := statusByCode[c]; ok {
		return s
	}
	return http.StatusBadRequest
}

// errorType returns the "type" member of an error with the given HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= 500:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// Error is an error that is reported to a caller.
type Error struct {
	Code    Code
	Param   string // invalid parameter, such as "messages[0].role"; empty if none
	Message string
	Status  int // HTTP status; 0 selects Code.Status
}

// Error implements error.
func (e *Error) Error() string {
	if e.Param == "" {
		return e.Message
	}
	return e.Param + ": " + e.Message
}

// HTTPStatus returns the HTTP status of the error.
func (e *Error) HTTPStatus() int {
	if e.Status != 0 {
		return e.Status
	}
	return e.Code.Status()
}

type errorBody struct {
	Error errorMember `json:"error"`
}

type errorMember struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    Code    `json:"code"`
}

// AppendError appends the JSON encoding of e to dst.
func AppendError(dst []byte, e *Error) []byte {
	m := errorMember{Message: e.Message, Type: errorType(e.HTTPStatus()), Code: e.Code}
	if e.Param != "" {
		m.Param = &e.Param
	}
	return appendJSON(dst, errorBody{m})
}

// appendJSON appends the JSON encoding of v to dst. It panics if v can't be encoded,
// which never happens for the structs of this package.
func appendJSON(dst []byte, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return append(dst, b...)
}
