package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/headlimits"
)

// deadlineListener is a listener whose Accept can be ended without closing it, as of
// *net.TCPListener.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// callerServer serves callers' connections.
type callerServer struct {
	log    *log.Logger
	server *http.Server
	queue  *connQueue
	conns  connTracker
	// acceptEnded is closed when run returns.
	acceptEnded chan struct{}
}

// newCallerServer returns a server that applies the time limits that configLimits returns
// to its connections. It enforces them limitDelay late, because callers may know a config
// with longer ones that configLimits does not return yet.
func newCallerServer(handler http.Handler, logger *log.Logger, configLimits func() connLimits, limitDelay time.Duration) *callerServer {
	s := &callerServer{
		log: logger, conns: connTracker{log: logger, configLimits: configLimits, limitDelay: limitDelay},
		queue: &connQueue{conns: make(chan net.Conn), closed: make(chan struct{})}, acceptEnded: make(chan struct{}),
	}
	// The server sets no time limits: they can't change after its start.
	// ReadHeaderTimeout only tells the connection that the server begins to read a head;
	// see trackedConn.SetReadDeadline.
	s.server = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headlimits.MaxBytes, ErrorLog: logger.StandardLog(), ConnState: s.conns.observeState, ConnContext: withConn}
	return s
}

// run accepts connections until the listener is closed or stopAccepting is called.
func (s *callerServer) run(l deadlineListener) {
	defer close(s.acceptEnded)
	s.queue.address = l.Addr()
	go func() {
		if err := s.server.Serve(s.queue); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("server for callers failed", "error", err)
		}
	}()
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			s.serve(conn)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.acceptRemaining(l)
			return
		default:
			s.log.Warn("accepting a caller's connection failed", "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// serve passes an accepted connection to the HTTP server.
func (s *callerServer) serve(conn net.Conn) {
	c := s.conns.add(conn)
	if c == nil {
		_ = conn.Close()
		return
	}
	if !s.queue.put(c) {
		s.conns.remove(c)
	}
}

// acceptRemaining accepts the connections that wait to be accepted: the operating system
// resets them when the listener is closed. It ends when none is left, and also while
// connections keep arriving.
func (s *callerServer) acceptRemaining(l deadlineListener) {
	for end := time.Now().Add(newConnWait); time.Now().Before(end); {
		_ = l.SetDeadline(time.Now().Add(lastReadTime))
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.serve(conn)
	}
}

// stopAccepting closes the listener after the connections that wait to be accepted have
// been accepted, or when ctx ends.
func (s *callerServer) stopAccepting(ctx context.Context, l deadlineListener) error {
	_ = l.SetDeadline(time.Unix(1, 0))
	select {
	case <-s.acceptEnded:
	case <-ctx.Done():
	}
	return l.Close()
}

// shutdown closes connections when their callers no longer use them, and returns when none
// is left or ctx ends.
func (s *callerServer) shutdown(ctx context.Context) error {
	_ = s.queue.Close()
	select {
	case <-s.conns.drain(newConnWait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// idleTimeout returns how long a caller can leave its connection idle. The connection is
// closed later, so that no request crosses the close.
func (s *callerServer) idleTimeout() time.Duration {
	if limits := s.conns.limits.Load(); limits != nil {
		return s.conns.idleNotice(*limits)
	}
	return 0
}

// close closes all connections.
func (s *callerServer) close() error { return s.server.Close() }

// connQueue is a net.Listener that passes on connections accepted by callerServer.run.
type connQueue struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// put passes a connection to the server. If the queue is closed, it closes the
// connection and returns false.
func (q *connQueue) put(conn net.Conn) bool {
	select {
	case q.conns <- conn:
		return true
	case <-q.closed:
		_ = conn.Close()
		return false
	}
}

// Accept implements net.Listener.
func (q *connQueue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connQueue) Addr() net.Addr { return q.address }
