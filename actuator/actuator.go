// Package actuator performs the I/O that the control plane requests for orders: it
// sends orders to replicas, fetches their reports, and reads and writes the order
// lease. It posts each result to the control plane, which owns all state and
// decides on retries; the actuator makes each call once.
package actuator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/residency"
	"github.com/hyssophaven/hyssophaven/rowstore"
	"github.com/hyssophaven/hyssophaven/upstream"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "actuator"

const (
	// answerTimeout limits the wait for the answer to an order or a report request,
	// which takes one round trip. The outcome of an order without an answer within
	// this time is unknown.
	answerTimeout = 300 * time.Millisecond
	// maxAnswerBytes limits the body of an answer. Reports have a few KB.
	maxAnswerBytes = 1 << 20
)

var errLeaseExpired = errors.New("order lease expired")

// Codec encodes orders and decodes outcomes and reports.
type Codec interface {
	// Order returns the call that sends an order to a replica.
	Order(o *residency.Order, holder string, epoch uint64) (*upstream.Call, error)
	// Outcome returns the outcome of an order for the HTTP status of its answer.
	Outcome(status int) residency.Outcome
	// Notice returns what a replica asks for in the head of an answer. If a header is
	// malformed, it returns the others and an error.
	Notice(status int, h http.Header) (dispatch.Notice, error)
	// Report returns the call that requests the report of a replica.
	Report(replica string) *upstream.Call
	// DecodeReport decodes the body of a report.
	DecodeReport(body []byte) (*residency.Report, error)
}

// Service makes the calls to replicas and to the store. It implements
// kernel.Service.
type Service struct {
	store   rowstore.Store
	calls   *upstream.Dedicated
	codec   Codec
	log     *log.Logger
	control *controlplane.Service
	group   *worker.Group
}

// New returns a service that is not started yet. Replicas don't echo an ID in the answers
// to orders and report requests, so these are made with calls.
func New(store rowstore.Store, calls *upstream.Dedicated, codec Codec, logger *log.Logger) *Service {
	return &Service{store: store, calls: calls, codec: codec, log: logger, group: worker.NewGroup()}
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
	s.group.Go(s.restoreBlocks)
	return errors.Join(
		worker.Subscribe(s.group, k.Bus(), "actuator.order", s.sendOrder),
		worker.Subscribe(s.group, k.Bus(), "actuator.report", s.requestReport),
		worker.Subscribe(s.group, k.Bus(), "actuator.lease", s.accessLease),
		worker.Subscribe(s.group, k.Bus(), "actuator.blocks", s.saveBlocks),
	)
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

func (s *Service) sendOrder(ctx context.Context, e controlplane.SendOrder) {
	started := time.Now()
	outcome, err := s.deliverOrder(ctx, e)
	s.control.Post(controlplane.OrderAnswered{Order: e.Order, Outcome: outcome, Elapsed: time.Since(started), Err: err})
}

func (s *Service) deliverOrder(ctx context.Context, e controlplane.SendOrder) (residency.Outcome, error) {
	call, err := s.codec.Order(e.Order, e.Holder, e.Epoch)
	if err != nil {
		return residency.Unsent, err
	}
	call.Host = e.Order.Address
	// Check the lease again right before the write, because the machine can have
	// been suspended since the control plane sent the order.
	call.BeforeWrite = func() error {
		if bootclock.Now() >= e.Until {
			return errLeaseExpired
		}
		return nil
	}
	answer, err := s.calls.Do(ctx, e.Order.Address, call, answerTimeout)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return residency.Unsent, err
	case err != nil:
		return residency.Unknown, err
	}
	s.postNotice(e.Order.Replica, e.Order.Address, answer)
	if _, err := readBody(answer); err != nil {
		return residency.Unknown, err
	}
	return s.codec.Outcome(answer.Status), nil
}

// readBody reads the body of an answer and closes the answer.
func readBody(a *upstream.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = a.LimitExceeded("body", maxAnswerBytes)
	}
	a.Close(err == nil)
	return body, err
}

func (s *Service) requestReport(ctx context.Context, e controlplane.ReadReplicaReport) {
	select {
	case <-time.After(e.Delay):
	case <-ctx.Done():
		return
	}
	report, err := s.fetchReport(ctx, e)
	s.control.Post(controlplane.ReplicaReported{Replica: e.Replica, Report: report, Err: err})
}

func (s *Service) fetchReport(ctx context.Context, e controlplane.ReadReplicaReport) (*residency.Report, error) {
	call := s.codec.Report(e.Replica)
	call.Host = e.Address
	answer, err := s.calls.Do(ctx, e.Address, call, answerTimeout)
	if err != nil {
		return nil, err
	}
	s.postNotice(e.Replica, e.Address, answer)
	body, err := readBody(answer)
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, fmt.Errorf("report of replica %s: unexpected status %d", e.Replica, answer.Status)
	}
	return s.codec.DecodeReport(body)
}

// postNotice posts what a replica asks for in the head of its answer.
func (s *Service) postNotice(replica, address string, answer *upstream.Answer) {
	notice, err := s.codec.Notice(answer.Status, answer.Header)
	s.control.PostNotice(&catalog.Replica{ID: replica, Address: address}, notice, err)
}
