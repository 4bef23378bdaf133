package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/internal/jsonframe"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// maxQueuedNotices limits the notices queued for one peer.
const maxQueuedNotices = 64

// outbox holds the messages and connection requests queued for one peer. Adding
// to it never blocks.
type outbox struct {
	mu                 sync.Mutex
	heartbeat          *membership.Heartbeat
	notices            []quarantine.Notice
	connectionRequests []chan<- connectionResult
	closed             bool
	wake               chan struct{} // receives an element with each update, unless it holds one
}

// connectionResult is the reply to a connection request.
type connectionResult struct {
	conn *jsonrpc2.Conn
	peer fleet.Instance
	err  error
}

// outboxContent is what drain takes out of an outbox.
type outboxContent struct {
	heartbeat          *membership.Heartbeat
	notices            []quarantine.Notice
	connectionRequests []chan<- connectionResult
}

// update applies change to the outbox and wakes its reader. It does neither and
// returns false if the outbox is closed.
func (o *outbox) update(change func()) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	change()
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return true
}

// drain empties the outbox and returns what it held.
func (o *outbox) drain() outboxContent {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := outboxContent{o.heartbeat, o.notices, o.connectionRequests}
	o.heartbeat, o.notices, o.connectionRequests = nil, nil, nil
	return w
}

// closeIfEmpty closes the outbox if nothing is queued, and reports whether it did.
func (o *outbox) closeIfEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.heartbeat != nil || len(o.notices) > 0 || len(o.connectionRequests) > 0 {
		return false
	}
	o.closed = true
	return true
}

// link maintains the outgoing connection to one peer in one goroutine.
type link struct {
	address  string
	opts     Options
	counters *Counters
	outbox   outbox
}

func newLink(address string, opts Options, counters *Counters) *link {
	return &link{address: address, opts: opts, counters: counters, outbox: outbox{wake: make(chan struct{}, 1)}}
}

// run connects whenever something is queued. It closes the outbox and returns
// when ctx ends, or when nothing is queued for the idle timeout while the link is
// not connected.
func (l *link) run(ctx context.Context) {
	retryBackoff := &backoff.ExponentialBackOff{
		InitialInterval: l.opts.MinBackoff, MaxInterval: l.opts.MaxBackoff, Multiplier: 2, RandomizationFactor: 0.5,
	}
	retryBackoff.Reset()
	for {
		idle := time.NewTimer(l.opts.IdleTimeout)
		select {
		case <-l.outbox.wake:
			idle.Stop()
		case <-idle.C:
			if l.outbox.closeIfEmpty() {
				return
			}
		case <-ctx.Done():
			l.failRequests(ErrStopped, true)
			return
		}
		conn, peer, err := l.connect(ctx)
		if err == nil {
			retryBackoff.Reset()
			l.sendUntilClosed(ctx, conn, peer)
			continue
		}
		l.counters.ConnectFailures.Add(1)
		l.failRequests(fmt.Errorf("%w: %s: %w", ErrUnreachable, l.address, err), false)
		l.sleep(ctx, retryBackoff.NextBackOff())
	}
}

// sleep waits for d or until ctx ends. Connection requests made meanwhile stay
// queued for the next connection attempt.
func (l *link) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// failRequests replies to the queued connection requests with err. It drops the
// queued heartbeat and notices, since another heartbeat, which also contains the
// notices, follows soon. If final is set, it closes the outbox first.
func (l *link) failRequests(err error, final bool) {
	if final {
		l.outbox.mu.Lock()
		l.outbox.closed = true
		l.outbox.mu.Unlock()
	}
	for _, request := range l.outbox.drain().connectionRequests {
		request <- connectionResult{err: err}
	}
}

// connect dials the peer, and returns the connection once both sides are
// authenticated.
func (l *link) connect(ctx context.Context) (*jsonrpc2.Conn, fleet.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, fleet.Instance{}, err
	}
	secured, err := l.startTLS(ctx, raw)
	if err != nil {
		return nil, fleet.Instance{}, errors.Join(err, raw.Close())
	}
	binding, err := tlsSessionBinding(secured)
	if err != nil {
		return nil, fleet.Instance{}, errors.Join(err, raw.Close())
	}
	conn := newConn(secured, l.opts, l.counters, rejectRequests{})
	peer, err := l.hello(ctx, conn.rpc, binding)
	if err != nil {
		_ = conn.rpc.Close()
		return nil, fleet.Instance{}, err
	}
	conn.liftHelloLimits()
	l.counters.Connects.Add(1)
	return conn.rpc, peer, nil
}

// startTLS returns the TLS connection over raw, or raw if TLS is not configured.
func (l *link) startTLS(ctx context.Context, raw net.Conn) (net.Conn, error) {
	if l.opts.ClientTLS == nil {
		return raw, nil
	}
	cfg := l.opts.ClientTLS.Clone()
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(l.address)
		if err != nil {
			return nil, err
		}
		cfg.ServerName = host
	}
	conn := tls.Client(raw, cfg)
	return conn, conn.HandshakeContext(ctx)
}

