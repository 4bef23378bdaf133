package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// Guards against a log that can't tell which side closed a caller's connection, and why.
func TestClosedConnectionsTellTheirCause(t *testing.T) {
	const limit = 200 * time.Millisecond
	for cause, end := range map[closeCause]func(*callerConn, *callerServer){
		closedUnused:   func(*callerConn, *callerServer) {},
		closedIdle:     func(c *callerConn, _ *callerServer) { c.get(t) },
		closedSlowHead: func(c *callerConn, _ *callerServer) { c.send(t, "GET / HT") },
		closedByCaller: func(c *callerConn, _ *callerServer) { c.get(t); _ = c.Close() },
		closedDraining: func(c *callerConn, s *callerServer) { c.get(t); s.conns.drain(0) },
		closedAfterAnswer: func(c *callerConn, _ *callerServer) {
			c.send(t, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		},
	} {
		t.Run(cause.String(), func(t *testing.T) {
			is := is.New(t)
			limits := connLimits{header: limit, idle: limit}
			if cause == closedByCaller || cause == closedDraining {
				limits = longLimits()
			}
			s := newCallerServer(http.HandlerFunc(answerOK), log.New(io.Discard), func() connLimits { return limits }, 0)
			closed := make(chan connClose, 1)
			s.conns.onClose = func(c connClose) { closed <- c }
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go s.run(l.(deadlineListener))
			t.Cleanup(func() { _ = l.Close(); _ = s.close() })
			caller := dial(t, l.Addr().String())
			end(caller, s)
			if cause != closedByCaller {
				_, err := io.Copy(io.Discard, caller.answers)
				is.True(err == nil || errors.Is(err, io.EOF))
			}
			got := <-closed
			is.Equal(got.cause, cause)
			is.Equal(got.caller, caller.LocalAddr().String())
			is.Equal(got.requests == 0, cause == closedUnused)
		})
	}
}
