package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/hyssophaven/hyssophaven/catalog"
)

const (
	// prefetchTime is the time whose usual use is requested in advance. An instance whose
	// usual use in it is less than one request requests nothing in advance: the tokens would
	// be missed where requests arrive.
	prefetchTime = 250 * time.Millisecond
	// costSamples is the number of requests over which their cost is averaged.
	costSamples = 8
	// minRetryAfter is the shortest time after which a refused caller is told to return.
	minRetryAfter = 20 * time.Millisecond
	// retryJitter is the part by which the times of two refused callers can differ.
	retryJitter = 0.5
)

// Verdict is what a client decides about a request.
type Verdict uint8

// The verdicts.
const (
	Admit Verdict = iota
	Refuse
	// Wait means that the request lacks tokens and the owner is asked. Settle decides when
	// the answer has come.
	Wait
)

// Client holds the tokens that an instance was granted and has not used.
type Client struct {
	bounds   Bounds
	instance string
	start    int64
	rand     *rand.Rand
	accounts map[string]*account
	active   []*account // accounts with news for the owner
	leaving  bool

	owner  int64
	deputy string // address of the owner's deputy
	// delegated is set while requests are for the deputy.
	delegated bool
	sequence  uint64
	pending   bool      // the last request is not answered
	sentAt    time.Time // when the last request was sent
	contactAt time.Time // when the last answered request was sent
	// ownerAt is contactAt without the requests to deputies. pooled is set once the deputy
	// knows the client's shares.
	ownerAt time.Time
	pooled  bool
	// farewell is set while the client tells the deputy that it goes back to the owner.
	// Without an answer, the deputy can grant the client's shares until pooledUntil.
	farewell    bool
	pooledUntil time.Time
	// lost is set if the last request was not answered. The client has then no owner.
	lost bool
}

// account is what a client knows about one customer.
type account struct {
	name   string
	quota  catalog.Quota
	grants grants
	// needed and largest describe the requests that wait for the next Request.
	needed, largest float64
	demand          float64 // since the last item
	returned        float64 // tokens to give back with the next item
	itemAt          time.Time
	active          bool

	use   average // of the cost of all requests, per second
	cost  float64 // moving average of the cost of a request
	asked float64 // largest cost in the last item

	// Until blockedUntil, requests that cost at least blockedCost are refused without
	// asking the owner. returnAt is when the owner expects room for those it refused.
	blockedUntil, returnAt time.Time
	blockedCost            float64

	fallback fallback
}

// NewClient returns a client without an owner. start identifies the process among those of
// the instance.
func NewClient(instance string, start int64, bounds Bounds, seed uint64) *Client {
	return &Client{instance: instance, start: start, bounds: bounds, accounts: make(map[string]*account), rand: rand.New(rand.NewPCG(seed, 0)), lost: true}
}

// Limits reports whether any customer has a limit.
func (c *Client) Limits() bool { return len(c.accounts) > 0 }

// SetCustomers adopts the quotas of a config. Tokens that were granted under another quota
// of a customer are not used any more.
func (c *Client) SetCustomers(now time.Time, customers []*catalog.Customer) {
	next := make(map[string]*account, len(customers))
	c.active = c.active[:0]
	for _, customer := range customers {
		q := customer.Quota
		if !q.Limited() {
			continue
		}
		a := c.accounts[customer.Name]
		switch {
		case a == nil || a.quota.CountsTokens != q.CountsTokens:
			next := &account{name: customer.Name, use: average{at: now}, fallback: fallback{filledAt: now}}
			if a != nil {
				next.fallback.share, next.fallback.assigned = a.fallback.share, a.fallback.assigned
			}
			a = next
		case a.quota != q:
			a.returned += a.grants.takeAll(c.owner)
			a.blockedUntil = time.Time{}
		}
		a.quota, a.active = q, false
		next[a.name] = a
		c.activate(a)
	}
	c.accounts = next
}

func (c *Client) activateAll() {
	for _, a := range c.accounts {
		c.activate(a)
	}
}

// Requeue makes the next request to the owner contain a request that waits.
func (c *Client) Requeue(customer string, cost float64) {
	if a := c.accounts[customer]; a != nil {
		a.needed += cost
		a.largest = max(a.largest, cost)
		c.activate(a)
	}
}

