// Package peer carries messages between instances: jsonrpc2 over TCP, with
// optional TLS, authenticated by a shared secret. Heartbeats are sent as
// differences to the one before on the same connection. Nothing that a peer
// sends or fails to send affects other peers.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// ServiceName is the name of the service in the kernel. It is a Network.
const ServiceName = "peers"

// Network sends messages to other instances by the address of their peer
// listener. It is safe for concurrent use.
type Network interface {
	// Send queues a heartbeat and returns at once. A heartbeat that still
	// waits for the same address is replaced. Nothing is queued if ctx has
	// ended or the network is stopped.
	Send(ctx context.Context, address string, h membership.Heartbeat)
	// Suspect queues notices and returns at once. The oldest ones are dropped
	// beyond a bound; heartbeats repeat them.
	Suspect(ctx context.Context, address string, notices []quarantine.Notice)
	// Hello returns the instance that answers at the address.
	Hello(ctx context.Context, address string) (fleet.Instance, error)
	// TableSnapshot fetches the encoded table snapshot of a peer.
	TableSnapshot(ctx context.Context, address string) (Snapshot, error)
	// ClaimStatus asks the instance named in an idempotency claim about it.
	ClaimStatus(ctx context.Context, address, claim string) (ClaimStatus, error)
}

// Handler takes received messages. Calls come from many goroutines at once,
// but one after another for the messages of one peer. HandleHeartbeat and
// HandleNotices must return quickly, since the peer's next message waits.
type Handler interface {
	HandleHeartbeat(h membership.Heartbeat)
	HandleNotices(from fleet.Instance, notices []quarantine.Notice)
	// EncodedTable returns the newest table snapshot in encoded form. It is
	// called for every part of a transfer, so the encoding should be kept. The
	// data must not be changed afterwards.
	EncodedTable(ctx context.Context) (Snapshot, error)
	ClaimStatus(ctx context.Context, claim string) (ClaimStatus, error)
}

// Snapshot is an encoded table snapshot. The encoding is up to the handler.
type Snapshot struct {
	Revision uint64
	Data     []byte
}

// ClaimStatus is what an instance knows of an idempotency claim in its name.
type ClaimStatus uint8

// The statuses of a claim.
const (
	ClaimNotKnown       ClaimStatus = iota // not in progress here
	ClaimInProgress                        // being answered
	ClaimDone                              // answered
	ClaimOutcomeUnknown                    // sent, and the outcome was lost
)

// Errors of calls.
var (
	ErrStopped        = errors.New("peer: network is stopped")
	ErrUnreachable    = errors.New("peer: peer is unreachable")
	ErrAuthentication = errors.New("peer: peer does not prove knowledge of the shared secret")
)

// Options configure a service.
type Options struct {
	Self   fleet.Instance
	Secret []byte // shared by all instances; must not be empty
	// Listen is the TCP address to listen on. Listener, if set, is used instead.
	Listen   string
	Listener net.Listener
	// ServerTLS and ClientTLS are both nil for plain TCP. Certificates are
	// reloadable through their GetCertificate and GetClientCertificate.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// HandlerService names the kernel service that is a Handler. Default "control".
	HandlerService string

	DialTimeout  time.Duration // dial, TLS and hello; default 2 s
	WriteTimeout time.Duration // of one message; default 2 s
	// IdleTimeout closes a connection on which nothing was read for so long.
	// It must exceed AckEvery. Default 6 s.
	IdleTimeout time.Duration
	// AckEvery is the period of heartbeats that the peer must acknowledge, so
	// that a connection that is cut without a reset is noticed. Default 2 s.
	AckEvery   time.Duration
	MinBackoff time.Duration // first wait before a reconnect; default 200 ms
	MaxBackoff time.Duration // default 5 s
	// MaxConnections bounds accepted connections, MaxPending those of them
	// that are not authenticated yet. Defaults 2048 and 64.
	MaxConnections int
	MaxPending     int
}

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.DialTimeout, 2 * time.Second},
		{&o.WriteTimeout, 2 * time.Second},
		{&o.IdleTimeout, 6 * time.Second},
		{&o.AckEvery, 2 * time.Second},
		{&o.MinBackoff, 200 * time.Millisecond},
		{&o.MaxBackoff, 5 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if o.HandlerService == "" {
		o.HandlerService = "control"
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = 2048
	}
	if o.MaxPending == 0 {
		o.MaxPending = 64
	}
	return o
}

// Counters count what happened since the start.
type Counters struct {
	HeartbeatsSent     atomic.Int64
	HeartbeatsReplaced atomic.Int64 // by a newer one before they were sent
	HeartbeatsReceived atomic.Int64
	NoticesDropped     atomic.Int64
	BytesSent          atomic.Int64
	BytesReceived      atomic.Int64
	Connects           atomic.Int64
	ConnectFailures    atomic.Int64
	AuthFailures       atomic.Int64 // incoming
	Malformed          atomic.Int64 // connections closed for what was sent on them
	ConnectionsRefused atomic.Int64 // beyond MaxConnections or MaxPending
}
