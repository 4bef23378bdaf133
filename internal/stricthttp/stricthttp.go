// Package stricthttp makes transports of net/http fail for broken answers that net/http
// takes for sound ones. All HTTP clients of the project but package upstream use it.
package stricthttp

import (
	"net"
	"net/http"

	"github.com/hyssophaven/hyssophaven/netdial"
)

// Transport is an http.Transport whose answers are checked.
type Transport struct{ *http.Transport }

// NewTransport changes t so that an answer whose connection is reset does not count as
// complete. t must not have been used yet.
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
