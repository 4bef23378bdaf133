package controlrecords

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

// maxCommitAttempts limits how often a write is tried while the lease is renewed
// between the check of its record and the commit.
const maxCommitAttempts = 5

// errLeaseNotHeld means that this instance no longer holds the lease in the epoch
// of the write.
var errLeaseNotHeld = errors.New("records: lease has another epoch")

// adoptLedger reads an endpoint's ledger after its lease was gained. It delays the
// answer if the read fails.
func (s *Service) adoptLedger(ctx context.Context, a control.AdoptLedger) {
	ev := control.LedgerAdopted{Endpoint: a.Endpoint, Epoch: a.Epoch, Continues: a.Continues}
	record, err := s.readOne(ctx, ledgerKey(a.Endpoint))
	if err == nil && record.Version > 0 {
		ev.Version = record.Version
		ev.Record, err = ledgerrecord.Decode(record.Value)
	}
	s.countCall("ledger_reads", err)
	if ev.OK = err == nil; !ev.OK {
		delayFailedAnswer(ctx)
	}
	s.control.Post(ev)
}

// readLedger reads an endpoint's ledger after a write with an unknown outcome.
func (s *Service) readLedger(ctx context.Context, a control.ReadLedger) {
	record, err := s.readOne(ctx, ledgerKey(a.Endpoint))
	read := ledger.RecordRead{Version: record.Version}
	if err == nil && record.Version > 0 {
		read.Record, err = ledgerrecord.Decode(record.Value)
	}
	s.countCall("ledger_reads", err)
	result := control.LedgerResult{Endpoint: a.Endpoint, Event: read}
	if err != nil {
		result.Event = ledger.RecordReadFailed{}
	}
	s.control.Post(result)
}

// persistLedger writes an endpoint's ledger on condition of its lease.
func (s *Service) persistLedger(ctx context.Context, a control.PersistLedger) {
	write, epoch := a.Persist.Record.Write, a.Persist.Record.Holder.Epoch
	value, err := ledgerrecord.Encode(a.Persist.Record)
	var version uint64
	if err == nil {
		version, err = s.commitFenced(ctx, fencedWrite{
			shard: a.Shard, epoch: epoch, key: ledgerKey(a.Endpoint), value: value, version: a.Persist.Expected,
		})
	}
	s.countCall("ledger_commits", err)
	s.control.Post(control.LedgerResult{Endpoint: a.Endpoint, Event: ledgerOutcome(err, write, epoch, version)})
}

// ledgerOutcome maps the error of a fenced write to the event for the ledger.
func ledgerOutcome(err error, write, epoch, version uint64) ledger.Event {
	switch {
	case err == nil:
		return ledger.Persisted{Write: write, Epoch: epoch, Version: version}
	case errors.Is(err, backing.ErrConflict):
		return ledger.PersistConflict{Write: write, Epoch: epoch}
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, errLeaseNotHeld):
		return ledger.PersistFailed{Write: write, Epoch: epoch}
	default:
		return ledger.PersistUnknown{Write: write, Epoch: epoch}
	}
}

// adoptPlan reads a pool's plan after its lease was gained. It delays the answer
// if the read fails.
func (s *Service) adoptPlan(ctx context.Context, a control.AdoptPlan) {
	ev := control.PlanAdopted{Plan: control.PoolPlan{Pool: a.Pool}, Epoch: a.Epoch}
	record, err := s.readOne(ctx, planKey(a.Pool))
	if err == nil && record.Version > 0 {
		ev.Plan.Version = record.Version
		ev.Plan.Stored, err = placementrecord.Decode(record.Value)
	}
	s.countCall("plan_reads", err)
	if ev.OK = err == nil; !ev.OK {
		delayFailedAnswer(ctx)
	}
	s.control.Post(ev)
}

