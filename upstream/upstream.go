// Package upstream is the HTTP/1.1 client for endpoints, with a pool of idle
// connections. It never sends a request twice, its errors distinguish a request that
// was not sent from one that may have run, and it closes a connection on which
// anything but the expected answer arrives. Retries and the choice of the endpoint
// are left to its callers, such as package ingress.
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
	// ErrNotSent means that no byte of the request was written to a connection.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrConnectionBroken means that the connection ended or carried no valid answer after
	// at least a part of the request had been sent.
	ErrConnectionBroken = errors.New("upstream: connection broken")
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
	// maxIdlePerEndpoint limits the idle connections to one endpoint.
	maxIdlePerEndpoint = 24
	// maxSyncWriteBytes is the size up to which a request is written completely
	// before the answer is read. It is far below the TCP window, so that the write
	// does not block.
	maxSyncWriteBytes = 8 << 10
	// writeTimeout limits the time to write a request to an endpoint that reads slowly.
	writeTimeout = 5 * time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Call is one request to an endpoint.
type Call struct {
	ID     string // tells the request from others on its connection
	Method string
	Target string // path and query as on the request line
	Host   string
	Header http.Header
	Body   []byte
	// BeforeWrite, if not nil, is called right before the first byte is written. If
	// it returns an error, the request is not sent.
	BeforeWrite func() error
}

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	dial   DialFunc
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	opened atomic.Int64
	cutOff atomic.Int64 // answers that exceeded a limit
}

// NewPool returns an empty pool.
func NewPool(dial DialFunc) *Pool { return &Pool{dial: dial, idle: make(map[string][]*conn)} }

// ConnectionsOpened returns the number of connections opened since the pool was created.
func (p *Pool) ConnectionsOpened() int64 { return p.opened.Load() }

type conn struct {
	net.Conn
	limiter *headLimiter // reads from Conn
	reader  *bufio.Reader
	address string
	expires time.Time
	lastID  string // ID of the last request that was answered
}

// Answer is the head of an answer and a reader of its body. The user must call Close.
type Answer struct {
	// Status, Header and Length are valid after ReadHead.
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1.
	Length int64

	pool      *Pool
	conn      *conn
	id        string // of the request
	method    string // of the request
	body      io.ReadCloser
	stopWatch func() bool // cancels the callback that closes the connection when the context ends
	written   chan error  // result of a write in another goroutine; nil if Send wrote the request itself
	bodyRead  bool        // the body was read to its end
	remaining int64       // bytes of the body that are left to read, or -1 if unknown
	chunked   bool        // the body is a chunkedBody
	silent    bool        // the last Read or ReadHead timed out and can be repeated
	partial   int         // bytes of a head, or of a line of a chunk's framing, that had arrived then
	noReuse   bool        // the connection can't be used for another request
}

// Do sends call to address and returns the head of the answer. It waits for the
// head for answerTimeout at most. When ctx ends, the connection is closed
// immediately, even while the body is being read.
func (p *Pool) Do(ctx context.Context, address string, call *Call, answerTimeout time.Duration) (*Answer, error) {
	a, err := p.Send(ctx, address, call)
	if err != nil {
		return nil, err
	}
	if err := a.ReadHead(ctx, answerTimeout); err != nil {
		a.Close(false)
		return nil, err
	}
	return a, nil
}

// Send sends call to address. The returned answer has no head before ReadHead. When
// ctx ends, the connection is closed immediately, even while the answer is being read.
// A large request is written in another goroutine, because the endpoint may answer
// before it has read the whole body.
func (p *Pool) Send(ctx context.Context, address string, call *Call) (*Answer, error) {
	c, err := p.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	a := &Answer{pool: p, conn: c, id: call.ID, method: call.Method}
	a.stopWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.send(call); err != nil {
		a.Close(false)
		return nil, contextError(ctx, err)
	}
	return a, nil
}

