package enginehttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
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

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headerCallID, r.Header.Get(headerCallID))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var testRequest = engine.GenerateRequest{RequestID: "r1", Model: "m", MaxTokens: 3}

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
	firstEvent  = "data: {\"id\":\"r1\",\"i\":0,\"t\":\"a\",\"n\":1}\n\n"
	secondEvent = "data: {\"id\":\"r1\",\"i\":1,\"t\":\"b\",\"n\":1}\n\n"
	lastEvent   = "event: end\ndata: {\"id\":\"r1\",\"i\":2,\"t\":\"c\",\"n\":1,\"finish\":\"stop\"}\n\n"
)

// Guards against reporting success for an answer that is truncated, out of order or
// meant for another request, and against an error that states whether the request
// ran although the client cannot know.
func TestStreamFailuresAreClassified(t *testing.T) {
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		kind     engine.ErrorKind
		executed engine.Executed
	}{
		"no end marker":     {respond(200, firstEvent+secondEvent), engine.Truncated, engine.ExecutedYes},
		"empty answer":      {respond(200, ""), engine.Truncated, engine.ExecutedUnknown},
		"half an event":     {respond(200, firstEvent+secondEvent+lastEvent[:len(lastEvent)-1]), engine.Truncated, engine.ExecutedYes},
		"cut before answer": {abortConnection, engine.Truncated, engine.ExecutedUnknown},
		"cut after a chunk": {func(w http.ResponseWriter, r *http.Request) {
			respond(200, firstEvent)(w, r)
			_ = http.NewResponseController(w).Flush()
			abortConnection(w, r)
		}, engine.Truncated, engine.ExecutedYes},
		"index gap":      {respond(200, firstEvent+lastEvent), engine.Malformed, engine.ExecutedYes},
		"repeated chunk": {respond(200, firstEvent+firstEvent), engine.Malformed, engine.ExecutedYes},
		"other request":  {respond(200, firstEvent+`data: {"id":"r2","i":1,"t":"b"}`+"\n\n"), engine.WrongRequest, engine.ExecutedYes},
		"no request id":  {respond(200, `data: {"i":0,"t":"b"}`+"\n\n"), engine.Malformed, engine.ExecutedUnknown},
		"not JSON":       {respond(200, "data: {\n\n"), engine.Malformed, engine.ExecutedUnknown},
		"unknown event":  {respond(200, "event: x\n"+firstEvent), engine.Malformed, engine.ExecutedUnknown},
		"finish without end marker": {respond(200, `data: {"id":"r1","i":0,"t":"a","finish":"stop"}`+"\n\n"),
			engine.Malformed, engine.ExecutedUnknown},
		"endless event": {respond(200, "data: "+string(make([]byte, 2*maxEventBytes))), engine.Malformed, engine.ExecutedUnknown},
		"refused":       {respond(503, `{"error":{"code":"refused","message":"m","executed":"no"}}`), engine.Refused, engine.ExecutedNo},
		"not resident":  {respond(404, `{"error":{"code":"not_resident","message":"m","executed":"no"}}`), engine.NotResident, engine.ExecutedNo},
		"bare refusal":  {respond(503, `{"error":{"code":"refused","message":"m"}}`), engine.Refused, engine.ExecutedUnknown},
		"foreign 503":   {respond(503, "<html>"), engine.Malformed, engine.ExecutedUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readAll(newTestClient(t, c.handler).Generate(t.Context(), testRequest))
			var e *engine.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, c.kind)
			is.Equal(e.Executed, c.executed)
		})
	}
}

// Guards against an answer with a status that HTTP does not have, without its whole head or
// body, or with a malformed line, that is taken for a success, or for a refusal that proves that nothing has run.
func TestMalformedAnswerOfEngineProvesNothing(t *testing.T) {
	const refusal = `{"error":{"code":"refused","message":"m","executed":"no"}}`
	malformedAnswers := slices.Concat(rawservertest.MalformedAnswers(refusal), rawservertest.MalformedLines("503 Service Unavailable", refusal),
		rawservertest.CutAnswers("503 Service Unavailable", refusal), rawservertest.CutAnswers("200 OK", "{}"))
	for _, malformed := range malformedAnswers {
		t.Run(malformed.Name, func(t *testing.T) {
			is := is.New(t)
			c := newTestClient(t, malformed.Handler(func(r *http.Request) string {
				return headerCallID + ": " + r.Header.Get(headerCallID) + "\r\n"
			}))
			_, generated := readAll(c.Generate(t.Context(), testRequest))
			_, ordered := c.Order(t.Context(), engine.Order{ID: "o", Name: "m"})
			_, state := c.State(t.Context())
			for _, err := range []error{generated, ordered, state} {
				var e *engine.Error
				is.True(errors.As(err, &e))
				is.Equal(e.Executed, engine.ExecutedUnknown)
			}
		})
	}
}

