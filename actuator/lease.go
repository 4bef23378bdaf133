package actuator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

const (
	// leaseTable and leaseKey identify the row of the order lease in the store.
	leaseTable = "hyssophaven-lease"
	leaseKey   = "orders"
	// epochsKeyPrefix precedes the era in the key of an epoch record, which is in leaseTable.
	// A record of an earlier era is not removed: there is one for each restore of the store.
	epochsKeyPrefix = "epochs-"
)

func epochsKey(era uint64) string { return epochsKeyPrefix + strconv.FormatUint(era, 10) }

// nextEpochsKey returns the key of the epoch record that must not exist for a write.
func nextEpochsKey(w leader.Write) string { return epochsKey(w.Version.Era() + 1) }

// epochsMessage is the JSON form of an epoch record.
type epochsMessage struct {
	Last uint64 `json:"last"`
}

func (s *Service) accessLease(ctx context.Context, e controlplane.AccessLease) {
	if e.Action == leader.ReadLease {
		s.readLease(ctx)
		return
	}
	conditions, rows, err := leaseTransaction(e)
	if err != nil {
		s.control.Post(controlplane.LeaseFailed{Err: err})
		return
	}
	version, err := s.store.Write(ctx, conditions, rows)
	if row, ok := changedConfig(e, err); ok {
		s.control.Post(controlplane.LeaseRejected{Config: row})
		return
	}
	if err != nil {
		s.control.Post(controlplane.LeaseFailed{Conflict: errors.Is(err, rowstore.ErrConflict), Err: err})
		return
	}
	s.control.Post(controlplane.LeaseWritten{Version: version})
}

// leaseTransaction returns the conditions and the rows of a write of the lease.
func leaseTransaction(e controlplane.AccessLease) ([]rowstore.Condition, []rowstore.Row, error) {
	w := e.Write
	value, err := json.Marshal(w.Lease)
	if err != nil {
		return nil, nil, err
	}
	conditions := []rowstore.Condition{
		{Table: leaseTable, Key: leaseKey, Version: w.Version},
		{Table: leaseTable, Key: nextEpochsKey(w), Version: rowstore.NewVersion(w.Version.Era(), 0)},
	}
	rows := []rowstore.Row{{Table: leaseTable, Key: leaseKey, Value: value}}
	if w.GivesEpoch {
		value, err := json.Marshal(epochsMessage{Last: w.Lease.Epoch})
		if err != nil {
			return nil, nil, err
		}
		key := epochsKey(w.Lease.Era)
		conditions = append(conditions, rowstore.Condition{Table: leaseTable, Key: key, Version: w.EpochsVersion})
		rows = append(rows, rowstore.Row{Table: leaseTable, Key: key, Value: value})
	}
	if e.Config != nil {
		conditions = append(conditions, rowstore.Condition{Table: e.Config.Table, Key: e.Config.Key, Version: e.Config.Version})
	}
	return conditions, rows, nil
}

// changedConfig returns the row of the config if it is the only reason why a write of the
// lease was rejected.
func changedConfig(e controlplane.AccessLease, err error) (rowstore.Row, bool) {
	var conflict *rowstore.ConflictError
	if e.Config == nil || !errors.As(err, &conflict) || conflict.Row(leaseTable, leaseKey).Version != e.Write.Version {
		return rowstore.Row{}, false
	}
	if conflict.Row(leaseTable, nextEpochsKey(e.Write)).Version.Counter() != 0 {
		return rowstore.Row{}, false
	}
	if e.Write.GivesEpoch && conflict.Row(leaseTable, epochsKey(e.Write.Lease.Era)).Version != e.Write.EpochsVersion {
		return rowstore.Row{}, false
	}
	row := conflict.Row(e.Config.Table, e.Config.Key)
	return row, row.Version != e.Config.Version
}

func (s *Service) readLease(ctx context.Context) {
	page, err := s.store.Read(ctx, leaseTable)
	if err != nil {
		s.control.Post(controlplane.LeaseFailed{Err: err})
		return
	}
	row, err := s.decodeLease(page)
	if err != nil {
		s.control.Post(controlplane.LeaseFailed{Err: err})
		return
	}
	s.control.Post(controlplane.LeaseRead{Row: row})
}

// decodeLease returns the row of the lease with the epoch record of the page's era. A lease
// that can't be decoded is logged and replaced by the next holder; without the epoch record
// no instance can acquire the lease.
func (s *Service) decodeLease(page rowstore.Page) (leader.Row, error) {
	none := rowstore.NewVersion(page.Version.Era(), 0)
	row := leader.Row{Version: none, Epochs: leader.EpochRecord{Version: none}}
	for _, r := range page.Rows {
		switch r.Key {
		case leaseKey:
			if err := json.Unmarshal(r.Value, &row.Lease); err != nil {
				s.log.Error("cannot decode order lease", "version", r.Version, "error", err)
			}
			row.Version = r.Version
		case epochsKey(page.Version.Era()):
			var m epochsMessage
			if err := json.Unmarshal(r.Value, &m); err != nil {
				return leader.Row{}, fmt.Errorf("decode epoch record %s, version %s: %w", r.Key, r.Version, err)
			}
			row.Epochs = leader.EpochRecord{Last: m.Last, Version: r.Version}
		}
	}
	return row, nil
}
