package ingress

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// hangTimeout stops a test that would otherwise hang.
const hangTimeout = 20 * time.Second

// callerConn is a caller's connection to the instance.
type callerConn struct {
	net.Conn
	answers *bufio.Reader
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(hangTimeout)); err != nil {
		t.Fatal(err)
	}
	return &callerConn{Conn: c, answers: bufio.NewReader(c)}
}

// get sends a request and returns the status of the answer.
func (c *callerConn) get(t *testing.T) int {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// longLimits returns limits that are not reached in a test.
func longLimits() connLimits { return connLimits{header: hangTimeout, idle: hangTimeout} }

// Guards against limits of the config that are not applied to connections, new ones or
// those that were open before, and against requests that break when the limits change.
func TestConfigLimitsApplyToOpenConnections(t *testing.T) {
	is := is.New(t)
	var currentLimits atomic.Pointer[connLimits]
	setLimits := func(limit time.Duration) { currentLimits.Store(&connLimits{header: limit, idle: limit}) }
	setLimits(hangTimeout)
	started, release := make(chan struct{}), make(chan struct{})
	s := newCallerServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			started <- struct{}{}
			<-release
		}
	}), log.New(io.Discard), func() connLimits { return *currentLimits.Load() }, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.run(l.(deadlineListener))
	address := l.Addr().String()

	idle, busy := dial(t, address), dial(t, address)
	is.Equal(idle.get(t), http.StatusOK)
	busy.send(t, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	const short = 50 * time.Millisecond
	setLimits(short)
	s.conns.refreshLimits()
	_, err = idle.answers.ReadByte()
	is.True(errors.Is(err, io.EOF)) // closed by the idle limit
	used, unused := dial(t, address), dial(t, address)
	is.Equal(used.get(t), http.StatusOK)
	for _, caller := range []*callerConn{used, unused} {
		_, err = caller.answers.ReadByte()
		is.True(errors.Is(err, io.EOF)) // closed by the idle limit, or by the header limit
	}
	setLimits(time.Second)
	extended, slow := dial(t, address), dial(t, address)
	is.Equal(extended.get(t), http.StatusOK)
	slow.send(t, wholeRequest[:20])
	setLimits(hangTimeout)
	time.Sleep(2 * time.Second)
	is.Equal(extended.get(t), http.StatusOK)
	slow.send(t, wholeRequest[20:])
	for _, caller := range []*callerConn{slow, busy} {
		if caller == busy {
			close(release)
		}
		status, err := caller.readStatus()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}

	is.NoErr(l.Close())
	is.NoErr(s.shutdown(t.Context()))
	_, err = extended.answers.ReadByte()
	is.True(err != nil)
	is.NoErr(s.close())
}

// Guards against a request without an answer, or with one that tells its caller not to
// retry, when the header limit ends before its head.
func TestSlowHeadIsRefused(t *testing.T) {
	for name, part := range map[string]int{"first byte": 1, "inside the request line": 10, "inside a field": 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, l := serveHeldLimits(t, nil, answerOK, func() connLimits { return connLimits{header: 500 * time.Millisecond, idle: hangTimeout} })
			for _, kept := range []bool{false, true} {
				caller := dial(t, l.Addr().String())
				if kept {
					is.Equal(caller.get(t), http.StatusOK)
				}
				caller.send(t, wholeRequest[:part])
				status, err := caller.readStatus()
				is.NoErr(err)
				is.Equal(status, http.StatusRequestTimeout)
				_, err = caller.answers.ReadByte()
				is.True(errors.Is(err, io.EOF)) // closed after one answer
			}
		})
	}
}

// Guards against a kept connection that is closed by an idle limit although a config with
// a longer one may be in force that the instance does not know yet.
func TestIdleLimitIsEnforcedLate(t *testing.T) {
	is := is.New(t)
	limit := 100 * time.Millisecond
	s := newCallerServer(http.HandlerFunc(answerOK), log.New(io.Discard), func() connLimits { return connLimits{header: limit, idle: limit} }, hangTimeout)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.run(l.(deadlineListener))
	t.Cleanup(func() { _ = l.Close(); _ = s.close() })
	caller := dial(t, l.Addr().String())
	is.Equal(caller.get(t), http.StatusOK)
	time.Sleep(10 * limit)
	is.Equal(caller.get(t), http.StatusOK)
}

