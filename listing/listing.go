// Package listing is the service that reads the platform's list of instances
// and endpoints and passes it to the control goroutine.
package listing

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

// Poster takes events for the control goroutine; the service "control" is one.
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

// New returns a service that reads list after each interval, with a bound of
// timeout on each read. Counters go to vars.
func New(list backing.InstanceList, interval, timeout time.Duration, vars *expvar.Map) *Service {
	vars.Add("reads", 0) // exported from the start
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
	s.group.Every(s.interval, nil, s.read)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

func (s *Service) read(ctx context.Context) {
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
