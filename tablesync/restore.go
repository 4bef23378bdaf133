package tablesync

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/tablestore"
)

// settleIntervals is the number of sync intervals for which instances pass the
// newest table on among themselves after a restore of the table service, before one
// of them writes it again. Edits are refused meanwhile.
const settleIntervals = 3

// restoreProgress is what one sync leaves to the next one.
type restoreProgress struct {
	era           uint64    // era that is not settled, if unsettledFrom is set
	unsettledFrom time.Time // when era was first seen unsettled; zero if the table is settled
	adopted       uint64    // revision that was adopted at the previous sync
}

// followRestore reports edits that a restore of the table service lost, and writes
// the table again after settleIntervals. It reports whether the table is settled.
func (s *Service) followRestore(ctx context.Context, h tablestore.Head) bool {
	p := &s.restore
	if before := p.adopted; table.RevisionEra(before) < table.RevisionEra(h.Revision) && before > h.SettledFrom {
		s.control.Post(control.TableEditsLost{After: h.SettledFrom, Last: before})
	}
	p.adopted = s.adoptedRevision()
	if !h.Unsettled() {
		p.unsettledFrom = time.Time{}
		return true
	}
	now := time.Now()
	if p.unsettledFrom.IsZero() || p.era != h.Era {
		p.era, p.unsettledFrom = h.Era, now
		s.fetchCopy(ctx) // it can be newer than the restored table and every running instance's
	}
	if now.Sub(p.unsettledFrom) < settleIntervals*s.config.SyncInterval {
		return false
	}
	done, err := s.store.Settle(ctx, s.control.Snapshot().Table)
	switch {
	case err != nil:
		s.config.Vars.Add("settle_failures", 1)
	case done.Table != nil:
		s.control.Post(control.TableWrittenAgain{From: done.From, Revision: done.Table.Revision, Rows: done.Rows})
		s.control.Post(control.TableRead{Snapshot: done.Table})
	}
	return false
}

// fetchNewerFromPeer posts the table of the peer that is known to have a newer one
// than this instance and the table service. After a failure it is tried again at
// the next sync.
func (s *Service) fetchNewerFromPeer(ctx context.Context) {
	p := s.newerPeer.Load()
	if p == nil {
		return
	}
	if p.Revision <= s.adoptedRevision() || s.fetchFromPeer(ctx, p.From.PeerAddress) {
		s.newerPeer.CompareAndSwap(p, nil)
	}
}

// fetchCopy posts the copy of the table in the object store.
func (s *Service) fetchCopy(ctx context.Context) {
	if data, err := s.config.ObjectStore.Get(ctx, snapshotObject); err == nil {
		s.postSnapshot(data)
	}
}

// checkTableExists returns an error if this instance has a table and the table
// service has none: it was restored to a copy without one, and an edit would be
// taken for the first one of a new table.
func (s *Service) checkTableExists(ctx context.Context) error {
	if s.adoptedRevision() == 0 {
		return nil
	}
	head, err := s.store.Head(ctx)
	if err == nil && head.Revision == 0 {
		err = fmt.Errorf("%w: %w", backing.ErrUnavailable, tablestore.ErrUnsettled)
	}
	return err
}
