package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/answerhead"
	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
)

// hangTimeout stops a test that would otherwise hang.
const hangTimeout = 30 * time.Second

// endlessWriter returns a server that answers with prefix and then repeats chunk.
func endlessWriter(t *testing.T, prefix, chunk string) *rawservertest.Server {
	repeated := []byte(strings.Repeat(chunk, 64<<10/len(chunk)+1))
	return rawservertest.Start(t, func(c net.Conn, _ int64) {
		_ = rawservertest.WriteEndlessly(c, prefix, repeated)
		_ = c.Close()
	})
}

// Guards against an instance that runs out of memory because a replica sends a head
// without end.
func TestEndlessHeadIsCutOff(t *testing.T) {
	for name, server := range map[string]struct {
		prefix, chunk string
		part          string // that exceeds its limit; empty if a line is malformed
	}{
		"status line":     {"HTTP/1.1 200 ", "a", "head"},
		"header line":     {"HTTP/1.1 200 OK\r\nX-A: ", "a", "head"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", "head"},
		"folded header":   {"HTTP/1.1 200 OK\r\nX-A: b\r\n", " c\r\n", ""},
		"zero bytes":      {"", "\x00", "head"},
		"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n", "interim answers"},
		"interim heads":   {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("a", maxHeadBytes/2) + "\r\n\r\n", "head"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var taken atomic.Int64
			pool := newPoolWith(rawservertest.CountingDial(&taken))
			e := endlessWriter(t, server.prefix, server.chunk)
			_, err := pool.Do(context.Background(), e.Address, &Call{Method: "GET", Target: "/", Host: "h"}, hangTimeout)
			is.True(errors.Is(err, ErrConnectionBroken))
			is.True(taken.Load() <= maxHeadBytes)
			if server.part == "" {
				is.True(errors.Is(err, answerhead.ErrMalformedLine))
				return
			}
			var limit *LimitError
			is.True(errors.As(err, &limit))
			is.Equal(limit.Part, server.part)
			is.Equal(pool.AnswersCutOff(), int64(1))
		})
	}
}

// Guards against a limit for heads that rejects a head of exactly that size, or that
// stays in force for the body or for the next answer on the connection.
func TestHeadLimitEndsWithTheHead(t *testing.T) {
	is := is.New(t)
	const start = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\nX-Fill: "
	head := start + strings.Repeat("a", maxHeadBytes-len(start)-len("\r\n\r\n")) + "\r\n\r\n"
	body := strings.Repeat("b", 200_000)
	e := startEndpoint(t, func(c net.Conn, _ int64) { _, _ = io.WriteString(c, head+body) })
	p := newPool()
	for range 3 {
		got, err := get(p, e.address)
		is.NoErr(err)
		is.Equal(got, body)
	}
	is.Equal(e.connections.Load(), int64(1))
}

// Guards against interim answers that are taken for the answer to the request.
func TestInterimAnswersAreSkipped(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(c net.Conn, _ int64) {
		_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimAnswers)+okAnswer)
	})
	p := newPool()
	for range 2 {
		body, err := get(p, e.address)
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(e.connections.Load(), int64(1))
}

// Guards against the framing of a chunked body, which carries no bytes of the body,
// that is read without end.
func TestEndlessChunkFramingIsCutOff(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, server := range map[string]struct{ prefix, chunk string }{
		"chunk extension":  {chunked + "1;", "a"},
		"chunk extensions": {chunked, "1;" + strings.Repeat("e", 1000) + "\r\na\r\n"},
		"chunk size":       {chunked, "0"},
		"trailer line":     {chunked + "0\r\nX-A: ", "a"},
		"trailer lines":    {chunked + "0\r\n", "X-A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var taken atomic.Int64
			pool := newPoolWith(rawservertest.CountingDial(&taken))
			e := endlessWriter(t, server.prefix, server.chunk)
			a, err := pool.Do(context.Background(), e.Address, &Call{Method: "GET", Target: "/", Host: "h"}, hangTimeout)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, a)
			is.True(errors.Is(err, ErrConnectionBroken))
			is.True(taken.Load() <= 2*maxHeadBytes)
			a.Close(true)
			is.Equal(pool.IdleConnections(), int64(0))
		})
	}
}

// FuzzAnswer guards against a panic, an error of an unknown kind, a head beyond its
// limit, and the reuse of a connection after bytes that are no complete answer.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		okAnswer, "HTTP/1.1 200 OK\r\n\r\nno length", "HTTP/1.1 100 Continue\r\n\r\n" + okAnswer, okAnswer + "extra",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/2.0 000\nContent-Length:0\n\n", "\x00\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		client, server := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, server) }()
		go func() {
			_, _ = server.Write(answer)
			_ = server.Close()
		}()
		p := newPoolWith(func(context.Context, string, string) (net.Conn, error) { return client, nil })
		a, err := p.Do(context.Background(), "x", &Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, hangTimeout)
		if err != nil {
			if !errors.Is(err, ErrConnectionBroken) && !errors.Is(err, ErrNotSent) {
				t.Fatalf("unknown error: %v", err)
			}
			return
		}
		if a.Status < 200 || a.Status > 999 {
			t.Fatalf("answer with status %d", a.Status)
		}
		body, err := io.ReadAll(a)
		if err != nil && !errors.Is(err, ErrConnectionBroken) {
			t.Fatalf("unknown error: %v", err)
		}
		if len(body) > len(answer) {
			t.Fatalf("%d bytes of body in an answer of %d bytes", len(body), len(answer))
		}
		a.Close(err == nil)
		whole := bytes.Contains(answer, []byte("\n\r\n")) || bytes.Contains(answer, []byte("\n\n"))
		if p.IdleConnections() > 0 && (err != nil || !whole) {
			t.Fatal("connection is kept after an incomplete answer")
		}
		p.Close()
		_ = client.Close()
	})
}
