// Package standin serves the stand-ins of hyssophaven's outside systems, which
// live in the packages below it. A stand-in is a part on a kernel; the
// listener finds it by name and serves its HTTP handler. It is used by tests,
// by the development deployment and by the standin command.
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

// Part is one stand-in.
type Part interface {
	// Handler serves the stand-in's protocol and its test interface.
	Handler() http.Handler
	// Close ends the stand-in and waits for its goroutines.
	Close()
}

// Crasher is a Part that can die. A value on the channel says that it has died
// and for how long it stays down; the listener closes every connection and
// refuses new ones for that time.
type Crasher interface {
	Crashes() <-chan time.Duration
}

// Host is the kernel service that makes a Part available by name.
type Host struct {
	name string
	part Part
}

// NewHost returns a service for p. The service owns p and closes it when stopped.
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

// NewListener returns a service that serves the Host of the given name on
// address (host:port; port 0 picks a free port).
func NewListener(host, address string) *Listener {
	return &Listener{host: host, address: address, done: make(chan struct{})}
}

// Name implements kernel.Service.
func (l *Listener) Name() string { return l.host + "/listener" }

// Requires implements kernel.Service.
func (l *Listener) Requires() []string { return []string{l.host} }

// Address returns the bound host:port. It is valid after Start.
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
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	l.cancel = cancel
	go func() {
		defer close(l.done)
		serve(running, host.part, listener)
	}()
	return nil
}

// Stop implements kernel.Service. It cuts open connections.
func (l *Listener) Stop(ctx context.Context) error {
	l.cancel()
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serve serves p until ctx ends. After a crash it listens on the same address again.
func serve(ctx context.Context, p Part, listener net.Listener) {
	var crashes <-chan time.Duration
	if c, ok := p.(Crasher); ok {
		crashes = c.Crashes()
	}
	for listener != nil {
		server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: 10 * time.Second}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = server.Serve(listener)
		}()
		var down time.Duration
		select {
		case <-ctx.Done():
		case down = <-crashes:
		}
		_ = server.Close()
		<-ended
		listener = listenAgain(ctx, listener.Addr().String(), down)
	}
}

// retryListen is the pause between attempts to bind the address again.
const retryListen = 20 * time.Millisecond

// listenAgain waits for the given time and binds the address. It returns nil
// when ctx has ended.
func listenAgain(ctx context.Context, address string, wait time.Duration) net.Listener {
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		if listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address); err == nil {
			return listener
		}
		wait = retryListen
	}
}

// Running is a stand-in that is being served.
type Running struct {
	kernel   *kernel.Kernel
	listener *Listener
}

// Start serves p on address under the given name, on a kernel of its own.
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

// Address returns the host:port on which the stand-in is served.
func (r *Running) Address() string { return r.listener.Address() }

// Stop cuts all connections and ends the stand-in.
func (r *Running) Stop(ctx context.Context) error { return r.kernel.Stop(ctx) }

// stopTimeout bounds the end of a stand-in process.
const stopTimeout = 10 * time.Second

// Serve serves p until ctx ends and calls announce with the bound address.
func Serve(ctx context.Context, name string, p Part, address string, announce func(address string) error) error {
	r, err := Start(ctx, name, p, address)
	if err != nil {
		return err
	}
	announceErr := announce(r.Address())
	if announceErr == nil {
		<-ctx.Done()
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.Join(announceErr, r.Stop(stopping))
}
