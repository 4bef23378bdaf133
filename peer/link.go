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
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// maxQueuedNotices bounds the notices that wait for one peer.
const maxQueuedNotices = 64

// outbox holds what waits for one peer. Adding to it never blocks.
type outbox struct {
	mu        sync.Mutex
	heartbeat *membership.Heartbeat
	notices   []quarantine.Notice
	asks      []chan<- connected
	closed    bool
	signal    chan struct{} // has one element when something waits
}

// connected answers an ask for a connection.
type connected struct {
	conn *jsonrpc2.Conn
	peer fleet.Instance
	err  error
}

// waiting is the content of an outbox.
type waiting struct {
	heartbeat *membership.Heartbeat
	notices   []quarantine.Notice
	asks      []chan<- connected
}

// put changes the outbox and wakes its reader. It reports false if the outbox
// is closed.
func (o *outbox) put(change func()) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	change()
	select {
	case o.signal <- struct{}{}:
	default:
	}
	return true
}

func (o *outbox) take() waiting {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := waiting{o.heartbeat, o.notices, o.asks}
	o.heartbeat, o.notices, o.asks = nil, nil, nil
	return w
}

// closeIfEmpty closes the outbox unless something waits.
func (o *outbox) closeIfEmpty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.heartbeat != nil || len(o.notices) > 0 || len(o.asks) > 0 {
		return false
	}
	o.closed = true
	return true
}

// link is the outgoing connection to one peer, run by one goroutine.
type link struct {
	address string
	opts    Options
	count   *Counters
	out     outbox
}

func newLink(address string, opts Options, count *Counters) *link {
	return &link{address: address, opts: opts, count: count, out: outbox{signal: make(chan struct{}, 1)}}
}

// run connects whenever something waits, until ctx ends or nothing was sent
// for the idle timeout. The outbox is closed afterwards.
func (l *link) run(ctx context.Context) {
	wait := &backoff.ExponentialBackOff{
		InitialInterval: l.opts.MinBackoff, MaxInterval: l.opts.MaxBackoff, Multiplier: 2, RandomizationFactor: 0.5,
	}
	wait.Reset()
	for {
		idle := time.NewTimer(l.opts.IdleTimeout)
		select {
		case <-l.out.signal:
			idle.Stop()
		case <-idle.C:
			if l.out.closeIfEmpty() {
				return
			}
		case <-ctx.Done():
			l.fail(ErrStopped, true)
			return
		}
		conn, peer, err := l.connect(ctx)
		if err == nil {
			wait.Reset()
			l.serve(ctx, conn, peer)
			continue
		}
		l.count.ConnectFailures.Add(1)
		l.fail(fmt.Errorf("%w: %s: %w", ErrUnreachable, l.address, err), false)
		l.pause(ctx, wait.NextBackOff())
	}
}

// pause waits for d. Asks that arrive in between are refused at its end.
func (l *link) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fail answers the waiting asks with err and drops the rest: a heartbeat is
// repeated soon, and notices are part of it.
func (l *link) fail(err error, final bool) {
	if final {
		l.out.mu.Lock()
		l.out.closed = true
		l.out.mu.Unlock()
	}
	for _, ask := range l.out.take().asks {
		ask <- connected{err: err}
	}
}

// connect dials and authenticates.
func (l *link) connect(ctx context.Context) (*jsonrpc2.Conn, fleet.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, fleet.Instance{}, err
	}
	secured, err := l.secure(ctx, raw)
	if err != nil {
		return nil, fleet.Instance{}, errors.Join(err, raw.Close())
	}
	binding, err := sessionBinding(secured)
	if err != nil {
		return nil, fleet.Instance{}, errors.Join(err, raw.Close())
	}
	conn := newConn(secured, l.opts, l.count, refuseHandler{})
	peer, err := l.hello(ctx, conn.rpc, binding)
	if err != nil {
		_ = conn.rpc.Close()
		return nil, fleet.Instance{}, err
	}
	conn.authenticated()
	l.count.Connects.Add(1)
	return conn.rpc, peer, nil
}

