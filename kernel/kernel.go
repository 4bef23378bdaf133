// Package kernel is the micro-kernel of a process: it knows the names of
// services, starts them in dependency order, stops them in reverse, lets them
// find each other by name, and carries typed events between them. It knows
// nothing of models or requests.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/hyssophaven/hyssophaven/finding"
)

// Service is one capability of a process.
type Service interface {
	// Name is the unique name under which other services find this one.
	Name() string
	// Requires names the services that must be started before this one.
	Requires() []string
	// Start looks up what the service needs and begins its work. It returns
	// when the service is usable. The context bounds the start only.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the work and returns when all goroutines of the service have
	// ended, or with an error when ctx ends first.
	Stop(ctx context.Context) error
}

// Kernel is a set of services. Register all services, then call Start.
// Register, Start and Stop must be called from one goroutine; Lookup may be
// called from any goroutine after registration is complete.
type Kernel struct {
	services map[string]Service
	// duplicates are names that were registered more than once.
	duplicates []string
	started    []Service // in start order
	bus        *Bus
}

// New returns a kernel without services.
func New() (*Kernel, error) {
	bus, err := newBus()
	if err != nil {
		return nil, fmt.Errorf("create event bus: %w", err)
	}
	return &Kernel{services: make(map[string]Service), bus: bus}, nil
}

// Bus returns the event bus, which runs from the beginning of Start to the end of Stop.
func (k *Kernel) Bus() *Bus { return k.bus }

// Register adds a service. A duplicate name is reported by Start.
func (k *Kernel) Register(s Service) {
	if _, ok := k.services[s.Name()]; ok {
		k.duplicates = append(k.duplicates, s.Name())
		return
	}
	k.services[s.Name()] = s
}

// Lookup returns the service with the given name as a T. It fails if there is
// no such service or if it is not a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, fmt.Errorf("no service is registered as %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("service %q is a %T and does not implement %T", name, s, &zero)
	}
	return t, nil
}

// Start checks the registrations and starts all services in dependency order.
// All problems of the registrations are reported together. If a service fails
// to start, those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.startOrder()
	if err != nil {
		return err
	}
	k.bus.run()
	for _, s := range order {
		if err := s.Start(ctx, k); err != nil {
			err = fmt.Errorf("start service %q: %w", s.Name(), err)
			return errors.Join(err, k.Stop(context.WithoutCancel(ctx)))
		}
		k.started = append(k.started, s)
	}
	return nil
}

// Stop stops all started services in reverse order and then the bus. Errors
// are collected; every service is stopped.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for _, s := range slices.Backward(k.started) {
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop service %q: %w", s.Name(), err))
		}
	}
	k.started = nil
	errs = append(errs, k.bus.close())
	return errors.Join(errs...)
}

// startOrder returns the services with every service after those it requires.
// Services that do not depend on each other are ordered by name.
func (k *Kernel) startOrder() ([]Service, error) {
	var problems finding.List
	for _, name := range k.duplicates {
		problems.Addf(name, "service name is registered more than once")
	}
	names := make([]string, 0, len(k.services))
	for name := range k.services {
		names = append(names, name)
	}
	slices.Sort(names)
	v := visit{kernel: k, problems: &problems, state: make(map[string]visitState)}
	for _, name := range names {
		v.service(name, nil)
	}
	return v.order, problems.Err()
}

type visitState uint8

const (
	unvisited visitState = iota
	inProgress
	visited
)

// visit is a depth-first walk over service dependencies.
type visit struct {
	kernel   *Kernel
	problems *finding.List
	state    map[string]visitState
	order    []Service
}

func (v *visit) service(name string, path []string) {
	switch v.state[name] {
	case visited:
		return
	case inProgress:
		v.problems.Addf(name, "dependency cycle: %s", strings.Join(append(path, name), " -> "))
		return
	}
	v.state[name] = inProgress
	s := v.kernel.services[name]
	for _, required := range s.Requires() {
		if _, ok := v.kernel.services[required]; !ok {
			v.problems.Addf(name, "requires service %q, which is not registered", required)
			continue
		}
		v.service(required, append(path, name))
	}
	v.state[name] = visited
	v.order = append(v.order, s)
}
