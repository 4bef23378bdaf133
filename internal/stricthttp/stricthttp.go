// Package stricthttp makes transports of net/http fail for broken answers that net/http
// takes for sound ones. All HTTP clients of the project but package upstream use it.
package stricthttp

import (
	"fmt"
	"net"
	"net/http"

	"github.com/hyssophaven/hyssophaven/internal/answerhead"
	"github.com/hyssophaven/hyssophaven/netdial"
)

// Transport is an http.Transport whose answers are checked. An answer that fails a check is an
// error, like one that breaks off, and its connection is closed.
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
func (t *Transport) SetDial(dial netdial.DialFunc) { t.DialContext = netdial.WrapDial(dial) }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
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
