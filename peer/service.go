package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/membership"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

// Service is the kernel service "peers". It passes the messages of peers to the
// Handler and implements Network for sending to them.
type Service struct {
	opts     Options
	counters Counters

	mu      sync.Mutex
	links   map[string]*link
	stopped bool // true before Start and after Stop

	ctx    context.Context // canceled by Stop
	cancel context.CancelFunc
	server *server
	wg     sync.WaitGroup
}

var (
	_ kernel.Service = (*Service)(nil)
	_ Network        = (*Service)(nil)
)

// New returns a service with the given options. It fails if the secret is empty
// or if only one of ServerTLS and ClientTLS is set.
func New(opts Options) (*Service, error) {
	if len(opts.Secret) == 0 {
		return nil, errors.New("peer: the shared secret is empty")
	}
	if (opts.ServerTLS == nil) != (opts.ClientTLS == nil) {
		return nil, errors.New("peer: TLS is configured for one direction only")
	}
	return &Service{opts: opts.withDefaults(), links: make(map[string]*link), stopped: true}, nil
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{s.opts.HandlerService} }

// Counters returns the counters, which are updated while the service runs.
func (s *Service) Counters() *Counters { return &s.counters }

// Address returns the address of the listener. It must be called after Start.
func (s *Service) Address() string { return s.server.listener.Addr().String() }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	handler, err := kernel.Lookup[Handler](k, s.opts.HandlerService)
	if err != nil {
		return err
	}
	listener := s.opts.Listener
	if listener == nil {
		var lc net.ListenConfig
		if listener, err = lc.Listen(ctx, "tcp", s.opts.Listen); err != nil {
			return fmt.Errorf("listen for peers: %w", err)
		}
	}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.server = newServer(s.opts, &s.counters, handler, listener)
	s.wg.Go(func() { s.server.run(s.ctx) })
	s.mu.Lock()
	s.stopped = false
	s.mu.Unlock()
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	err := s.server.listener.Close()
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// updateOutbox applies change to the outbox of the link to address, and starts
// a link if none is running. It returns false if the service is stopped.
func (s *Service) updateOutbox(address string, change func(o *outbox)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	l := s.links[address]
	if l != nil && l.outbox.update(func() { change(&l.outbox) }) {
		return true
	}
	l = newLink(address, s.opts, &s.counters)
	s.links[address] = l
	l.outbox.update(func() { change(&l.outbox) })
	s.wg.Go(func() {
		l.run(s.ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.links[address] == l {
			delete(s.links, address)
		}
	})
	return true
}

// SendHeartbeat implements Network.
func (s *Service) SendHeartbeat(ctx context.Context, address string, h membership.Heartbeat) {
	if ctx.Err() != nil {
		return
	}
	s.updateOutbox(address, func(o *outbox) {
		if o.heartbeat != nil {
			s.counters.HeartbeatsReplaced.Add(1)
		}
		o.heartbeat = &h
	})
}

// SendNotices implements Network.
func (s *Service) SendNotices(ctx context.Context, address string, notices []quarantine.Notice) {
	if ctx.Err() != nil {
		return
	}
	s.updateOutbox(address, func(o *outbox) {
		o.notices = append(o.notices, notices...)
		if over := len(o.notices) - maxQueuedNotices; over > 0 {
			s.counters.NoticesDropped.Add(int64(over))
			o.notices = o.notices[over:]
		}
	})
}

// connect waits until the link to the address has an authenticated connection and
// returns it.
func (s *Service) connect(ctx context.Context, address string) (connectionResult, error) {
	answer := make(chan connectionResult, 1)
	if !s.updateOutbox(address, func(o *outbox) { o.connectionRequests = append(o.connectionRequests, answer) }) {
		return connectionResult{}, ErrStopped
	}
	select {
	case c := <-answer:
		return c, c.err
	case <-ctx.Done():
		return connectionResult{}, ctx.Err()
	}
}

// call calls a method of the peer at the address.
func (s *Service) call(ctx context.Context, address, method string, params, result any) error {
	c, err := s.connect(ctx, address)
	if err != nil {
		return err
	}
	err = c.conn.Call(ctx, method, params, result)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		return fmt.Errorf("%w: %s: connection closed during %s", ErrUnreachable, address, method)
	}
	if err != nil {
		return fmt.Errorf("%s at %s: %w", method, address, err)
	}
	return nil
}

// Identify implements Network.
func (s *Service) Identify(ctx context.Context, address string) (fleet.Instance, error) {
	c, err := s.connect(ctx, address)
	return c.peer, err
}

// ClaimStatus implements Network.
func (s *Service) ClaimStatus(ctx context.Context, address, claim string) (ClaimStatus, error) {
	var status ClaimStatus
	err := s.call(ctx, address, methodClaimStatus, claim, &status)
	if err == nil && status > ClaimOutcomeUnknown {
		return ClaimOutcomeUnknown, fmt.Errorf("%s at %s: unknown status %d", methodClaimStatus, address, status)
	}
	return status, err
}
