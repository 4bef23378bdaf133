package gateway

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/memorybudget"
)

const streamBody = `{"model":"base","stream":true,"messages":[{"role":"user","content":"when?"}]}`

// Guards against invalid requests that are accepted, or refused with the wrong
// status or code.
func TestInvalidInputIsRefused(t *testing.T) {
	r := newTestGateway(t, func(c *Config) { c.Limits.MaxBodyBytes = 1000 })
	long := `{"model":"` + strings.Repeat("m", 1000) + `"}`
	for _, c := range []struct {
		method, path, body string
		status             int
		code               string
	}{
		{"POST", "/v1/chat/completions", `{"model":`, 400, "invalid_json"},
		{"POST", "/v1/chat/completions", `{"model":"no","messages":[{"role":"user","content":"a"}]}`, 404, "model_not_found"},
		{"POST", "/v1/chat/completions", `{"model":"booking","messages":[{"role":"user","content":"a"}]}`, 404, "model_not_found"},
		{"POST", "/v1/chat/completions", long, 413, "body_too_large"},
		{"POST", "/services/booking/x", long, 413, "body_too_large"},
		{"POST", "/services/base/x", ``, 404, "service_not_found"},
		{"GET", "/v1/chat/completions", ``, 405, "method_not_allowed"},
		{"GET", "/v2", ``, 404, "not_found"},
	} {
		a := r.call(c.method, c.path, c.body)
		r.is.Equal(a.status, c.status)
		r.is.Equal(a.executed, "no")
		r.is.True(strings.Contains(a.body, `"code":"`+c.code+`"`))
	}
	r.is.Equal(r.Vars().Get("bodies_too_large").String(), "2")
	r.is.Equal(len(r.control.admitRequests), 0)
	a := r.call("POST", "/v1/completions", `{"model":"base","prompt":"x"}`, HeaderRequestID, "mine")
	r.is.Equal(a.header.Get(HeaderRequestID), "mine")
	a = r.call("POST", "/v1/completions", `{"model":"base","prompt":"x"}`, HeaderRequestID, "not visible ascii")
	r.is.Equal(len(a.header.Get(HeaderRequestID)), 36) // a UUID
}

// Guards against a caller that sends no body and so holds its memory and connection
// for ever.
func TestSlowWriterIsDisconnected(t *testing.T) {
	r := newTestGateway(t, func(c *Config) { c.Limits.BodyTimeout = 20 * time.Millisecond })
	conn, err := net.Dial("tcp", r.Addr().String())
	r.is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	r.is.NoErr(err)
	answer, err := io.ReadAll(conn) // ends because the gateway closes the connection
	r.is.NoErr(err)
	r.is.True(strings.Contains(string(answer), " 408 "))
	r.is.True(strings.Contains(string(answer), "body_timeout"))
	r.is.Equal(len(r.control.admitRequests), 0)
}

// Guards against bodies that together take more memory than the gateway may, against a
// refusal that states no time, and against memory that is not given back.
func TestBodiesBeyondMemoryAreRefused(t *testing.T) {
	const limit = 1 << 20
	r := newTestGateway(t, func(c *Config) { c.Limits.MaxBodyBytes, c.Memory = limit/4, memorybudget.New(limit) })
	var stalled []net.Conn
	for range 4 {
		conn, err := net.Dial("tcp", r.Addr().String())
		r.is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", limit/4, strings.Repeat(" ", limit/4-1))
		r.is.NoErr(err)
		stalled = append(stalled, conn)
	}
	refused := 0
	for _, conn := range stalled {
		_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue
		}
		refused++
		r.is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		r.is.Equal(resp.Header.Get("Retry-After"), "1")
		r.is.Equal(resp.Header.Get(HeaderExecuted), "no")
	}
	r.is.True(refused > 0 && refused < len(stalled))
	r.is.Equal(r.Vars().Get("memory_refused").String(), fmt.Sprint(refused))
	for _, conn := range stalled {
		_ = conn.Close()
	}
	awaitReleased := func() {
		for end := time.Now().Add(20 * time.Second); r.cfg.Memory.Counts().Held > 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are still held", r.cfg.Memory.Counts().Held)
			}
		}
	}
	awaitReleased()
	large := `{"model":"base","prompt":"` + strings.Repeat("p", limit/4-100) + `"}`
	for range 2 {
		r.is.Equal(r.call("POST", "/v1/completions", large).status, http.StatusOK)
		awaitReleased() // the answer arrives before the request has ended
	}
}

// Guards against a caller that does not read its answer and so holds its grant for
// ever.
func TestSlowReaderIsDisconnected(t *testing.T) {
	r := newTestGateway(t, func(c *Config) { c.Limits.WriteTimeout = 50 * time.Millisecond })
	closed := make(chan struct{})
	r.engines["e1"].generate = func(ctx context.Context, q engine.GenerateRequest) (engine.Stream, error) {
		return &endlessStream{ctx: ctx, id: q.RequestID, closeCalled: closed, text: strings.Repeat("x", 16<<10)}, nil
	}
	conn, err := net.Dial("tcp", r.Addr().String())
	r.is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(streamBody), streamBody)
	r.is.NoErr(err)
	<-closed
	r.is.NoErr(r.stopKernel(context.Background()))
	r.is.Equal(r.control.results(), []admission.Result{admission.ResultCancelled})
	r.is.Equal(r.Vars().Get("slow_readers").String(), "1")
}

