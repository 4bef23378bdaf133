package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/netdial"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/upstream"
)

// Name is the service's name in the kernel.
const Name = "ingress"

const (
	// headerTimeout bounds the head of a request until the config states a limit.
	headerTimeout = 5 * time.Second
	// idleTimeout keeps connections longer than any declared limit that callers
	// use up to four fifths of.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds heads; the limit of the config, which is lower, is
	// checked for each request.
	maxHeaderBytes = 64 << 10
	// acceptPause is the pause after a failed accept: descriptors are short.
	acceptPause = 20 * time.Millisecond
	// balancerWait is how long a stopping instance accepts connections: the
	// balancer asks once a second and takes it out after two failures.
	balancerWait = 2500 * time.Millisecond
	// stopMargin is the end of the grace time in which open requests are cut
	// rather than killed with the process.
	stopMargin = 400 * time.Millisecond
)

// Gateway serves callers. It implements kernel.Service.
type Gateway struct {
	node          nodeconfig.Node
	readinessPath string
	protocol      Protocol
	pool          *upstream.Pool
	log           *log.Logger
	metrics       *metrics.Registry
	control       *controlplane.Service
	listener      net.Listener // of callers
	callers       *servers
	readiness     *http.Server
	stopping      atomic.Bool
	recorder      recorder
}

// Options are what a gateway is built from.
type Options struct {
	Node          nodeconfig.Node
	ReadinessPath string
	Protocol      Protocol
	Pool          *upstream.Pool
	Log           *log.Logger
	Metrics       *metrics.Registry
}

// New returns a gateway that has not been started.
func New(o Options) *Gateway {
	exportWaits(o.Metrics)
	return &Gateway{
		node: o.Node, readinessPath: o.ReadinessPath, protocol: o.Protocol, pool: o.Pool, log: o.Log, metrics: o.Metrics,
		recorder: newRecorder(o.Log, o.Metrics),
	}
}

// Name implements kernel.Service.
func (g *Gateway) Name() string { return Name }

// Requires implements kernel.Service.
func (g *Gateway) Requires() []string { return []string{controlplane.Name} }

// Start implements kernel.Service.
func (g *Gateway) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if g.control, err = kernel.Lookup[*controlplane.Service](k, controlplane.Name); err != nil {
		return err
	}
	callers, err := netdial.ListenConfig().Listen(ctx, "tcp", g.node.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	ready, err := netdial.ListenConfig().Listen(ctx, "tcp", g.node.Readiness)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for readiness checks: %w", err), callers.Close())
	}
	router := chi.NewRouter()
	router.Get(g.readinessPath, g.serveReadiness)
	g.listener = callers
	g.callers = &servers{handler: http.HandlerFunc(g.serve), log: g.log, limits: func() limits { return limitsOf(g.control.Snapshot().Config) }}
	g.readiness = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, ErrorLog: g.log.StandardLog()}
	go g.callers.run(callers)
	g.run(g.readiness, ready)
	return nil
}

func (g *Gateway) run(server *http.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener ended", "address", l.Addr().String(), "error", err)
		}
	}()
}

// serveReadiness answers the balancer: ready with a config and not stopping.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.control.Snapshot().Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Drain fails readiness, lets the balancer take the instance out while it still
// serves, and waits for the requests in flight until deadline.
func (g *Gateway) Drain(ctx context.Context, deadline time.Time) {
	g.stopping.Store(true)
	g.control.Post(controlplane.Stopping{})
	select {
	case <-time.After(balancerWait):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-stopMargin))
	defer cancel()
	if err := errors.Join(g.listener.Close(), g.callers.shutdown(ctx)); err != nil {
		g.log.Warn("requests in flight are cut off", "error", err)
	}
}

// Stop implements kernel.Service.
func (g *Gateway) Stop(context.Context) error {
	g.stopping.Store(true)
	g.pool.Close()
	if err := g.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		g.log.Warn("close the callers' listener", "error", err)
	}
	return errors.Join(g.callers.close(), g.readiness.Close())
}
