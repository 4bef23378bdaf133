package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEchoing starts an endpoint whose script gets the ID of each request.
func startEchoing(t *testing.T, script func(c net.Conn, n int, id string)) Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					script(c, n, req.Header.Get("Id"))
				}
			}()
		}
	}()
	return Endpoint{Address: l.Addr().String(), ID: "r", StartMillis: 1}
}

func newEchoPool() *Pool {
	return NewPool((&net.Dialer{}).DialContext, func(h http.Header) string { return h.Get("Id") })
}

// send sends a request and returns the status and the body of the answer.
func send(p *Pool, e Endpoint, id string) (string, error) {
	a, err := p.Do(context.Background(), e, &Request{ID: id, Call: Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {id}}}}, time.Second)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a)
	a.Close(err == nil)
	return fmt.Sprintf("%d %s", a.Status, body), err
}

func answerTo(id string, status int, body string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

// Guards against an answer that is taken for that of a request whose ID it does not carry.
func TestAnswerWithoutTheIDIsForeign(t *testing.T) {
	for _, status := range []int{200, 202, 400, 409, 421, 429, 500, 503} {
		for _, id := range []string{"", "another"} {
			for _, earlier := range []int{0, 1} {
				t.Run(fmt.Sprint(status, id, earlier), func(t *testing.T) {
					is := is.New(t)
					e := startEchoing(t, func(c net.Conn, n int, own string) {
						if n == earlier {
							_, _ = io.WriteString(c, answerTo(id, status, "x"))
						}
						_, _ = io.WriteString(c, answerTo(own, 200, own))
					})
					p := newEchoPool()
					for n := range earlier {
						got, err := send(p, e, fmt.Sprint("earlier", n))
						is.NoErr(err)
						is.Equal(got, fmt.Sprint("200 earlier", n))
					}
					_, err := send(p, e, "own")
					is.True(errors.Is(err, ErrForeignAnswer))
					is.True(errors.Is(err, ErrConnectionBroken))
					is.True(!errors.Is(err, ErrNotSent))
					is.Equal(p.IdleConnections(), int64(0))
				})
			}
		}
	}
}

// Guards against a second copy of any earlier answer on the connection that is taken for
// the next answer, and against a request that fails because of the copy.
func TestSecondCopyOfEarlierAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	e := startEchoing(t, func(c net.Conn, n int, id string) {
		if n == 3 {
			_, _ = io.WriteString(c, answerTo("r1", 503, "copy"))
		}
		_, _ = io.WriteString(c, answerTo(id, 200, id))
	})
	p := newEchoPool()
	for n := range 6 {
		got, err := send(p, e, fmt.Sprint("r", n))
		is.NoErr(err)
		is.Equal(got, fmt.Sprint("200 r", n))
	}
	is.Equal(p.ConnectionsOpened(), int64(2)) // the connection with the copy is not kept
}

// Guards against a request that has run and counts as refused, or the other way round, because
// the beginning of an additional answer was read together with the answer to the request.
func TestBeginningOfAnotherAnswerIsNoStatus(t *testing.T) {
	for _, beginning := range []string{"HTTP/1.1 421 ", "HTTP/1.1 421 Misdirected", "HTTP/1.1 503 Full\r\nX-Reason: ", "HTTP/1.1 200 OK\r\nContent-Type: text/plain", "HTTP/1.1 4", "HTTP/1.1 421 Misdirected Request\r\n"} {
		t.Run(fmt.Sprintf("%q", beginning), func(t *testing.T) {
			is := is.New(t)
			e := startEchoing(t, func(c net.Conn, n int, id string) {
				if n == 1 {
					_, _ = io.WriteString(c, beginning)
				}
				_, _ = io.WriteString(c, answerTo(id, 200, id))
			})
			p := newEchoPool()
			got, err := send(p, e, "first")
			is.NoErr(err)
			is.Equal(got, "200 first")
			_, err = send(p, e, "second")
			is.True(errors.Is(err, ErrConnectionBroken)) // it may have run
			is.Equal(p.IdleConnections(), int64(0))
		})
	}
}

// Guards against a connection that is kept while the answer to its request is owed, because
// an extra answer was read to its end.
func TestConnectionWithOwedAnswerIsNotReused(t *testing.T) {
	is := is.New(t)
	e := startEchoing(t, func(c net.Conn, n int, id string) {
		if n == 0 {
			_, _ = io.WriteString(c, answerTo(id, 200, "ok"))
		} else {
			_, _ = io.WriteString(c, answerTo("first", 200, "ok"))
		}
	})
	p := newEchoPool()
	_, err := send(p, e, "first")
	is.NoErr(err)
	a, err := p.Send(t.Context(), e, &Request{ID: "second", Call: Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"second"}}}})
	is.NoErr(err)
	is.True(errors.Is(a.ReadHead(t.Context(), 200*time.Millisecond), ErrAnswerTimeout))
	a.Close(true)
	is.Equal(p.IdleConnections(), int64(0))
}

