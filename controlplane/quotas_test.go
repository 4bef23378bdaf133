package controlplane

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/leader"
	"github.com/hyssophaven/hyssophaven/ratelimit"
)

// quotaCore is a core whose requests for tokens are answered by the test.
type quotaCore struct {
	*core
	is       *is.I
	requests chan RequestQuota
	customer *catalog.Customer
}

func newQuotaCore(t *testing.T, perSecond float64) *quotaCore {
	c := &quotaCore{core: newTestCore(t), is: is.New(t), requests: make(chan RequestQuota, 10)}
	k, err := kernel.New()
	c.is.NoErr(err)
	c.is.NoErr(k.Start(context.Background()))
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	c.bus = k.Bus()
	c.is.NoErr(kernel.Subscribe(c.bus, "test", func(_ context.Context, e RequestQuota) { c.requests <- e }))
	LeaseRead{Row: leader.Row{Lease: leader.Lease{Holder: "other", Address: "holder:1", Epoch: 1}, Version: 1}}.apply(c.core, epoch)
	c.customer = &catalog.Customer{Name: "a", Quota: catalog.Quota{PerSecond: perSecond, Burst: perSecond}}
	config := catalog.NewConfig(1, catalog.Limits{}, nil, nil)
	config.SetCustomers([]*catalog.Customer{c.customer})
	c.adoptConfig(epoch, config, nil)
	r := &catalog.Replica{ID: "r", Service: "s", Address: "a:1", StartMillis: 1}
	ReplicasRead{Table: "replicas", Entries: []catalog.Entry{{ID: "r", Version: 1, Replica: r}}, Version: 1}.apply(c.core, epoch)
	return c
}

// next returns the next request for tokens.
func (c *quotaCore) next() RequestQuota {
	select {
	case r := <-c.requests:
		return r
	case <-time.After(5 * time.Second):
		c.is.Fail() // no request for tokens
		return RequestQuota{}
	}
}

// admit begins the admission of a request to a service.
func (c *quotaCore) admit(now time.Time, service string) <-chan Admission {
	answer := make(chan Admission, 1)
	req := &dispatch.Request{ID: "q", Route: &catalog.Route{MaxAttempts: 2}, Service: service, Customer: c.customer, Arrived: now, Deadline: now.Add(time.Second)}
	(&admit{ctx: context.Background(), request: AdmissionRequest{Request: req}, answer: answer}).apply(c.core, now)
	return answer
}

// Guards against requests that are refused because the owner of the limits is lost although
// its deputy can be asked, against a deputy that is asked for ever, and against tokens that
// are kept for requests that are refused without having run.
func TestDeputyIsAskedWithoutOwner(t *testing.T) {
	c := newQuotaCore(t, 10)
	now := epoch.Add(10 * time.Second)
	customers := []*catalog.Customer{c.customer}
	owner, deputy := ratelimit.NewOwner(epoch, "z", ratelimit.Bounds{}), ratelimit.NewDeputy(epoch, ratelimit.Bounds{})
	owner.SetCustomers(epoch, customers)
	deputy.SetCustomers(epoch, customers)
	serve := func(o *ratelimit.Owner, r RequestQuota) {
		answer, ok := o.Handle(now, r.Request)
		c.is.True(ok)
		QuotaAnswered{Sequence: r.Request.Sequence, Answer: answer}.apply(c.core, now)
	}
	_, _ = owner.Handle(now, ratelimit.Request{Instance: "peer", Address: "peer:1", Start: 1, Sequence: 1})
	owner.Tick(now)
	_, _ = deputy.Handle(now.Add(-5*time.Second), ratelimit.Request{Instance: "peer", Start: 1, Sequence: 1, Items: []ratelimit.RequestItem{{Customer: "a", Share: 1}}})
	c.tick(now, bootclock.Now())
	serve(owner, c.next())

	now = now.Add(10 * time.Millisecond)
	answer := c.admit(now, "no-such-service")
	request := c.next()
	c.is.Equal(request.Deputy, "")
	c.is.Equal(request.Request.Items[0].Needed, 1.0)
	serve(owner, request)
	c.is.Equal((<-answer).Decision.Cause, dispatch.CauseNoReplica)
	answer = c.admit(now, "s")
	c.is.True((<-answer).Flight != nil) // with the token of the request before

	answer = c.admit(now, "s")
	request = c.next()
	QuotaAnswered{Sequence: request.Request.Sequence, Err: errors.New("broken")}.apply(c.core, now)
	request = c.next()
	c.is.Equal(request.Deputy, "peer:1")
	c.is.Equal(request.Request.Items[0].Needed, 1.0)
	serve(deputy, request)
	c.is.True((<-answer).Flight != nil)

	now = now.Add(time.Second)
	FleetSeen{State: FleetState{Holder: "other"}, SentAt: now}.apply(c.core, now)
	c.tick(now, bootclock.Now())
	c.is.Equal(c.next().Deputy, "")
}

// Guards against messages and metrics in deployments whose customers have no limits.
func TestNothingIsAskedWithoutLimits(t *testing.T) {
	c := newQuotaCore(t, 0)
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		c.tick(now, bootclock.Now())
		c.is.True((<-c.admit(now, "s")).Flight != nil)
	}
	c.is.Equal(len(c.requests), 0)
	for _, line := range c.metrics.Lines() {
		c.is.True(len(line) < 6 || line[:6] != "quota_")
	}
}
