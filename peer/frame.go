package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Limits for the frames of package jsonframe.
const (
	maxFrameBytes      = 1 << 20
	maxHelloFrameBytes = 4 << 10 // limit until the peer is authenticated
)

// deadlineConn sets a deadline before each read and write, and counts bytes.
type deadlineConn struct {
	net.Conn
	idleTimeout, writeTimeout time.Duration
	// helloDeadline is the read deadline until the peer is authenticated, in Unix
	// nanoseconds, and 0 afterwards.
	helloDeadline            atomic.Int64
	bytesSent, bytesReceived *atomic.Int64
}

// Read implements io.Reader.
func (c *deadlineConn) Read(p []byte) (int, error) {
	deadline := time.Now().Add(c.idleTimeout)
	if helloDeadline := c.helloDeadline.Load(); helloDeadline != 0 {
		deadline = time.Unix(0, helloDeadline)
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.bytesReceived.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytesSent.Add(int64(n))
	return n, err
}
