package peering

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxAdapterRequests limits the requests for adapters that are served at once on one
	// connection. Each waits for at most 0.8 s, so an instance can request 320 adapters
	// a second even if none of them can be loaded.
	maxAdapterRequests = 256
	// codeTooManyRequests is in the range that JSON-RPC leaves to servers.
	codeTooManyRequests = -32001
)

// peerHandler handles the requests on the connection of another instance. It answers
// them one after another, except for requests for adapters, which wait in goroutines of
// their own. Requests for adapters beyond maxAdapterRequests fail at once: if they were
// left in the connection instead, they would delay the states behind them, and the
// other instance would close the connection.
type peerHandler struct {
	next  jsonrpc2.Handler
	slots chan struct{}
}

func newPeerHandler(next jsonrpc2.Handler) peerHandler {
	return peerHandler{next: next, slots: make(chan struct{}, maxAdapterRequests)}
}

// Handle implements jsonrpc2.Handler.
func (h peerHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method != methodAdapter {
		h.next.Handle(ctx, conn, r)
		return
	}
	select {
	case h.slots <- struct{}{}:
		go func() {
			defer func() { <-h.slots }()
			h.next.Handle(ctx, conn, r)
		}()
	default:
		jsonrpc2.HandlerWithError(refuseRequest).Handle(ctx, conn, r)
	}
}

// refuseRequest fails a request for an adapter beyond maxAdapterRequests.
func refuseRequest(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: codeTooManyRequests, Message: "too many requests for adapters"}
}