// persistPlan writes a pool's plan on condition of its lease. It delays the answer
// if the write fails.
func (s *Service) persistPlan(ctx context.Context, a control.PersistPlan) {
	ev := control.PlanCommitted{Pool: a.Pool, Epoch: a.Epoch}
	value, err := placementrecord.Encode(a.Stored)
	if err == nil {
		ev.Version, err = s.commitFenced(ctx, fencedWrite{
			shard: a.Shard, epoch: a.Epoch, key: planKey(a.Pool), value: value, version: a.Version,
		})
	}
	s.countCall("plan_commits", err)
	if ev.Applied = err == nil; !ev.Applied {
		delayFailedAnswer(ctx)
	}
	s.control.Post(ev)
}

// fencedWrite is a write that is valid only in one epoch of a lease.
type fencedWrite struct {
	shard   lease.Shard
	epoch   uint64
	key     string
	value   []byte
	version uint64 // expected version of the record
}

// commitFenced commits w on condition of the record's version and the lease's
// epoch, and returns the record's new version. The transaction compares the
// version of the lease record, which changes with every renewal, so after a
// conflict both records are checked again and the write is repeated.
func (s *Service) commitFenced(ctx context.Context, w fencedWrite) (uint64, error) {
	leaseKey := leaserecord.Key(w.shard)
	for range maxCommitAttempts {
		found, err := s.config.Store.Read(ctx, backing.Query{Keys: []string{leaseKey, w.key}})
		if err != nil {
			return 0, backing.ErrUnavailable
		}
		leaseVersion, err := s.checkLease(found, leaseKey, w)
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
			err = backing.ErrUnknownOutcome // the answer doesn't belong to this write
		}
		if err != nil {
			return 0, err
		}
		return versions[0], nil
	}
	return 0, backing.ErrUnavailable
}

// checkLease returns the version of the lease record if this instance holds the
// lease in the epoch of w and the record at w.key has the expected version. It
// fails with errLeaseNotHeld or backing.ErrConflict otherwise.
func (s *Service) checkLease(found []backing.Record, leaseKey string, w fencedWrite) (uint64, error) {
	var leaseVersion, version uint64
	for _, r := range found {
		switch r.Key {
		case leaseKey:
			held, err := leaserecord.Decode(r.Value)
			if err != nil || held.Epoch != w.epoch || held.Holder != s.config.Self.ID || held.Incarnation != s.config.Self.Incarnation || held.Released {
				return 0, errLeaseNotHeld
			}
			leaseVersion = r.Version
		case w.key:
			version = r.Version
		}
	}
	if leaseVersion == 0 {
		return 0, errLeaseNotHeld
	}
	if version != w.version {
		return 0, backing.ErrConflict
	}
	return leaseVersion, nil
}

// readAll reads the ledgers and plans of the whole fleet and posts them. Records
// that can't be decoded are counted and left out.
func (s *Service) readAll(ctx context.Context) {
	var ev control.RecordsRead
	ledgers, err := s.config.Store.Read(ctx, backing.Query{Prefix: ledgerPrefix})
	s.countCall("fleet_reads", err)
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

// cachedLedger is a decoded record and the version that it was decoded from.
type cachedLedger struct {
	version uint64
	record  ledger.Record
}

// decodeLedgers returns the decoded records. It decodes only those whose version
// changed since the previous call, since decoding 5,400 records takes 250 ms. It
// must not be called concurrently, and its results must not be changed.
func (s *Service) decodeLedgers(found []backing.Record) []ledger.Record {
	out := make([]ledger.Record, 0, len(found))
	decoded := make(map[string]cachedLedger, len(found))
	for _, r := range found {
		d, ok := s.ledgerCache[r.Key]
		if !ok || d.version != r.Version {
			record, err := ledgerrecord.Decode(r.Value)
			if err != nil {
				s.config.Vars.Add("bad_records", 1)
				continue
			}
			d = cachedLedger{r.Version, record}
		}
		decoded[r.Key] = d
		out = append(out, d.record)
	}
	s.ledgerCache = decoded
	return out
}