// endlessStream is a stream that never ends. Its Close method closes closeCalled.
type endlessStream struct {
	ctx         context.Context
	id          string
	nextIndex   int
	closeCalled chan struct{}
	text        string
}

func (s *endlessStream) Next() (engine.Chunk, error) {
	s.nextIndex++
	return engine.Chunk{RequestID: s.id, Index: s.nextIndex - 1, Text: s.text, Tokens: 1}, s.ctx.Err()
}

func (s *endlessStream) Close() error {
	close(s.closeCalled)
	return nil
}

// Guards against a stream of empty chunks without end, which never reaches the limit
// for the text of an answer and holds its grant for ever.
func TestEndlessEmptyChunksAreCutOff(t *testing.T) {
	r := newTestGateway(t, func(c *Config) { c.Limits.MaxAnswerBytes = 1000 })
	closed := make(chan struct{})
	r.engines["e1"].generate = func(ctx context.Context, q engine.GenerateRequest) (engine.Stream, error) {
		return &endlessStream{ctx: ctx, id: q.RequestID, closeCalled: closed, nextIndex: q.ResumeFrom}, nil
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, _, _, _ = streamText(r, ctx, "base")
	r.is.NoErr(ctx.Err()) // the gateway ended the stream, not the test
	<-closed
	r.is.Equal(r.control.results()[0], admission.ResultFailed)
	r.is.Equal(r.Vars().Get("answers_malformed").String(), "1")
}

// Guards against an engine that stalls in mid-answer and leaves its caller waiting.
func TestStalledEngineIsReplaced(t *testing.T) {
	r := newTestGateway(t, func(c *Config) { c.Limits.EngineStallTimeout = 30 * time.Millisecond })
	r.engines["e1"].generate = func(ctx context.Context, q engine.GenerateRequest) (engine.Stream, error) {
		return newWordStream(ctx, q, map[int]func(*engine.Chunk) error{3: func(*engine.Chunk) error {
			<-ctx.Done()
			return ctx.Err()
		}}), nil
	}
	text, _, _, err := streamText(r, t.Context(), "base")
	r.is.NoErr(err)
	r.is.Equal(text, wholeText)
	r.is.Equal(r.control.results(), []admission.Result{admission.ResultLost, admission.ResultAnswered})
}

// Guards against a stop that cuts off a stream, refuses requests while the load
// balancer still sends them, or keeps connections open for further requests.
func TestGracefulStop(t *testing.T) {
	r := newTestGateway(t, func(c *Config) { c.BalancerWait = 50 * time.Millisecond })
	reached, release := make(chan struct{}), make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	r.hookChunk("e1", 2, func(*engine.Chunk) error {
		close(reached)
		<-release
		return nil
	})
	text := make(chan string, 1)
	go func() {
		got, finish, _, err := streamText(r, context.Background(), "base")
		text <- fmt.Sprint(got, finish, err)
	}()
	<-reached
	r.is.Equal(r.call("GET", "/readyz", "").status, http.StatusOK)
	r.Drain()
	r.is.Equal(r.call("GET", "/readyz", "").status, http.StatusServiceUnavailable)
	r.is.Equal(r.call("GET", "/healthz", "").status, http.StatusOK)
	duringDrain := r.call("POST", "/services/none", "")
	r.is.Equal(duringDrain.status, http.StatusNotFound) // the gateway still serves requests
	r.is.True(duringDrain.connectionClosed)

	shortCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r.is.True(r.Stop(shortCtx) != nil) // a request is in flight
	_, err := net.Dial("tcp", r.Addr().String())
	r.is.True(err != nil) // no longer accepting
	finish()
	r.is.Equal(<-text, wholeText+"stop"+"<nil>")
}

// Guards against a write deadline that resets an idle HTTP/2 stream.
func TestIdleStreamOutlivesWriteTimeoutOverTLS(t *testing.T) {
	certificates := httptest.NewUnstartedServer(nil)
	certificates.EnableHTTP2 = true
	certificates.StartTLS()
	defer certificates.Close()
	r := newTestGateway(t, func(c *Config) {
		c.TLS = &tls.Config{Certificates: certificates.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}}
		c.Limits.WriteTimeout = 20 * time.Millisecond
	})
	r.hookChunk("e1", 3, func(*engine.Chunk) error {
		time.Sleep(60 * time.Millisecond)
		return nil
	})
	resp, err := certificates.Client().Post("https://"+r.Addr().String()+"/v1/chat/completions", "application/json", strings.NewReader(streamBody))
	r.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	r.is.Equal(resp.ProtoMajor, 2)
	events := 0
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		if s.Text() != "" {
			events++
		}
	}
	r.is.Equal(events, len(words)+2) // the words, the finish reason and [DONE]
	certificates.Client().CloseIdleConnections()
}

// Guards against configuration problems that are reported one at a time.
func TestConfigProblemsAreReportedTogether(t *testing.T) {
	r := newTestGateway(t, nil)
	_, err := New(Config{})
	r.is.Equal(strings.Count(err.Error(), "\n"), 3)
}
