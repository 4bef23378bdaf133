// Package upstream is the HTTP/1.1 client towards endpoints. It never sends a
// request twice, tells a request that was not sent from one that may have run,
// and gives up a connection on which anything but the expected answer comes.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// ErrNotSent means that no byte of the request reached the connection.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrBroken means that the connection ended or brought no valid answer
	// after the request had been sent, at least in part.
	ErrBroken = errors.New("upstream: connection broken")
	// ErrSilent means that no answer, or no further part of it, came in time.
	ErrSilent = errors.New("upstream: no answer in time")
)

const (
	// dialTimeout is many round trips between data centres.
	dialTimeout = 400 * time.Millisecond
	// readBuffer holds the usual answer of a plain service or several events.
	readBuffer = 4 << 10
	// idleMargin is the time before an endpoint's idle timeout at which a
	// connection is not used any more.
	idleMargin = 700 * time.Millisecond
	// defaultIdle is used where the endpoint states no timeout.
	defaultIdle = 4 * time.Second
	// maxIdle is the number of idle connections kept to one endpoint.
	maxIdle = 24
	// syncWrite is the size up to which a request is written before the answer
	// is read. It is far below the window of a connection.
	syncWrite = 8 << 10
	// writeTimeout bounds the write of a request to an endpoint that reads slowly.
	writeTimeout = 5 * time.Second
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Call is one request.
type Call struct {
	Method string
	Target string // path and query as on the request line
	Host   string
	Header http.Header
	Body   []byte
	// BeforeWrite, if not nil, is called right before the first byte is written;
	// its error keeps the request from being sent.
	BeforeWrite func() error
}

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dial   Dial
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	opened atomic.Int64
}

// NewPool returns an empty pool.
func NewPool(dial Dial) *Pool { return &Pool{dial: dial, idle: make(map[string][]*conn)} }

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() int64 { return p.opened.Load() }

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	expires time.Time
}

// Answer is the head of an answer with its body. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1.
	Length int64

	pool    *Pool
	conn    *conn
	body    io.ReadCloser
	stop    func() bool // ends the watch of the context
	written chan error  // nil if the request was written before the answer
	ended   bool        // the body was read to its end
	close   bool        // the connection can't be used again
}

// Do sends a call and returns the head of the answer. silence bounds the wait
// for it. When ctx ends, the connection is closed at once, also while the body
// is read.
func (p *Pool) Do(ctx context.Context, address string, call *Call, silence time.Duration) (*Answer, error) {
	c, err := p.take(ctx, address)
	if err != nil {
		return nil, err
	}
	a := &Answer{pool: p, conn: c}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.exchange(call, silence); err != nil {
		a.stop()
		_ = c.Close()
		if ctx.Err() != nil && !errors.Is(err, ErrNotSent) {
			return nil, fmt.Errorf("%w: %w", ErrBroken, ctx.Err())
		}
		return nil, err
	}
	return a, nil
}

func (a *Answer) exchange(call *Call, silence time.Duration) error {
	if call.BeforeWrite != nil {
		if err := call.BeforeWrite(); err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	message := call.encode()
	if len(message) <= syncWrite {
		if err := a.conn.write(message); err != nil {
			return err
		}
	} else {
		a.written = make(chan error, 1)
		go func() { a.written <- a.conn.write(message) }()
	}
	return a.readHead(call, silence)
}

func (c *conn) write(message []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Write(message)
	switch {
	case err == nil:
		return nil
	case n == 0 && !errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: write: %w", ErrBroken, err)
	}
}

// encode formats the request. The target and the header values are sent as
// they are.
func (c *Call) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(c.Body))
	b.WriteString(c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	if len(c.Body) > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	_ = c.Header.Write(&b) // a bytes.Buffer returns no error
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}

func (a *Answer) readHead(call *Call, silence time.Duration) error {
	_ = a.conn.SetReadDeadline(time.Now().Add(silence))
	request := &http.Request{Method: call.Method}
	for {
		response, err := http.ReadResponse(a.conn.reader, request)
		if err != nil {
			return a.readError(err)
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue // an interim answer
		}
		a.Status, a.Header, a.Length, a.body = response.StatusCode, response.Header, response.ContentLength, response.Body
		a.close = response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0
		return nil
	}
}

// readError translates an error of a read. A failed write explains it better.
func (a *Answer) readError(err error) error {
	if a.written != nil {
		select {
		case writeErr := <-a.written:
			if writeErr != nil {
				return writeErr
			}
		default:
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return fmt.Errorf("%w: read: %w", ErrBroken, err)
}

// Read reads the body. It returns io.EOF only if the body is complete, and
// waits no longer than the time set by SetSilence.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		a.ended = true
		return n, io.EOF
	}
	return n, a.readError(err)
}

// SetSilence bounds the wait for the next part of the body.
func (a *Answer) SetSilence(d time.Duration) { _ = a.conn.SetReadDeadline(time.Now().Add(d)) }

// Close ends the exchange. The connection is kept if the answer was complete
// and reuse is true; otherwise it is closed, which cancels the request.
func (a *Answer) Close(reuse bool) {
	stopped := a.stop()
	if !reuse || !stopped || a.close || !a.complete() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.conn, idleTime(a.Header))
}

// complete reports whether the whole request was written and the whole answer read.
func (a *Answer) complete() bool {
	if a.written != nil {
		select {
		case err := <-a.written:
			if err != nil {
				return false
			}
		default:
			return false // the endpoint answered before it read the body
		}
	}
	if !a.ended {
		// A body that has been read to its length may not have reported its end.
		n, err := a.body.Read(make([]byte, 1))
		a.ended = n == 0 && err == io.EOF
	}
	return a.ended
}

// idleTime returns how long the connection may stay idle.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
