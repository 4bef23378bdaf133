// Package gateway serves callers in an instance started with the serve command.
// It decodes their requests, classifies them by table row, asks the control
// goroutine for an endpoint, relays the answer, resumes it on another endpoint
// if the first one is lost, and counts the outcome. Its goroutines read control
// snapshots and own no control state. Package ingress is the counterpart in an
// edge instance: it forwards requests to replicas by their headers alone, whereas
// this package reads the request body, calls model engines through package engine
// and claims idempotency keys.
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
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the gateway's service name in the kernel.
const ServiceName = "gateway"

// controlName is the name of the control service, which admits requests.
const controlName = "control"

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Listener net.Listener // accepts callers' connections; nil to listen on Address
	Address  string       // host:port
	TLS      *tls.Config  // nil for plain HTTP

	// EngineClient returns the client of a model engine. It is called on every
	// attempt and should return the same client for the same endpoint.
	EngineClient     func(fleet.Endpoint) engine.Client
	Table            backing.TableStore  // holds the claim records of keyed calls
	Objects          backing.ObjectStore // holds large answers of keyed calls
	ServiceTransport http.RoundTripper   // sends requests to plain services; nil for a default transport
	Recorder         Recorder            // nil to record no requests
	Log              *log.Logger         // nil to log nothing

	// BalancerWait is how long a stopping gateway keeps accepting requests after
	// its readiness check fails, so that the load balancer can remove it first.
	BalancerWait time.Duration
	Limits       Limits
	// Memory limits what requests hold; nil means no limit.
	Memory *memorybudget.Budget
	Claims idempotency.Settings // the zero value selects the default settings
}

// Gateway serves the callers of one instance. It is an http.Handler and a
// kernel.Service. Its handler must not be called before Start has returned.
type Gateway struct {
	cfg      Config
	handler  http.Handler
	control  control.Control
	counters counters
	services http.RoundTripper
	memory   *memorybudget.Group // of the requests; nil without a limit

	sequence          atomic.Uint64 // last number given to an admission, engine request or claim
	draining          atomic.Bool
	adapterLoadOrders singleflight.Group  // deduplicates adapter load orders in progress
	adapterLoadSlots  *semaphore.Weighted // limits adapter loads in progress

	listener       net.Listener
	server         *http.Server
	acceptLoopDone chan struct{} // closed when the server's accept loop has returned
	stopping       chan struct{} // closed when background goroutines must give up
	closeStopping  sync.Once     // prevents a second close of stopping if Stop is called again
	background     sync.WaitGroup
	claims         keptClaims
	claimWrites    *worker.Group // writes claims again after a restore of the table service
}

// New returns a gateway for cfg. The error lists all problems of cfg.
func New(cfg Config) (*Gateway, error) {
	var problems finding.List
	if cfg.EngineClient == nil {
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
	g := &Gateway{adapterLoadSlots: semaphore.NewWeighted(int64(cfg.Limits.MaxAdapterLoads)), cfg: cfg, counters: newCounters(), claimWrites: worker.NewGroup(), stopping: make(chan struct{}), services: cfg.ServiceTransport}
	g.memory = cfg.Memory.NewGroup(0)
	if g.services == nil {
		g.services = newTransport(cfg.Limits)
	}
	g.handler = g.newRouter()
	return g, nil
}

// Name implements kernel.Service.
func (g *Gateway) Name() string { return ServiceName }

// Requires implements kernel.Service. If the recorder is a service, the gateway
// depends on it, so that the recorder stops later and receives the last requests.
func (g *Gateway) Requires() []string {
	if s, ok := g.cfg.Recorder.(kernel.Service); ok {
		return []string{controlName, s.Name()}
	}
	return []string{controlName}
}

// Vars returns the gateway's counters.
func (g *Gateway) Vars() *expvar.Map { return g.counters.vars }

// Addr returns the address of the callers' listener. It must not be called before
// Start has returned.
func (g *Gateway) Addr() net.Addr { return g.listener.Addr() }

// Start implements kernel.Service.
func (g *Gateway) Start(ctx context.Context, k *kernel.Kernel) error {
	c, err := kernel.Lookup[control.Control](k, controlName)
	if err != nil {
		return err
	}
	g.control = c
	if err := worker.Subscribe(g.claimWrites, k.Bus(), "gateway.claims", g.writeClaimsAgain); err != nil {
		return err
	}
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
	g.acceptLoopDone = make(chan struct{})
	go g.serve()
	g.cfg.Log.Info("serving callers", "address", g.listener.Addr())
	return nil
}

func (g *Gateway) serve() {
	defer close(g.acceptLoopDone)
	var err error
	if g.cfg.TLS != nil {
		err = g.server.ServeTLS(g.listener, "", "")
	} else {
		err = g.server.Serve(g.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		g.cfg.Log.Error("serving callers failed", "error", err)
	}
}

// Drain makes the readiness check fail and closes each connection after its next
// answer. The gateway continues to serve requests.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Stop implements kernel.Service. It calls Drain, serves for another BalancerWait,
// stops accepting connections and waits for all requests in flight. If ctx ends
// first, it returns an error and leaves the remaining requests running.
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
		return fmt.Errorf("wait for requests in flight: %w", err)
	}
	<-g.acceptLoopDone
	g.closeStopping.Do(func() { close(g.stopping) })
	idle := make(chan struct{})
	go func() {
		g.background.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		g.cfg.Log.Info("stopped serving callers")
		return g.claimWrites.Stop(ctx)
	case <-ctx.Done():
		return fmt.Errorf("wait for background goroutines: %w", ctx.Err())
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.handler.ServeHTTP(w, r) }
