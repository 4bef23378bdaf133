// Package watch follows the operators' config and the list of replicas in the
// shared store and posts every change to the control plane. It paces its calls
// to the store and leaves all decisions about the rows to the control plane.
package watch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/rowstore"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "watch"

const (
	// longPollTimeout is how long one call of a feed waits for changes. It is near the
	// 30 s that the store allows because every call has a cost. TCP keepalive probes
	// detect connections that no longer respond, and the lease holder tells instances
	// whose feed is behind.
	longPollTimeout = 28 * time.Second
	// recheckTimeout limits a call that does not wait for changes, which the store
	// answers immediately.
	recheckTimeout = 800 * time.Millisecond
	// initialListPause is the pause between two calls for the list of replicas until the
	// control plane sets another one.
	initialListPause = 400 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff limit the pause after a failed call. Changes
	// must take effect within 2 s, but a store that is down must not be flooded.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = 800 * time.Millisecond
)

// Source defines the tables to follow and how their rows are decoded.
type Source struct {
	ConfigTable, ConfigKey string
	ReplicaTable           string
	DecodeConfig           func(value []byte) (*catalog.Config, error)
	DecodeReplica          func(id string, value []byte) (*catalog.Replica, error)
}

// Service follows the tables. It implements kernel.Service.
type Service struct {
	store   rowstore.Store
	source  Source
	log     *log.Logger
	metrics *metrics.Registry
	control *controlplane.Service
	group   *worker.Group
	// recheckRequests holds a channel for each table. A value cancels a call that
	// waits for changes, so that another is made at once. The map is not modified
	// after the goroutines have started.
	recheckRequests map[string]chan struct{}
	// listPause is the pause between two calls for the list of replicas, in
	// nanoseconds.
	listPause atomic.Int64
}