// Guards against a second copy of the answer to a request that is taken for the answer to
// the same request when it is sent again.
func TestRepeatedRequestGetsNoCopyOfItsFirstAnswer(t *testing.T) {
	is := is.New(t)
	e := startEchoing(t, func(c net.Conn, n int, id string) {
		switch n {
		case 0:
			_, _ = io.WriteString(c, answerTo(id, 503, "first"))
		case 1:
			_, _ = io.WriteString(c, answerTo(id, 200, "between"))
		default:
			_, _ = io.WriteString(c, answerTo("same", 503, "first")+answerTo(id, 200, "second"))
		}
	})
	p := newEchoPool()
	for _, step := range []struct{ id, want string }{{"same", "503 first"}, {"other", "200 between"}, {"same", "503 first"}} {
		got, err := send(p, e, step.id)
		is.NoErr(err)
		is.Equal(got, step.want)
	}
	is.Equal(p.ConnectionsOpened(), int64(2))
}

// Guards against a connection to a process that has ended, on which a request is sent to
// the process that uses its address or its ID now.
func TestConnectionIsNotUsedForAnotherProcess(t *testing.T) {
	is := is.New(t)
	first := startEchoing(t, func(c net.Conn, _ int, id string) { _, _ = io.WriteString(c, answerTo(id, 200, "ok")) })
	other, restarted := first, first
	other.ID, restarted.StartMillis = "s", 2
	p := newEchoPool()
	for n, e := range []Endpoint{first, other, restarted} {
		_, err := send(p, e, fmt.Sprint("r", n))
		is.NoErr(err)
		is.Equal(p.ConnectionsOpened(), int64(n+1))
	}
	_, err := send(p, first, "again")
	is.NoErr(err)
	is.Equal(p.ConnectionsOpened(), int64(3))
	p.EndpointEnded(first)
	is.Equal(p.IdleConnections(), int64(2))
}

// Guards against a connection that was in use when its endpoint ended, and is kept after
// its answer.
func TestConnectionInUseEndsWithItsEndpoint(t *testing.T) {
	is := is.New(t)
	e := startEchoing(t, func(c net.Conn, _ int, id string) { _, _ = io.WriteString(c, answerTo(id, 200, "ok")) })
	p := newEchoPool()
	a, err := p.Do(t.Context(), e, &Request{ID: "r", Call: Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"r"}}}}, time.Second)
	is.NoErr(err)
	p.EndpointEnded(e)
	_, err = io.ReadAll(a)
	is.NoErr(err)
	a.Close(true)
	a.Close(true)
	is.Equal(p.IdleConnections(), int64(0))
	is.Equal(len(p.peers), 0)
}

// Guards against a connection that remembers the IDs of its requests without end.
func TestConnectionIsReplacedAfterManyRequests(t *testing.T) {
	is := is.New(t)
	e := startEchoing(t, func(c net.Conn, _ int, id string) { _, _ = io.WriteString(c, answerTo(id, 200, "ok")) })
	p := newEchoPool()
	for n := range maxRequestsPerConnection + 1 {
		_, err := send(p, e, fmt.Sprint("r", n))
		is.NoErr(err)
	}
	is.Equal(p.ConnectionsOpened(), int64(2))
}

// Guards against a request whose answer could not be told from that of another one.
func TestRequestWithoutIDIsNotSent(t *testing.T) {
	is := is.New(t)
	p := newEchoPool()
	_, err := send(p, Endpoint{Address: "127.0.0.1:1"}, "")
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(p.ConnectionsOpened(), int64(0))
}

// Guards against a second copy of the answer to a call without an ID that is taken for the
// answer to the next one.
func TestDedicatedCallGetsNoCopyOfAnotherAnswer(t *testing.T) {
	is := is.New(t)
	e := startEchoing(t, func(c net.Conn, n int, id string) {
		if n > 0 {
			_, _ = io.WriteString(c, answerTo("", 409, "copy"))
		}
		_, _ = io.WriteString(c, answerTo("", 200, id))
	})
	d := NewDedicated((&net.Dialer{}).DialContext)
	for n := range 3 {
		id := fmt.Sprint("call", n)
		a, err := d.Do(t.Context(), e.Address, &Call{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {id}}}, time.Second)
		is.NoErr(err)
		body, err := io.ReadAll(a)
		is.NoErr(err)
		a.Close(true)
		is.Equal(a.Status, 200)
		is.Equal(string(body), id)
	}
	is.Equal(d.ConnectionsOpened(), int64(3))
}
