package netdial

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Conn is a connection whose Read returns io.EOF only if the remote end has ended its
// direction in order. The operating system reports a reset or a timeout of a connection to
// one call only. If that is a Write, the following Read of a plain connection returns
// io.EOF, although the remote end has sent no end.
//
// Writes fail after the end of the input.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during a write
	aborted error      // error of the connection that a write got; guarded by writing

	deadlines  sync.Mutex // guards inputEnded
	inputEnded bool       // the write deadline stays in the past
}

// NewConn returns c as a Conn.
func NewConn(c net.Conn) *Conn {
	if conn, ok := c.(*Conn); ok {
		return conn
	}
	return &Conn{Conn: c}
}

// WrapDial returns a dial function whose connections are of type *Conn.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns io.EOF, or the error of the connection if a write got it.
//
// A write that got the error before this Read may not have returned yet, so that it must be
// waited for. The remote end of a sound connection may leave what is written unread: the
// write is interrupted, because there is no answer left that it could lead to. A write on a
// connection that was aborted does not block.
func (c *Conn) endOfInput() error {
	c.deadlines.Lock()
	c.inputEnded = true
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.deadlines.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.aborted != nil {
		return c.aborted
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if isAbort(err) {
		c.aborted = err
	}
	return n, err
}

// isAbort reports whether the error of a write is the one with which the operating system
// ended the connection. EPIPE is not: a write gets it after another call has got that error,
// or after a reset that followed the end of the remote direction.
func isAbort(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline implements net.Conn. It has no effect after the end of the input.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.inputEnded {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}
