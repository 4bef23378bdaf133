package ratelimit

import (
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// limitedTime is the time after the last refusal after which a customer no longer
	// counts as limited.
	limitedTime = 2 * time.Second
	// fullness is the part of the burst that the bucket must keep if tokens are granted
	// in advance. Below it, tokens that are not used where they are would be missed.
	fullness = 0.5
	// keptRequests is how often the bucket must have room for the same amount besides: a
	// burst of a few requests is left for where they arrive.
	keptRequests = 4
	// demandTime is the time constant of the moving average of demand.
	demandTime = 3 * time.Second
)

// Owner has the token buckets of all customers. A new owner starts with empty buckets,
// because the grants of the one before can still be in use.
type Owner struct {
	id        int64
	bounds    Bounds
	startedAt time.Time
	// exclusive is set while no other instance can be the owner. Otherwise the owner
	// grants only the shares of the instances that are in contact with it.
	exclusive bool
	// delegated is set for a deputy. It changes no shares.
	delegated bool
	deputy    string // address of the deputy
	// dataCentre is that of the owner. A deputy in another one can be reached if the data
	// centre of the owner can't.
	dataCentre string
	members    map[string]*member
	reachable  int // members in contact
	buckets    map[string]*bucket
	grants     int64
}

// member is an instance as the owner knows it.
type member struct {
	start     int64
	sequence  uint64
	heardAt   time.Time
	address   string
	elsewhere bool // in another data centre than the owner
	// presentAt is when the shares of an instance that has come back are no longer pooled at
	// a deputy.
	presentAt time.Time
}

// silent reports whether the shares of the instance have to be reserved.
func (m *member) silent(now time.Time) bool {
	return now.Sub(m.heardAt) > silenceTime || now.Before(m.presentAt)
}

// bucket is the state of one customer.
type bucket struct {
	quota    catalog.Quota
	size     float64 // largest level
	level    float64
	filledAt time.Time
	shares   shares
	// returnAt is the time at which there is room for all requests that were refused and
	// told to return.
	returnAt time.Time
	// refusedAt is the time of the last refusal, and limited is set while the customer
	// counts as limited.
	refusedAt time.Time
	limited   bool
}

// NewOwner returns an owner without customers in a data centre.
func NewOwner(now time.Time, dataCentre string, bounds Bounds) *Owner {
	return &Owner{id: now.UnixNano(), dataCentre: dataCentre, bounds: bounds, startedAt: now, exclusive: true, members: make(map[string]*member), buckets: make(map[string]*bucket)}
}

// NewDeputy returns an owner that grants the shares of the instances that ask it while they
// can't reach the owner.
func NewDeputy(now time.Time, bounds Bounds) *Owner {
	o := NewOwner(now, "", bounds)
	o.exclusive, o.delegated = false, true
	return o
}

// Idle reports whether no instance has asked lately.
func (o *Owner) Idle() bool { return o.reachable == 0 }

// SetCustomers adopts the quotas of a config. A bucket keeps its level up to the new burst
// unless its unit changes.
func (o *Owner) SetCustomers(now time.Time, customers []*catalog.Customer) {
	next := make(map[string]*bucket, len(customers))
	for _, c := range customers {
		if !c.Quota.Limited() {
			continue
		}
		b := o.buckets[c.Name]
		if b == nil || b.quota.CountsTokens != c.Quota.CountsTokens {
			b = &bucket{filledAt: now, shares: newShares()}
		} else {
			o.refill(now, b)
		}
		b.quota, b.size, b.returnAt = c.Quota, c.Quota.Burst+burstPart*o.bounds.margin(c.Quota), now
		b.level = min(b.level, b.size)
		next[c.Name] = b
	}
	o.buckets = next
}

// SetExclusive sets whether it is certain that no other instance is the owner.
func (o *Owner) SetExclusive(exclusive bool) { o.exclusive = exclusive }

// Grants returns the number of grants so far.
func (o *Owner) Grants() int64 { return o.grants }

// Limiting is the beginning or the end of the limiting of a customer. Use is the demand
// divided by the limit.
type Limiting struct {
	Customer string
	Limited  bool
	Use      float64
}

// Tick forgets instances that were silent for long, reserves the shares of silent ones, and
// returns the customers whose limiting has begun or ended. It must be called about every
// 100 ms.
func (o *Owner) Tick(now time.Time) []Limiting {
	o.reachable = 0
	var deputy *member
	for name, m := range o.members {
		switch silent := now.Sub(m.heardAt); {
		case silent > reservationTime+fallbackDelay:
			o.forget(name)
		case silent <= silenceTime:
			o.reachable++
			if m.address != "" && (deputy == nil || o.prefersDeputy(m, deputy)) {
				deputy = m
			}
		}
	}
	o.deputy = ""
	if deputy != nil {
		o.deputy = deputy.address
	}
	var changed []Limiting
	for name, b := range o.buckets {
		o.refill(now, b)
		b.shares.update(now, o.members)
		if limited := !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < limitedTime; limited != b.limited {
			b.limited = limited
			changed = append(changed, Limiting{Customer: name, Limited: limited, Use: b.shares.demand / b.quota.PerSecond})
		}
	}
	return changed
}

// prefersDeputy reports whether m is a better deputy than other: in another data centre,
// then the present one, then the one with the lower address.
func (o *Owner) prefersDeputy(m, other *member) bool {
	switch {
	case m.elsewhere != other.elsewhere:
		return m.elsewhere
	case m.address == o.deputy || other.address == o.deputy:
		return m.address == o.deputy
	default:
		return m.address < other.address
	}
}

