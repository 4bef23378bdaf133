package netdial

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against data that still arrives after the user timeout because the connection was
// closed with data left to send, as that of a killed process is. The remote end does not
// read until then.
func TestClosedConnectionStopsSendingAfterUserTimeout(t *testing.T) {
	const (
		size  = 8 << 20 // more than the buffers of both ends take at once
		limit = 300 * time.Millisecond
	)
	for name, test := range map[string]struct {
		userTimeout time.Duration
		complete    bool
	}{
		"before": {time.Minute, true},
		"after":  {limit, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			c, err := NewDialFuncWithUserTimeout(time.Second, test.userTimeout)(t.Context(), "tcp", l.Addr().String())
			is.NoErr(err)
			remote, err := l.Accept()
			is.NoErr(err)
			defer remote.Close()
			is.NoErr(remote.(*net.TCPConn).SetReadBuffer(64 << 10))
			is.NoErr(c.(*Conn).Conn.(*net.TCPConn).SetWriteBuffer(size))
			is.NoErr(c.SetWriteDeadline(time.Now().Add(limit / 3)))
			sent, _ := c.Write(make([]byte, size)) // what the buffers take
			is.NoErr(c.Close())
			time.Sleep(5 * limit)
			is.NoErr(remote.SetReadDeadline(time.Now().Add(20 * time.Second)))
			received, _ := io.Copy(io.Discard, remote)
			t.Logf("sent %d bytes, received %d", sent, received)
			is.Equal(int(received) == sent, test.complete)
		})
	}
}

// Guards against an answer that is cut off because its caller reads it slowly: the caller's
// window stays closed for longer than sent data may be unacknowledged elsewhere.
func TestSlowCallerGetsWholeAnswer(t *testing.T) {
	const size = 1 << 20
	for name, test := range map[string]struct {
		config *net.ListenConfig
		whole  bool
	}{
		"caller": {CallerListenConfig(), true},
		"peer":   {ListenConfig(), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := test.config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			is.NoErr(caller.(*net.TCPConn).SetReadBuffer(32 << 10))
			c, err := l.Accept()
			is.NoErr(err)
			is.NoErr(c.(*net.TCPConn).SetWriteBuffer(4 * size))
			_, err = c.Write(make([]byte, size))
			is.NoErr(err)
			time.Sleep(3 * userTimeout)
			is.NoErr(caller.SetReadDeadline(time.Now().Add(20 * time.Second)))
			received, err := io.CopyN(io.Discard, caller, size)
			is.Equal(err == nil, test.whole)
			is.Equal(received == size, test.whole)
			is.NoErr(c.Close())
		})
	}
}