// SetInstances sets the number of instances. A client that has never had an owner uses an
// even share of the limits.
func (c *Client) SetInstances(n int) {
	if n <= 0 || !c.contactAt.IsZero() || c.leaving {
		return
	}
	for _, a := range c.accounts {
		a.fallback.share = 1 / float64(n)
	}
}

// activate makes the next request to the owner contain the account.
func (c *Client) activate(a *account) {
	if !a.active {
		a.active = true
		c.active = append(c.active, a)
	}
}

// Leave tells the owner with the next request that the process stops.
func (c *Client) Leave() {
	c.leaving = true
	for _, a := range c.accounts {
		a.fallback.share = 0
		c.activate(a)
	}
}

// Take decides about a request that has arrived and costs the given amount. If it is
// refused, it returns the time after which the caller should return.
func (c *Client) Take(now time.Time, customer string, cost float64) (Verdict, time.Duration) {
	a := c.accounts[customer]
	if a == nil || cost <= 0 {
		return Admit, 0
	}
	a.demand += cost
	a.use.add(now, cost)
	if a.cost == 0 {
		a.cost = cost
	}
	a.cost += (cost - a.cost) / costSamples
	c.activate(a)
	switch {
	case a.grants.take(now, cost):
		return Admit, 0
	case c.lost:
		if verdict, retryAfter := c.takeWithoutOwner(now, a, cost); verdict == Admit || !c.ownerExpected(now) {
			return verdict, retryAfter
		}
	case now.Before(a.blockedUntil) && cost >= a.blockedCost:
		return Refuse, c.retryAfter(now, a)
	}
	a.needed += cost
	a.largest = max(a.largest, cost)
	return Wait, 0
}

// Settle decides about a request that has waited for an answer.
func (c *Client) Settle(now time.Time, customer string, cost float64) (Verdict, time.Duration) {
	a := c.accounts[customer]
	switch {
	case a == nil || a.grants.take(now, cost):
		return Admit, 0
	case c.lost:
		return c.takeWithoutOwner(now, a, cost)
	}
	return Refuse, c.retryAfter(now, a)
}

// GiveBack returns the tokens of a request that was admitted at most GrantLifetime ago and
// has not run. Those that are not used soon go back to the owner.
func (c *Client) GiveBack(now time.Time, customer string, cost float64) {
	if a := c.accounts[customer]; a != nil && cost > 0 && !c.lost {
		a.grants.add(now, grant{amount: cost, expires: now.Add(GrantLifetime / 2), owner: c.owner})
		c.activate(a)
	}
}

// retryAfter returns the time after which a refused caller should return. The times of
// several callers are spread.
func (c *Client) retryAfter(now time.Time, a *account) time.Duration {
	if !now.Before(a.blockedUntil) {
		return c.spread(noShareRetry) // the owner has another config
	}
	room := max(a.blockedUntil.Sub(now), minRetryAfter)
	late := max(a.returnAt.Sub(now), room)
	spread := late - room + time.Duration(retryJitter*float64(late))
	return min(room+time.Duration(c.rand.Float64()*float64(spread)), maxRetryAfter)
}

// Due returns the request to be sent to the owner now, if any. Its answer is reported with
// Adopt, its failure with Fail.
func (c *Client) Due(now time.Time) (Request, bool) {
	if c.pending || len(c.accounts) == 0 {
		return Request{}, false
	}
	if c.farewell {
		r := c.newRequest(now)
		r.Leaving = true
		return r, true
	}
	interval := contactInterval
	if c.lost {
		interval = AnswerTimeout
	}
	contact := now.Sub(c.sentAt) >= interval
	if c.delegated && !c.pooled && !c.lost && now.Sub(c.ownerAt) > fallbackDelay {
		c.activateAll()
		c.pooled, contact = true, true
	}
	if !contact && (c.lost || !c.asks(now)) {
		return Request{}, false
	}
	if contact {
		for _, a := range c.accounts {
			if now.Sub(a.itemAt) >= itemInterval {
				c.activate(a)
			}
		}
	}
	r := c.newRequest(now)
	for _, a := range c.active {
		item := a.item(now, c.owner)
		if r.Delegated {
			item.Share, item.Deposit = c.pooledShare(now, a), a.fallback.deposit()
		}
		r.Items = append(r.Items, item)
	}
	c.active = c.active[:0]
	return r, true
}

