// Package peer carries heartbeats, quarantine notices and requests between
// instances started with the serve command, by JSON-RPC over TCP with optional TLS
// and authentication by a shared secret. It owns the connections and encodes each
// heartbeat as the difference from the previous one on its connection; other
// packages decide what is sent to whom. A faulty peer affects only its own
// connections. Package peering, by contrast, lets the edge instances of the other
// deployment exchange state with the one holder of the order lease.
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

// ServiceName is the kernel name of the service, which implements Network.
const ServiceName = "peers"

// Network sends messages to other instances by the address of their peer
// listener. It is safe for concurrent use.
type Network interface {
	// SendHeartbeat queues a heartbeat without blocking. It replaces a heartbeat that
	// is still queued for the same address. Nothing is queued if ctx has ended
	// or the network is stopped.
	SendHeartbeat(ctx context.Context, address string, h membership.Heartbeat)
	// SendNotices queues quarantine notices without blocking. If too many are
	// queued, the oldest are dropped; heartbeats repeat them. Nothing is queued
	// if ctx has ended or the network is stopped.
	SendNotices(ctx context.Context, address string, notices []quarantine.Notice)
	// Identify returns the authenticated instance that listens on the address.
	Identify(ctx context.Context, address string) (fleet.Instance, error)
	// TableSnapshot fetches the encoded table snapshot of a peer.
	TableSnapshot(ctx context.Context, address string) (Snapshot, error)
	// ClaimStatus requests the status of an idempotency claim from the instance
	// named in the claim.
	ClaimStatus(ctx context.Context, address, claim string) (ClaimStatus, error)
}

// Handler handles received messages. Its methods are called concurrently.
// HandleHeartbeat and HandleNotices are called sequentially for the messages of
// one connection; they must return quickly, because they delay the connection's
// next message.
type Handler interface {
	HandleHeartbeat(h membership.Heartbeat)
	HandleNotices(from fleet.Instance, notices []quarantine.Notice)
	// EncodedTable returns the newest table snapshot in encoded form. It is
	// called for every part of a transfer, so implementations should cache the
	// encoding. The data must not be modified after it was returned.
	EncodedTable(ctx context.Context) (Snapshot, error)
	// ClaimStatus returns the status of an idempotency claim of this instance.
	ClaimStatus(ctx context.Context, claim string) (ClaimStatus, error)
}

// Snapshot is a table snapshot in the encoding chosen by the Handler.
type Snapshot struct {
	Revision uint64
	Data     []byte
}

// ClaimStatus is the state of an idempotency claim in the instance that made it.
type ClaimStatus uint8

// The statuses of a claim.
const (
	ClaimNotInProgress  ClaimStatus = iota // the instance has no request in progress for the claim
	ClaimInProgress                        // a request for the claim is in progress
	ClaimDone                              // the request was answered
	ClaimOutcomeUnknown                    // the request was sent, but its outcome is unknown
)

// Errors that Network methods return.
var (
	ErrStopped        = errors.New("peer: network is stopped")
	ErrUnreachable    = errors.New("peer: peer is unreachable")
	ErrAuthentication = errors.New("peer: peer does not prove knowledge of the shared secret")
)

// Options configures a Service.
type Options struct {
	Self   fleet.Instance
	Secret []byte // shared by all instances; required
	// Listen is the TCP address to listen on. It is ignored if Listener is set.
	Listen   string
	Listener net.Listener
	// ServerTLS and ClientTLS must both be set, or both be nil for plain TCP.
	// Their callbacks, such as GetCertificate and GetClientCertificate, can
	// reload certificates.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// HandlerService is the kernel name of the service that implements Handler.
	// The default is "control".
	HandlerService string

	DialTimeout  time.Duration // limit for dial, TLS handshake and hello; default 2 s
	WriteTimeout time.Duration // limit for each write to a connection; default 2 s
	// IdleTimeout is the time without received data after which a connection
	// is closed. It must exceed AckInterval. The default is 6 s.
	IdleTimeout time.Duration
	// AckInterval is the minimum time between heartbeats that the peer must
	// acknowledge. Missing acknowledgements reveal a connection that was lost
	// without a TCP reset. The default is 2 s.
	AckInterval time.Duration
	MinBackoff  time.Duration // initial wait between connection attempts; default 200 ms
	MaxBackoff  time.Duration // maximum wait between connection attempts; default 5 s
	// MaxConnections limits the accepted connections, and MaxPending those that
	// are not authenticated yet. The defaults are 2048 and 64.
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
		{&o.AckInterval, 2 * time.Second},
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

// Counters counts messages, connections and failures since the process started.
type Counters struct {
	HeartbeatsSent     atomic.Int64
	HeartbeatsReplaced atomic.Int64 // replaced by a newer one before being sent
	HeartbeatsReceived atomic.Int64
	NoticesDropped     atomic.Int64
	BytesSent          atomic.Int64
	BytesReceived      atomic.Int64
	Connects           atomic.Int64
	ConnectFailures    atomic.Int64
	AuthFailures       atomic.Int64 // on accepted connections
	MalformedMessages  atomic.Int64 // connections closed because of an invalid frame or message
	ConnectionsRefused atomic.Int64 // exceeding MaxConnections or MaxPending
}
