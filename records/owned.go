package records

import (
	"context"
	"errors"
	"strings"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/lease/leaserecord"
	"github.com/hyssophaven/hyssophaven/ledger"
	"github.com/hyssophaven/hyssophaven/ledger/ledgerrecord"
	"github.com/hyssophaven/hyssophaven/placement/placementrecord"
)

// maxLeaseConflicts bounds how often a write is repeated because the lease was
// renewed between its check and the commit.
const maxLeaseConflicts = 5

// errLeaseLost means that the lease no longer has the epoch of the write.
var errLeaseLost = errors.New("records: lease has another epoch")

func (s *Service) adoptLedger(ctx context.Context, a control.AdoptLedger) {
	ev := control.LedgerAdopted{Endpoint: a.Endpoint, Epoch: a.Epoch}
	record, err := s.readOne(ctx, ledgerKey(a.Endpoint))
	if err == nil && record.Version > 0 {
		ev.Version = record.Version
		ev.Record, err = ledgerrecord.Decode(record.Value)
	}
	s.count("ledger_reads", err)
	if ev.OK = err == nil; !ev.OK {
		pause(ctx)
	}
	s.control.Post(ev)
}

func (s *Service) readLedger(ctx context.Context, a control.ReadLedger) {
	record, err := s.readOne(ctx, ledgerKey(a.Endpoint))
	read := ledger.RecordRead{Version: record.Version}
	if err == nil && record.Version > 0 {
		read.Record, err = ledgerrecord.Decode(record.Value)
	}
	s.count("ledger_reads", err)
	result := control.LedgerResult{Endpoint: a.Endpoint, Event: read}
	if err != nil {
		result.Event = ledger.ReadFailed{}
	}
	s.control.Post(result)
}

func (s *Service) persistLedger(ctx context.Context, a control.PersistLedger) {
	write, epoch := a.Persist.Record.Write, a.Persist.Record.Holder.Epoch
	value, err := ledgerrecord.Encode(a.Persist.Record)
	var version uint64
	if err == nil {
		version, err = s.commitOwned(ctx, ownedWrite{
			shard: a.Shard, epoch: epoch, key: ledgerKey(a.Endpoint), value: value, version: a.Persist.Expected,
		})
	}
	s.count("ledger_commits", err)
	s.control.Post(control.LedgerResult{Endpoint: a.Endpoint, Event: ledgerOutcome(err, write, epoch, version)})
}

func ledgerOutcome(err error, write, epoch, version uint64) ledger.Event {
	switch {
	case err == nil:
		return ledger.Persisted{Write: write, Epoch: epoch, Version: version}
	case errors.Is(err, backing.ErrConflict):
		return ledger.PersistConflict{Write: write, Epoch: epoch}
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, errLeaseLost):
		return ledger.PersistFailed{Write: write, Epoch: epoch}
	default:
		return ledger.PersistUnknown{Write: write, Epoch: epoch}
	}
}

func (s *Service) adoptPlan(ctx context.Context, a control.AdoptPlan) {
	ev := control.PlanAdopted{Plan: control.PoolPlan{Pool: a.Pool}, Epoch: a.Epoch}
	record, err := s.readOne(ctx, planKey(a.Pool))
	if err == nil && record.Version > 0 {
		ev.Plan.Version = record.Version
		ev.Plan.Stored, err = placementrecord.Decode(record.Value)
	}
	s.count("plan_reads", err)
	if ev.OK = err == nil; !ev.OK {
		pause(ctx)
	}
	s.control.Post(ev)
}

func (s *Service) persistPlan(ctx context.Context, a control.PersistPlan) {
	ev := control.PlanCommitted{Pool: a.Pool, Epoch: a.Epoch}
	value, err := placementrecord.Encode(a.Stored)
	if err == nil {
		ev.Version, err = s.commitOwned(ctx, ownedWrite{
			shard: a.Shard, epoch: a.Epoch, key: planKey(a.Pool), value: value, version: a.Version,
		})
	}
	s.count("plan_commits", err)
	if ev.Applied = err == nil; !ev.Applied {
		pause(ctx)
	}
	s.control.Post(ev)
}

