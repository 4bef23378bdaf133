package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
)

func customers(perSecond float64, countsTokens bool) []*catalog.Customer {
	return []*catalog.Customer{{Name: "a", Quota: catalog.Quota{PerSecond: perSecond, Burst: perSecond, CountsTokens: countsTokens}}}
}

// newPair returns an owner whose bucket is full and a client that has its first answer.
func newPair(is *is.I, perSecond float64) (*Owner, *Client, time.Time) {
	o, c := NewOwner(epoch, "z", testBounds), NewClient("i", 1, testBounds, 1)
	o.SetCustomers(epoch, customers(perSecond, true))
	c.SetCustomers(epoch, customers(perSecond, true))
	now := epoch.Add(10 * time.Second)
	is.True(c.exchange(is, now, o))
	return o, c, now.Add(contactInterval)
}

// exchange sends the client's request and adopts the answer.
func (c *Client) exchange(is *is.I, now time.Time, o *Owner) bool {
	r, due := c.Due(now)
	is.True(due)
	answer, ok := o.Handle(now, r)
	is.True(ok)
	return c.Adopt(now, answer)
}

// Guards against tokens that are used more than GrantLifetime after they were taken out of
// the bucket: by a grant that is in transit for that long, or by one that waits at the
// instance; and against requests that are handled twice or in another order.
func TestLateGrantsAreNotUsed(t *testing.T) {
	is := is.New(t)
	o, c, now := newPair(is, 10_000)
	verdict, _ := c.Take(now, "a", 2000)
	is.Equal(verdict, Wait)
	r, _ := c.Due(now)
	answer, _ := o.Handle(now, r)
	is.Equal(answer.Items[0].Granted, 2000.0)
	_, ok := o.Handle(now, r)
	is.True(!ok)
	later := now.Add(GrantLifetime)
	is.Equal(c.Overdue(later), r.Sequence)
	is.True(!c.Adopt(later, answer))
	is.True(c.Fail(r.Sequence))
	is.True(!c.Adopt(later, answer))

	is.True(c.exchange(is, later, o))
	verdict, _ = c.Take(later, "a", 2000)
	is.Equal(verdict, Wait)
	is.True(c.exchange(is, later, o)) // the caller leaves meanwhile
	verdict, _ = c.Take(later.Add(GrantLifetime-1), "a", 500)
	is.Equal(verdict, Admit)
	verdict, _ = c.Take(later.Add(GrantLifetime), "a", 500)
	is.Equal(verdict, Wait)
}

// Guards against tokens that are used under a limit in another unit, and a bucket that
// keeps more than a lowered limit allows.
func TestChangedLimitDropsTokens(t *testing.T) {
	is := is.New(t)
	o, c, now := newPair(is, 10_000)
	_, _ = c.Take(now, "a", 2000)
	is.True(c.exchange(is, now, o))
	o.SetCustomers(now, customers(1, false))
	verdict, _ := c.Settle(now, "a", 100) // this instance has the earlier config
	is.Equal(verdict, Admit)
	_, _ = c.Take(now, "a", 2000)
	is.True(c.exchange(is, now, o))
	verdict, _ = c.Settle(now, "a", 2000)
	is.Equal(verdict, Refuse) // granted requests are no tokens
	c.SetCustomers(now, customers(1, false))
	verdict, _ = c.Take(now, "a", 1)
	is.Equal(verdict, Wait)
	is.True(c.exchange(is, now, o))
	verdict, retryAfter := c.Settle(now, "a", 1)
	is.Equal(verdict, Refuse) // the bucket begins empty in the other unit
	is.True(retryAfter > 500*time.Millisecond && retryAfter <= maxRetryAfter)
	verdict, _ = c.Take(now.Add(500*time.Millisecond), "a", 1)
	is.Equal(verdict, Refuse) // without asking the owner
}

// Guards against callers that return together, and against returning tokens to an owner
// that did not grant them.
func TestRefusedCallersReturnApart(t *testing.T) {
	is := is.New(t)
	o, c, now := newPair(is, 4000)
	_, _ = c.Take(now, "a", 4000)
	is.True(c.exchange(is, now, o))
	_, _ = c.Settle(now, "a", 4000)
	seen := make(map[time.Duration]bool)
	for range 20 {
		_, _ = c.Take(now, "a", 3000)
	}
	is.True(c.exchange(is, now, o))
	for range 20 {
		verdict, retryAfter := c.Settle(now, "a", 3000)
		if verdict == Refuse {
			seen[retryAfter.Round(10*time.Millisecond)] = true
			is.True(retryAfter <= maxRetryAfter)
		}
	}
	is.True(len(seen) > 10)

	next := NewOwner(now, "z", testBounds)
	next.SetCustomers(now, customers(4000, true))
	_, _ = next.Handle(now, Request{Instance: "i", Start: 1, Sequence: 1, Owner: o.id, Items: []RequestItem{{Customer: "a", CountsTokens: true, Returned: 4000}}})
	is.Equal(next.buckets["a"].level, 0.0)
}

