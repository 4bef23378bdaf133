package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/hyssophaven/hyssophaven/fleet"
)

// maxCalls bounds the calls of one peer that are handled at once.
const maxCalls = 4

// codeBusy is the jsonrpc2 error code for calls beyond maxCalls.
const codeBusy = -32000

// server accepts connections of peers.
type server struct {
	opts     Options
	count    *Counters
	handler  Handler
	listener net.Listener
	total    chan struct{} // one element per connection
	pending  chan struct{} // one element per connection that is not authenticated
	wg       sync.WaitGroup
}

func newServer(opts Options, count *Counters, handler Handler, listener net.Listener) *server {
	return &server{
		opts: opts, count: count, handler: handler, listener: listener,
		total: make(chan struct{}, opts.MaxConnections), pending: make(chan struct{}, opts.MaxPending),
	}
}

// acceptBackoff is the wait after a failed accept, such as for lack of file
// descriptors.
const acceptBackoff = 50 * time.Millisecond

// run accepts until the listener is closed, and returns when all connections
// have ended. Connections end when ctx does.
func (s *server) run(ctx context.Context) {
	defer s.wg.Wait()
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptBackoff):
				continue
			case <-ctx.Done():
				return
			}
		}
		if !tryAcquire(s.total) {
			s.refuse(c)
			continue
		}
		if !tryAcquire(s.pending) {
			<-s.total
			s.refuse(c)
			continue
		}
		s.wg.Go(func() {
			defer func() { <-s.total }()
			s.connection(ctx, c)
		})
	}
}

func tryAcquire(semaphore chan struct{}) bool {
	select {
	case semaphore <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *server) refuse(c net.Conn) {
	s.count.ConnectionsRefused.Add(1)
	_ = c.Close()
}

// connection serves one peer until the connection or ctx ends.
func (s *server) connection(ctx context.Context, raw net.Conn) {
	in := &incoming{server: s, calls: make(chan struct{}, maxCalls), ready: make(chan struct{})}
	in.release = sync.OnceFunc(func() { <-s.pending })
	defer in.release()
	secured := raw
	if s.opts.ServerTLS != nil {
		t := tls.Server(raw, s.opts.ServerTLS)
		handshake, cancel := context.WithTimeout(ctx, s.opts.DialTimeout)
		err := t.HandshakeContext(handshake)
		cancel()
		if err != nil {
			s.count.AuthFailures.Add(1)
			_ = raw.Close()
			return
		}
		secured = t
	}
	binding, err := sessionBinding(secured)
	if err != nil {
		_ = raw.Close()
		return
	}
	in.hello.binding = binding
	in.conn = newConn(secured, s.opts, s.count, in)
	close(in.ready)
	select {
	case <-in.conn.rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = in.conn.rpc.Close()
	}
	in.wg.Wait()
}

// incoming handles the messages of one connection. Its fields are used only by
// the connection's reading goroutine.
type incoming struct {
	server  *server
	conn    *conn
	ready   chan struct{} // closed when conn is set
	release func()        // ends the pending state
	calls   chan struct{}
	wg      sync.WaitGroup

	hello    transcript
	greeted  bool
	instance fleet.Instance
	decoder  *decoder // nil until authenticated
}

// Handle implements jsonrpc2.Handler. Until the peer is authenticated, only
// the messages of the hello are accepted. A message that can't be understood
// closes the connection.
func (in *incoming) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-in.ready
	if in.decoder == nil {
		if err := in.authenticate(ctx, c, r); err != nil {
			in.server.count.AuthFailures.Add(1)
			in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()})
			_ = c.Close()
		}
		return
	}
	if err := in.message(ctx, c, r); err != nil {
		in.server.count.Malformed.Add(1)
		in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		_ = c.Close()
	}
}

// reply answers a call. A failed write is noticed by the connection's reader.
func (in *incoming) reply(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, result any, failure *jsonrpc2.Error) {
	switch {
	case r.Notif:
	case failure != nil:
		_ = c.ReplyWithError(ctx, r.ID, failure)
	default:
		_ = c.Reply(ctx, r.ID, result)
	}
}

func (in *incoming) authenticate(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) error {
	switch {
	case r.Method == methodHello && !in.greeted:
		return in.greet(ctx, c, r)
	case r.Method == methodHelloProof && in.greeted:
		var p proofParams
		if err := decodeParams(r, &p); err != nil {
			return err
		}
		if err := in.hello.check(in.server.opts.Secret, roleCaller, p.Proof); err != nil {
			return err
		}
		in.decoder = newDecoder(in.instance)
		in.conn.authenticated()
		in.release()
		in.reply(ctx, c, r, true, nil)
		return nil
	default:
		return ErrAuthentication
	}
}

func (in *incoming) greet(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) error {
	var p helloParams
	if err := decodeParams(r, &p); err != nil {
		return err
	}
	instance, err := checkHello(p)
	if err != nil {
		return err
	}
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	self := instanceToWire(in.server.opts.Self)
	in.hello.callerNonce, in.hello.caller = p.Nonce, p.Instance
	in.hello.listenerNonce, in.hello.listener = nonce, self
	proof, err := in.hello.proof(in.server.opts.Secret, roleListener)
	if err != nil {
		return err
	}
	in.greeted, in.instance = true, instance
	in.reply(ctx, c, r, helloResult{Nonce: nonce, Instance: self, Proof: proof}, nil)
	return nil
}

// message handles a message of an authenticated peer.
func (in *incoming) message(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) error {
	switch r.Method {
	case methodHeartbeat:
		var w wireHeartbeat
		if err := decodeParams(r, &w); err != nil {
			return err
		}
		h, err := in.decoder.decode(time.Now(), w)
		if err != nil {
			return err
		}
		in.server.count.HeartbeatsReceived.Add(1)
		in.server.handler.HandleHeartbeat(h)
		in.reply(ctx, c, r, true, nil)
	case methodSuspect:
		var w []wireNotice
		if err := decodeParams(r, &w); err != nil {
			return err
		}
		in.server.handler.HandleNotices(in.instance, noticesFromWire(w))
		in.reply(ctx, c, r, true, nil)
	case methodSnapshot:
		var p snapshotParams
		if err := decodeParams(r, &p); err != nil {
			return err
		}
		in.call(ctx, c, r, func(ctx context.Context) (any, error) { return in.server.snapshotPart(ctx, p) })
	case methodClaimStatus:
		var claim string
		if err := decodeParams(r, &claim); err != nil {
			return err
		}
		in.call(ctx, c, r, func(ctx context.Context) (any, error) { return in.server.handler.ClaimStatus(ctx, claim) })
	default:
		// A newer version may know more methods.
		in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"})
	}
	return nil
}

// call answers a call in its own goroutine, so that heartbeats don't wait for it.
func (in *incoming) call(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, answer func(context.Context) (any, error)) {
	if !tryAcquire(in.calls) {
		in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls in progress"})
		return
	}
	in.wg.Go(func() {
		defer func() { <-in.calls }()
		result, err := answer(ctx)
		if err != nil {
			in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
			return
		}
		in.reply(ctx, c, r, result, nil)
	})
}
