package operator

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/hyssophaven/hyssophaven/tablestore"
)

// Paths of the interface.
const (
	pathTable      = "/v1/table"
	pathEdits      = "/v1/table/edits"
	pathHistory    = "/v1/table/history"
	pathStatus     = "/v1/status"
	pathBurn       = "/v1/burn"
	pathQuarantine = "/v1/quarantine"
	pathVars       = "/debug/vars"
)

// maxBodyBytes limits the body of an edit. 10,000 rows of about 500 bytes fit.
const maxBodyBytes = 8 << 20

// change sets or removes one row. Exactly one of Set and Remove is present.
type change struct {
	Set     json.RawMessage `json:"set,omitempty"`
	Remove  string          `json:"remove,omitempty"`
	BasedOn uint64          `json:"based_on,omitempty"`
	Force   bool            `json:"force,omitempty"`
}

type editRequest struct {
	Author  string   `json:"author,omitempty"`
	Changes []change `json:"changes"`
}

type editResponse struct {
	Revision uint64 `json:"revision"`
}

type historyResponse struct {
	Entries []tablestore.HistoryEntry `json:"entries"`
}

// Error codes of the interface.
const (
	CodeBadRequest       = "bad_request"
	CodeUnauthorized     = "unauthorized"
	CodeNotFound         = "not_found"
	CodeConflict         = "conflict"
	CodeInvalidTable     = "invalid_table"
	CodeStoreUnavailable = "store_unavailable"
	CodeUnknownOutcome   = "unknown_outcome"
	CodeInternal         = "internal"
)

// Problem is a validation error of an edit. Row and Column name its position.
type Problem struct {
	Row     string `json:"row,omitempty"`
	Column  string `json:"column,omitempty"`
	Message string `json:"message"`
}

// Error is the response to a failed request.
type Error struct {
	Status   int             `json:"-"` // HTTP status
	Code     string          `json:"code"`
	Message  string          `json:"message"`
	Problems []Problem       `json:"problems,omitempty"`
	Current  json.RawMessage `json:"current,omitempty"` // current version of the row that the edit conflicts with
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Message
	for _, p := range e.Problems {
		text += fmt.Sprintf("\nrow %q: %s: %s", p.Row, p.Column, p.Message)
	}
	return text
}

type errorResponse struct {
	Error *Error `json:"error"`
}

func formatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }

func parseFingerprint(text string) (uint64, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, fmt.Errorf("%q is not a fingerprint of 16 hexadecimal digits", text)
	}
	return f, nil
}