func (l *link) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
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
	t := transcript{callerNonce: nonce, listenerNonce: result.Nonce, caller: params.Instance, listener: result.Instance, binding: binding}
	if err := t.check(l.opts.Secret, roleListener, result.Proof); err != nil {
		return fleet.Instance{}, err
	}
	proof, err := t.proof(l.opts.Secret, roleCaller)
	if err != nil {
		return fleet.Instance{}, err
	}
	var ok bool
	if err := rpc.Call(ctx, methodHelloProof, proofParams{Proof: proof}, &ok); err != nil {
		return fleet.Instance{}, fmt.Errorf("hello: %w", err)
	}
	return instanceFromWire(result.Instance), nil
}

// serve sends what waits until the connection ends. The connection ends by
// itself when nothing is read for the idle timeout, which also closes it when
// nothing is sent any more.
func (l *link) serve(ctx context.Context, conn *jsonrpc2.Conn, peer fleet.Instance) {
	defer func() { _ = conn.Close() }()
	s := sender{link: l, conn: conn, enc: newEncoder()}
	for {
		w := l.out.take()
		for _, ask := range w.asks {
			ask <- connected{conn: conn, peer: peer}
		}
		if err := s.send(ctx, w); err != nil {
			return
		}
		select {
		case <-l.out.signal:
		case <-conn.DisconnectNotify():
			return
		case <-ctx.Done():
			return
		}
	}
}

// sender writes to one connection.
type sender struct {
	link    *link
	conn    *jsonrpc2.Conn
	enc     *encoder
	nextAck time.Time
}

func (s *sender) send(ctx context.Context, w waiting) error {
	if len(w.notices) > 0 {
		if err := s.conn.Notify(ctx, methodSuspect, noticesToWire(w.notices)); err != nil {
			return err
		}
	}
	if w.heartbeat == nil {
		return nil
	}
	now := time.Now()
	params, err := s.enc.encode(now, *w.heartbeat)
	if err != nil {
		return err
	}
	if now.Before(s.nextAck) {
		err = s.conn.Notify(ctx, methodHeartbeat, params)
	} else {
		// The answer needs no waiting for: without it the connection's read
		// deadline passes.
		s.nextAck = now.Add(s.link.opts.AckEvery)
		_, err = s.conn.DispatchCall(ctx, methodHeartbeat, params)
	}
	if err == nil {
		s.link.count.HeartbeatsSent.Add(1)
	}
	return err
}

// conn is a jsonrpc2 connection with bounds.
type conn struct {
	rpc   *jsonrpc2.Conn
	limit *atomic.Int64
	net   *deadlineConn
}

// newConn starts reading messages, with the bounds for unauthenticated peers.
func newConn(c net.Conn, opts Options, count *Counters, h jsonrpc2.Handler) *conn {
	limit := new(atomic.Int64)
	limit.Store(maxHelloFrame)
	d := &deadlineConn{Conn: c, idle: opts.IdleTimeout, write: opts.WriteTimeout, sent: &count.BytesSent, received: &count.BytesReceived}
	d.until.Store(time.Now().Add(opts.DialTimeout).UnixNano())
	codec := frameCodec{limit: limit, malformed: func() { count.Malformed.Add(1) }}
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(d, codec), h, jsonrpc2.SetLogger(silent{}))
	return &conn{rpc: rpc, limit: limit, net: d}
}

// authenticated lifts the bounds of the hello.
func (c *conn) authenticated() {
	c.limit.Store(maxFrame)
	c.net.until.Store(0)
	// A read that is already waiting has the deadline of the hello.
	_ = c.net.SetReadDeadline(time.Now().Add(c.net.idle))
}

// silent drops the log lines of the library; faults of peers are counted.
type silent struct{}

// Printf implements jsonrpc2.Logger.
func (silent) Printf(string, ...any) {}

// refuseHandler closes a connection whose listener sends requests.
type refuseHandler struct{}

// Handle implements jsonrpc2.Handler.
func (refuseHandler) Handle(_ context.Context, c *jsonrpc2.Conn, _ *jsonrpc2.Request) { _ = c.Close() }

// decodeParams decodes the params of a request.
func decodeParams(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return fmt.Errorf("%w: %s without params", errFrame, r.Method)
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return fmt.Errorf("%w: params of %s: %w", errFrame, r.Method, err)
	}
	return nil
}
