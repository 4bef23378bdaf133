package operator

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/tablestore"
)

// fakeTable keeps the table in memory.
type fakeTable struct {
	current *table.Snapshot
	err     error
}

func (f *fakeTable) Load(context.Context) (*table.Snapshot, error) { return f.current, f.err }

func (f *fakeTable) Edit(_ context.Context, e table.Edit) (*table.Snapshot, error) {
	if f.err != nil {
		return nil, f.err
	}
	after, err := table.Apply(f.current, e)
	if err == nil {
		f.current = after
	}
	return after, err
}

func (f *fakeTable) History(context.Context, int) ([]tablestore.HistoryEntry, error) {
	return nil, f.err
}

func newTestServer(t *testing.T) (*fakeTable, *httptest.Server) {
	rows := []table.Row{{Name: "m", Kind: table.KindModel, Rank: fleet.Prompt, Weight: 1, Pool: "p", MemoryMB: 10, RowVersion: 1}}
	f := &fakeTable{current: table.NewSnapshot(1, rows)}
	s := NewServer(Config{Token: "0123456789abcdef", Vars: new(expvar.Map)})
	s.table = f
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return f, server
}

// Guards against invalid edits that are accepted, are refused without a reason,
// or change the table: unknown column, negative weight, outdated row version,
// malformed JSON, no changes.
func TestBadEditsAreRefusedWithTheirReason(t *testing.T) {
	is := is.New(t)
	f, server := newTestServer(t)
	for _, c := range []struct {
		body, code, reason string
		status             int
	}{
		{`{"changes":[{"set":{"name":"m","kind":"model","colour":"red"}}]}`, CodeBadRequest, "colour", http.StatusBadRequest},
		{`{"changes":[{"set":{"name":"m","kind":"model","pool":"p","memory_mb":1,"weight":-1},"based_on":1}]}`, CodeInvalidTable, "weight", http.StatusUnprocessableEntity},
		{`{"changes":[{"remove":"m","based_on":7}]}`, CodeConflict, "row_version", http.StatusConflict},
		{`{"changes":[`, CodeBadRequest, "read edit", http.StatusBadRequest},
		{`{"changes":[]}`, CodeBadRequest, "no changes", http.StatusBadRequest},
	} {
		response := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, pathEdits, strings.NewReader(c.body))
		request.Header.Set("Authorization", "Bearer 0123456789abcdef")
		server.Config.Handler.ServeHTTP(response, request)
		is.Equal(response.Code, c.status)
		is.True(strings.Contains(response.Body.String(), c.code))
		is.True(strings.Contains(response.Body.String(), c.reason))
	}
	is.Equal(f.current.Revision, uint64(1))
}

// Guards against requests that are served without the valid token.
func TestTokenIsRequired(t *testing.T) {
	is := is.New(t)
	_, server := newTestServer(t)
	_, err := NewClient(server.URL, "0123456789abcdeX", nil).Table(t.Context())
	var refused *Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status, http.StatusUnauthorized)
	_, err = NewClient(server.URL, "0123456789abcdef", nil).Table(t.Context())
	is.NoErr(err)
}

// Guards against an edit with an unknown outcome that is reported as refused.
func TestUnknownOutcomeIsNotARefusal(t *testing.T) {
	is := is.New(t)
	f, server := newTestServer(t)
	row, _ := f.current.Row("m")
	f.err = backing.ErrUnknownOutcome
	_, err := NewClient(server.URL, "0123456789abcdef", nil).Edit(t.Context(), table.Edit{Changes: []table.Change{{Row: row, BaseVersion: 1}}})
	var failure *Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, CodeUnknownOutcome)
}
