// Package jsonhttp implements the parts that the JSON protocols share:
// size-limited decoding of bodies, the error format, and bearer token
// authentication.
package jsonhttp

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/hyssophaven/hyssophaven/internal/answerhead"
)

// Error describes a failed request. Every unsuccessful answer carries it in its
// body, under the key "error".
type Error struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Executed string `json:"executed,omitempty"` // "no", "yes" or empty for unknown
}

// MaxHeadBytes limits the head of an answer in the clients of the JSON protocols.
// Servers send heads of some hundred bytes; http.Transport accepts 10 MB by default.
const MaxHeadBytes = 64 << 10

type envelope struct {
	Error *Error `json:"error"`
}

// WriteJSON writes v as a JSON answer with the given status. It ignores write
// errors, which mean that the client has disconnected.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{"error":{"code":"internal","message":"answer can't be encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// WriteError writes e as a JSON answer with the given status.
func WriteError(w http.ResponseWriter, status int, e Error) {
	WriteJSON(w, status, envelope{Error: &e})
}

// DecodeRequest decodes a request body of at most limit bytes into v. On failure it
// answers the request with an error and returns false.
func DecodeRequest(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		status, code := http.StatusBadRequest, "bad_request"
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status, code = http.StatusRequestEntityTooLarge, "too_large"
		}
		WriteError(w, status, Error{Code: code, Message: err.Error(), Executed: "no"})
		return false
	}
	if err := unmarshalStrict(body, v); err != nil {
		WriteError(w, http.StatusBadRequest, Error{Code: "bad_request", Message: err.Error(), Executed: "no"})
		return false
	}
	return true
}

// unmarshalStrict decodes exactly one JSON value and rejects unknown fields and
// trailing data.
func unmarshalStrict(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// ReadBody reads the body of an answer. It fails if the body is longer than limit
// bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("answer is longer than %d bytes", limit)
	}
	return data, nil
}

// ParseError decodes the body of an unsuccessful answer. It returns false if the
// body is not in the error format, or if the status is none of an error: such an answer
// comes from a faulty server and proves nothing.
func ParseError(status int, body []byte) (Error, bool) {
	var e envelope
	if !answerhead.IsError(status) {
		return Error{}, false
	}
	if json.Unmarshal(body, &e) != nil || e.Error == nil || e.Error.Code == "" {
		return Error{}, false
	}
	return *e.Error, true
}

// RequireBearer returns middleware that rejects requests without the given
// bearer token. An empty token disables the check.
func RequireBearer(token string) func(http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return func(next http.Handler) http.Handler {
		if token == "" {
			return next
		}
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			got := sha256.Sum256([]byte(given))
			if !found || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
				WriteError(w, http.StatusUnauthorized, Error{Code: "unauthorized", Message: "missing or wrong bearer token", Executed: "no"})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// SetBearer sets the Authorization header of r to the bearer token unless the
// token is empty.
func SetBearer(r *http.Request, token string) {
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
}
