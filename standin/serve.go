// Package standin serves stand-ins for the systems outside hyssophaven over
// HTTP. The subpackages implement the stand-ins. Each one is registered with a
// kernel as a Host; a Listener looks up the Host by name and serves its HTTP
// handler. Tests, the development deployment and the standin command use it.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/kernel"
)

// Backend is a stand-in that a Host makes available.
type Backend interface {
	// Handler returns the handler for the protocol of the stand-in and for its
	// test interface.
	Handler() http.Handler
	// Close stops the stand-in and waits until its goroutines have ended.
	Close()
}

// Crasher is a Backend that can crash. It sends the downtime on the channel for each
// crash. The Listener then closes all connections and refuses new ones until the
// downtime has passed.
type Crasher interface {
	Crashes() <-chan time.Duration
}

// Host is the kernel service that owns a Backend and makes it available by name.
type Host struct {
	name    string
	backend Backend
}

// NewHost returns a service that owns b and closes it when the service is
// stopped.
func NewHost(name string, b Backend) *Host { return &Host{name: name, backend: b} }

// Name implements kernel.Service.
func (h *Host) Name() string { return h.name }

// Requires implements kernel.Service.
func (h *Host) Requires() []string { return nil }

// Start implements kernel.Service.
func (h *Host) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (h *Host) Stop(context.Context) error {
	h.backend.Close()
	return nil
}

// Listener is the kernel service that serves a Host on a TCP address.
type Listener struct {
	host    string
	address string
	bound   atomic.Pointer[string]
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewListener returns a service that serves the Host named host on address, which
// has the form host:port. Port 0 selects a free port.
func NewListener(host, address string) *Listener {
	return &Listener{host: host, address: address, done: make(chan struct{})}
}

// Name implements kernel.Service.
func (l *Listener) Name() string { return l.host + "/listener" }

// Requires implements kernel.Service.
func (l *Listener) Requires() []string { return []string{l.host} }

// Address returns the bound address after Start, and the configured one before.
func (l *Listener) Address() string {
	if a := l.bound.Load(); a != nil {
		return *a
	}
	return l.address
}

// Start implements kernel.Service.
func (l *Listener) Start(ctx context.Context, k *kernel.Kernel) error {
	host, err := kernel.Lookup[*Host](k, l.host)
	if err != nil {
		return err
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	bound := listener.Addr().String()
	l.bound.Store(&bound)
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l.cancel = cancel
	go func() {
		defer close(l.done)
		serveUntilDone(serveCtx, host.backend, listener)
	}()
	return nil
}

// Stop implements kernel.Service. It closes all open connections.
func (l *Listener) Stop(ctx context.Context) error {
	l.cancel()
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveUntilDone serves b until ctx ends. When b crashes, it closes the listener
// and all connections, and binds the same address again after the downtime.
func serveUntilDone(ctx context.Context, b Backend, listener net.Listener) {
	var crashes <-chan time.Duration
	if c, ok := b.(Crasher); ok {
		crashes = c.Crashes()
	}
	for listener != nil {
		server := &http.Server{Handler: b.Handler(), ReadHeaderTimeout: 10 * time.Second}
		serverDone := make(chan struct{})
		go func() {
			defer close(serverDone)
			_ = server.Serve(listener)
		}()
		var downtime time.Duration
		select {
		case <-ctx.Done():
		case downtime = <-crashes:
		}
		_ = server.Close()
		<-serverDone
		listener = relisten(ctx, listener.Addr().String(), downtime)
	}
}

// listenRetryInterval is the delay between attempts to bind the address again.
const listenRetryInterval = 20 * time.Millisecond

// relisten binds the address after delay and retries until it succeeds. It
// returns nil if ctx ends first.
func relisten(ctx context.Context, address string, delay time.Duration) net.Listener {
	for {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		if listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address); err == nil {
			return listener
		}
		delay = listenRetryInterval
	}
}

// Server serves one stand-in on a kernel of its own.
type Server struct {
	kernel   *kernel.Kernel
	listener *Listener
}

// Start registers b under name with a new kernel and serves it on address.
func Start(ctx context.Context, name string, b Backend, address string) (*Server, error) {
	k, err := kernel.New()
	if err != nil {
		return nil, err
	}
	listener := NewListener(name, address)
	k.Register(NewHost(name, b))
	k.Register(listener)
	if err := k.Start(ctx); err != nil {
		return nil, fmt.Errorf("start stand-in %q: %w", name, err)
	}
	return &Server{kernel: k, listener: listener}, nil
}

// Address returns the bound address of the stand-in, as host:port.
func (s *Server) Address() string { return s.listener.Address() }

// Stop closes all connections and stops the stand-in.
func (s *Server) Stop(ctx context.Context) error { return s.kernel.Stop(ctx) }

// stopTimeout bounds how long Serve waits for the stand-in to stop.
const stopTimeout = 10 * time.Second

// Serve serves b until ctx ends. It calls announce with the bound address once
// the listener is open, and stops if announce fails.
func Serve(ctx context.Context, name string, b Backend, address string, announce func(address string) error) error {
	s, err := Start(ctx, name, b, address)
	if err != nil {
		return err
	}
	announceErr := announce(s.Address())
	if announceErr == nil {
		<-ctx.Done()
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.Join(announceErr, s.Stop(stopCtx))
}
