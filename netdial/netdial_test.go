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
			is.NoErr(c.(*net.TCPConn).SetWriteBuffer(size))
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
