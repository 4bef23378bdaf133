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
	// longPollTimeout is how long one call for the config waits for changes. It is near the
	// 30 s that the store allows because every call has a cost. TCP keepalive probes
	// detect connections that no longer respond, and the lease holder tells instances
	// whose feed is behind.
	longPollTimeout = 28 * time.Second
	// configAnswerTime is how long the answer to a call for the config is awaited beyond
	// the time for which the call waits for changes.
	configAnswerTime = 800 * time.Millisecond
	// The time for which an answer is awaited doubles after every failuresPerDoubling
	// failed calls, at most maxDoublings times.
	failuresPerDoubling, maxDoublings = 2, 2
	// minListWait is the shortest time for which a call for the list of replicas waits for
	// changes.
	minListWait = 100 * time.Millisecond
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
	// ListWait is the age of the list of replicas up to which a call for it waits for
	// changes, and ListAnswerTime how long the answer is awaited beyond that.
	ListWait, ListAnswerTime time.Duration
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
	// listPause is the pause from one call for the list of replicas to the next, in
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
	config := &feed{table: s.source.ConfigTable, wait: longPollTimeout, answerTime: configAnswerTime, backoff: minRetryBackoff, handlePage: s.handleConfigRows}
	list := &feed{table: s.source.ReplicaTable, wait: s.source.ListWait, answerTime: s.source.ListAnswerTime, backoff: minRetryBackoff, handlePage: s.handleReplicaRows}
	s.group.Go(func(ctx context.Context) { s.follow(ctx, config) })
	s.group.Go(func(ctx context.Context) { s.follow(ctx, list) })
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

// feed is the state of the calls for one table.
type feed struct {
	table string
	// wait is how long the next call waits for changes, and answerTime how long the
	// answer is awaited beyond that.
	wait, answerTime time.Duration
	handlePage       func(p page)
	version          rowstore.Version // up to which the table was read
	haveTable        bool             // the whole table was read
	// recheck is set if the next call does not wait for changes.
	recheck  bool
	failures int           // failed calls since the last answered one
	backoff  time.Duration // after the next failed call
}

// page is an answer to a call for a table.
type page struct {
	rowstore.Page
	wholeTable bool      // it has all rows of the table
	askedAt    time.Time // when the call started
	currentAt  time.Time // a time at which the table was as the page says
}

// follow reads a table and then its feed until ctx ends. It passes each page to
// f.handlePage.
func (s *Service) follow(ctx context.Context, f *feed) {
	for ctx.Err() == nil {
		p, err := s.fetchPage(ctx, f)
		f.recheck = errors.Is(err, errRecheckRequested)
		if f.recheck {
			continue
		}
		if err != nil {
			s.handleFailure(ctx, f, err)
			continue
		}
		f.failures, f.backoff = 0, minRetryBackoff
		s.metrics.Counter("store_calls", "table", f.table, "result", "answered").Add(1)
		s.control.Post(controlplane.StoreState{Table: f.table})
		if !p.wholeTable && p.Version.Era() > f.version.Era() {
			f.haveTable = false // the feed lacks the rows that the restored store has lost
			continue
		}
		if p.Version < f.version {
			s.log.Warn("store returned a stale page", "table", f.table, "version", f.version, "answer", p.Version)
			sleep(ctx, maxRetryBackoff)
			continue
		}
		f.handlePage(p)
		s.control.Post(controlplane.RowsSeen{Table: f.table, Version: newestVersion(p.Page), SentAt: p.askedAt})
		f.version, f.haveTable = p.Version, true
		if f.table == s.source.ReplicaTable {
			f.recheck = s.waitListPause(ctx, p.askedAt)
			f.wait = max(s.source.ListWait-time.Since(p.currentAt), minListWait)
		}
	}
}

// handleFailure reports a failed call and waits before the next one, which does not wait
// for changes: it is to show whether the store answers again.
func (s *Service) handleFailure(ctx context.Context, f *feed, err error) {
	s.metrics.Counter("store_calls", "table", f.table, "result", "failed").Add(1)
	if errors.Is(err, rowstore.ErrCompacted) {
		f.haveTable = false
		return
	}
	s.control.Post(controlplane.StoreState{Table: f.table, Unavailable: true})
	s.log.Debug("store call failed", "table", f.table, "version", f.version, "error", err)
	f.recheck = true
	f.failures++
	if f.failures == 1 && errors.Is(err, context.DeadlineExceeded) {
		return // the call was lost, and the store may answer others
	}
	sleep(ctx, f.backoff)
	f.backoff = min(2*f.backoff, maxRetryBackoff)
}

// waitListPause waits for listPause since the last call so that changes of the list of
// replicas are batched. It returns true at once if a recheck is requested.
func (s *Service) waitListPause(ctx context.Context, askedAt time.Time) bool {
	timer := time.NewTimer(time.Duration(s.listPause.Load()) - time.Since(askedAt))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.recheckRequests[s.source.ReplicaTable]:
		return true
	case <-ctx.Done():
	}
	return false
}

// newestVersion returns the highest row version in p. If the page has no rows, the
// counter of the version is 0.
func newestVersion(p rowstore.Page) rowstore.Version {
	version := rowstore.NewVersion(p.Version.Era(), 0)
	for _, row := range p.Rows {
		version = max(version, row.Version)
	}
	return version
}

// errRecheckRequested is the cancellation cause of a waiting feed call that is
// replaced because of requestRecheck.
var errRecheckRequested = errors.New("feed recheck requested")

// fetchPage returns the next page: the whole table if it was not read yet, and otherwise
// the changes since.
func (s *Service) fetchPage(ctx context.Context, f *feed) (page, error) {
	now := time.Now()
	p := page{wholeTable: !f.haveTable, askedAt: now, currentAt: now}
	var err error
	if p.wholeTable {
		p.Page, err = s.store.Read(ctx, f.table)
		return p, err
	}
	// After several failures the store may be slow, rather than a connection silent.
	answerTime := f.answerTime << min(f.failures/failuresPerDoubling, maxDoublings)
	if f.recheck {
		ctx, cancel := context.WithTimeout(ctx, answerTime)
		defer cancel()
		p.Page, err = s.store.Feed(ctx, f.table, f.version, 0)
		return p, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-s.recheckRequests[f.table]:
			cancel(errRecheckRequested)
		case <-done:
		}
	}()
	callCtx, cancelCall := context.WithTimeout(ctx, f.wait+answerTime)
	defer cancelCall()
	p.Page, err = s.store.Feed(callCtx, f.table, f.version, f.wait)
	if len(p.Rows) == 0 && time.Since(p.askedAt) >= f.wait {
		p.currentAt = p.askedAt.Add(f.wait) // the store answers no sooner without changes
	}
	if err != nil && errors.Is(context.Cause(ctx), errRecheckRequested) {
		err = errRecheckRequested
	}
	return p, err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Service) handleReplicaRows(p page) {
	var entries []catalog.Entry
	var removed []catalog.Entry
	for _, row := range p.Rows {
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
	if p.wholeTable {
		s.control.Post(controlplane.ReplicasRead{Table: s.source.ReplicaTable, Entries: entries, Version: p.Version, CurrentAt: p.currentAt})
		return
	}
	s.control.Post(controlplane.ReplicasChanged{Entries: entries, Removed: removed, Version: p.Version, CurrentAt: p.currentAt})
}