// newRequest returns a request without items, which is then waited for.
func (c *Client) newRequest(now time.Time) Request {
	c.sequence++
	c.pending, c.sentAt = true, now
	return Request{
		Instance: c.instance, Start: c.start, Sequence: c.sequence, Owner: c.owner,
		Leaving: c.leaving, Delegated: c.delegated, Pooled: !c.delegated && now.Before(c.pooledUntil),
	}
}

// asks reports whether any account needs tokens before the next contact.
func (c *Client) asks(now time.Time) bool {
	for _, a := range c.active {
		if a.needed > 0 || a.wanted(now) > 0 {
			return true
		}
	}
	return false
}

// wanted returns the amount to request in advance: none before less than half of the usual
// use of prefetchTime is left.
func (a *account) wanted(now time.Time) float64 {
	target := a.use.perSecond(now) * prefetchTime.Seconds()
	left := a.grants.sum(now)
	if target < a.cost || left > target/2 || now.Before(a.blockedUntil) {
		return 0
	}
	return target - left
}

// item returns the account's part of a request. Old grants and those beyond the usual use
// go back to the owner.
func (a *account) item(now time.Time, owner int64) RequestItem {
	returned := a.returned + a.grants.takeOld(now, owner)
	item := RequestItem{
		Customer: a.name, CountsTokens: a.quota.CountsTokens, Needed: a.needed, Largest: a.largest, Returned: returned,
		Wanted: a.wanted(now), Left: a.grants.sum(now), Demand: a.demand, Share: a.fallback.share, Assigned: a.fallback.assigned,
	}
	a.asked = a.largest
	a.needed, a.largest, a.returned, a.demand, a.active, a.itemAt = 0, 0, 0, 0, false, now
	return item
}

// Adopt applies the owner's answer to the last request. It returns false if the request is
// no longer waited for.
func (c *Client) Adopt(now time.Time, answer Answer) bool {
	if !c.pending || answer.Sequence != c.sequence || now.Sub(c.sentAt) > AnswerTimeout {
		return false
	}
	if c.farewell && answer.Delegated {
		c.pending = false
		c.leaveDeputy(true)
		return true
	}
	if c.owner != answer.Owner {
		c.activateAll() // the owner learns the shares of the instance
	}
	c.pending, c.lost, c.contactAt, c.owner = false, false, c.sentAt, answer.Owner
	if !answer.Delegated {
		c.ownerAt, c.deputy = c.sentAt, answer.Deputy
	}
	for _, item := range answer.Items {
		a := c.accounts[item.Customer]
		if a == nil || a.quota.CountsTokens != item.CountsTokens {
			continue
		}
		if item.Granted > 0 {
			a.grants.add(now, grant{amount: item.Granted, expires: c.sentAt.Add(GrantLifetime), owner: answer.Owner})
		}
		if item.RoomAfter > 0 {
			a.blockedUntil, a.returnAt, a.blockedCost = now.Add(item.RoomAfter), now.Add(item.ReturnAfter), a.asked
		}
		if !c.leaving && !answer.Delegated {
			a.fallback.share, a.fallback.assigned = item.Share, item.Assigned
		}
	}
	for _, a := range c.accounts {
		a.fallback.keep(now, a.quota, c.bounds, answer.Delegated)
	}
	return true
}

// Fail records that a request was not answered in time. It returns false if it is not the
// one that is waited for, or if the owner is asked next. Otherwise the requests that wait
// must be settled, also those that came after it.
func (c *Client) Fail(sequence uint64) bool {
	if !c.pending || sequence != c.sequence {
		return false
	}
	if c.farewell {
		c.pending = false
		c.leaveDeputy(false)
		return false
	}
	c.pending, c.lost = false, true
	for _, a := range c.accounts {
		a.needed, a.largest = 0, 0
		a.fallback.withdraw()
	}
	return true
}

// Overdue returns the sequence of the last request if its answer is overdue, otherwise 0.
func (c *Client) Overdue(now time.Time) uint64 {
	if c.pending && now.Sub(c.sentAt) > AnswerTimeout {
		return c.sequence
	}
	return 0
}

// HasOwner reports whether the last request was answered.
func (c *Client) HasOwner() bool { return !c.lost }

// UsesShares reports whether the client has had no owner for so long that it uses its shares
// of the limits.
func (c *Client) UsesShares(now time.Time) bool {
	return c.lost && now.Sub(c.contactAt) > fallbackDelay
}
