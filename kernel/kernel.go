// Package kernel is the micro-kernel of a process. It registers services by
// name, starts them in dependency order, stops them in reverse order, lets them
// look each other up by name, and delivers typed events between them. Everything
// about models and requests is left to the services.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/hyssophaven/hyssophaven/finding"
)

// Service is a part of a process that the kernel starts and stops.
type Service interface {
	// Name is the unique name under which other services find this one.
	Name() string
	// Requires names the services that must be started before this one.
	Requires() []string
	// Start looks up the services that this one uses and begins its work. It
	// returns when the service is usable. The context bounds only the start.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the service's work. It returns when all its goroutines have
	// ended, or with an error if ctx ends first.
	Stop(ctx context.Context) error
}

// Kernel holds the services of a process and their event bus. All services must
// be registered before Start. Register, Start and Stop must be called from one
// goroutine; Lookup can be called from any goroutine once all services are
// registered.
type Kernel struct {
	services   map[string]Service
	duplicates []string  // names registered more than once
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

// Bus returns the event bus. It runs from the beginning of Start to the end of
// Stop.
func (k *Kernel) Bus() *Bus { return k.bus }

// Register adds a service. Start reports names that are registered twice.
func (k *Kernel) Register(s Service) {
	if _, ok := k.services[s.Name()]; ok {
		k.duplicates = append(k.duplicates, s.Name())
		return
	}
	k.services[s.Name()] = s
}

// Lookup returns the service with the given name as a T. It fails if no such
// service is registered or if the service does not have type T.
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
// It reports all registration problems together. If a service fails to start,
// Start stops the services that it has already started.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.startOrder()
	if err != nil {
		return err
	}
	k.bus.start()
	for _, s := range order {
		if err := s.Start(ctx, k); err != nil {
			err = fmt.Errorf("start service %q: %w", s.Name(), err)
			return errors.Join(err, k.Stop(context.WithoutCancel(ctx)))
		}
		k.started = append(k.started, s)
	}
	return nil
}

// Stop stops all started services in reverse order and then the bus. It
// continues after an error and returns all errors joined.
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

// startOrder returns the services sorted so that each one follows the services
// it requires, and otherwise by name.
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
	v := dependencyWalk{kernel: k, problems: &problems, state: make(map[string]walkState)}
	for _, name := range names {
		v.visit(name, nil)
	}
	return v.order, problems.Err()
}

// walkState records how far a dependencyWalk has processed a service.
type walkState uint8

const (
	unvisited walkState = iota
	inProgress
	visited
)

// dependencyWalk visits services depth first along their dependencies. It
// collects the start order and reports cycles and missing services.
type dependencyWalk struct {
	kernel   *Kernel
	problems *finding.List
	state    map[string]walkState
	order    []Service
}

// visit appends the named service to the order after the services it requires.
// The path lists the services through which the walk reached this one, so that a
// cycle can be reported.
func (v *dependencyWalk) visit(name string, path []string) {
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
		v.visit(required, append(path, name))
	}
	v.state[name] = visited
	v.order = append(v.order, s)
}
