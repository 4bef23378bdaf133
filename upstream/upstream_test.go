package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endpoint is a test server. It counts its connections and requests.
type endpoint struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

// startEndpoint starts an endpoint that calls script to answer each request. The
// second argument of script is the number of the request.
func startEndpoint(t *testing.T, script func(c net.Conn, n int64)) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &endpoint{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					script(c, e.requests.Add(1))
				}
			}()
		}
	}()
	return e
}

// testPool is a pool whose endpoints seem to echo the ID of the last request.
type testPool struct {
	*Pool
	requests int
}

func newPool() *testPool { return newPoolWith((&net.Dialer{}).DialContext) }

func newPoolWith(dial DialFunc) *testPool {
	p := &testPool{}
	p.Pool = NewPool(dial, func(http.Header) string { return strconv.Itoa(p.requests) })
	return p
}

// Do sends call with an ID of its own.
func (p *testPool) Do(ctx context.Context, address string, call *Call, answerTimeout time.Duration) (*Answer, error) {
	p.requests++
	return p.Pool.Do(ctx, Endpoint{Address: address}, &Request{ID: strconv.Itoa(p.requests), Call: *call}, answerTimeout)
}

// get sends a GET request and returns the body of the answer.
func get(p *testPool, address string) (string, error) {
	a, err := p.Do(context.Background(), address, &Call{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}}, time.Second)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a)
	a.Close(err == nil)
	return string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a new connection for each request: opening a connection has a
// cost.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(c net.Conn, _ int64) { _, _ = io.WriteString(c, okAnswer) })
	p := newPool()
	for range 5 {
		body, err := get(p, e.address)
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(e.connections.Load(), int64(1))
}

// Guards against a client that repeats a GET on its own when a reused connection
// breaks, although the request may have run.
func TestRequestOnBrokenConnectionIsNotRepeated(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(c net.Conn, n int64) {
		if n == 2 {
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, okAnswer)
	})
	p := newPool()
	_, err := get(p, e.address)
	is.NoErr(err)
	_, err = get(p, e.address)
	is.True(errors.Is(err, ErrConnectionBroken))
	is.Equal(e.requests.Load(), int64(2))
}

// Guards against an unrequested answer that is taken for the answer to the next
// request on the connection.
func TestConnectionWithUnrequestedBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(c net.Conn, n int64) {
		_, _ = io.WriteString(c, okAnswer)
		if n == 1 {
			time.Sleep(20 * time.Millisecond) // after the first answer was read
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
		}
	})
	p := newPool()
	_, err := get(p, e.address)
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // the extra answer arrives on the idle connection
	body, err := get(p, e.address)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(e.connections.Load(), int64(2))
}

// Guards against a wrong error for an endpoint that refuses the connection, sends
// no answer, sends an invalid answer or ends it early.
func TestErrors(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = get(newPool(), l.Addr().String())
	is.True(errors.Is(err, ErrNotSent))

	silentEndpoint := startEndpoint(t, func(net.Conn, int64) {})
	a, err := newPool().Do(context.Background(), silentEndpoint.address, &Call{Method: "GET", Target: "/", Host: "h"}, 50*time.Millisecond)
	is.True(a == nil && errors.Is(err, ErrAnswerTimeout))

	short := startEndpoint(t, func(c net.Conn, _ int64) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort")
		_ = c.Close()
	})
	_, err = get(newPool(), short.address)
	is.True(errors.Is(err, ErrConnectionBroken))

	reset := startEndpoint(t, func(c net.Conn, _ int64) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nno length")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0) // makes Close send a reset
		_ = c.Close()
	})
	_, err = get(newPool(), reset.address)
	is.True(errors.Is(err, ErrConnectionBroken)) // an answer without a length is complete only if the connection was closed without a reset

	orderly := startEndpoint(t, func(c net.Conn, _ int64) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nno length")
		_ = c.Close()
	})
	body, err := get(newPool(), orderly.address)
	is.NoErr(err)
	is.Equal(body, "no length")

	garbage := startEndpoint(t, func(c net.Conn, _ int64) { _, _ = io.WriteString(c, "\x00\x01 not an answer\r\n\r\n") })
	_, err = get(newPool(), garbage.address)
	is.True(errors.Is(err, ErrConnectionBroken))
}

// Guards against a request that is sent although BeforeWrite returned an error.
func TestBeforeWriteErrorPreventsSending(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, func(c net.Conn, _ int64) { _, _ = io.WriteString(c, okAnswer) })
	call := &Call{Method: "POST", Target: "/", Host: "h", BeforeWrite: func() error { return errors.New("too late") }}
	_, err := newPool().Do(context.Background(), e.address, call, time.Second)
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(e.requests.Load(), int64(0))
}

// Guards against the reuse of a connection on which a request body is not fully
// written because the endpoint answered early.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 512)
			_, _ = c.Read(buffer)
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	p := newPool()
	call := &Call{Method: "POST", Target: "/", Host: "h", Body: []byte(strings.Repeat("x", 16<<20))}
	a, err := p.Do(context.Background(), l.Addr().String(), call, time.Second)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusRequestEntityTooLarge)
	a.Close(true)
	is.Equal(p.IdleConnections(), int64(0))
}

// Guards against an endpoint that keeps working after the context has been canceled.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	e := startEndpoint(t, func(c net.Conn, _ int64) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := newPool().Do(ctx, e.address, &Call{Method: "GET", Target: "/", Host: "h"}, 10*time.Second)
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection was not closed")
	}
}
