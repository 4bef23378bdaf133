package standinservice

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/engine/enginehttp"
)

func newServer(tb testing.TB, c Config) (*Service, string) {
	tb.Helper()
	s := New(c)
	server := httptest.NewServer(s.Handler())
	tb.Cleanup(func() {
		server.Close()
		s.Close()
	})
	return s, server.Listener.Addr().String()
}

func send(ctx context.Context, method, address, path, body string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// Guards against executions missing from the ledger, in particular those whose
// answer did not reach the client.
func TestLedgerRecordsEveryExecution(t *testing.T) {
	for name, c := range map[string]struct {
		faults   Faults
		status   int // 0 means no answer
		executed int
	}{
		"healthy": {Faults{}, 201, 1},
		"refused": {Faults{Refuse: 1}, 503, 0},
		"cut":     {Faults{DropAnswers: 1}, 0, 1},
		"garbage": {Faults{Garbage: 1}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, address := newServer(t, Config{})
			s.SetFaults(c.faults)
			status, err := send(t.Context(), "POST", address, "/bookings", `{"reference":"r1"}`)
			is.Equal(status, c.status)
			is.Equal(err != nil, c.status == 0)
			is.Equal(s.Ledger().Executions("r1"), c.executed)
			is.Equal(s.Faults(), Faults{}) // the count is used up
			status, err = send(t.Context(), "POST", address, "/bookings", `{"reference":"r1"}`)
			is.NoErr(err)
			is.Equal(status, 201)
			is.Equal(s.Ledger().Duplicates, c.executed)
		})
	}
}

// Guards against idempotent or malformed calls being recorded in the ledger.
func TestLedgerRecordsOnlyValidPosts(t *testing.T) {
	is := is.New(t)
	s, address := newServer(t, Config{})
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/slots?date=2026-05-01", "", 200},
		{"GET", "/slots?date=soon", "", 400},
		{"POST", "/holds", `{}`, 400},
		{"POST", "/holds", `{"reference":`, 400},
		{"PUT", "/faults", `{"refuse":1}`, 200},
		{"GET", "/slots?date=2026-05-01", "", 503},
		{"GET", "/ledger", "", 200},
	} {
		status, err := send(t.Context(), c.method, address, c.path, c.body)
		is.NoErr(err)
		is.Equal(status, c.status)
	}
	is.Equal(len(s.Ledger().Entries), 0)
}

// Guards against load reports without the running calls or the leaving mark.
func TestLoadReportShowsRunningCalls(t *testing.T) {
	is := is.New(t)
	s, address := newServer(t, Config{ID: "b1", Slots: 1})
	s.SetLeaving(true)
	is.True(s.acquireSlot(t.Context()))
	report, err := enginehttp.NewClient(address, enginehttp.Options{}).Report(t.Context())
	is.NoErr(err)
	is.Equal([]int{report.Running, report.Waiting, report.Slots}, []int{1, 0, 1})
	is.True(report.Leaving)
	s.releaseSlot()
}
