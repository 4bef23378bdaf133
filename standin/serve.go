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

// Part is a stand-in that a Host makes available.
type Part interface {
	// Handler returns the handler for the protocol of the stand-in and for its
	// test interface.
	Handler() http.Handler
	// Close stops the stand-in and waits until its goroutines have ended.
	Close()
}

// Crasher is a Part that can crash. It sends the downtime on the channel for each
// crash. The Listener then closes all connections and refuses new ones until the
// downtime has passed.
type Crasher interface {
	Crashes() <-chan time.Duration
}

// Host is the kernel service that owns a Part and makes it available by name.
type Host struct {
	name string
	part Part
}

// NewHost returns a service that owns p and closes it when the service is
// stopped.
func NewHost(name string, p Part) *Host { return &Host{name: name, part: p} }

// Name implements kernel.Service.
func (h *Host) Name() string { return h.name }

// Requires implements kernel.Service.
func (h *Host) Requires() []string { return nil }

// Start implements kernel.Service.
func (h *Host) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (h *Host) Stop(context.Context) error {
	h.part.Close()
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
		serveUntilDone(serveCtx, host.part, listener)
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

// serveUntilDone serves p until ctx ends. When p crashes, it closes the listener
// and all connections, and binds the same address again after the downtime.
func serveUntilDone(ctx context.Context, p Part, listener net.Listener) {
	var crashes <-chan time.Duration
	if c, ok := p.(Crasher); ok {
		crashes = c.Crashes()
	}
	for listener != nil {
		server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: 10 * time.Second}
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

// Running is a stand-in that is served on a kernel of its own.
type Running struct {
	kernel   *kernel.Kernel
	listener *Listener
}

// Start registers p under name with a new kernel and serves it on address.
func Start(ctx context.Context, name string, p Part, address string) (*Running, error) {
	k, err := kernel.New()
	if err != nil {
		return nil, err
	}
	listener := NewListener(name, address)
	k.Register(NewHost(name, p))
	k.Register(listener)
	if err := k.Start(ctx); err != nil {
		return nil, fmt.Errorf("start stand-in %q: %w", name, err)
	}
	return &Running{kernel: k, listener: listener}, nil
}

// Address returns the bound address of the stand-in, as host:port.
func (r *Running) Address() string { return r.listener.Address() }

// Stop closes all connections and stops the stand-in.
func (r *Running) Stop(ctx context.Context) error { return r.kernel.Stop(ctx) }

// stopTimeout bounds how long Serve waits for the stand-in to stop.
const stopTimeout = 10 * time.Second

// Serve serves p until ctx ends. It calls announce with the bound address once
// the listener is open, and stops if announce fails.
func Serve(ctx context.Context, name string, p Part, address string, announce func(address string) error) error {
	r, err := Start(ctx, name, p, address)
	if err != nil {
		return err
	}
	announceErr := announce(r.Address())
	if announceErr == nil {
		<-ctx.Done()
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.Join(announceErr, r.Stop(stopCtx))
}