// Guards against an owner that grants the shares that instances use which it does not hear:
// silent ones, ones that are still heard by a deputy, and, after a change of the owner, ones
// that it has never heard; and against a deputy that grants more than the shares of the
// instances that ask it.
func TestSharesOfUnheardInstancesAreReserved(t *testing.T) {
	is := is.New(t)
	ask := func(o *Owner, now time.Time, instance string, sequence uint64, share, assigned float64) AnswerItem {
		answer, ok := o.Handle(now, Request{Instance: instance, Start: 1, Sequence: sequence, Owner: 1, Pooled: o.exclusive, Items: []RequestItem{
			{Customer: "a", CountsTokens: true, Demand: 1000, Share: share, Assigned: assigned},
		}})
		is.True(ok)
		return answer.Items[0]
	}
	part := func(o *Owner, now time.Time) float64 {
		o.Tick(now)
		return math.Round(100 * o.grantedPart(now, o.buckets["a"]))
	}
	owner, deputy := NewOwner(epoch, "z", Bounds{}), NewDeputy(epoch, Bounds{})
	owner.SetCustomers(epoch, customers(10_000, true))
	deputy.SetCustomers(epoch, customers(10_000, true))
	is.True(ask(owner, epoch, "i", 1, 0.3, 0.9).Share <= 0.4) // 0.6 can be in use elsewhere
	is.Equal(part(owner, epoch), 0.0)                         // and the rest at a deputy
	now := epoch.Add(poolTime)
	ask(owner, epoch.Add(silenceTime), "i", 2, 0.4, 0.9)
	ask(owner, now, "i", 3, 0.4, 0.9)
	is.Equal(part(owner, now), 40.0)
	ask(deputy, now, "i", 1, 0.3, 0)
	ask(deputy, now, "j", 1, 0.2, 0)
	is.Equal(part(deputy, now), 50.0)
	now = now.Add(silenceTime + 1)
	is.Equal(part(owner, now), 0.0)
	is.Equal(part(deputy, now), 0.0)
	is.True(deputy.Idle())
	now = now.Add(reservationTime + fallbackDelay)
	is.Equal(part(owner, now), 100.0)
}

// Guards against a deputy that is lost with the data centre of the owner, and against one
// that changes although it can be reached.
func TestDeputyIsInOtherDataCentre(t *testing.T) {
	is := is.New(t)
	o := NewOwner(epoch, "z1", testBounds)
	for i, r := range []struct{ address, dataCentre, deputy string }{
		{"", "z2", ""}, {"b:1", "z1", "b:1"}, {"a:1", "z1", "b:1"}, {"d:1", "z2", "d:1"}, {"c:1", "z2", "d:1"},
	} {
		_, ok := o.Handle(epoch, Request{Instance: r.address, Start: 1, Sequence: uint64(i + 1), Address: r.address, DataCentre: r.dataCentre})
		is.True(ok)
		o.Tick(epoch)
		is.Equal(o.deputy, r.deputy)
	}
	o.Tick(epoch.Add(silenceTime + 1))
	is.Equal(o.deputy, "")
}

// The time of a decision on the request path must stay under 500 ns, without allocation.
func BenchmarkTake(b *testing.B) {
	c := NewClient("i", 1, testBounds, 1)
	c.SetCustomers(epoch, customers(1e12, true))
	a := c.accounts["a"]
	c.lost = false
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if a.grants.count == 0 || a.grants.list[0].amount < 3000 {
			a.grants.add(now, grant{amount: 1e9, expires: now.Add(GrantLifetime)})
		}
		c.Take(now, "a", 2000)
	}
}

// The time in which the owner handles one request of an instance.
func BenchmarkHandle(b *testing.B) {
	o := NewOwner(epoch, "z", testBounds)
	o.SetCustomers(epoch, customers(1e9, true))
	r := Request{Instance: "i", Start: 1, Items: []RequestItem{{Customer: "a", CountsTokens: true, Needed: 2000, Largest: 2000, Demand: 2000}}}
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		r.Sequence++
		o.Handle(now, r)
	}
}
