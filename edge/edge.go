// Package edge assembles an instance of the edge program: it creates the services,
// registers them on a kernel, and starts and stops them together with the metrics
// listener. It makes no decisions about requests.
//
// Package ingress is the service in the instance that handles callers' requests.
// Package gateway does the same in the serve program and is not used here.
package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-chi/chi/v5"

	"github.com/hyssophaven/hyssophaven/actuator"
	"github.com/hyssophaven/hyssophaven/boundedlisten"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/headlimits"
	"github.com/hyssophaven/hyssophaven/ingress"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/netdial"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/peering"
	"github.com/hyssophaven/hyssophaven/platform"
	"github.com/hyssophaven/hyssophaven/upstream"
	"github.com/hyssophaven/hyssophaven/watch"
)

const (
	// dialTimeout limits the time to connect to the store. It covers many round trips
	// between data centres. Package upstream sets a shorter limit for replicas.
	dialTimeout = 600 * time.Millisecond
	// memoryLimitShare is the fraction of the instance's memory that is set as the soft
	// memory limit of the Go runtime, near which garbage is collected more often.
	memoryLimitShare = 0.6
	// gcPercent is the GOGC value. It is above the default of 100 to save processor
	// time; the live heap is only a few megabytes.
	gcPercent = 150
	// MetricsPort and MetricsPath are the port and the path at which the metrics are
	// served.
	MetricsPort = "9464"
	MetricsPath = "/metrics"
)

// Instance is one edge instance: a kernel with its services, and the metrics listener.
type Instance struct {
	node     nodeconfig.Node
	kernel   *kernel.Kernel
	ingress  *ingress.Service
	metrics  *http.Server
	checks   *memorybudget.Group // of the connections to metrics
	registry *metrics.Registry
	log      *log.Logger
}

// New returns an instance whose services are registered but not started. It also sets
// the memory limit and the garbage collection percentage of the process.
func New(node nodeconfig.Node, logger *log.Logger) (*Instance, error) {
	k, err := kernel.New()
	if err != nil {
		return nil, err
	}
	if node.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(node.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	registry := metrics.New()
	budget, shares := memorybudget.New(memorybudget.LimitFor(node.MemoryBytes)), memorybudget.SharesOf(node.MaxDescriptors)
	exportBudget(registry, budget)
	dial := netdial.NewDialFunc(dialTimeout)
	orderDial := netdial.NewDialFuncWithUserTimeout(dialTimeout, leader.OrderDeliveryTimeout)
	store, pool, orderCalls := platform.NewStore(node.Store, dial), upstream.NewPool(dial, platform.AnswerID), upstream.NewDedicated(orderDial)
	pool.SetMaxIdle(shares.IdleReplicas)
	registry.Func("connections_opened", func() int64 { return pool.ConnectionsOpened() + orderCalls.ConnectionsOpened() })
	registry.Func("connections_idle", pool.IdleConnections)
	registry.Func("answers_cut_off", func() int64 { return pool.AnswersCutOff() + orderCalls.AnswersCutOff() })
	registry.Func("goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	registry.Func("memory_bytes", heapInUse)
	i := &Instance{node: node, kernel: k, registry: registry, log: logger}
	i.ingress = ingress.New(ingress.Options{
		Node: node, ReadinessPath: platform.ReadinessPath, Protocol: platform.Protocol{}, Pool: pool, Log: logger, Metrics: registry,
		Budget: budget, Shares: shares,
	})
	source := watch.Source{
		ConfigTable: platform.ConfigTable, ConfigKey: platform.ConfigKey, ReplicaTable: platform.ReplicaTable,
		DecodeConfig: platform.DecodeConfig, DecodeReplica: platform.DecodeReplica,
	}
	source.ListWait, source.ListAnswerTime = controlplane.ListCallLimits(node.Bounds)
	k.Register(controlplane.New(node, logger, registry))
	k.Register(watch.New(store, source, logger, registry))
	k.Register(actuator.New(store, orderCalls, platform.OrderCodec{}, logger))
	peers := peering.New(node, logger)
	peers.LimitConnections(budget.NewGroup(shares.Peers))
	registry.Func("peer_frames_malformed", peers.MalformedFrames)
	k.Register(peers)
	k.Register(i.ingress)
	router := chi.NewRouter()
	router.Get(MetricsPath, registry.ServeHTTP)
	i.metrics, i.checks = headlimits.NewCheckServer(router, logger.StandardLog()), budget.NewGroup(shares.Checks)
	return i, nil
}

// exportBudget exports the figures of the memory budget.
func exportBudget(registry *metrics.Registry, budget *memorybudget.Budget) {
	for name, value := range map[string]func(memorybudget.Counts) int64{
		"memory_budget_bytes":               func(c memorybudget.Counts) int64 { return c.Held },
		"memory_budget_refusals":            func(c memorybudget.Counts) int64 { return c.Refused },
		"memory_budget_connections_turned":  func(c memorybudget.Counts) int64 { return c.Turned },
		"memory_budget_connections_evicted": func(c memorybudget.Counts) int64 { return c.Evicted },
	} {
		registry.Func(name, func() int64 { return value(budget.Counts()) })
	}
}

// ExportDroppedLines exports the value of dropped as the metric of dropped log lines.
func (i *Instance) ExportDroppedLines(dropped func() int64) {
	i.registry.Func("log_lines_dropped", dropped)
}

// heapInUse returns the bytes in use by the heap.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// Start starts the metrics listener and all services, and logs settings that can't be
// met.
func (i *Instance) Start(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(i.node.PeerHost, MetricsPort))
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	go func() {
		if err := i.metrics.Serve(boundedlisten.New(l, i.checks)); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error("metrics listener failed", "error", err)
		}
	}()
	if err := i.kernel.Start(ctx); err != nil {
		return errors.Join(err, i.metrics.Close())
	}
	for _, c := range i.node.Contradictions(MetricsPort) {
		i.log.Warn("setting can't be met", "field", c.Field.String(), "finding", c.Message)
	}
	i.log.Info("instance started", "instance", i.node.ID, "data_centre", i.node.DataCentre, "callers", i.node.Callers, "store", i.node.Store)
	return nil
}

// Stop drains the instance within its grace time and stops all services.
func (i *Instance) Stop(ctx context.Context) error {
	deadline := time.Now().Add(i.node.Bounds.Grace)
	i.log.Info("instance stops", "instance", i.node.ID, "grace", i.node.Bounds.Grace)
	i.ingress.Drain(ctx, deadline)
	err := errors.Join(i.kernel.Stop(ctx), i.metrics.Close())
	i.log.Info("instance stopped", "instance", i.node.ID, "error", err)
	return err
}
