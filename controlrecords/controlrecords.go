// Package controlrecords reads and writes the records of the control goroutine in
// the platform's table service: leases, ledgers, plans and quarantine. It makes
// writes of ledgers and plans conditional on the lease in whose epoch they were
// decided, and leaves the encoding to the record packages, such as ledgerrecord.
//
// The operators' table is stored by package tablestore and followed by package
// tablesync, package instancelist reads the platform's list, and package rowstore
// declares the shared store of edge instances.
package controlrecords

import (
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/lease"
	"github.com/hyssophaven/hyssophaven/lease/leaserecord"
	"github.com/hyssophaven/hyssophaven/quarantine"
	"github.com/hyssophaven/hyssophaven/quarantine/quarantinerecord"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the name of the service on the kernel.
const ServiceName = "records"

// failedAnswerDelay delays the answer to a failed adoption or plan write, so that
// the control goroutine does not retry at once.
const failedAnswerDelay = 500 * time.Millisecond

// Control is the part of the service "control" that the service uses.
type Control interface {
	Post(control.Event)
	Snapshot() *control.Snapshot
}

// Config holds the store, the read interval and the counters of the service.
type Config struct {
	Self         fleet.Instance
	Store        backing.TableStore
	ReadInterval time.Duration // between the end of one read of all ledgers and plans and the next
	Vars         *expvar.Map
}

// Service executes the reads and writes that the control goroutine publishes on
// the kernel's bus. It implements kernel.Service.
type Service struct {
	config      Config
	control     Control
	group       *worker.Group
	ledgerCache map[string]cachedLedger // results of the last readAll, by record key
}

// callCounterNames lists the counters of store calls. For each, a counter with
// failedSuffix appended counts the calls that failed.
var callCounterNames = []string{
	"lease_reads", "lease_commits", "ledger_reads", "ledger_commits", "plan_reads", "plan_commits",
	"quarantine_reads", "quarantine_commits", "fleet_reads",
}

const failedSuffix = "_failed"

// New returns a service that is not started yet.
func New(c Config) *Service {
	c.Vars.Add("bad_records", 0) // exports all counters before the first call
	for _, name := range callCounterNames {
		c.Vars.Add(name, 0)
		c.Vars.Add(name+failedSuffix, 0)
	}
	return &Service{config: c, group: worker.NewGroup()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{control.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.control, err = kernel.Lookup[Control](k, control.ServiceName); err != nil {
		return err
	}
	b := k.Bus()
	err = errors.Join(
		worker.Subscribe(s.group, b, "records.lease_read", s.readLeases),
		worker.Subscribe(s.group, b, "records.lease_commit", s.commitLeases),
		worker.Subscribe(s.group, b, "records.ledger_adopt", s.adoptLedger),
		worker.Subscribe(s.group, b, "records.ledger_persist", s.persistLedger),
		worker.Subscribe(s.group, b, "records.ledger_read", s.readLedger),
		worker.Subscribe(s.group, b, "records.plan_adopt", s.adoptPlan),
		worker.Subscribe(s.group, b, "records.plan_persist", s.persistPlan),
		worker.Subscribe(s.group, b, "records.quarantine_read", s.readQuarantine),
		worker.Subscribe(s.group, b, "records.quarantine_commit", s.commitQuarantine),
	)
	if err != nil {
		return err
	}
	s.group.Every(s.config.ReadInterval, nil, s.readAll)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

func (s *Service) readLeases(ctx context.Context, a lease.Read) {
	result := lease.ReadResult{ID: a.ID}
	found, err := s.config.Store.Read(ctx, leaserecord.ReadQuery(a))
	if err == nil {
		result.Records, err = leaserecord.DecodeRecords(found)
	}
	s.countCall("lease_reads", err)
	result.OK, result.Era = err == nil, s.config.Store.Era()
	s.control.Post(control.LeaseResult{Event: result})
}

func (s *Service) commitLeases(ctx context.Context, a lease.Commit) {
	result := lease.CommitResult{ID: a.ID, Outcome: lease.NotApplied}
	txn, err := leaserecord.EncodeCommit(a)
	if err == nil {
		result.Versions, err = s.config.Store.Commit(ctx, txn)
		result.Outcome = commitOutcome(err, lease.Applied, lease.Conflict, lease.NotApplied, lease.Unknown)
	}
	s.countCall("lease_commits", err)
	s.control.Post(control.LeaseResult{Event: result})
}

// commitOutcome maps the error of a commit to one of the given outcomes, which are
// those of a decision package.
func commitOutcome[O any](err error, applied, conflict, notApplied, unknown O) O {
	switch {
	case err == nil:
		return applied
	case errors.Is(err, backing.ErrConflict):
		return conflict
	case errors.Is(err, backing.ErrUnavailable):
		return notApplied
	default:
		return unknown
	}
}

func (s *Service) readQuarantine(ctx context.Context, a quarantine.ReadRecord) {
	result := quarantine.RecordRead{Fingerprint: a.Fingerprint}
	record, err := s.readOne(ctx, quarantinerecord.Key(a.Fingerprint))
	switch {
	case err == nil && record.Version > 0:
		result, err = quarantinerecord.Event(record)
	case err == nil:
		result.OK = true
	}
	s.countCall("quarantine_reads", err)
	s.control.Post(control.QuarantineResult{Event: result})
}

func (s *Service) commitQuarantine(ctx context.Context, a quarantine.CommitRecord) {
	result := quarantine.CommitResult{ID: a.ID, Outcome: quarantine.NotApplied}
	txn, err := quarantinerecord.Txn(a)
	if err == nil {
		var versions []uint64
		versions, err = s.config.Store.Commit(ctx, txn)
		if err == nil && len(versions) != 1 {
			err = backing.ErrUnknownOutcome // the answer doesn't belong to this write
		}
		result.Outcome = commitOutcome(err, quarantine.Applied, quarantine.Conflict, quarantine.NotApplied, quarantine.Unknown)
		if len(versions) == 1 {
			result.Version = versions[0]
		}
	}
	s.countCall("quarantine_commits", err)
	s.control.Post(control.QuarantineResult{Event: result})
}

// readOne returns the record at key. Its version is 0 if there is none or the read
// fails.
func (s *Service) readOne(ctx context.Context, key string) (backing.Record, error) {
	found, err := s.config.Store.Read(ctx, backing.Query{Keys: []string{key}})
	if err != nil || len(found) == 0 {
		return backing.Record{Key: key}, err
	}
	return found[0], nil
}

// countCall adds a store call to its counters. Conflicts are not counted as
// failures.
func (s *Service) countCall(name string, err error) {
	s.config.Vars.Add(name, 1)
	if err != nil && !errors.Is(err, backing.ErrConflict) {
		s.config.Vars.Add(name+failedSuffix, 1)
	}
}

// delayFailedAnswer waits for failedAnswerDelay or until ctx ends.
func delayFailedAnswer(ctx context.Context) {
	timer := time.NewTimer(failedAnswerDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
