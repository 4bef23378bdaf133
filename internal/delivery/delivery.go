// Package delivery tells whether an HTTP request can have reached its server.
// Codecs use it to say honestly whether a failed call may have taken effect.
package delivery

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// Tracker observes one HTTP request.
type Tracker struct {
	connected atomic.Bool
}

// Track returns a context for one HTTP request and the tracker that observes it.
func Track(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	}), t
}

// NeverSent reports whether the request that failed with err certainly did not
// reach the server. It is true if no connection was ever assigned to the
// request, or if the last attempt failed to dial: net/http dials again for a
// request that is not replayable only if nothing of it had been written. The
// request must therefore carry no Idempotency-Key header and no method that
// net/http replays by itself.
func (t *Tracker) NeverSent(err error) bool {
	if !t.connected.Load() {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
