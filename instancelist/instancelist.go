// Package instancelist polls the platform's list of instances and endpoints and
// posts it to the control goroutine. Packages tablesync and controlrecords read
// the table service instead, for the operators' table and for the records of the
// control goroutine. Package watch is the counterpart for edge instances.
package instancelist

import (
	"context"
	"expvar"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/worker"
)

// ServiceName is the name of the service on the kernel.
const ServiceName = "listing"

// Poster accepts events for the control goroutine. The service "control"
// implements it.
type Poster interface{ Post(control.Event) }

// Service polls the instance list. It implements kernel.Service.
type Service struct {
	list     backing.InstanceList
	interval time.Duration
	timeout  time.Duration
	vars     *expvar.Map
	control  Poster
	group    *worker.Group
}

// New returns a service that reads list at its start and then interval after the
// end of each read. Each read is limited by timeout. The counters of reads and
// failures are kept in vars.
func New(list backing.InstanceList, interval, timeout time.Duration, vars *expvar.Map) *Service {
	vars.Add("reads", 0) // exports the counters before the first read
	vars.Add("failures", 0)
	return &Service{list: list, interval: interval, timeout: timeout, vars: vars, group: worker.NewGroup()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Service) Requires() []string { return []string{control.ServiceName} }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.control, err = kernel.Lookup[Poster](k, control.ServiceName); err != nil {
		return err
	}
	s.group.Every(s.interval, nil, s.readList)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

// readList reads the list once and posts it. A failed read is not repeated before
// the next interval.
func (s *Service) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	l, err := s.list.List(ctx)
	s.vars.Add("reads", 1)
	if err != nil {
		s.vars.Add("failures", 1)
		return
	}
	s.control.Post(control.ListingRead{Listing: l})
}
