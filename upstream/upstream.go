// Package upstream is the HTTP/1.1 client for endpoints. It never sends a request twice,
// and its errors distinguish a request that was not sent from one that may have run.
//
// A Pool keeps idle connections for requests with an ID, and returns only answers that
// carry the ID of their request. A Dedicated client is for calls without one: the first
// answer on a new connection can only be that of the only call on it. A connection never
// changes from one to the other.
//
// Retries and the choice of the endpoint are left to its callers, such as package ingress.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/netdial"
)

var (
	// ErrNotSent means that no byte of the request was written to a connection.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrConnectionBroken means that the connection ended or carried no valid answer after
	// at least a part of the request had been sent.
	ErrConnectionBroken = errors.New("upstream: connection broken")
	// ErrForeignAnswer means that the answer does not carry the ID of the request, so that
	// it tells nothing of the request. It is also an ErrConnectionBroken.
	ErrForeignAnswer = errors.New("upstream: answer carries no ID or that of another request")
	// ErrAnswerTimeout means that the answer, or its next part, did not arrive in time.
	ErrAnswerTimeout = errors.New("upstream: no answer in time")

	// errInvalidStatus means a status that HTTP does not have, which http.ReadResponse
	// accepts and http.ResponseWriter does not, or a change of the protocol, which no
	// request asks for.
	errInvalidStatus = errors.New("answer has the invalid status")
)

const (
	// dialTimeout limits the time to connect to an endpoint. It covers many round
	// trips between data centres.
	dialTimeout = 400 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer. It fits the usual
	// answer of a plain service or several events.
	readBufferBytes = 4 << 10
	// idleMargin is how long before the endpoint's idle timeout the pool stops
	// using a connection.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTime is how long a connection is kept if the endpoint declares no
	// idle timeout.
	defaultIdleTime = 4 * time.Second
	// maxSyncWriteBytes is the size up to which a request is written completely
	// before the answer is read. It is far below the TCP window, so that the write
	// does not block.
	maxSyncWriteBytes = 8 << 10
	// writeTimeout limits the time to write a request to an endpoint that reads slowly.
	writeTimeout = 5 * time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = netdial.DialFunc

// Call is what is sent to an endpoint.
type Call struct {
	Method string
	Target string // path and query as on the request line
	Host   string
	Header http.Header
	Body   []byte
	// Rest holds the pieces of the body after Body. They are written as they are, without
	// being copied.
	Rest [][]byte
	// BeforeWrite, if not nil, is called right before the first byte is written. If
	// it returns an error, the request is not sent.
	BeforeWrite func() error
}

// dialer opens connections and counts them.
type dialer struct {
	dial   DialFunc
	opened atomic.Int64
	cutOff atomic.Int64 // answers that exceeded a limit
}

// ConnectionsOpened returns the number of connections opened so far.
func (d *dialer) ConnectionsOpened() int64 { return d.opened.Load() }

// AnswersCutOff returns the number of answers that exceeded a limit so far.
func (d *dialer) AnswersCutOff() int64 { return d.cutOff.Load() }

func (d *dialer) open(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := d.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	d.opened.Add(1)
	connection := netdial.NewConn(raw)
	limiter := &headLimiter{conn: connection}
	return &conn{Conn: connection, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}, nil
}

type conn struct {
	net.Conn
	limiter  *headLimiter // reads from Conn
	reader   *bufio.Reader
	peer     *peer // nil outside a pool
	expires  time.Time
	answered []string // IDs of the requests that were answered on the connection
}

// start sends call on the connection of a. When ctx ends, the connection is closed.
func (a *Answer) start(ctx context.Context, call *Call) error {
	a.method = call.Method
	a.stopWatch = context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	if err := a.send(call); err != nil {
		a.Close(false)
		return contextError(ctx, err)
	}
	return nil
}

func (a *Answer) send(call *Call) error {
	if call.BeforeWrite != nil {
		if err := call.BeforeWrite(); err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	size := call.bodyBytes()
	if size <= maxSyncWriteBytes {
		if message := call.encode(true); len(message) <= maxSyncWriteBytes {
			return a.conn.write(message)
		}
	}
	head, body, rest := call.encode(false), call.Body, call.Rest
	a.written = make(chan error, 1)
	go func() { a.written <- a.conn.writePieces(head, body, rest) }()
	return nil
}

// contextError converts the error of a request that was sent and whose context may have
// ended.
func contextError(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil && !errors.Is(err, ErrNotSent) {
		return fmt.Errorf("%w: %w", ErrConnectionBroken, ctx.Err())
	}
	return err
}

// write writes a whole request. Its error is ErrNotSent if no byte was written, unless
// the write timed out.
func (c *conn) write(message []byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Write(message)
	return writeError(n, err)
}

// writePieces is write for a request in pieces, which are not copied into one.
func (c *conn) writePieces(head, body []byte, rest [][]byte) error {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Write(head)
	total := n
	if err == nil && len(body) > 0 {
		n, err = c.Write(body)
		total += n
	}
	for i := 0; i < len(rest) && err == nil; i++ {
		n, err = c.Write(rest[i])
		total += n
	}
	return writeError(total, err)
}

// writeError returns the error for the result of a write.
func writeError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0 && !errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: write: %w", ErrConnectionBroken, err)
	}
}

// bodyBytes returns the length of the body.
func (c *Call) bodyBytes() int {
	size := len(c.Body)
	for _, piece := range c.Rest {
		size += len(piece)
	}
	return size
}

// encode formats the request, or only its head. The target and the header values are
// copied unchanged.
func (c *Call) encode(withBody bool) []byte {
	size := c.bodyBytes()
	var b bytes.Buffer
	if withBody {
		b.Grow(512 + size)
	} else {
		b.Grow(512)
	}
	b.WriteString(c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	if size > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	_ = c.Header.Write(&b) // a bytes.Buffer returns no error
	b.WriteString("\r\n")
	if withBody {
		b.Write(c.Body)
		for _, piece := range c.Rest {
			b.Write(piece)
		}
	}
	return b.Bytes()
}
