// Package rawservertest provides a server for tests that answers HTTP requests with
// arbitrary bytes, also without end, and a dial function that counts the bytes that
// a client takes from its connections.
package rawservertest

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// EndlessBytes is the size at which WriteEndlessly gives up. It is far above every
// limit of a client together with the buffers of the operating system.
const EndlessBytes = 256 << 20

// SocketBytes is an upper limit for the bytes that a server can write before the
// client reads any, because the operating system buffers them.
const SocketBytes = 32 << 20

// Server counts its connections and requests.
type Server struct {
	Address     string
	Connections atomic.Int64
	Requests    atomic.Int64
}

// Start starts a server that calls answer for each request. The second argument of
// answer is the number of the request. The connection is closed if answer closes it
// or the client does.
func Start(t testing.TB, answer func(c net.Conn, n int64)) *Server {
	t.Helper()
	return start(t, answer, true)
}

// StartEarly is Start for a server that calls answer when it has read the head of a request,
// and leaves the body unread.
func StartEarly(t testing.TB, answer func(c net.Conn, n int64)) *Server {
	t.Helper()
	return start(t, answer, false)
}

func start(t testing.TB, answer func(c net.Conn, n int64), readsBodies bool) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.Connections.Add(1)
			go s.serve(c, answer, readsBodies)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, answer func(c net.Conn, n int64), readsBodies bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if readsBodies {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		answer(c, s.Requests.Add(1))
		if !readsBodies {
			return // what follows is the rest of the body
		}
	}
}

// WriteEndlessly writes prefix and then chunk repeatedly until the client closes the
// connection or EndlessBytes are written. It returns the number of bytes written.
func WriteEndlessly(c net.Conn, prefix string, chunk []byte) int {
	written, err := io.WriteString(c, prefix)
	for err == nil && written < EndlessBytes {
		var n int
		n, err = c.Write(chunk)
		written += n
	}
	return written
}

// Reset closes a connection with a TCP reset.
func Reset(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	return errors.Join(tcp.SetLinger(0), tcp.Close())
}

// AnswerAndReset writes an answer and closes the connection with a TCP reset.
func AnswerAndReset(c net.Conn, answer string) {
	_, _ = io.WriteString(c, answer)
	_ = Reset(c)
}

// AnswerAndHalfClose writes an answer and ends it in order, but does not close the other
// direction.
func AnswerAndHalfClose(c net.Conn, answer string) {
	_, _ = io.WriteString(c, answer)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// CountingDial returns a dial function that adds the bytes read from its connections
// to n.
func CountingDial(n *atomic.Int64) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{Conn: c, n: n}, nil
	}
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}
