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

	"github.com/hyssophaven/hyssophaven/boundedlisten"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/headlimits"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/netdial"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/upstream"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the service's name in the kernel.
const ServiceName = "ingress"

const (
	// headerTimeout limits the time to read the head of a request while the config
	// sets no limit.
	headerTimeout = headlimits.Timeout
	// idleTimeout is how long an idle connection is kept while the config sets no
	// limit. It exceeds every limit that operators declare: callers reuse a
	// connection for up to four fifths of that limit.
	idleTimeout = 75 * time.Second
	// acceptRetryDelay is the pause after a failed accept, which occurs when the process
	// runs out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// idleCheckInterval is the time between two searches for idle connections to replicas
	// that have expired. They are kept for some seconds.
	idleCheckInterval = 2 * time.Second
)

// Service is the service that handles callers' requests. It implements
// kernel.Service.
type Service struct {
	node          nodeconfig.Node
	readinessPath string
	protocol      Protocol
	pool          *upstream.Pool
	log           *log.Logger
	metrics       *metrics.Registry
	control       *controlplane.Service
	listener      deadlineListener // accepts callers' connections
	callers       *callerServer
	readiness     *http.Server
	stopping      atomic.Bool
	// drained ends shortly before the end of a drain, when requests whose answer has
	// not begun get their final answer. endDrain ends it.
	drained  context.Context
	endDrain context.CancelFunc
	refusing atomic.Bool // new streams are refused
	aborting atomic.Bool // the remaining connections of callers are being closed
	requests openRequests
	recorder recorder
	group    *worker.Group

	budget     *memorybudget.Budget
	shares     memorybudget.Shares
	lastCounts memorybudget.Counts // used by logBudget only
}

// Options holds the settings and dependencies of a Service.
type Options struct {
	Node          nodeconfig.Node
	ReadinessPath string
	Protocol      Protocol
	Pool          *upstream.Pool
	Log           *log.Logger
	Metrics       *metrics.Registry
	// Budget limits the memory of callers, and Shares their connections; nil and 0 mean no
	// limit.
	Budget *memorybudget.Budget
	Shares memorybudget.Shares
}

// New returns a Service that has not been started.
func New(o Options) *Service {
	initWaitCounters(o.Metrics)
	o.Metrics.Counter(prefixFetchesMetric)
	o.Metrics.Counter(keysRejectedMetric)
	s := &Service{
		node: o.Node, readinessPath: o.ReadinessPath, protocol: o.Protocol, pool: o.Pool, log: o.Log, metrics: o.Metrics,
		recorder: newRecorder(o.Log, o.Metrics), group: worker.NewGroup(),
		budget: o.Budget, shares: o.Shares,
	}
	s.drained, s.endDrain = context.WithCancel(context.Background())
	s.requests.export(o.Metrics)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{controlplane.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) error {
	var err error
	if s.control, err = kernel.Lookup[*controlplane.Service](k, controlplane.ServiceName); err != nil {
		return err
	}
	callers, err := netdial.CallerListenConfig().Listen(ctx, "tcp", s.node.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	ready, err := netdial.ListenConfig().Listen(ctx, "tcp", s.node.Readiness)
	if err != nil {
		return errors.Join(fmt.Errorf("listen for readiness checks: %w", err), callers.Close())
	}
	router := chi.NewRouter()
	router.Get(s.readinessPath, s.serveReadiness)
	var ok bool
	if s.listener, ok = callers.(deadlineListener); !ok {
		return errors.Join(fmt.Errorf("listen for callers: listener %T has no deadline", callers), callers.Close(), ready.Close())
	}
	s.callers = newCallerServer(http.HandlerFunc(s.serve), s.log, func() connLimits { return limitsOf(s.control.Snapshot().Limits) }, s.node.Bounds.ConfigTime)
	s.callers.conns.group = s.budget.NewGroup(s.shares.Callers)
	s.callers.conns.onClose = s.recordConnClose
	s.callers.conns.maxIdleNotice = maxIdleNotice(s.node.Bounds.Grace)
	s.readiness = headlimits.NewCheckServer(router, s.log.StandardLog())
	err = errors.Join(
		worker.Subscribe(s.group, k.Bus(), "ingress.limits", func(context.Context, controlplane.LimitsChanged) { s.callers.conns.refreshLimits() }),
		worker.Subscribe(s.group, k.Bus(), "ingress.endpoints", func(_ context.Context, e controlplane.ReplicaEnded) { s.pool.EndpointEnded(endpointOf(e.Replica)) }),
	)
	if err != nil {
		return errors.Join(err, callers.Close(), ready.Close())
	}
	go s.callers.run(s.listener)
	s.serveListener(s.readiness, boundedlisten.New(ready, s.budget.NewGroup(s.shares.Checks)))
	s.group.Every(idleCheckInterval, nil, func(context.Context) {
		s.pool.CloseExpired()
		s.logBudget()
	})
	s.metrics.Func("caller_connections_open", func() int64 { return int64(s.callers.conns.group.Open()) })
	return nil
}

// serveListener serves l in another goroutine and logs an unexpected end.
func (s *Service) serveListener(server *http.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("readiness listener failed", "address", l.Addr().String(), "error", err)
		}
	}()
}

// serveReadiness answers a readiness check. The instance is ready if it has a config
// and is not stopping.
func (s *Service) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || s.control.Snapshot().Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.aborting.Store(true)
	s.endDrain()
	s.pool.Close()
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn("closing the callers' listener failed", "error", err)
	}
	return errors.Join(s.callers.close(), s.readiness.Close(), s.group.Stop(ctx))
}
