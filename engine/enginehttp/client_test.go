package enginehttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

func newTestClient(tb testing.TB, h http.Handler) *Client {
	tb.Helper()
	server := httptest.NewServer(h)
	tb.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return NewClient(server.Listener.Addr().String(), Options{ReadTimeout: 200 * time.Millisecond})
}

func raw(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var request = engine.GenerateRequest{RequestID: "r1", Model: "m", MaxTokens: 3}

// readAll reads a stream to its end and returns its text and error.
func readAll(s engine.Stream, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer func() { _ = s.Close() }()
	text := ""
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += c.Text
	}
}

const (
	first  = "data: {\"id\":\"r1\",\"i\":0,\"t\":\"a\",\"n\":1}\n\n"
	second = "data: {\"id\":\"r1\",\"i\":1,\"t\":\"b\",\"n\":1}\n\n"
	last   = "event: end\ndata: {\"id\":\"r1\",\"i\":2,\"t\":\"c\",\"n\":1,\"finish\":\"stop\"}\n\n"
)

// Guards against a short, mixed-up or foreign answer being passed on as whole,
// and against a failure that claims more certainty than there is.
func TestStreamFailuresAreClassified(t *testing.T) {
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		kind     engine.ErrorKind
		executed engine.Executed
	}{
		"no end marker":     {raw(200, first+second), engine.Truncated, engine.ExecutedYes},
		"empty answer":      {raw(200, ""), engine.Truncated, engine.ExecutedUnknown},
		"half an event":     {raw(200, first+second+last[:len(last)-1]), engine.Truncated, engine.ExecutedYes},
		"cut before answer": {cut, engine.Truncated, engine.ExecutedUnknown},
		"cut after a chunk": {func(w http.ResponseWriter, r *http.Request) {
			raw(200, first)(w, r)
			_ = http.NewResponseController(w).Flush()
			cut(w, r)
		}, engine.Truncated, engine.ExecutedYes},
		"index gap":      {raw(200, first+last), engine.Malformed, engine.ExecutedYes},
		"repeated chunk": {raw(200, first+first), engine.Malformed, engine.ExecutedYes},
		"other request":  {raw(200, first+`data: {"id":"r2","i":1,"t":"b"}`+"\n\n"), engine.Crossed, engine.ExecutedYes},
		"no request id":  {raw(200, `data: {"i":0,"t":"b"}`+"\n\n"), engine.Malformed, engine.ExecutedUnknown},
		"not JSON":       {raw(200, "data: {\n\n"), engine.Malformed, engine.ExecutedUnknown},
		"unknown event":  {raw(200, "event: x\n"+first), engine.Malformed, engine.ExecutedUnknown},
		"finish without end marker": {raw(200, `data: {"id":"r1","i":0,"t":"a","finish":"stop"}`+"\n\n"),
			engine.Malformed, engine.ExecutedUnknown},
		"endless event": {raw(200, "data: "+string(make([]byte, 2*maxEvent))), engine.Malformed, engine.ExecutedUnknown},
		"refused":       {raw(503, `{"error":{"code":"refused","message":"m","executed":"no"}}`), engine.Refused, engine.ExecutedNo},
		"not resident":  {raw(404, `{"error":{"code":"not_resident","message":"m","executed":"no"}}`), engine.NotResident, engine.ExecutedNo},
		"bare refusal":  {raw(503, `{"error":{"code":"refused","message":"m"}}`), engine.Refused, engine.ExecutedUnknown},
		"foreign 503":   {raw(503, "<html>"), engine.Malformed, engine.ExecutedUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readAll(newTestClient(t, c.handler).Generate(t.Context(), request))
			var e *engine.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, c.kind)
			is.Equal(e.Executed, c.executed)
		})
	}
}

// Guards against an engine that can't be reached counting as possibly executed.
func TestRefusedConnectionHasNotExecuted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	c := NewClient(listener.Addr().String(), Options{})
	_, err = c.Generate(t.Context(), request)
	var e *engine.Error
	is.True(errors.As(err, &e))
	is.Equal(*e, engine.Error{Kind: engine.Unreachable, Executed: engine.ExecutedNo, Err: e.Err})
	_, err = c.Order(t.Context(), engine.Order{ID: "o", Name: "m"})
	is.True(errors.As(err, &e))
	is.Equal(e.Executed, engine.ExecutedNo)
}