// Guards against a request to an unreachable engine counting as possibly executed.
func TestRefusedConnectionHasNotExecuted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	c := NewClient(listener.Addr().String(), Options{})
	_, err = c.Generate(t.Context(), testRequest)
	var e *engine.Error
	is.True(errors.As(err, &e))
	is.Equal(*e, engine.Error{Kind: engine.Unreachable, Executed: engine.ExecutedNo, Err: e.Err})
	_, err = c.Order(t.Context(), engine.Order{ID: "o", Name: "m"})
	is.True(errors.As(err, &e))
	is.Equal(e.Executed, engine.ExecutedNo)
}

// Guards against reporting a refusal if the answer to an order is lost, and against
// accepting the answer to another order.
func TestOrderOutcomeIsUnknownWithoutItsOwnAnswer(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"cut": abortConnection, "garbage": respond(200, "<html>"), "other order": respond(200, `{"order_id":"x","accepted":true}`), "foreign 500": respond(500, ""),
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

// fixedBackend returns preset answers and records the last order.
type fixedBackend struct {
	order  engine.Order
	result engine.OrderResult
	state  engine.State
	report engine.Report
	events []engine.CacheEvent
	err    error
}

func (f *fixedBackend) Generate(_ context.Context, r engine.GenerateRequest) (engine.Stream, error) {
	return &pacedStream{r: r, index: r.ResumeFrom}, f.err
}

func (f *fixedBackend) Order(_ context.Context, o engine.Order) (engine.OrderResult, error) {
	f.order = o
	return f.result, f.err
}
func (f *fixedBackend) State(context.Context) (engine.State, error)   { return f.state, f.err }
func (f *fixedBackend) Report(context.Context) (engine.Report, error) { return f.report, f.err }
func (f *fixedBackend) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
	return f.events, f.err
}

// Guards against fields that are lost between client and handler.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	residents := []engine.Resident{{Name: "a", Base: "m", Version: "v1", MemoryMB: 2, Ready: true, Running: 3}}
	f := &fixedBackend{
		result: engine.OrderResult{Accepted: true, Reason: "x", HighestToken: fleet.Token{Epoch: 1 << 60, Sequence: 2}},
		state:  engine.State{BootID: "b", HighestToken: fleet.Token{Epoch: 3, Sequence: 4}, MemoryMB: 5, UsedMB: 6, Residents: residents},
		report: engine.Report{TakenAt: time.Unix(7, 8).UTC(), Sequence: 9, BootID: "b", Leaving: true, Running: 10, Waiting: 11, Slots: 12, TokenRate: 1.5, Residents: residents},
		events: []engine.CacheEvent{{Sequence: 13, Prefix: 1<<64 - 1, Removed: true}},
	}
	c := newTestClient(t, NewHandler(f, ""))
	for kind := range orderKindNames {
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
	_, err = c.CacheEvents(t.Context(), 13) // an event with sequence number 13 is not after 13
	is.True(err != nil)
	text, err := readAll(c.Generate(t.Context(), engine.GenerateRequest{RequestID: "r", Model: "m", MaxTokens: 3, ResumeFrom: 1}))
	is.NoErr(err)
	is.Equal(text, " meadow meadow")
}

// Guards against opening a connection per stream, which would exhaust ports under load.
func TestFinishedStreamsReuseTheirConnection(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(NewHandler(&fixedBackend{}, ""))
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

// Guards against an engine that continues with a request after its stream was closed.
func TestCloseCancelsTheRequestOnTheEngine(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	c := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		respond(200, firstEvent)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	}))
	s, err := c.Generate(t.Context(), testRequest)
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
	is.NoErr(s.Close())
	<-ended
	_, err = s.Next()
	kind, _ := engine.ErrorKindOf(err)
	is.Equal(kind, engine.Cancelled)
}

// Guards against reporting a read timeout as a cancellation by the caller.
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
