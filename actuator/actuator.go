// Package actuator carries out what the control goroutine decides about orders:
// it sends them to replicas, asks replicas for reports, and reads and writes
// the order lease. It decides nothing and never repeats a call.
package actuator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/rowstore"
	"github.com/hyssophaven/hyssophaven/upstream"
	"github.com/hyssophaven/hyssophaven/worker"
)

// Name is the service's name in the kernel.
const Name = "actuator"

const (
	// leaseTable and leaseKey name the row of the order lease.
	leaseTable = "hyssophaven-lease"
	leaseKey   = "orders"
	// orderSilence bounds the wait for the answer to an order, which takes a
	// round trip. A late one is of unknown outcome.
	orderSilence = 300 * time.Millisecond
	// maxReportBytes bounds a replica's report.
	maxReportBytes = 1 << 20
)

var errLeaseEnded = errors.New("the order lease has ended")

// Codec translates orders and reports.
type Codec interface {
	// Order returns the call that gives an order.
	Order(o *residency.Order, holder string, epoch uint64) (*upstream.Call, error)
	// Outcome translates the status of the answer to an order.
	Outcome(status int) residency.Outcome
	// Report returns the call that asks a replica for its report.
	Report(replica string) *upstream.Call
	// DecodeReport reads a report.
	DecodeReport(body []byte) (*residency.Report, error)
}

// Service sends orders. It implements kernel.Service.
type Service struct {
	store   rowstore.Store
	pool    *upstream.Pool
	codec   Codec
	log     *log.Logger
	control *controlplane.Service
	group   *worker.Group
}

// New returns a service that has not been started.
func New(store rowstore.Store, pool *upstream.Pool, codec Codec, logger *log.Logger) *Service {
	return &Service{store: store, pool: pool, codec: codec, log: logger, group: worker.NewGroup()}
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
	return errors.Join(
		worker.Subscribe(s.group, k.Bus(), "actuator.order", s.sendOrder),
		worker.Subscribe(s.group, k.Bus(), "actuator.report", s.askReplica),
		worker.Subscribe(s.group, k.Bus(), "actuator.lease", s.useLease),
	)
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

func (s *Service) sendOrder(ctx context.Context, e controlplane.SendOrder) {
	started := time.Now()
	outcome, err := s.exchangeOrder(ctx, e)
	s.control.Post(controlplane.OrderAnswered{Order: e.Order, Outcome: outcome, Took: time.Since(started), Err: err})
}

func (s *Service) exchangeOrder(ctx context.Context, e controlplane.SendOrder) (residency.Outcome, error) {
	call, err := s.codec.Order(e.Order, e.Holder, e.Epoch)
	if err != nil {
		return residency.Unsent, err
	}
	call.Host = e.Order.Address
	// The clock is read again right before the write: the machine may have been
	// suspended since the decision.
	call.BeforeWrite = func() error {
		if bootclock.Now() >= e.Until {
			return errLeaseEnded
		}
		return nil
	}
	answer, err := s.pool.Do(ctx, e.Order.Address, call, orderSilence)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return residency.Unsent, err
	case err != nil:
		return residency.Unknown, err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(answer, maxReportBytes))
	answer.Close(err == nil)
	return s.codec.Outcome(answer.Status), nil
}

func (s *Service) askReplica(ctx context.Context, e controlplane.AskReplica) {
	select {
	case <-time.After(e.Delay):
	case <-ctx.Done():
		return
	}
	report, err := s.exchangeReport(ctx, e)
	s.control.Post(controlplane.ReplicaReported{Replica: e.Replica, Report: report, Err: err})
}

func (s *Service) exchangeReport(ctx context.Context, e controlplane.AskReplica) (*residency.Report, error) {
	call := s.codec.Report(e.Replica)
	call.Host = e.Address
	answer, err := s.pool.Do(ctx, e.Address, call, orderSilence)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxReportBytes))
	answer.Close(err == nil)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, fmt.Errorf("report of replica %s: status %d", e.Replica, answer.Status)
	}
	return s.codec.DecodeReport(body)
}

func (s *Service) useLease(ctx context.Context, e controlplane.UseLease) {
	if e.Action == leader.ReadLease {
		s.readLease(ctx)
		return
	}
	value, err := json.Marshal(e.Write.Lease)
	if err != nil {
		s.control.Post(controlplane.LeaseFailed{Err: err})
		return
	}
	conditions := []rowstore.Condition{{Table: leaseTable, Key: leaseKey, Version: e.Write.Version}}
	version, err := s.store.Write(ctx, conditions, []rowstore.Row{{Table: leaseTable, Key: leaseKey, Value: value}})
	if err != nil {
		s.control.Post(controlplane.LeaseFailed{Conflict: errors.Is(err, rowstore.ErrConflict), Err: err})
		return
	}
	s.control.Post(controlplane.LeaseWritten{Version: version})
}

func (s *Service) readLease(ctx context.Context) {
	page, err := s.store.Read(ctx, leaseTable)
	if err != nil {
		s.control.Post(controlplane.LeaseFailed{Err: err})
		return
	}
	var row leader.Row
	for _, r := range page.Rows {
		if r.Key != leaseKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &row.Lease); err != nil {
			s.log.Error("order lease can't be read", "version", r.Version, "error", err)
		}
		row.Version = r.Version
	}
	s.control.Post(controlplane.LeaseSeen{Row: row})
}