// hello authenticates both sides and returns the peer's instance.
func (l *link) hello(ctx context.Context, rpc *jsonrpc2.Conn, binding []byte) (fleet.Instance, error) {
	nonce, err := newNonce()
	if err != nil {
		return fleet.Instance{}, err
	}
	params := helloParams{Version: protocolVersion, Nonce: nonce, Instance: instanceToWire(l.opts.Self)}
	var result helloResult
	if err := rpc.Call(ctx, methodHello, params, &result); err != nil {
		return fleet.Instance{}, fmt.Errorf("hello: %w", err)
	}
	t := transcript{dialerNonce: nonce, listenerNonce: result.Nonce, dialer: params.Instance, listener: result.Instance, tlsBinding: binding}
	if err := t.verify(l.opts.Secret, roleListener, result.Proof); err != nil {
		return fleet.Instance{}, err
	}
	proof, err := t.proof(l.opts.Secret, roleDialer)
	if err != nil {
		return fleet.Instance{}, err
	}
	var ok bool
	if err := rpc.Call(ctx, methodHelloProof, proofParams{Proof: proof}, &ok); err != nil {
		return fleet.Instance{}, fmt.Errorf("hello: %w", err)
	}
	return instanceFromWire(result.Instance), nil
}

// sendUntilClosed sends what is queued until the connection or ctx ends. The
// connection ends when nothing is read for the idle timeout. This also closes an
// unused connection, on which no acknowledgements arrive.
func (l *link) sendUntilClosed(ctx context.Context, conn *jsonrpc2.Conn, peer fleet.Instance) {
	defer func() { _ = conn.Close() }()
	s := sender{link: l, conn: conn, encoder: newEncoder()}
	for {
		w := l.outbox.drain()
		for _, request := range w.connectionRequests {
			request <- connectionResult{conn: conn, peer: peer}
		}
		if err := s.send(ctx, w); err != nil {
			return
		}
		select {
		case <-l.outbox.wake:
		case <-conn.DisconnectNotify():
			return
		case <-ctx.Done():
			return
		}
	}
}

// sender sends notices and heartbeats on one connection.
type sender struct {
	link    *link
	conn    *jsonrpc2.Conn
	encoder *encoder
	nextAck time.Time
}

func (s *sender) send(ctx context.Context, w outboxContent) error {
	if len(w.notices) > 0 {
		if err := s.conn.Notify(ctx, methodSuspect, noticesToWire(w.notices)); err != nil {
			return err
		}
	}
	if w.heartbeat == nil {
		return nil
	}
	now := time.Now()
	params, err := s.encoder.encode(now, *w.heartbeat)
	if err != nil {
		return err
	}
	if now.Before(s.nextAck) {
		err = s.conn.Notify(ctx, methodHeartbeat, params)
	} else {
		// The reply is not awaited: if it doesn't arrive, the connection's read
		// deadline expires.
		s.nextAck = now.Add(s.link.opts.AckInterval)
		_, err = s.conn.DispatchCall(ctx, methodHeartbeat, params)
	}
	if err == nil {
		s.link.counters.HeartbeatsSent.Add(1)
	}
	return err
}

// conn is a jsonrpc2 connection with deadlines and a limited frame size.
type conn struct {
	rpc        *jsonrpc2.Conn
	frameLimit *atomic.Int64
	deadlines  *deadlineConn
}

// newConn starts reading messages from c, with the frame size and the read
// deadline for peers that are not authenticated yet.
func newConn(c net.Conn, opts Options, counters *Counters, h jsonrpc2.Handler) *conn {
	maxBytes := new(atomic.Int64)
	maxBytes.Store(maxHelloFrameBytes)
	d := &deadlineConn{Conn: c, idleTimeout: opts.IdleTimeout, writeTimeout: opts.WriteTimeout, bytesSent: &counters.BytesSent, bytesReceived: &counters.BytesReceived}
	d.helloDeadline.Store(time.Now().Add(opts.DialTimeout).UnixNano())
	codec := jsonframe.Codec{MaxSentBytes: maxFrameBytes, MaxBytes: maxBytes.Load, OnMalformed: func() { counters.MalformedMessages.Add(1) }}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(d, codec), h, jsonrpc2.SetLogger(discardLogger{}))
	return &conn{rpc: rpc, frameLimit: maxBytes, deadlines: d}
}

// liftHelloLimits sets the frame size and the read deadline for an authenticated
// peer.
func (c *conn) liftHelloLimits() {
	c.frameLimit.Store(maxFrameBytes)
	c.deadlines.helloDeadline.Store(0)
	// Extends the deadline of a read that is already in progress.
	_ = c.deadlines.SetReadDeadline(time.Now().Add(c.deadlines.idleTimeout))
}

// discardLogger discards the log lines of jsonrpc2, because faults of peers are
// counted instead.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

// rejectRequests handles requests on outgoing connections by closing the
// connection, since listeners send none.
type rejectRequests struct{}

// Handle implements jsonrpc2.Handler.
func (rejectRequests) Handle(_ context.Context, c *jsonrpc2.Conn, _ *jsonrpc2.Request) { _ = c.Close() }

// decodeParams decodes the params of r into v. It returns an error that wraps
// jsonframe.ErrBadFrame if they are missing or invalid.
func decodeParams(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return fmt.Errorf("%w: %s without params", jsonframe.ErrBadFrame, r.Method)
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return fmt.Errorf("%w: params of %s: %w", jsonframe.ErrBadFrame, r.Method, err)
	}
	return nil
}
