package ingress

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/memorybudget"
)

// connTracker holds the open connections of callers and applies time limits to them. Its
// mutex guards connections, not control state.
type connTracker struct {
	log          *log.Logger
	configLimits func() connLimits          // limits of the current config
	limitDelay   time.Duration              // how late limits are enforced
	limits       atomic.Pointer[connLimits] // limits that connections have; nil before the first one
	onClose      func(connClose)            // is told of each connection that was closed, unless nil
	// maxIdleNotice is the longest idle time that answers tell callers, so that a drain can
	// wait until callers have closed their idle connections. If it is 0, answers tell the
	// limit of the config, and a drain closes idle connections at once.
	maxIdleNotice time.Duration
	group         *memorybudget.Group // limits the connections, unless it is nil
	draining      atomic.Bool         // drain was called
	closesIdle    atomic.Bool         // connections are closed as soon as they are idle

	mu    sync.Mutex
	open  map[*trackedConn]bool
	empty chan struct{} // nil until drain; closed when the last connection is closed after it
}

// add tracks a connection that was accepted. It returns nil if there is no room for one
// more.
func (t *connTracker) add(raw net.Conn) *trackedConn {
	now := time.Now()
	c := &trackedConn{Conn: raw, tracker: t, acceptedAt: now, lastByteAt: now}
	c.head.Account = &c.account
	if !t.group.OpenAccount(&c.account, now, c.evict) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyConfigLimits()
	c.mu.Lock()
	c.enter(connUnused)
	c.mu.Unlock()
	if t.open == nil {
		t.open = make(map[*trackedConn]bool)
	}
	t.open[c] = true
	return c
}

// remove ends the tracking of a connection that was closed.
func (t *connTracker) remove(c *trackedConn) {
	c.releaseHead()
	c.account.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	t.signalEmpty()
}

// signalEmpty closes empty when no connection is left. t.mu must be held.
func (t *connTracker) signalEmpty() {
	if t.empty == nil || len(t.open) > 0 {
		return
	}
	select {
	case <-t.empty:
	default:
		close(t.empty)
	}
}

// observeState implements http.Server.ConnState.
func (t *connTracker) observeState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginHandling()
	case http.StateIdle:
		c.endHandling()
		if t.closesIdle.Load() {
			c.closeIfIdle()
		}
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
		if t.onClose != nil {
			t.onClose(c.describeClose())
		}
	}
}

// drain ends the connections as their callers expect: an idle one is closed when the idle
// time that its last answer told has passed, and one on which no request has begun after
// newConnWait. The channel that it returns is closed when no connection is left.
func (t *connTracker) drain(newConnWait time.Duration) (empty <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.empty == nil {
		t.empty = make(chan struct{})
	}
	t.draining.Store(true)
	t.closesIdle.Store(t.maxIdleNotice == 0)
	now := time.Now()
	for c := range t.open {
		switch {
		case !c.isUsed():
		case t.maxIdleNotice == 0:
			c.closeIfIdle()
		default:
			c.applyLimits(now, *t.limits.Load())
		}
	}
	t.signalEmpty()
	time.AfterFunc(newConnWait, t.closeUnused)
	return t.empty
}

// closeUnused closes the connections on which no request has begun.
func (t *connTracker) closeUnused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if !c.isUsed() {
			c.closeIfIdle()
		}
	}
}

// closeIdle closes the connections on which no request has begun since the last answer,
// now and when they become idle.
func (t *connTracker) closeIdle() {
	t.closesIdle.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		c.closeIfIdle()
	}
}

// trackedConn is a caller's connection. It can be closed when idle without losing a
// request: what counts is whether a byte has been read since the last answer.
// http.Server.Shutdown does not provide this, because the server counts a connection
// as idle until it has parsed the whole head of the next request.
type trackedConn struct {
	net.Conn

	tracker *connTracker

	mu        sync.Mutex
	state     connState
	since     time.Time // when the state began
	deadline  time.Time // end of the state; not used while connHandling
	noticeEnd time.Time // when the caller no longer uses the connection; set while connIdle
	// notice is the longest idle time that the answer can tell. It is set while connHandling.
	notice    time.Duration
	readAhead bool // the last read took one byte; see endHandling
	closing   bool // the read deadline is in the past until a byte is read
	lastRead  bool // the last read before the end of the state has begun
	// serverDeadline is the read deadline that the server has set. It is used while
	// connHandling.
	serverDeadline time.Time

	acceptedAt time.Time
	lastByteAt time.Time // last read of bytes, or acceptedAt
	requests   int       // requests that have begun
	closeCause closeCause

	account memorybudget.Account
	evicted bool // the account was evicted; reads fail
	// halfClosed is set once the last answer has been written. The server waits then until
	// the caller has read it.
	halfClosed bool
	head       memorybudget.Reservation // of the head of the request
	headSize   headSize                 // of the part that has been read; only the goroutine that reads it uses it
}

// lastReadTime limits the last read of a connection that is about to be closed, and the
// last accepts of a listener, which only look for what has arrived.
const lastReadTime = 10 * time.Millisecond

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.readsAgain() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		now := time.Now()
		inHead := c.recordRead(now, len(b) == 1)
		c.account.Moved(now, n)
		if inHead && !c.reserveHead(now, b[:n]) {
			return 0, c.refuseHead()
		}
		return n, err
	}
	c.recordReadEnd(err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.refuseSlowHead()
	}
	return n, err
}

// recordRead records that bytes were read. It reports whether they belong to a head.
func (c *trackedConn) recordRead(now time.Time, oneByte bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead, c.lastByteAt = oneByte, now
	if c.state == connUnused || c.state == connIdle {
		c.enter(connReadingHead)
	}
	return c.state == connReadingHead
}

// beginHandling records that the server has read the head of a request.
func (c *trackedConn) beginHandling() {
	c.mu.Lock()
	c.requests++
	c.enter(connHandling)
	first := c.requests == 1
	c.mu.Unlock()
	if first {
		c.account.Begin()
	}
}

// endHandling records that the last request has been answered. The server reads one byte
// ahead while it handles a request, to notice a caller that leaves. Such a byte belongs
// to the next request.
func (c *trackedConn) endHandling() {
	c.releaseHead()
	c.account.Unprotect()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAhead {
		c.enter(connReadingHead)
	} else {
		c.enter(connIdle)
	}
}

// SetReadDeadline implements net.Conn. Between two requests, the limits of the config
// apply instead of a deadline of the server. The server sets one for a head once it has
// begun, also if it arrived together with the request before and is not read again.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	if c.state == connIdle && !t.IsZero() {
		c.enter(connReadingHead)
	}
	if c.state != connHandling || c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *trackedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite half-closes the connection. The server uses it to let a caller read the
// answer to a request that was not read completely.
func (c *trackedConn) CloseWrite() error {
	c.mu.Lock()
	c.halfClosed = true
	c.mu.Unlock()
	c.account.Finish()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setResetOnClose sets whether Close sends a reset, so that the caller doesn't take the end
// of the connection for the end of an answer.
func (c *trackedConn) setResetOnClose(reset bool) {
	seconds := -1 // the default of the operating system
	if reset {
		seconds = 0
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds)
	}
}

func (c *trackedConn) isUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != connUnused
}

// closeIfIdle makes the read fail that waits for the next request, upon which the
// server closes the connection. A read that has already returned bytes goes on.
func (c *trackedConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.state == connReadingHead || c.state == connHandling {
		return
	}
	c.closing, c.lastRead = true, false
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
