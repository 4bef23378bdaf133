// Package tablesync is the service that keeps an instance's copy of the table
// up to date. It reads the head of the table from the store, fetches newer
// snapshots from the store, a peer or the object store, and passes them to the
// control goroutine, which decides what to adopt. It is registered as "table"
// and also carries operators' edits to the store.
package tablesync

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/peer"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
	"github.com/hyssophaven/hyssophaven/tablestore"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the name of the service on the kernel.
const ServiceName = "table"

// snapshotObject is the object that holds a copy of the newest table.
const snapshotObject = "table/snapshot"

// Control is what the service needs of the service "control".
type Control interface {
	Post(control.Event)
	Snapshot() *control.Snapshot
}

// Peers is what the service needs of the service "peers".
type Peers interface {
	// TableSnapshot returns a peer's encoded table.
	TableSnapshot(ctx context.Context, address string) (peer.Snapshot, error)
}

// Config sets up the service.
type Config struct {
	Records  backing.TableStore
	Objects  backing.ObjectStore
	Interval time.Duration // between reads of the head
	Timeout  time.Duration // of one fetch from a peer
	Vars     *expvar.Map
}

// Service implements kernel.Service.
type Service struct {
	config  Config
	store   *tablestore.Store
	control Control
	peers   Peers
	group   *worker.Group
	wake    chan struct{}
	peer    atomic.Pointer[fleet.Instance] // one that has a newer table
	stored  atomic.Uint64                  // highest revision written to the object store
}

// counterNames are all counters, so that each is exported from the start.
var counterNames = []string{"head_reads", "head_failures", "load_failures", "peer_fetches", "peer_fetch_failures", "bad_snapshots"}

// New returns a service that is not started yet.
func New(c Config) *Service {
	for _, name := range counterNames {
		c.Vars.Add(name, 0)
	}
	return &Service{config: c, store: tablestore.New(c.Records), group: worker.NewGroup(), wake: make(chan struct{}, 1)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{control.ServiceName, peer.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.control, err = kernel.Lookup[Control](k, control.ServiceName); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[Peers](k, peer.ServiceName); err != nil {
		return err
	}
	if err := kernel.Subscribe(k.Bus(), "table.fetch", s.fetchWanted); err != nil {
		return err
	}
	s.group.Every(s.config.Interval, s.wake, s.sync)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// fetchWanted notes the peer that has a newer table and wakes the reader.
func (s *Service) fetchWanted(_ context.Context, a control.FetchTable) {
	if a.From.PeerAddress != "" {
		s.peer.Store(&a.From)
	}
	select {
	case s.wake <- struct{}{}:
	default: // the reader is about to run anyway
	}
}

// sync reads the head, and the table if the head is newer than what is in force.
func (s *Service) sync(ctx context.Context) {
	sent := time.Now()
	revision, err := s.store.Head(ctx)
	s.config.Vars.Add("head_reads", 1)
	if err != nil {
		s.config.Vars.Add("head_failures", 1)
		s.fetchElsewhere(ctx)
		return
	}
	if revision > s.inForce() {
		s.fetchFromStore(ctx)
	}
	s.control.Post(control.HeadRead{Revision: revision, Sent: sent})
	s.keepCopy(ctx)
}

// inForce returns the revision that is in force here.
func (s *Service) inForce() uint64 {
	if t := s.control.Snapshot().Table; t != nil {
		return t.Revision
	}
	return 0
}

func (s *Service) fetchFromStore(ctx context.Context) {
	snapshot, err := s.store.Load(ctx)
	if err != nil {
		s.config.Vars.Add("load_failures", 1)
		return
	}
	s.control.Post(control.TableRead{Snapshot: snapshot})
}

// fetchElsewhere takes the table from a peer, or at the start from the copy in
// the object store.
func (s *Service) fetchElsewhere(ctx context.Context) {
	for _, address := range s.peerAddresses() {
		if s.fetchFromPeer(ctx, address) {
			return
		}
	}
	if s.inForce() > 0 {
		return
	}
	data, err := s.config.Objects.Get(ctx, snapshotObject)
	if err == nil {
		s.postSnapshot(data)
	}
}

// peerAddresses returns the peer that is known to have a newer table, or, while
// there is no table here at all, every listed instance.
func (s *Service) peerAddresses() []string {
	var out []string
	if p := s.peer.Swap(nil); p != nil {
		out = append(out, p.PeerAddress)
	}
	if s.inForce() == 0 {
		out = append(out, s.control.Snapshot().PeerAddresses...)
	}
	return out
}

func (s *Service) fetchFromPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	snapshot, err := s.peers.TableSnapshot(ctx, address)
	if err != nil {
		s.config.Vars.Add("peer_fetch_failures", 1)
		return false
	}
	s.config.Vars.Add("peer_fetches", 1)
	return s.postSnapshot(snapshot.Data)
}

// postSnapshot decodes a table and passes it to the control goroutine.
func (s *Service) postSnapshot(data []byte) bool {
	snapshot, err := tablecodec.DecodeSnapshot(data)
	if err != nil {
		s.config.Vars.Add("bad_snapshots", 1)
		return false
	}
	s.control.Post(control.TableRead{Snapshot: snapshot})
	return true
}

// keepCopy writes the table in force to the object store once per revision.
// Instances may overwrite each other's newer copy; the next revision replaces
// it, and a reader of the copy takes newer revisions from peers and the store.
func (s *Service) keepCopy(ctx context.Context) {
	t := s.control.Snapshot().Table
	if t == nil || t.Revision <= s.stored.Load() {
		return
	}
	data, err := tablecodec.EncodeSnapshot(t)
	if err != nil {
		return
	}
	if err := s.config.Objects.Put(ctx, snapshotObject, data); err == nil {
		s.stored.Store(t.Revision)
	}
}

// Load returns the table as the store has it, or tablestore.ErrNoTable.
func (s *Service) Load(ctx context.Context) (*table.Snapshot, error) { return s.store.Load(ctx) }

// Edit commits an edit and brings it into force here. Its errors are those of
// tablestore.Store.Edit.
func (s *Service) Edit(ctx context.Context, e table.Edit) (*table.Snapshot, error) {
	after, err := s.store.Edit(ctx, e)
	if err == nil {
		s.control.Post(control.TableRead{Snapshot: after})
	}
	return after, err
}

// History returns up to limit accepted edits, newest first.
func (s *Service) History(ctx context.Context, limit int) ([]tablestore.HistoryEntry, error) {
	return s.store.History(ctx, limit)
}
