// Package delivery determines whether an HTTP request can have reached its
// server. HTTP clients use it to report whether a failed call may have taken
// effect.
package delivery

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// Tracker records whether an HTTP request was assigned a connection. It is safe
// for concurrent use.
type Tracker struct {
	connected atomic.Bool
}

// Track returns a context for a single HTTP request and the Tracker that
// observes the request.
func Track(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	}), t
}

// NeverSent reports whether the request that failed with err certainly did not
// reach the server: it was never assigned a connection, or its last attempt failed
// to dial. net/http dials again for a request that it can't replay only if nothing
// of the request has been written. The request must therefore have no
// Idempotency-Key header and no method that net/http treats as idempotent.
func (t *Tracker) NeverSent(err error) bool {
	if !t.connected.Load() {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