// forget drops an instance and its shares.
func (o *Owner) forget(name string) {
	delete(o.members, name)
	for _, b := range o.buckets {
		b.shares.remove(name)
	}
}

// refill adds the tokens that became available since the last call. Shares that instances
// without an owner can use are left out.
func (o *Owner) refill(now time.Time, b *bucket) {
	elapsed := now.Sub(b.filledAt)
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	o.add(b, b.quota.PerSecond*elapsed.Seconds()*o.grantedPart(now, b))
}

// add adds tokens up to the size of a bucket.
func (o *Owner) add(b *bucket, amount float64) {
	b.level = max(b.level, min(b.level+amount, o.size(b)))
}

// size returns the largest level of a bucket without deposits. That of a deputy has room
// for one request at least.
func (o *Owner) size(b *bucket) float64 {
	if !o.delegated {
		return b.size
	}
	return min(b.size, max(max(b.shares.assigned-b.shares.silent, 0)*o.bounds.savings(b.quota), b.quota.Cost(0, 0)))
}

// grantedPart returns the part of the rate that the owner can grant.
func (o *Owner) grantedPart(now time.Time, b *bucket) float64 {
	s := &b.shares
	if !o.exclusive {
		return max(s.assigned-s.silent, 0)
	}
	reserved := s.silent + s.unknown(now.Sub(o.startedAt))
	return min(max(1-reserved+o.bounds.unreservedShare(b.quota), 0), 1)
}

// Handle answers the request of an instance. It returns false if a later request of the
// instance was handled before: its answer must not be used.
func (o *Owner) Handle(now time.Time, r Request) (Answer, bool) {
	m := o.members[r.Instance]
	switch {
	case m == nil:
		m = &member{start: r.Start}
		o.members[r.Instance] = m
		o.reachable++
	case m.start > r.Start, m.start == r.Start && m.sequence >= r.Sequence:
		return Answer{}, false
	case m.start < r.Start: // the earlier process has ended
		o.forget(r.Instance)
		m.start = r.Start
		o.members[r.Instance] = m
	}
	if r.Pooled && now.Sub(m.heardAt) > silenceTime {
		m.presentAt = now.Add(poolTime)
	}
	m.sequence, m.heardAt, m.address, m.elsewhere = r.Sequence, now, r.Address, r.DataCentre != o.dataCentre
	if o.delegated && r.Leaving {
		o.forget(r.Instance)
	}
	answer := Answer{Owner: o.id, Sequence: r.Sequence, Delegated: r.Delegated, Deputy: o.deputy}
	for _, item := range r.Items {
		item.sanitize(r.Owner == o.id)
		b := o.buckets[item.Customer]
		if b == nil || b.quota.CountsTokens != item.CountsTokens {
			continue // the instance has an older or newer config
		}
		o.refill(now, b)
		granted := o.grant(now, b, r.Instance, item)
		if o.delegated {
			b.shares.pool(now, r.Instance, item.Share)
		} else {
			granted.Share = b.shares.assign(now, now.Sub(o.startedAt), r.Instance, item, o.reachable, r.Leaving)
			granted.Assigned = roundShare(b.shares.assigned)
		}
		answer.Items = append(answer.Items, granted)
	}
	return answer, true
}

// sanitize replaces values that a client of this version does not send. Tokens of another
// owner can't be returned.
func (i *RequestItem) sanitize(ownTokens bool) {
	for _, v := range []*float64{&i.Needed, &i.Wanted, &i.Returned, &i.Deposit, &i.Left, &i.Demand, &i.Share, &i.Assigned} {
		*v = max(*v, 0)
	}
	i.Share, i.Assigned = min(i.Share, 1), min(i.Assigned, 1)
	if i.Largest <= 0 || i.Largest > i.Needed {
		i.Largest = i.Needed
	}
	if !ownTokens {
		i.Returned = 0
	}
}

// grant takes what the item needs, and what it wants in advance, out of the bucket.
func (o *Owner) grant(now time.Time, b *bucket, instance string, item RequestItem) AnswerItem {
	answer := AnswerItem{Customer: item.Customer, CountsTokens: item.CountsTokens}
	b.shares.addDemand(now, instance, item.Demand)
	o.add(b, item.Returned)
	b.level += item.Deposit
	needed := item.Needed
	if needed > b.level {
		// A part of a request is of no use, so whole ones are granted.
		needed = math.Floor(b.level/item.Largest) * item.Largest
		rate := b.quota.PerSecond
		answer.RoomAfter = inSeconds((item.Largest - b.level + needed) / rate)
		if item.Largest > b.size {
			answer.RoomAfter = maxRetryAfter // it has never room
		}
		if b.returnAt.Before(now) {
			b.returnAt = now
		}
		b.returnAt = b.returnAt.Add(inSeconds((item.Needed - needed) / rate))
		if latest := now.Add(maxRetryAfter); b.returnAt.After(latest) {
			b.returnAt = latest
		}
		answer.ReturnAfter = max(answer.RoomAfter, b.returnAt.Sub(now))
		b.refusedAt = now
	}
	b.level -= needed
	advance := min(item.Wanted, b.level-fullness*b.quota.Burst-keptRequests*item.Wanted, prefetchPart*o.bounds.margin(b.quota)-b.shares.unusedWithout(instance)-item.Left)
	advance = math.Floor(max(advance, 0))
	b.level -= advance
	b.shares.setUnused(now, instance, item.Left+advance)
	if answer.Granted = needed + advance; answer.Granted > 0 {
		o.grants++
	}
	return answer
}

// inSeconds returns a number of seconds as a duration, at most an hour.
func inSeconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
