// Package records is the service that reads and writes the control
// goroutine's records in the platform's table service: leases, ledgers, plans
// and quarantine. It encodes them, and makes writes of ledgers and plans
// conditional on the lease under which they were decided.
package records

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

// adoptRetryInterval is the pause before an adoption whose read failed is
// answered, so that the control goroutine does not ask again at once.
const adoptRetryInterval = 500 * time.Millisecond

// Control is what the service needs of the service "control".
type Control interface {
	Post(control.Event)
	Snapshot() *control.Snapshot
}

// Config sets up the service.
type Config struct {
	Self         fleet.Instance
	Store        backing.TableStore
	ReadInterval time.Duration // between reads of all ledgers and plans
	Vars         *expvar.Map
}

// Service implements kernel.Service.
type Service struct {
	config  Config
	control Control
	group   *worker.Group
	decoded map[string]decodedLedger // of the last readAll, by key
}

// callNames are the counters of store calls. Each has a second counter of
// calls that failed, with the ending failedSuffix.
var callNames = []string{
	"lease_reads", "lease_commits", "ledger_reads", "ledger_commits", "plan_reads", "plan_commits",
	"quarantine_reads", "quarantine_commits", "fleet_reads",
}

const failedSuffix = "_failed"

// New returns a service that is not started yet.
func New(c Config) *Service {
	c.Vars.Add("bad_records", 0) // all counters are exported from the start
	for _, name := range callNames {
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
	found, err := s.config.Store.Read(ctx, leaserecord.Query(a))
	if err == nil {
		result.Records, err = leaserecord.Versioned(found)
	}
	s.count("lease_reads", err)
	result.OK = err == nil
	s.control.Post(control.LeaseResult{Event: result})
}

func (s *Service) commitLeases(ctx context.Context, a lease.Commit) {
	result := lease.CommitResult{ID: a.ID, Outcome: lease.NotApplied}
	txn, err := leaserecord.Txn(a)
	if err == nil {
		result.Versions, err = s.config.Store.Commit(ctx, txn)
		result.Outcome = outcomeOf(err, lease.Applied, lease.Conflict, lease.NotApplied, lease.Unknown)
	}
	s.count("lease_commits", err)
	s.control.Post(control.LeaseResult{Event: result})
}

// outcomeOf maps the error of a commit to one of a decision package's outcomes.
func outcomeOf[O any](err error, applied, conflict, notApplied, unknown O) O {
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
	s.count("quarantine_reads", err)
	s.control.Post(control.QuarantineResult{Event: result})
}

func (s *Service) commitQuarantine(ctx context.Context, a quarantine.CommitRecord) {
	result := quarantine.CommitResult{ID: a.ID, Outcome: quarantine.NotApplied}
	txn, err := quarantinerecord.Txn(a)
	if err == nil {
		var versions []uint64
		versions, err = s.config.Store.Commit(ctx, txn)
		if err == nil && len(versions) != 1 {
			err = backing.ErrUnknownOutcome // the answer does not belong to this write
		}
		result.Outcome = outcomeOf(err, quarantine.Applied, quarantine.Conflict, quarantine.NotApplied, quarantine.Unknown)
		if len(versions) == 1 {
			result.Version = versions[0]
		}
	}
	s.count("quarantine_commits", err)
	s.control.Post(control.QuarantineResult{Event: result})
}

// readOne returns the record at key, with version 0 if there is none.
func (s *Service) readOne(ctx context.Context, key string) (backing.Record, error) {
	found, err := s.config.Store.Read(ctx, backing.Query{Keys: []string{key}})
	if err != nil || len(found) == 0 {
		return backing.Record{Key: key}, err
	}
	return found[0], nil
}

func (s *Service) count(name string, err error) {
	s.config.Vars.Add(name, 1)
	if err != nil && !errors.Is(err, backing.ErrConflict) {
		s.config.Vars.Add(name+failedSuffix, 1)
	}
}

// pause waits before a failed adoption is answered.
func pause(ctx context.Context) {
	timer := time.NewTimer(adoptRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
