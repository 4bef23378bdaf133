package netdial

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/internal/rawservertest"
)

// connect returns both ends of a TCP connection. The dialled end is returned as it is and
// wrapped.
func connect(t *testing.T) (remote net.Conn, plain net.Conn, wrapped *Conn) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	plain, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	remote, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = plain.Close(), remote.Close() })
	return remote, plain, NewConn(plain)
}

// writeUntilError writes until a write fails, and returns its error.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against a reset that is read as an ordered end, because a write got the error of the
// connection first. The plain connection shows that this is what the operating system reports.
func TestResetThatWriteGotIsNoEnd(t *testing.T) {
	for _, isWrapped := range []bool{false, true} {
		is := is.New(t)
		remote, plain, wrapped := connect(t)
		c := plain
		if isWrapped {
			c = wrapped
		}
		is.NoErr(rawservertest.Reset(remote))
		is.True(errors.Is(writeUntilError(c), syscall.ECONNRESET))
		_, err := c.Read(make([]byte, 1))
		if isWrapped {
			is.True(errors.Is(err, syscall.ECONNRESET))
			_, err = c.Read(make([]byte, 1))
			is.True(errors.Is(err, syscall.ECONNRESET)) // also later
		} else {
			is.Equal(err, io.EOF)
		}
	}
}

// Guards against an ordered end that is read as a reset, because the remote end resets the
// other direction afterwards.
func TestResetAfterEndIsAnEnd(t *testing.T) {
	is := is.New(t)
	remote, _, c := connect(t)
	rawservertest.AnswerAndHalfClose(remote, "whole")
	is.NoErr(rawservertest.Reset(remote))
	is.True(errors.Is(writeUntilError(c), syscall.EPIPE))
	data, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(data), "whole")
}

// Guards against a read that waits for a write that the remote end does not take, and against
// a write that goes on after the end.
func TestEndDoesNotWaitForBlockedWrite(t *testing.T) {
	is := is.New(t)
	remote, _, c := connect(t)
	written := make(chan error, 1)
	go func() { written <- writeUntilError(c) }()
	time.Sleep(50 * time.Millisecond) // until the buffers are full
	rawservertest.AnswerAndHalfClose(remote, "whole")
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(errors.Is(<-written, os.ErrDeadlineExceeded))
	is.NoErr(c.SetDeadline(time.Time{}))
	is.True(errors.Is(writeUntilError(c), os.ErrDeadlineExceeded))
}

// delayedWriteConn is a connection whose write has got the error of the connection, and
// returns only after a read has got the end that remains.
type delayedWriteConn struct {
	net.Conn
	writing, interrupted chan struct{}
}

func (c *delayedWriteConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.interrupted
	time.Sleep(20 * time.Millisecond)
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

func (c *delayedWriteConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *delayedWriteConn) SetWriteDeadline(time.Time) error {
	close(c.interrupted)
	return nil
}

// Guards against a reset that is read as an ordered end, because the write that got the error
// has not returned yet.
func TestReadWaitsForWriteThatGotTheError(t *testing.T) {
	is := is.New(t)
	inner := &delayedWriteConn{writing: make(chan struct{}), interrupted: make(chan struct{})}
	c := NewConn(inner)
	go func() { _, _ = c.Write([]byte("request")) }()
	<-inner.writing
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}
