package ingress

import (
	"io"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// connLimits holds the time limits of a connection.
type connLimits struct{ header, idle time.Duration }

// limitsOf returns the time limits in l, with defaults for those that are not set.
func limitsOf(l catalog.Limits) connLimits {
	limits := connLimits{header: headerTimeout, idle: idleTimeout}
	if l.HeaderTimeout > 0 {
		limits.header = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		limits.idle = l.IdleTimeout
	}
	return limits
}

// connState is what a connection's time limit depends on.
type connState uint8

const (
	connUnused      connState = iota // nothing has been read
	connIdle                         // the last request has been answered
	connReadingHead                  // a byte of the next request has been read
	connHandling                     // the server handles a request and sets the deadlines
)

// of returns the limit for the time in a state other than connHandling.
func (l connLimits) of(state connState) time.Duration {
	if state == connIdle {
		return l.idle
	}
	return l.header
}

// enter changes the state. It makes the read deadline that of the new state. c.mu must be
// held.
func (c *trackedConn) enter(state connState) {
	now := time.Now()
	c.state, c.since, c.closing = state, now, false
	switch state {
	case connHandling:
		c.notice = c.tracker.idleNotice(*c.tracker.limits.Load())
	case connIdle:
		c.noticeEnd = now.Add(c.notice + idleNoticeMargin)
	}
	c.deadline = c.limitOf(*c.tracker.limits.Load())
	c.setDeadline()
}

// idleNoticeMargin is how much longer than its caller was told an idle connection is kept,
// so that a request that its caller sends at the last moment arrives.
const idleNoticeMargin = 500 * time.Millisecond

// limitOf returns the end of the current state under limits. An idle connection is kept for
// as long as its caller was told, and no longer in a drain. c.mu must be held.
func (c *trackedConn) limitOf(limits connLimits) time.Time {
	end := c.since.Add(limits.of(c.state) + c.tracker.limitDelay)
	if c.state != connIdle || c.tracker.maxIdleNotice == 0 {
		return end
	}
	if c.tracker.draining.Load() || end.Before(c.noticeEnd) {
		return c.noticeEnd
	}
	return end
}

// idleNotice returns the idle time that answers tell callers under limits.
func (t *connTracker) idleNotice(limits connLimits) time.Duration {
	if t.maxIdleNotice > 0 {
		return min(limits.idle, t.maxIdleNotice)
	}
	return limits.idle
}

// setDeadline sets the read deadline that the state has. c.mu must be held.
func (c *trackedConn) setDeadline() {
	if c.closing || c.evicted {
		return
	}
	c.lastRead = false
	deadline := c.deadline
	if c.state == connHandling {
		deadline = c.serverDeadline
	}
	_ = c.Conn.SetReadDeadline(deadline)
}

// applyLimits applies new limits to the time in the current state. A connection that has
// been idle for longer than a smaller limit is closed at once, but not before the time that
// its caller was told. The time for a head is not made shorter after it has begun.
func (c *trackedConn) applyLimits(now time.Time, limits connLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connHandling {
		c.notice = max(c.notice, c.tracker.idleNotice(limits)) // the head can have been sent before
		return
	}
	earliest := c.deadline
	if c.state == connIdle && now.Before(earliest) {
		earliest = now
	}
	c.deadline = c.limitOf(limits)
	if c.deadline.Before(earliest) {
		c.deadline = earliest
	}
	c.setDeadline()
}

// readsAgain is called when the read deadline has passed. It sets a later deadline and
// returns true if the current limits allow it, or else once more for a last read: a
// deadline ends a read even if bytes have arrived before it.
func (c *trackedConn) readsAgain() bool {
	if c.isLimited() {
		c.tracker.refreshLimits()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.state == connHandling || c.evicted:
		return false
	case !c.closing && now.Before(c.deadline):
		c.setDeadline()
		return true
	case c.lastRead:
		return false
	}
	c.lastRead = true
	_ = c.Conn.SetReadDeadline(now.Add(lastReadTime))
	return true
}

const (
	// slowHeadAnswer refuses a request whose head took too long. net/http closes the
	// connection without an answer then, or answers 400 if the head ends within a field.
	slowHeadAnswer = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 14\r\n\r\nhead-too-slow\n"
	// slowHeadWriteTime limits the write of slowHeadAnswer, which fits into the buffer
	// of a socket.
	slowHeadWriteTime = 100 * time.Millisecond
)

// refuseSlowHead answers a request whose head has begun and did not end in time, before
// the server closes its connection.
func (c *trackedConn) refuseSlowHead() {
	c.mu.Lock()
	reading, answer := c.state == connReadingHead, slowHeadAnswer
	if c.evicted {
		answer = noRoomAnswer
	}
	c.mu.Unlock()
	if reading {
		c.writeRefusal(answer)
	}
}

// writeRefusal writes an answer to a request whose head has not been read.
func (c *trackedConn) writeRefusal(answer string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(slowHeadWriteTime))
	_, _ = io.WriteString(c.Conn, answer) // the caller may have disconnected
	_ = c.CloseWrite()                    // net/http must not add its own answer
}

// isLimited reports whether the limits of the config determine the read deadline.
func (c *trackedConn) isLimited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != connHandling && !c.closing
}

// refreshLimits applies the limits of the current config to all connections if they have
// changed.
func (t *connTracker) refreshLimits() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyConfigLimits()
}

// applyConfigLimits is refreshLimits for a caller that holds t.mu.
func (t *connTracker) applyConfigLimits() {
	limits, old := t.configLimits(), t.limits.Load()
	if old != nil && *old == limits {
		return
	}
	t.limits.Store(&limits)
	if old == nil {
		return
	}
	t.log.Info("connection limits changed", "header_timeout", limits.header, "idle_timeout", limits.idle, "connections", len(t.open))
	now := time.Now()
	for c := range t.open {
		c.applyLimits(now, limits)
	}
}