// ownedWrite is a write that holds only under one epoch of a lease.
type ownedWrite struct {
	shard   lease.Shard
	epoch   uint64
	key     string
	value   []byte
	version uint64 // expected
}

// commitOwned commits w on condition of the record's version and of the
// lease's epoch, and returns the record's new version. The condition names the
// version of the lease record, which changes with every renewal, so a conflict
// is repeated as long as both records are otherwise as expected.
func (s *Service) commitOwned(ctx context.Context, w ownedWrite) (uint64, error) {
	leaseKey := leaserecord.Key(w.shard)
	for range maxLeaseConflicts {
		found, err := s.config.Store.Read(ctx, backing.Query{Keys: []string{leaseKey, w.key}})
		if err != nil {
			return 0, backing.ErrUnavailable
		}
		leaseVersion, err := s.checkOwned(found, leaseKey, w)
		if err != nil {
			return 0, err
		}
		versions, err := s.config.Store.Commit(ctx, backing.Txn{
			Conditions: []backing.Condition{{Key: leaseKey, Version: leaseVersion}, {Key: w.key, Version: w.version}},
			Writes:     []backing.Write{{Key: w.key, Value: w.value}},
		})
		if errors.Is(err, backing.ErrConflict) {
			continue
		}
		if err == nil && len(versions) != 1 {
			err = backing.ErrUnknownOutcome // the answer does not belong to this write
		}
		if err != nil {
			return 0, err
		}
		return versions[0], nil
	}
	return 0, backing.ErrUnavailable
}

// checkOwned returns the version of the lease record if this instance holds
// the lease under the write's epoch and the written record is as expected.
func (s *Service) checkOwned(found []backing.Record, leaseKey string, w ownedWrite) (uint64, error) {
	var leaseVersion, version uint64
	for _, r := range found {
		switch r.Key {
		case leaseKey:
			held, err := leaserecord.Decode(r.Value)
			if err != nil || held.Epoch != w.epoch || held.Holder != s.config.Self.ID || held.Incarnation != s.config.Self.Incarnation || held.Released {
				return 0, errLeaseLost
			}
			leaseVersion = r.Version
		case w.key:
			version = r.Version
		}
	}
	if leaseVersion == 0 {
		return 0, errLeaseLost
	}
	if version != w.version {
		return 0, backing.ErrConflict
	}
	return leaseVersion, nil
}

// readAll reads the ledgers and plans of the whole fleet.
func (s *Service) readAll(ctx context.Context) {
	var ev control.RecordsRead
	ledgers, err := s.config.Store.Read(ctx, backing.Query{Prefix: ledgerPrefix})
	s.count("fleet_reads", err)
	if err != nil {
		return
	}
	ev.Ledgers = s.decodeLedgers(ledgers)
	plans, err := s.config.Store.Read(ctx, backing.Query{Prefix: planPrefix})
	if err != nil {
		return
	}
	for _, r := range plans {
		stored, err := placementrecord.Decode(r.Value)
		if err != nil {
			s.config.Vars.Add("bad_records", 1)
			continue
		}
		ev.Plans = append(ev.Plans, control.PoolPlan{Pool: strings.TrimPrefix(r.Key, planPrefix), Stored: stored, Version: r.Version})
	}
	s.control.Post(ev)
}

// decodedLedger is a record as decoded at a version.
type decodedLedger struct {
	version uint64
	record  ledger.Record
}

// decodeLedgers decodes the records whose version changed since the call
// before. Decoding all of 5,400 records took 250 ms. It is called by one
// goroutine at a time, and decoded records are not changed by anyone.
func (s *Service) decodeLedgers(found []backing.Record) []ledger.Record {
	out := make([]ledger.Record, 0, len(found))
	decoded := make(map[string]decodedLedger, len(found))
	for _, r := range found {
		d, ok := s.decoded[r.Key]
		if !ok || d.version != r.Version {
			record, err := ledgerrecord.Decode(r.Value)
			if err != nil {
				s.config.Vars.Add("bad_records", 1)
				continue
			}
			d = decodedLedger{r.Version, record}
		}
		decoded[r.Key] = d
		out = append(out, d.record)
	}
	s.decoded = decoded
	return out
}
