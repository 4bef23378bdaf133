package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/catalog"
)

// limits are the time limits of a connection. A config may change them while
// the instance serves: connections keep those with which they were accepted.
type limits struct{ header, idle time.Duration }

// limitsOf returns the limits of a config, which may be nil.
func limitsOf(c *catalog.Config) limits {
	l := limits{header: headerTimeout, idle: idleTimeout}
	if c != nil && c.Limits.HeaderTimeout > 0 {
		l.header = c.Limits.HeaderTimeout
	}
	if c != nil && c.Limits.IdleTimeout > 0 {
		l.idle = c.Limits.IdleTimeout
	}
	return l
}

// servers serve callers' connections: one HTTP server for each set of limits,
// because a server's limits are fixed when it starts.
type servers struct {
	handler http.Handler
	log     *log.Logger
	limits  func() limits // in force now

	mu      sync.Mutex // guards the servers, which are no control state
	current *connQueue
	inForce limits
	all     []*http.Server
	closed  bool
}

// run accepts connections until the listener is closed.
func (s *servers) run(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("accept a caller", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		s.queue(l.Addr()).put(conn)
	}
}

// queue returns the connections of the server with the limits in force.
func (s *servers) queue(address net.Addr) *connQueue {
	wanted := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && (s.inForce == wanted || s.closed) {
		return s.current
	}
	if s.current != nil {
		_ = s.current.Close() // its connections go on
		s.log.Info("limits of connections changed", "header_timeout", wanted.header, "idle_timeout", wanted.idle)
	}
	server := &http.Server{
		Handler: s.handler, ReadHeaderTimeout: wanted.header, IdleTimeout: wanted.idle, MaxHeaderBytes: maxHeaderBytes, ErrorLog: s.log.StandardLog(),
	}
	queue := &connQueue{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	s.current, s.inForce, s.all = queue, wanted, append(s.all, server)
	go func() {
		if err := server.Serve(queue); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("callers' server ended", "error", err)
		}
	}()
	return queue
}

// shutdown waits for the requests in flight.
func (s *servers) shutdown(ctx context.Context) error {
	return s.each(func(server *http.Server) error { return server.Shutdown(ctx) })
}

// close ends all connections.
func (s *servers) close() error {
	return s.each((*http.Server).Close)
}

// each calls end for all servers at the same time. No server is added afterwards.
func (s *servers) each(end func(*http.Server) error) error {
	s.mu.Lock()
	s.closed = true
	all := s.all
	s.mu.Unlock()
	errs := make([]error, len(all))
	var wg sync.WaitGroup
	for i, server := range all {
		wg.Go(func() { errs[i] = end(server) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// connQueue is a net.Listener of connections that were accepted elsewhere.
type connQueue struct {
	address net.Addr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// put hands a connection to the server. It is closed if the server has ended.
func (q *connQueue) put(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		_ = conn.Close()
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