// New returns a service that is not started yet.
func New(store rowstore.Store, source Source, logger *log.Logger, registry *metrics.Registry) *Service {
	s := &Service{store: store, source: source, log: logger, metrics: registry, group: worker.NewGroup(), recheckRequests: make(map[string]chan struct{})}
	s.listPause.Store(int64(initialListPause))
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{controlplane.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.control, err = kernel.Lookup[*controlplane.Service](k, controlplane.ServiceName); err != nil {
		return err
	}
	for _, table := range []string{s.source.ConfigTable, s.source.ReplicaTable} {
		s.recheckRequests[table] = make(chan struct{}, 1)
	}
	if err := errors.Join(
		kernel.Subscribe(k.Bus(), "watch.behind", s.handleFeedBehind),
		kernel.Subscribe(k.Bus(), "watch.list", s.handleListSourceChanged),
		kernel.Subscribe(k.Bus(), "watch.config", s.handleConfigRelayed),
		worker.Subscribe(s.group, k.Bus(), "watch.check", s.checkConfig),
	); err != nil {
		return err
	}
	s.group.Go(func(ctx context.Context) { s.follow(ctx, s.source.ConfigTable, s.handleConfigRows) })
	s.group.Go(func(ctx context.Context) { s.follow(ctx, s.source.ReplicaTable, s.handleReplicaRows) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// handleFeedBehind replaces the waiting call of a feed that misses changes.
func (s *Service) handleFeedBehind(_ context.Context, e controlplane.FeedBehind) {
	s.requestRecheck(e.Table)
}

// requestRecheck cancels the waiting call of a table, or the pause before it, so
// that the next call returns the changes so far.
func (s *Service) requestRecheck(table string) {
	select {
	case s.recheckRequests[table] <- struct{}{}:
	default:
	}
}

// handleListSourceChanged sets the pause between calls for the list of replicas.
// Unless the holder relays the list, it also replaces the waiting call, whose
// connection can have failed unnoticed.
func (s *Service) handleListSourceChanged(_ context.Context, e controlplane.ListSourceChanged) {
	s.listPause.Store(int64(e.Pause))
	if e.Source != controlplane.FromHolder {
		s.requestRecheck(s.source.ReplicaTable)
	}
}

// follow reads a table and then its feed until ctx ends. It passes each page to
// handlePage; wholeTable is true if the page contains all rows of the table.
func (s *Service) follow(ctx context.Context, table string, handlePage func(page rowstore.Page, wholeTable bool)) {
	var version rowstore.Version
	haveTable := false
	backoff := minRetryBackoff
	recheck := false
	for ctx.Err() == nil {
		sentAt := time.Now()
		page, wholeTable, err := s.fetchPage(ctx, table, version, haveTable, recheck)
		recheck = errors.Is(err, errRecheckRequested)
		if recheck {
			continue
		}
		if err != nil {
			haveTable = haveTable && !errors.Is(err, rowstore.ErrCompacted)
			s.metrics.Counter("store_calls", "table", table, "result", "failed").Add(1)
			if !errors.Is(err, rowstore.ErrCompacted) {
				s.control.Post(controlplane.StoreState{Table: table, Unavailable: true})
				s.log.Debug("store call failed", "table", table, "version", version, "error", err)
				if !sleep(ctx, backoff) {
					return
				}
				backoff = min(2*backoff, maxRetryBackoff)
			}
			continue
		}
		backoff = minRetryBackoff
		s.metrics.Counter("store_calls", "table", table, "result", "answered").Add(1)
		s.control.Post(controlplane.StoreState{Table: table})
		if !wholeTable && page.Version.Era() > version.Era() {
			haveTable = false // the feed lacks the rows that the restored store has lost
			continue
		}
		if page.Version < version {
			s.log.Warn("store returned a stale page", "table", table, "version", version, "answer", page.Version)
			if !sleep(ctx, maxRetryBackoff) {
				return
			}
			continue
		}
		handlePage(page, wholeTable)
		s.control.Post(controlplane.RowsSeen{Table: table, Version: newestVersion(page), SentAt: sentAt})
		version, haveTable = page.Version, true
		if table == s.source.ReplicaTable {
			recheck = s.waitListPause(ctx, table)
		}
	}
}

// waitListPause waits for listPause so that changes of the list of replicas are
// batched. It returns true at once if a recheck is requested.
func (s *Service) waitListPause(ctx context.Context, table string) bool {
	timer := time.NewTimer(time.Duration(s.listPause.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.recheckRequests[table]:
		return true
	case <-ctx.Done():
	}
	return false
}

// newestVersion returns the highest row version in page. If the page has no rows, the
// counter of the version is 0.
func newestVersion(page rowstore.Page) rowstore.Version {
	version := rowstore.NewVersion(page.Version.Era(), 0)
	for _, row := range page.Rows {
		version = max(version, row.Version)
	}
	return version
}

// errRecheckRequested is the cancellation cause of a waiting feed call that is
// replaced because of requestRecheck.
var errRecheckRequested = errors.New("feed recheck requested")

// fetchPage returns the next page and whether it contains the whole table. It reads
// the whole table if haveTable is false, and the changes after version otherwise.
// If recheck is true, it does not wait for changes.
func (s *Service) fetchPage(ctx context.Context, table string, version rowstore.Version, haveTable, recheck bool) (rowstore.Page, bool, error) {
	if !haveTable {
		page, err := s.store.Read(ctx, table)
		return page, true, err
	}
	if recheck {
		ctx, cancel := context.WithTimeout(ctx, recheckTimeout)
		defer cancel()
		page, err := s.store.Feed(ctx, table, version, 0)
		return page, false, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-s.recheckRequests[table]:
			cancel(errRecheckRequested)
		case <-done:
		}
	}()
	page, err := s.store.Feed(ctx, table, version, longPollTimeout)
	if err != nil && errors.Is(context.Cause(ctx), errRecheckRequested) {
		err = errRecheckRequested
	}
	return page, false, err
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) handleReplicaRows(page rowstore.Page, wholeTable bool) {
	var entries []catalog.Entry
	var removed []catalog.Entry
	for _, row := range page.Rows {
		if row.Removed {
			removed = append(removed, catalog.Entry{ID: row.Key, Version: row.Version})
			continue
		}
		replica, err := s.source.DecodeReplica(row.Key, row.Value)
		if err != nil {
			s.log.Warn("cannot decode replica entry", "replica", row.Key, "row_version", row.Version, "error", err)
		}
		entries = append(entries, catalog.Entry{ID: row.Key, Version: row.Version, Replica: replica})
	}
	if wholeTable {
		s.control.Post(controlplane.ReplicasRead{Table: s.source.ReplicaTable, Entries: entries, Version: page.Version})
		return
	}
	s.control.Post(controlplane.ReplicasChanged{Entries: entries, Removed: removed, Version: page.Version})
}
