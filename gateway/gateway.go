// Package gateway is the request path of an instance: it accepts callers'
// requests, classifies them by table row, asks the control goroutine for an
// endpoint, relays the whole answer, resumes it elsewhere when an endpoint is
// lost, and accounts for it. Its goroutines read control snapshots and own no
// control state.
package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/finding"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/idempotency"
	"github.com/hyssophaven/hyssophaven/kernel"
)

// Name is the name of the gateway among the services of a process.
const Name = "gateway"

// controlName is the service that the gateway looks up.
const controlName = "control"

// Config is what a gateway is built from.
type Config struct {
	Listener net.Listener // callers' listener; if nil, Address is listened on
	Address  string       // host:port
	TLS      *tls.Config  // nil for plain HTTP

	// Engine returns the client of a model engine. It is called for every
	// request and should return the same client for the same endpoint.
	Engine   func(fleet.Endpoint) engine.Client
	Table    backing.TableStore  // claims of keyed calls
	Objects  backing.ObjectStore // large answers of keyed calls
	Services http.RoundTripper   // connections to plain services; nil for a default transport
	Recorder Recorder            // nil if requests are not recorded
	Log      *log.Logger         // nil for no log

	// BalancerWait is how long the gateway goes on serving after readiness
	// has failed, so that the balancer can take it out of rotation.
	BalancerWait time.Duration
	Limits       Limits
	Claims       idempotency.Settings // the zero value means the default settings
}

// Gateway is the callers' side of one instance. It is an http.Handler and a
// kernel.Service. Requests must not arrive before Start has returned.
type Gateway struct {
	cfg      Config
	handler  http.Handler
	control  control.Control
	counters counters
	services http.RoundTripper

	sequence  atomic.Uint64 // numbers admissions, engine requests and claims
	draining  atomic.Bool
	loads     singleflight.Group  // adapter load orders in progress
	loadSlots *semaphore.Weighted // adapter loads in transit

	listener   net.Listener
	server     *http.Server
	served     chan struct{} // closed when the server's accept loop has ended
	stopping   chan struct{} // closed when background work must give up
	giveUp     sync.Once     // closes stopping
	background sync.WaitGroup
}

// New returns a gateway. All problems of the configuration are reported together.
func New(cfg Config) (*Gateway, error) {
	var problems finding.List
	if cfg.Engine == nil {
		problems.Addf("gateway.engine", "a source of engine clients is required")
	}
	if cfg.Table == nil {
		problems.Addf("gateway.table", "a table store is required")
	}
	if cfg.Objects == nil {
		problems.Addf("gateway.objects", "an object store is required")
	}
	if cfg.Listener == nil && cfg.Address == "" {
		problems.Addf("gateway.address", "a listener or an address is required")
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	cfg.Limits = cfg.Limits.withDefaults()
	if cfg.Claims == (idempotency.Settings{}) {
		cfg.Claims = idempotency.DefaultSettings()
	}
	if cfg.Recorder == nil {
		cfg.Recorder = discardRecorder{}
	}
	if cfg.Log == nil {
		cfg.Log = log.New(io.Discard)
	}
	g := &Gateway{loadSlots: semaphore.NewWeighted(int64(cfg.Limits.AdapterLoads)), cfg: cfg, counters: newCounters(), stopping: make(chan struct{}), services: cfg.Services}
	if g.services == nil {
		g.services = newTransport(cfg.Limits)
	}
	g.handler = g.routes()
	return g, nil
}

// Name implements kernel.Service.
func (g *Gateway) Name() string { return Name }

// Requires implements kernel.Service. A recorder that is a service stops after
// the gateway, so that it gets the last requests.
func (g *Gateway) Requires() []string {
	if s, ok := g.cfg.Recorder.(kernel.Service); ok {
		return []string{controlName, s.Name()}
	}
	return []string{controlName}
}

// Vars returns the gateway's counters.
func (g *Gateway) Vars() *expvar.Map { return g.counters.vars }

// Addr returns the address of the callers' listener once Start has returned.
func (g *Gateway) Addr() net.Addr { return g.listener.Addr() }

// Start implements kernel.Service.
func (g *Gateway) Start(ctx context.Context, k *kernel.Kernel) error {
	c, err := kernel.Lookup[control.Control](k, controlName)
	if err != nil {
		return err
	}
	g.control = c
	g.listener = g.cfg.Listener
	if g.listener == nil {
		var lc net.ListenConfig
		if g.listener, err = lc.Listen(ctx, "tcp", g.cfg.Address); err != nil {
			return fmt.Errorf("listen for callers: %w", err)
		}
	}
	l := g.cfg.Limits
	g.server = &http.Server{
		Handler:           g.handler,
		TLSConfig:         g.cfg.TLS,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          g.cfg.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	g.served = make(chan struct{})
	go g.serve()
	g.cfg.Log.Info("serving callers", "address", g.listener.Addr())
	return nil
}

func (g *Gateway) serve() {
	defer close(g.served)
	var err error
	if g.cfg.TLS != nil {
		err = g.server.ServeTLS(g.listener, "", "")
	} else {
		err = g.server.Serve(g.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		g.cfg.Log.Error("callers' listener failed", "error", err)
	}
}

// Drain fails readiness and lets connections end with their next answer. The
// gateway goes on serving.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Stop implements kernel.Service. It fails readiness, serves for BalancerWait
// more, stops accepting and waits for every request in flight. When ctx ends
// first it returns an error and cuts nothing.
func (g *Gateway) Stop(ctx context.Context) error {
	g.Drain()
	if g.cfg.BalancerWait > 0 {
		timer := time.NewTimer(g.cfg.BalancerWait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if err := g.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("wait for callers' requests: %w", err)
	}
	<-g.served
	g.giveUp.Do(func() { close(g.stopping) })
	idle := make(chan struct{})
	go func() {
		g.background.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		g.cfg.Log.Info("stopped serving callers")
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for background work: %w", ctx.Err())
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.handler.ServeHTTP(w, r) }
