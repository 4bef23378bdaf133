// Package tablesync keeps an instance's copy of the operators' table up to date.
// It polls the revision at the head of the table, fetches newer snapshots from
// the table service, a peer or the object store, and posts them to the control
// goroutine, which decides what to adopt. It also commits operators' edits and
// is registered on the kernel as "table".
//
// Package tablestore reads and writes the table's records, on demand and without
// a goroutine. Package controlrecords is the service for the records of the control
// goroutine, and package rowstore declares the shared store of edge instances.
package tablesync

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/peer"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
	"github.com/hyssophaven/hyssophaven/tablestore"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the name of the service on the kernel.
const ServiceName = "table"

// snapshotObject names the object that holds a copy of the table, for instances
// that start while the table service is unavailable.
const snapshotObject = "table/snapshot"

// Control is the part of the service "control" that the service uses.
type Control interface {
	Post(control.Event)
	Snapshot() *control.Snapshot
}

// Peers is the part of the service "peers" that the service uses.
type Peers interface {
	// TableSnapshot fetches the encoded table of a peer.
	TableSnapshot(ctx context.Context, address string) (peer.Snapshot, error)
}

// Config holds the stores, limits and counters of the service.
type Config struct {
	TableStore       backing.TableStore
	ObjectStore      backing.ObjectStore
	SyncInterval     time.Duration // between the end of one sync and the next
	PeerFetchTimeout time.Duration // limit of one fetch from a peer
	Vars             *expvar.Map
}

// Service polls and fetches the table and commits edits. It implements
// kernel.Service.
type Service struct {
	config         Config
	store          *tablestore.Store
	control        Control
	peers          Peers
	group          *worker.Group
	wake           chan struct{}
	newerPeer      atomic.Pointer[control.FetchTable] // a peer with a newer table; nil if none is known
	copiedRevision atomic.Uint64                      // highest revision that this instance wrote to the object store
	restore        restoreProgress                    // belongs to the goroutine of sync
}

// counterNames lists all counters. New adds each with 0, so that they are exported
// before the first event.
var counterNames = []string{"head_reads", "head_failures", "load_failures", "peer_fetches", "peer_fetch_failures", "bad_snapshots", "settle_failures"}

// New returns a service that is not started yet.
func New(c Config) *Service {
	for _, name := range counterNames {
		c.Vars.Add(name, 0)
	}
	return &Service{config: c, store: tablestore.New(c.TableStore), group: worker.NewGroup(), wake: make(chan struct{}, 1)}
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
	if err := kernel.Subscribe(k.Bus(), "table.fetch", s.requestFetch); err != nil {
		return err
	}
	s.group.Every(s.config.SyncInterval, s.wake, s.sync)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// requestFetch stores the peer that has a newer table and starts a sync early.
func (s *Service) requestFetch(_ context.Context, a control.FetchTable) {
	if a.From.PeerAddress != "" {
		s.newerPeer.Store(&a)
	}
	select {
	case s.wake <- struct{}{}:
	default: // a sync is already requested
	}
}

// sync reads the head of the table, and the whole table if the head is newer than
// the adopted one. If the head can't be read, it fetches from other sources. A peer
// can have a newer table than a table service that was restored from a copy.
func (s *Service) sync(ctx context.Context) {
	sent := time.Now()
	head, err := s.store.Head(ctx)
	s.config.Vars.Add("head_reads", 1)
	if err != nil {
		s.config.Vars.Add("head_failures", 1)
		s.fetchFromPeersOrCopy(ctx)
		return
	}
	if head.Revision > s.adoptedRevision() {
		s.fetchFromStore(ctx)
	} else {
		s.fetchNewerFromPeer(ctx)
	}
	s.control.Post(control.TableHeadRead{Revision: head.Revision, Era: head.Era, Sent: sent})
	if s.followRestore(ctx, head) {
		s.writeCopy(ctx) // of a settled table only: an instance with an older one would replace the newest copy
	}
}

// adoptedRevision returns the revision of the table that this instance has adopted,
// or 0 if there is none.
func (s *Service) adoptedRevision() uint64 {
	if t := s.control.Snapshot().Table; t != nil {
		return t.Revision
	}
	return 0
}

// fetchFromStore posts the table of the table service.
func (s *Service) fetchFromStore(ctx context.Context) {
	snapshot, err := s.store.Load(ctx)
	if err != nil {
		s.config.Vars.Add("load_failures", 1)
		return
	}
	s.control.Post(control.TableRead{Snapshot: snapshot})
}

// fetchFromPeersOrCopy posts the table of a peer. If no peer answers and no table
// is adopted yet, it posts the copy in the object store.
func (s *Service) fetchFromPeersOrCopy(ctx context.Context) {
	for _, address := range s.peerAddresses() {
		if s.fetchFromPeer(ctx, address) {
			return
		}
	}
	if s.adoptedRevision() > 0 {
		return
	}
	s.fetchCopy(ctx)
}

// peerAddresses returns the address of the peer that is known to have a newer
// table, followed by those of all known instances if no table is adopted yet. It
// clears newerPeer.
func (s *Service) peerAddresses() []string {
	var out []string
	if p := s.newerPeer.Swap(nil); p != nil {
		out = append(out, p.From.PeerAddress)
	}
	if s.adoptedRevision() == 0 {
		out = append(out, s.control.Snapshot().PeerAddresses...)
	}
	return out
}

// fetchFromPeer posts the table of the peer at address and reports whether that
// succeeded.
func (s *Service) fetchFromPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, s.config.PeerFetchTimeout)
	defer cancel()
	snapshot, err := s.peers.TableSnapshot(ctx, address)
	if err != nil {
		s.config.Vars.Add("peer_fetch_failures", 1)
		return false
	}
	s.config.Vars.Add("peer_fetches", 1)
	return s.postSnapshot(snapshot.Data)
}

// postSnapshot decodes a table and posts it to the control goroutine. It reports
// whether the table could be decoded.
func (s *Service) postSnapshot(data []byte) bool {
	snapshot, err := tablecodec.DecodeSnapshot(data)
	if err != nil {
		s.config.Vars.Add("bad_snapshots", 1)
		return false
	}
	s.control.Post(control.TableRead{Snapshot: snapshot})
	return true
}

// writeCopy writes the adopted table to the object store once per revision.
// Instances can overwrite each other's newer copy. The next revision replaces
// it, and instances that start from the copy fetch newer revisions from peers
// and the table service.
func (s *Service) writeCopy(ctx context.Context) {
	t := s.control.Snapshot().Table
	if t == nil || t.Revision <= s.copiedRevision.Load() {
		return
	}
	data, err := tablecodec.EncodeSnapshot(t)
	if err != nil {
		return
	}
	if err := s.config.ObjectStore.Put(ctx, snapshotObject, data); err == nil {
		s.copiedRevision.Store(t.Revision)
	}
}

// Load returns the newest table in the table service. It fails with
// tablestore.ErrNoTable if there is none.
func (s *Service) Load(ctx context.Context) (*table.Snapshot, error) { return s.store.Load(ctx) }

// Edit commits an edit and posts the resulting table to this instance's control
// goroutine. It fails with the errors of tablestore.Store.Edit.
func (s *Service) Edit(ctx context.Context, e table.Edit) (*table.Snapshot, error) {
	if err := s.checkTableExists(ctx); err != nil {
		return nil, err
	}
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
