package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// maxExtraBytes limits the body of an extra answer that is skipped.
	maxExtraBytes = 256 << 10
	// skipTimeout limits the time to read the body of an extra answer.
	skipTimeout = 400 * time.Millisecond
)

// Answer is the head of an answer and a reader of its body. The user must call Close.
type Answer struct {
	// Status, Header and Length are valid after ReadHead, also after ErrForeignAnswer.
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1.
	Length int64

	pool      *Pool         // nil if the connection is used for one call only
	cutOff    *atomic.Int64 // answers that exceeded a limit
	conn      *conn
	id        string // of the request; empty without a pool
	method    string // of the request
	skipped   bool   // an extra answer to an earlier request was discarded
	closed    bool   // Close was called
	body      io.ReadCloser
	stopWatch func() bool // cancels the callback that closes the connection when the context ends
	written   chan error  // result of a write in another goroutine; nil if the request was written before
	bodyRead  bool        // the body was read to its end
	remaining int64       // bytes of the body that are left to read, or -1 if unknown
	chunked   bool        // the body is a chunkedBody
	silent    bool        // the last Read or ReadHead timed out and can be repeated
	partial   int         // bytes of a head, or of a line of a chunk's framing, that had arrived then
	noReuse   bool        // the connection can't be used for another request
}

// skipExtra discards an extra answer to an earlier request on the connection, which
// replicas may send late. It fails if the answer is not an extra one or can't be skipped.
func (a *Answer) skipExtra() error {
	id := a.pool.answerID(a.Header)
	if a.skipped || !slices.Contains(a.conn.answered, id) {
		return foreign(fmt.Errorf("status %d, ID %q", a.Status, id))
	}
	a.conn.limiter.unlimit()
	a.SetReadTimeout(skipTimeout)
	n, err := io.CopyN(io.Discard, a, maxExtraBytes)
	a.silent = false
	if err == nil {
		err = a.LimitExceeded("extra answer", maxExtraBytes)
	}
	if err != io.EOF {
		return foreign(fmt.Errorf("extra answer after %d bytes: %w", n, err))
	}
	a.skipped, a.noReuse = true, true
	return nil
}

// foreign returns the error for an answer that can't be attributed to the request.
func foreign(err error) error {
	return fmt.Errorf("%w: %w: %w", ErrConnectionBroken, ErrForeignAnswer, err)
}

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

// HeadBegun reports whether a part of the head had arrived when the last ReadHead timed out.
func (a *Answer) HeadBegun() bool { return a.silent && a.partial > 0 }

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

// Close releases the connection of the answer. The connection is kept for reuse if it
// belongs to a pool, the answer was complete and reuse is true. Otherwise it is closed,
// which cancels the request. Further calls have no effect.
func (a *Answer) Close(reuse bool) {
	if a.closed {
		return
	}
	a.closed = true
	stopped := a.stopWatch()
	switch {
	case a.pool == nil:
		_ = a.conn.Close()
	case !reuse || !stopped || a.noReuse || !a.complete() || a.conn.reader.Buffered() > 0:
		a.pool.release(a.conn)
	default:
		a.conn.answered = append(a.conn.answered, a.id)
		a.pool.putIdle(a.conn, idleTime(a.Header))
	}
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
