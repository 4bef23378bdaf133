package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/finding"
)

// fakeService records its starts and stops in log, and fails to start with
// startErr if it is set.
type fakeService struct {
	name     string
	requires []string
	log      *[]string
	startErr error
}

func (s *fakeService) Name() string       { return s.name }
func (s *fakeService) Requires() []string { return s.requires }
func (s *fakeService) Start(context.Context, *Kernel) error {
	*s.log = append(*s.log, "start "+s.name)
	return s.startErr
}
func (s *fakeService) Stop(context.Context) error {
	*s.log = append(*s.log, "stop "+s.name)
	return nil
}

// Guards against a service that starts before the services it requires, or
// stops after them.
func TestServicesStartInDependencyOrderAndStopInReverse(t *testing.T) {
	is := is.New(t)
	k, err := New()
	is.NoErr(err)
	var log []string
	k.Register(&fakeService{name: "a", requires: []string{"b"}, log: &log})
	k.Register(&fakeService{name: "b", requires: []string{"c"}, log: &log})
	k.Register(&fakeService{name: "c", log: &log})
	is.NoErr(k.Start(t.Context()))
	is.NoErr(k.Stop(t.Context()))
	is.Equal(log, []string{"start c", "start b", "start a", "stop a", "stop b", "stop c"})
}

// Guards against Start reporting only the first of several invalid
// registrations.
func TestStartReportsAllBadRegistrationsTogether(t *testing.T) {
	is := is.New(t)
	k, err := New()
	is.NoErr(err)
	var log []string
	k.Register(&fakeService{name: "a", requires: []string{"b", "missing"}, log: &log})
	k.Register(&fakeService{name: "b", requires: []string{"a"}, log: &log})
	k.Register(&fakeService{name: "b", log: &log})
	err = k.Start(t.Context())
	is.Equal(len(finding.FromError(err)), 3) // duplicate name, cycle, missing service
	is.Equal(len(log), 0)
	is.NoErr(k.Stop(t.Context()))
}

// Guards against services that keep running after a later one failed to start.
func TestFailedStartStopsStartedServices(t *testing.T) {
	is := is.New(t)
	k, err := New()
	is.NoErr(err)
	var log []string
	failure := errors.New("address in use")
	k.Register(&fakeService{name: "a", log: &log})
	k.Register(&fakeService{name: "b", requires: []string{"a"}, log: &log, startErr: failure})
	is.True(errors.Is(k.Start(t.Context()), failure))
	is.Equal(log, []string{"start a", "start b", "stop a"})
}

// Guards against a lookup that succeeds for an unknown name or a wrong type.
func TestLookupChecksNameAndType(t *testing.T) {
	is := is.New(t)
	k, err := New()
	is.NoErr(err)
	var log []string
	k.Register(&fakeService{name: "a", log: &log})
	_, err = Lookup[*fakeService](k, "a")
	is.NoErr(err)
	_, err = Lookup[error](k, "a")
	is.True(err != nil)
	_, err = Lookup[Service](k, "b")
	is.True(err != nil)
}

type ping struct{ n int }
type pong struct{}

// Guards against events that reach subscribers of another type, or only one of
// several subscribers of their type.
func TestBusDeliversToEverySubscriberOfTheType(t *testing.T) {
	is := is.New(t)
	k, err := New()
	is.NoErr(err)
	is.NoErr(k.Start(t.Context()))
	got := make(chan int, 3)
	is.NoErr(Subscribe(k.Bus(), "first", func(_ context.Context, p ping) { got <- p.n }))
	is.NoErr(Subscribe(k.Bus(), "second", func(_ context.Context, p ping) { got <- p.n }))
	is.NoErr(Subscribe(k.Bus(), "other", func(_ context.Context, _ pong) { got <- -1 }))
	is.NoErr(Publish(k.Bus(), ping{7}))
	is.Equal(<-got, 7)
	is.Equal(<-got, 7)
	is.NoErr(PublishAny(k.Bus(), ping{8}))
	is.Equal(<-got, 8)
	is.Equal(<-got, 8)
	is.NoErr(k.Stop(t.Context()))
	is.Equal(len(got), 0)
}