// Guards against a lost answer to an order being taken for a refusal, and an
// answer to another order being taken for the own one.
func TestOrderOutcomeIsUnknownWithoutItsOwnAnswer(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"cut": cut, "garbage": raw(200, "<html>"), "other order": raw(200, `{"order_id":"x","accepted":true}`), "foreign 500": raw(500, ""),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := newTestClient(t, h).Order(t.Context(), engine.Order{ID: "o", Name: "m"})
			var e *engine.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Executed, engine.ExecutedUnknown)
		})
	}
}

// fixed is a backend with one answer for everything.
type fixed struct {
	order  engine.Order
	result engine.OrderResult
	state  engine.State
	report engine.Report
	events []engine.CacheEvent
	err    error
}

func (f *fixed) Generate(_ context.Context, r engine.GenerateRequest) (engine.Stream, error) {
	return &endlessStream{r: r, index: r.ResumeFrom}, f.err
}

func (f *fixed) Order(_ context.Context, o engine.Order) (engine.OrderResult, error) {
	f.order = o
	return f.result, f.err
}
func (f *fixed) State(context.Context) (engine.State, error)   { return f.state, f.err }
func (f *fixed) Report(context.Context) (engine.Report, error) { return f.report, f.err }
func (f *fixed) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
	return f.events, f.err
}

// Guards against fields that get lost between client and handler.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	residents := []engine.Resident{{Name: "a", Base: "m", Version: "v1", MemoryMB: 2, Ready: true, Running: 3}}
	f := &fixed{
		result: engine.OrderResult{Accepted: true, Reason: "x", HighestToken: fleet.Token{Epoch: 1 << 60, Sequence: 2}},
		state:  engine.State{BootID: "b", HighestToken: fleet.Token{Epoch: 3, Sequence: 4}, MemoryMB: 5, UsedMB: 6, Residents: residents},
		report: engine.Report{TakenAt: time.Unix(7, 8).UTC(), Sequence: 9, BootID: "b", Leaving: true, Running: 10, Waiting: 11, Slots: 12, TokenRate: 1.5, Residents: residents},
		events: []engine.CacheEvent{{Sequence: 13, Prefix: 1<<64 - 1, Removed: true}},
	}
	c := newTestClient(t, NewHandler(f, ""))
	for kind := range orderKinds {
		o := engine.Order{ID: "o", Token: fleet.Token{Epoch: 1, Sequence: 2}, Kind: engine.OrderKind(kind), Name: "a", Base: "m", Version: "v1", MemoryMB: 2}
		result, err := c.Order(t.Context(), o)
		is.NoErr(err)
		is.Equal(result, f.result)
		is.Equal(f.order, o)
	}
	state, err := c.State(t.Context())
	is.NoErr(err)
	is.Equal(state, f.state)
	report, err := c.Report(t.Context())
	is.NoErr(err)
	is.Equal(report, f.report)
	events, err := c.CacheEvents(t.Context(), 12)
	is.NoErr(err)
	is.Equal(events, f.events)
	_, err = c.CacheEvents(t.Context(), 13) // events that were asked for are newer
	is.True(err != nil)
	text, err := readAll(c.Generate(t.Context(), engine.GenerateRequest{RequestID: "r", Model: "m", MaxTokens: 3, ResumeFrom: 1}))
	is.NoErr(err)
	is.Equal(text, " meadow meadow")
}

// Guards against a connection per stream, which would exhaust ports under load.
func TestFinishedStreamsReuseTheirConnection(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(NewHandler(&fixed{}, ""))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := NewClient(server.Listener.Addr().String(), Options{})
	for i := range 20 {
		_, err := readAll(c.Generate(t.Context(), engine.GenerateRequest{RequestID: fmt.Sprint(i), Model: "m", MaxTokens: 3}))
		is.NoErr(err)
	}
	is.Equal(opened.Load(), int32(1))
}

// Guards against an engine that goes on with a request whose caller has gone.
func TestCloseCancelsTheRequestOnTheEngine(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	c := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw(200, first)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	}))
	s, err := c.Generate(t.Context(), request)
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
	is.NoErr(s.Close())
	<-ended
	_, err = s.Next()
	kind, _ := engine.ErrorKindOf(err)
	is.Equal(kind, engine.Cancelled)
}

// Guards against a slow engine counting as a caller that gave up.
func TestSlowReadIsUnreachable(t *testing.T) {
	is := is.New(t)
	c := newTestClient(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	_, err := c.State(t.Context())
	kind, _ := engine.ErrorKindOf(err)
	is.Equal(kind, engine.Unreachable)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.State(ctx)
	kind, _ = engine.ErrorKindOf(err)
	is.Equal(kind, engine.Cancelled)
}