func (a *Answer) send(call *Call) error {
	if call.BeforeWrite != nil {
		if err := call.BeforeWrite(); err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	message := call.encode()
	if len(message) <= maxSyncWriteBytes {
		return a.conn.write(message)
	}
	a.written = make(chan error, 1)
	go func() { a.written <- a.conn.write(message) }()
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
	switch {
	case err == nil:
		return nil
	case n == 0 && !errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: write: %w", ErrConnectionBroken, err)
	}
}

// encode formats the request. The target and the header values are copied
// unchanged.
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

// PreviousID returns the ID of the previous request on the connection, or "". An extra
// answer to it can arrive first.
func (a *Answer) PreviousID() string { return a.conn.lastID }

// readError converts the error of a read. If the write of the request has failed as
// well, it returns the error of the write, which is the cause.
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
		return fmt.Errorf("%w: %w", ErrAnswerTimeout, err)
	}
	return fmt.Errorf("%w: read: %w", ErrConnectionBroken, err)
}

// Read reads the body. It returns io.EOF only if the body is complete, and
// ErrAnswerTimeout if no byte arrives within the time set by SetReadTimeout. After
// ErrAnswerTimeout, IsSilent tells whether Read can be called again.
func (a *Answer) Read(b []byte) (int, error) {
	a.silent = false
	if a.bodyRead {
		return 0, io.EOF
	}
	if a.conn.reader.Buffered() == 0 && a.remaining != 0 {
		if err := a.awaitByte(); err != nil {
			return 0, err
		}
	}
	n, err := a.body.Read(b)
	if a.remaining > 0 {
		a.remaining -= int64(n)
	}
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		a.bodyRead = true
		return n, io.EOF
	}
	a.silent, a.partial = a.chunked && errors.Is(err, os.ErrDeadlineExceeded), a.conn.reader.Buffered()
	return n, a.readError(err)
}

// awaitByte waits for the next byte of the answer. The readers of the head and of a body
// without chunks can't be used again after a timeout, but the buffered reader of the
// connection can. The end of the connection is left to them, because the reader of the
// body knows whether the body is complete; any other error must be returned here, because
// the connection reports it only once.
func (a *Answer) awaitByte() error {
	_, err := a.conn.reader.Peek(1)
	if err == nil || err == io.EOF {
		return nil
	}
	a.silent, a.partial = errors.Is(err, os.ErrDeadlineExceeded), 0
	return a.readError(err)
}

// IsSilent reports whether the last Read or ReadHead returned ErrAnswerTimeout and lost
// nothing of the answer. It can then be called again, Read after SetReadTimeout.
func (a *Answer) IsSilent() bool { return a.silent }

// Await begins to wait, for d at most, for more of an answer whose last Read or ReadHead has
// timed out, or for the head of one that has not been read yet. It consumes nothing. The
// returned channel gets nil when more has arrived, and otherwise an error, which is
// os.ErrDeadlineExceeded after d and after Interrupt. Until then the answer must not be
// used otherwise, except for Interrupt and Abort; SetReadTimeout must be called before the
// next Read.
func (a *Answer) Await(d time.Duration) <-chan error {
	a.SetReadTimeout(d)
	result := make(chan error, 1)
	go func() {
		_, err := a.conn.reader.Peek(a.partial + 1)
		result <- err
	}()
	return result
}

// Interrupt ends the wait of Await.
func (a *Answer) Interrupt() { _ = a.conn.SetReadDeadline(time.Unix(1, 0)) }

// SetReadTimeout limits the wait for the next part of the body to d from now.
func (a *Answer) SetReadTimeout(d time.Duration) { _ = a.conn.SetReadDeadline(time.Now().Add(d)) }

// Abort closes the connection of the answer, which cancels the request. Close must still
// be called.
func (a *Answer) Abort() { _ = a.conn.Close() }

// Close releases the connection of the answer. The connection is kept for reuse if
// the answer was complete and reuse is true. Otherwise it is closed, which cancels the
// request.
func (a *Answer) Close(reuse bool) {
	stopped := a.stopWatch()
	if !reuse || !stopped || a.noReuse || !a.complete() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.lastID = a.id
	a.pool.putIdle(a.conn, idleTime(a.Header))
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
	if !a.bodyRead {
		// A reader that stops at the declared length has not seen io.EOF yet.
		n, err := a.body.Read(make([]byte, 1))
		a.bodyRead = n == 0 && err == io.EOF
	}
	return a.bodyRead
}

// idleTime returns how long the connection can stay idle: until idleMargin before the
// timeout in the Keep-Alive header, or for defaultIdleTime.
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
	return defaultIdleTime
}
