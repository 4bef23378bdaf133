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

// maxCalls limits the calls of one connection that handleCall handles at once.
const maxCalls = 4

// codeBusy is the JSON-RPC error code for calls that exceed maxCalls.
const codeBusy = -32000

// server accepts connections from peers and handles their messages.
type server struct {
	opts            Options
	counters        *Counters
	handler         Handler
	listener        net.Listener
	connectionSlots chan struct{} // one element per connection
	pendingSlots    chan struct{} // one element per connection that is not authenticated
	wg              sync.WaitGroup
}

func newServer(opts Options, counters *Counters, handler Handler, listener net.Listener) *server {
	return &server{
		opts: opts, counters: counters, handler: handler, listener: listener,
		connectionSlots: make(chan struct{}, opts.MaxConnections), pendingSlots: make(chan struct{}, opts.MaxPending),
	}
}

// acceptBackoff is the wait after a failed accept, for example when the process
// has no file descriptors left.
const acceptBackoff = 50 * time.Millisecond

// run accepts connections until the listener is closed, and returns when all
// connections have ended. They end at the latest when ctx ends.
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
		if !tryAcquire(s.connectionSlots) {
			s.refuse(c)
			continue
		}
		if !tryAcquire(s.pendingSlots) {
			<-s.connectionSlots
			s.refuse(c)
			continue
		}
		s.wg.Go(func() {
			defer func() { <-s.connectionSlots }()
			s.serveConnection(ctx, c)
		})
	}
}

// tryAcquire acquires the semaphore if that is possible without blocking.
func tryAcquire(semaphore chan struct{}) bool {
	select {
	case semaphore <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *server) refuse(c net.Conn) {
	s.counters.ConnectionsRefused.Add(1)
	_ = c.Close()
}

// serveConnection handles the messages of one connection until it or ctx ends.
func (s *server) serveConnection(ctx context.Context, raw net.Conn) {
	in := &incoming{server: s, callSlots: make(chan struct{}, maxCalls), connSet: make(chan struct{})}
	in.releasePending = sync.OnceFunc(func() { <-s.pendingSlots })
	defer in.releasePending()
	secured := raw
	if s.opts.ServerTLS != nil {
		t := tls.Server(raw, s.opts.ServerTLS)
		handshake, cancel := context.WithTimeout(ctx, s.opts.DialTimeout)
		err := t.HandshakeContext(handshake)
		cancel()
		if err != nil {
			s.counters.AuthFailures.Add(1)
			_ = raw.Close()
			return
		}
		secured = t
	}
	binding, err := tlsSessionBinding(secured)
	if err != nil {
		_ = raw.Close()
		return
	}
	in.transcript.tlsBinding = binding
	in.conn = newConn(secured, s.opts, s.counters, in)
	close(in.connSet)
	select {
	case <-in.conn.rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = in.conn.rpc.Close()
	}
	in.wg.Wait()
}

// incoming handles the messages of one accepted connection. Once connSet is
// closed, only the connection's reading goroutine uses transcript,
// helloReceived, peer and decoder.
type incoming struct {
	server         *server
	conn           *conn
	connSet        chan struct{} // closed when conn is set
	releasePending func()        // releases the connection's element of pendingSlots
	callSlots      chan struct{}
	wg             sync.WaitGroup

	transcript    transcript
	helloReceived bool
	peer          fleet.Instance
	decoder       *decoder // nil until authenticated
}

// Handle implements jsonrpc2.Handler. Until the peer is authenticated, it accepts
// only the messages of the hello. It closes the connection after an invalid
// message.
func (in *incoming) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-in.connSet
	if in.decoder == nil {
		if err := in.authenticate(ctx, c, r); err != nil {
			in.server.counters.AuthFailures.Add(1)
			in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()})
			_ = c.Close()
		}
		return
	}
	if err := in.handleMessage(ctx, c, r); err != nil {
		in.server.counters.MalformedMessages.Add(1)
		in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		_ = c.Close()
	}
}

// reply replies to a call and does nothing for a notification. It ignores write
// errors, because the connection's reader detects a failed connection.
func (in *incoming) reply(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, result any, failure *jsonrpc2.Error) {
	switch {
	case r.Notif:
	case failure != nil:
		_ = c.ReplyWithError(ctx, r.ID, failure)
	default:
		_ = c.Reply(ctx, r.ID, result)
	}
}

// authenticate handles a message from a peer that is not authenticated yet, and
// fails unless it is the next message of the hello.
func (in *incoming) authenticate(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) error {
	switch {
	case r.Method == methodHello && !in.helloReceived:
		return in.handleHello(ctx, c, r)
	case r.Method == methodHelloProof && in.helloReceived:
		var p proofParams
		if err := decodeParams(r, &p); err != nil {
			return err
		}
		if err := in.transcript.verify(in.server.opts.Secret, roleDialer, p.Proof); err != nil {
			return err
		}
		in.decoder = newDecoder(in.peer)
		in.conn.liftHelloLimits()
		in.releasePending()
		in.reply(ctx, c, r, true, nil)
		return nil
	default:
		return ErrAuthentication
	}
}

// handleHello replies to a hello with this instance, a nonce and a proof.
func (in *incoming) handleHello(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) error {
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
	in.transcript.dialerNonce, in.transcript.dialer = p.Nonce, p.Instance
	in.transcript.listenerNonce, in.transcript.listener = nonce, self
	proof, err := in.transcript.proof(in.server.opts.Secret, roleListener)
	if err != nil {
		return err
	}
	in.helloReceived, in.peer = true, instance
	in.reply(ctx, c, r, helloResult{Nonce: nonce, Instance: self, Proof: proof}, nil)
	return nil
}

// handleMessage handles a message of an authenticated peer.
func (in *incoming) handleMessage(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) error {
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
		in.server.counters.HeartbeatsReceived.Add(1)
		in.server.handler.HandleHeartbeat(h)
		in.reply(ctx, c, r, true, nil)
	case methodSuspect:
		var w []wireNotice
		if err := decodeParams(r, &w); err != nil {
			return err
		}
		in.server.handler.HandleNotices(in.peer, noticesFromWire(w))
		in.reply(ctx, c, r, true, nil)
	case methodSnapshot:
		var p snapshotParams
		if err := decodeParams(r, &p); err != nil {
			return err
		}
		in.handleCall(ctx, c, r, func(ctx context.Context) (any, error) { return in.server.snapshotPart(ctx, p) })
	case methodClaimStatus:
		var claim string
		if err := decodeParams(r, &claim); err != nil {
			return err
		}
		in.handleCall(ctx, c, r, func(ctx context.Context) (any, error) { return in.server.handler.ClaimStatus(ctx, claim) })
	default:
		// A peer of a newer version can use methods that this version lacks, so
		// the connection stays open.
		in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"})
	}
	return nil
}

// handleCall runs answer in a separate goroutine, so that it doesn't delay
// heartbeats, and replies with its result. It refuses calls beyond maxCalls.
func (in *incoming) handleCall(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request, answer func(context.Context) (any, error)) {
	if !tryAcquire(in.callSlots) {
		in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls in progress"})
		return
	}
	in.wg.Go(func() {
		defer func() { <-in.callSlots }()
		result, err := answer(ctx)
		if err != nil {
			in.reply(ctx, c, r, nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
			return
		}
		in.reply(ctx, c, r, result, nil)
	})
}
