// Package watch follows the operators' config and the list of replicas in the
// shared store and tells the control goroutine what it sees. It decides nothing.
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

// Name is the service's name in the kernel.
const Name = "watch"

const (
	// feedWait is how long one call of a feed waits: calls are priced, and
	// connections that went silent are found by probes.
	feedWait = 12 * time.Second
	// hurryTimeout bounds the call that follows a doubt: the store answers it at once.
	hurryTimeout = 800 * time.Millisecond
	// batchPause gathers changes of the list of replicas, which come several
	// times a second, into one call. It is far below the 2 s within which a
	// leaving replica must be left alone.
	batchPause = 400 * time.Millisecond
	// holderPause is that of the holder of the order lease, which hands the list
	// on: its calls are few among those of all instances.
	holderPause = 200 * time.Millisecond
	// relayedPause is that of an instance to which the list is handed on. Its
	// calls show a holder whose own feed is lost.
	relayedPause = 6 * time.Second
	// retryFirst and retryMax bound the pause after a failed call. Changes have
	// to be in force within 2 s, and a store that is down is not to be flooded.
	retryFirst = 100 * time.Millisecond
	retryMax   = 800 * time.Millisecond
)

// Source says which tables are followed and how their rows are read.
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
	// doubts cancel the calls that wait, by table. They are set up before the
	// goroutines start.
	doubts map[string]chan struct{}
	// listPause is the pause, in nanoseconds, between two calls for the list of
	// replicas.
	listPause atomic.Int64
}

// New returns a service that has not been started.
func New(store rowstore.Store, source Source, logger *log.Logger, registry *metrics.Registry) *Service {
	s := &Service{store: store, source: source, log: logger, metrics: registry, group: worker.NewGroup(), doubts: make(map[string]chan struct{})}
	s.listPause.Store(int64(batchPause))
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{controlplane.Name} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.control, err = kernel.Lookup[*controlplane.Service](k, controlplane.Name); err != nil {
		return err
	}
	for _, table := range []string{s.source.ConfigTable, s.source.ReplicaTable} {
		s.doubts[table] = make(chan struct{}, 1)
	}
	if err := errors.Join(
		kernel.Subscribe(k.Bus(), "watch.behind", s.feedBehind),
		kernel.Subscribe(k.Bus(), "watch.list", s.listSource),
	); err != nil {
		return err
	}
	s.group.Go(func(ctx context.Context) { s.follow(ctx, s.source.ConfigTable, s.configRows) })
	s.group.Go(func(ctx context.Context) { s.follow(ctx, s.source.ReplicaTable, s.replicaRows) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// feedBehind ends the call that waits on a feed, so that it is made again.
func (s *Service) feedBehind(_ context.Context, e controlplane.FeedBehind) { s.doubt(e.Table) }

func (s *Service) doubt(table string) {
	select {
	case s.doubts[table] <- struct{}{}:
	default:
	}
}

// listSource sets the pace of the calls for the list of replicas. A call that
// waits is made again when the holder is lost, because it may have been sent
// before a trouble that nobody noticed.
func (s *Service) listSource(_ context.Context, e controlplane.ListSourceChanged) {
	s.listPause.Store(int64(pauseOf(e.Source)))
	if e.Source != controlplane.FromHolder {
		s.doubt(s.source.ReplicaTable)
	}
}

func pauseOf(source controlplane.ListSource) time.Duration {
	switch source {
	case controlplane.FromHolder:
		return relayedPause
	case controlplane.ForOthers:
		return holderPause
	default:
		return batchPause
	}
}

// follow reads a table and then its feed, until ctx ends. full says whether the
// rows are the whole table.
func (s *Service) follow(ctx context.Context, table string, take func(page rowstore.Page, full bool)) {
	var version uint64
	known := false
	pause := retryFirst
	hurry := false
	for ctx.Err() == nil {
		page, full, err := s.next(ctx, table, version, known, hurry)
		hurry = errors.Is(err, errDoubted)
		if hurry {
			continue
		}
		if err != nil {
			known = known && !errors.Is(err, rowstore.ErrCompacted)
			s.metrics.Counter("store_calls", "table", table, "result", "failed").Add(1)
			if !errors.Is(err, rowstore.ErrCompacted) {
				s.control.Post(controlplane.StoreState{Table: table, Away: true})
				s.log.Debug("store does not answer", "table", table, "version", version, "error", err)
				if !wait(ctx, pause) {
					return
				}
				pause = min(2*pause, retryMax)
			}
			continue
		}
		pause = retryFirst
		s.metrics.Counter("store_calls", "table", table, "result", "answered").Add(1)
		s.control.Post(controlplane.StoreState{Table: table})
		if page.Version < version {
			s.log.Warn("store answered from the past", "table", table, "version", version, "answer", page.Version)
			if !wait(ctx, retryMax) {
				return
			}
			continue
		}
		take(page, full)
		s.control.Post(controlplane.RowsSeen{Table: table, Version: newest(page)})
		version, known = page.Version, true
		if table == s.source.ReplicaTable {
			hurry = s.pause(ctx, table)
		}
	}
}

// pause lets changes of the list of replicas gather. It returns true if the feed
// is doubted meanwhile.
func (s *Service) pause(ctx context.Context, table string) bool {
	timer := time.NewTimer(time.Duration(s.listPause.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.doubts[table]:
		return true
	case <-ctx.Done():
	}
	return false
}

func newest(page rowstore.Page) uint64 {
	var version uint64
	for _, row := range page.Rows {
		version = max(version, row.Version)
	}
	return version
}

// errDoubted ends a call that waits on a feed which is thought to be lost.
var errDoubted = errors.New("the feed is doubted")

// next returns the next page: the whole table at first, then its changes. In a
// hurry, it does not wait for changes.
func (s *Service) next(ctx context.Context, table string, version uint64, known, hurry bool) (rowstore.Page, bool, error) {
	if !known {
		page, err := s.store.Read(ctx, table)
		return page, true, err
	}
	if hurry {
		ctx, cancel := context.WithTimeout(ctx, hurryTimeout)
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
		case <-s.doubts[table]:
			cancel(errDoubted)
		case <-done:
		}
	}()
	page, err := s.store.Feed(ctx, table, version, feedWait)
	if err != nil && errors.Is(context.Cause(ctx), errDoubted) {
		err = errDoubted
	}
	return page, false, err
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) configRows(page rowstore.Page, _ bool) {
	for _, row := range page.Rows {
		if row.Key != s.source.ConfigKey || row.Removed {
			continue
		}
		config, err := s.source.DecodeConfig(row.Value)
		if err != nil {
			s.log.Error("config can't be read", "row_version", row.Version, "error", err)
			continue
		}
		s.control.Post(controlplane.ConfigSeen{Config: config})
	}
}

func (s *Service) replicaRows(page rowstore.Page, full bool) {
	var entries []catalog.Entry
	var removed []string
	for _, row := range page.Rows {
		if row.Removed {
			removed = append(removed, row.Key)
			continue
		}
		replica, err := s.source.DecodeReplica(row.Key, row.Value)
		if err != nil {
			s.log.Warn("entry can't be read", "replica", row.Key, "row_version", row.Version, "error", err)
		}
		entries = append(entries, catalog.Entry{ID: row.Key, Version: row.Version, Replica: replica})
	}
	if full {
		s.control.Post(controlplane.ReplicasRead{Table: s.source.ReplicaTable, Entries: entries, Version: page.Version})
		return
	}
	s.control.Post(controlplane.ReplicasChanged{Entries: entries, Removed: removed, Version: page.Version})
}