// Guards against a shutdown that ends open requests on connections whose limits a later
// config has replaced.
func TestShutdownAnswersRequestsUnderReplacedLimits(t *testing.T) {
	is := is.New(t)
	var limits atomic.Int64
	started, release := make(chan struct{}), make(chan struct{})
	s := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { started <- struct{}{}; <-release }), log.New(io.Discard), func() connLimits {
		return connLimits{header: hangTimeout, idle: hangTimeout + time.Duration(limits.Load())}
	}, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.run(l.(deadlineListener))
	callers := make([]*callerConn, 4)
	for n := range callers {
		limits.Add(1)
		callers[n] = dial(t, l.Addr().String())
		callers[n].send(t, wholeRequest)
		<-started
	}
	is.NoErr(l.Close())
	ended := make(chan error, 1)
	go func() { ended <- s.shutdown(t.Context()) }()
	close(release)
	for _, caller := range callers {
		status, err := caller.readStatus()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.NoErr(<-ended)
}

// Guards against a request that arrives just before a time limit ends and gets no answer,
// because the process is short of processor time and reads it after the limit.
func TestRequestThatArrivesBeforeLimitIsAnswered(t *testing.T) {
	const limit = time.Second
	for name, firstPart := range map[string]int{"idle connection": 0, "inside the head": 10} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, l := serveHeldLimits(t, nil, answerOK, func() connLimits { return connLimits{header: limit, idle: limit} })
			caller := dial(t, l.Addr().String())
			is.Equal(caller.get(t), http.StatusOK)
			conn := <-l.conns
			<-conn.read
			if firstPart > 0 {
				caller.send(t, wholeRequest[:firstPart])
				<-conn.read
			}
			for len(conn.arrived) > 0 {
				<-conn.arrived
			}
			gate := make(chan struct{})
			conn.holdArrived.Store(&gate)
			caller.send(t, wholeRequest[firstPart:])
			<-conn.arrived
			time.Sleep(2 * limit)
			close(gate)
			status, err := caller.readStatus()
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
}

// Guards against a head that arrives with the request before it and, as the wait for the
// next request, gets the longer idle timeout.
func TestHeaderTimeoutAppliesToPipelinedHead(t *testing.T) {
	is := is.New(t)
	_, l := serveHeldLimits(t, nil, answerOK, func() connLimits { return connLimits{header: 50 * time.Millisecond, idle: 2 * hangTimeout} })
	caller := dial(t, l.Addr().String())
	caller.send(t, wholeRequest+"GET / HTTP/1.1\r\nHo")
	status, err := caller.readStatus()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	_, err = io.ReadAll(caller.answers) // returns when the server closes the connection
	is.NoErr(err)
}

// Guards against a request that is lost because a config lowers the idle limit and its
// connection is closed before the time that the last answer told its caller.
func TestLoweredIdleLimitKeepsConnectionAsLongAsTold(t *testing.T) {
	const notice = time.Second
	is := is.New(t)
	var currentLimits atomic.Pointer[connLimits]
	currentLimits.Store(&connLimits{header: hangTimeout, idle: hangTimeout})
	s := newCallerServer(http.HandlerFunc(answerOK), log.New(io.Discard), func() connLimits { return *currentLimits.Load() }, 0)
	s.conns.maxIdleNotice = notice
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.run(l.(deadlineListener))
	t.Cleanup(func() { _ = l.Close(); _ = s.close() })
	caller := dial(t, l.Addr().String())
	is.Equal(caller.get(t), http.StatusOK)
	currentLimits.Store(&connLimits{header: hangTimeout, idle: notice / 10})
	s.conns.refreshLimits()
	time.Sleep(notice * 9 / 10)
	is.Equal(caller.get(t), http.StatusOK)
	begun := time.Now()
	_, err = caller.answers.ReadByte()
	is.Equal(err, io.EOF)
	is.True(time.Since(begun) < notice/2+idleNoticeMargin) // the lowered limit was told
}

// Guards against a request that is lost because a config lowers the idle limit during an
// answer that has told its caller a longer time.
func TestLimitLoweredDuringAnswerKeepsConnectionAsLongAsTold(t *testing.T) {
	const notice = time.Second
	is := is.New(t)
	var currentLimits atomic.Pointer[connLimits]
	currentLimits.Store(&connLimits{header: hangTimeout, idle: hangTimeout})
	var s *callerServer
	s = newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(s.idleTimeout(), notice)
		answerOK(w, r)
		currentLimits.Store(&connLimits{header: hangTimeout, idle: notice / 10})
		s.conns.refreshLimits()
	}), log.New(io.Discard), func() connLimits { return *currentLimits.Load() }, 0)
	s.conns.maxIdleNotice = notice
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.run(l.(deadlineListener))
	t.Cleanup(func() { _ = l.Close(); _ = s.close() })
	caller := dial(t, l.Addr().String())
	is.Equal(caller.get(t), http.StatusOK)
	begun := time.Now()
	_, err = caller.answers.ReadByte()
	is.Equal(err, io.EOF)
	is.True(time.Since(begun) >= notice)
}
