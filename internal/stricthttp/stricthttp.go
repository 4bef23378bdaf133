// Package stricthttp makes transports of net/http fail for broken answers that net/http
// takes for sound ones. All HTTP clients of the project but package upstream use it.
package stricthttp

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/hyssophaven/hyssophaven/internal/answerhead"
	"github.com/hyssophaven/hyssophaven/netdial"
)

// Transport is an http.Transport whose answers are checked. An answer that fails a check is an
// error, like one that breaks off, and its connection is closed. The lines of answers over TLS
// are checked only as far as http.Response shows them.
type Transport struct{ *http.Transport }

// NewTransport adds the checks to t, which must not have been used yet.
func NewTransport(t *http.Transport) *Transport {
	strict := &Transport{t}
	if t.DialContext == nil {
		strict.SetDial((&net.Dialer{}).DialContext)
	} else {
		strict.SetDial(t.DialContext)
	}
	return strict
}

// SetDial makes the transport open its connections with dial. It must be called before the
// transport is used.
func (t *Transport) SetDial(dial netdial.DialFunc) {
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: netdial.NewConn(c)}, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.expectHead()
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if !answerhead.IsFinal(resp.StatusCode) {
		err = fmt.Errorf("answer has the invalid status %d", resp.StatusCode)
	} else {
		err = answerhead.Check(resp)
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// conn checks the lines of answers. A Read fails after the bytes before a malformed line: with
// no byte of an answer, http.Transport would send some requests again.
type conn struct {
	*netdial.Conn
	mu      sync.Mutex // guards the fields below
	active  bool       // a request has used the connection; never true below TLS
	checker answerhead.LineChecker
	failed  error // ends the connection
}

// expectHead makes the connection take the next byte for the first of an answer. It is called
// before the request is written.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.checker = true, answerhead.LineChecker{}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		return n, err
	}
	valid, lineErr := c.checker.Check(b[:n])
	if lineErr != nil {
		c.failed = lineErr
		return valid, lineErr
	}
	return n, err
}

func (c *conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}
