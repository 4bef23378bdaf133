package ingress

import (
	"errors"
	"io"
	"os"
	"time"
)

// closeCause is why a caller's connection was closed.
type closeCause uint8

const (
	closedAfterAnswer closeCause = iota // the server closed it after an answer, or a handler aborted it
	closedIdle                          // it was idle for longer than the limit
	closedUnused                        // no request began within the limit
	closedSlowHead                      // the head of a request took longer than the limit
	closedDraining                      // the instance drains
	closedByCaller                      // the caller closed it
	closedBroken                        // it failed
	closedForRoom                       // its memory or descriptor was needed
	closeCauseCount
)

var closeCauseNames = [closeCauseCount]string{"after-answer", "idle", "unused", "slow-head", "draining", "caller", "broken", "no-room"}

// String returns the cause's name for logs and metrics.
func (c closeCause) String() string { return closeCauseNames[c] }

// byLimit reports whether the instance closed the connection by its own clock, so that a
// request can have crossed the close.
func (c closeCause) byLimit() bool { return c >= closedIdle && c <= closedDraining }

// closedConnectionsMetric is the counter of callers' connections that were closed, by cause.
const closedConnectionsMetric = "caller_connections_closed"

// recordReadEnd records why no more bytes were read.
func (c *trackedConn) recordReadEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connHandling && !c.evicted && errors.Is(err, os.ErrDeadlineExceeded) {
		return // the server stops to watch for a caller that leaves
	}
	switch {
	case c.evicted:
		c.closeCause = closedForRoom
	case errors.Is(err, io.EOF):
		c.closeCause = closedByCaller
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.closeCause = closedBroken
	case c.state == connReadingHead:
		c.closeCause = closedSlowHead
	case c.closing || c.tracker.draining.Load():
		c.closeCause = closedDraining
	case c.state == connUnused:
		c.closeCause = closedUnused
	default:
		c.closeCause = closedIdle
	}
}

// connClose describes a caller's connection that was closed.
type connClose struct {
	cause    closeCause
	caller   string        // address of the caller
	requests int           // requests that have begun
	open     time.Duration // since the connection was accepted
	silent   time.Duration // since the last byte was read
}

// describeClose returns how the connection was closed.
func (c *trackedConn) describeClose() connClose {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return connClose{cause: c.closeCause, caller: c.RemoteAddr().String(), requests: c.requests, open: now.Sub(c.acceptedAt), silent: now.Sub(c.lastByteAt)}
}

// recordConnClose counts a connection that was closed. It logs those that the instance
// closed by its own clock: a request that crosses the close is in no other line.
func (s *Service) recordConnClose(c connClose) {
	s.metrics.Counter(closedConnectionsMetric, "cause", c.cause.String()).Add(1)
	if !c.cause.byLimit() {
		return
	}
	version := int64(0)
	if config := s.control.Snapshot().Config; config != nil {
		version = config.Version
	}
	s.log.Info("caller connection closed", "cause", c.cause.String(), "caller", c.caller, "requests", c.requests,
		"open", c.open.Round(time.Millisecond), "since_last_byte", c.silent.Round(time.Millisecond), "config", version)
}
