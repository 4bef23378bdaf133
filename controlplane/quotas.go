package controlplane

import (
	"context"
	"errors"
	"expvar"
	"math"
	"time"

	"github.com/hyssophaven/hyssophaven/bootclock"
	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/dispatch"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/ratelimit"
)

// quotas is the part of the control state that limits customers. Without a customer that
// has a limit, it sends nothing and its counters don't exist.
type quotas struct {
	client *ratelimit.Client
	owner  *ratelimit.Owner // nil unless this instance holds the order lease
	epoch  uint64           // epoch of the lease for which owner was created
	// sent holds the requests that wait for the pending answer of the owner, and waiting
	// those that came after its request.
	sent, waiting []quotaWaiter
	usesShares    bool // logged last
	grants        int64
	counters      map[quotaResult]*expvar.Int
}

type quotaWaiter struct {
	admit *admit
	since time.Time
}

// quotaResult is a label of the metric quota_requests.
type quotaResult struct {
	admitted, hasOwner bool
}

func newQuotas(node nodeconfig.Node, now time.Time) quotas {
	return quotas{client: ratelimit.NewClient(node.ID, now.UnixNano(), quotaBounds(node.Bounds), uint64(now.UnixNano()))}
}

func quotaBounds(b nodeconfig.Bounds) ratelimit.Bounds {
	return ratelimit.Bounds{Window: b.QuotaWindow, Excess: b.QuotaExcess, Slack: b.QuotaSlack}
}

// setCustomers adopts the quotas of a config.
func (c *core) setCustomers(now time.Time, customers []*catalog.Customer) {
	q := &c.quotas
	q.client.SetCustomers(now, customers)
	if q.owner != nil {
		q.owner.SetCustomers(now, customers)
	}
	if q.client.Limits() && q.counters == nil {
		q.counters = quotaCounters(c.metrics)
	}
}

// quotaCounters creates the counters with the value 0, so that a rate can be computed over
// the first increment.
func quotaCounters(m *metrics.Registry) map[quotaResult]*expvar.Int {
	m.Counter(quotaGrantsMetric)
	counters := make(map[quotaResult]*expvar.Int)
	for result, label := range map[quotaResult]string{
		{true, true}: "admitted", {false, true}: "refused", {true, false}: "admitted-without-owner", {false, false}: "refused-without-owner",
	} {
		counters[result] = m.Counter("quota_requests", "result", label)
	}
	return counters
}

// quotaGrantsMetric counts the grants of tokens to instances by this one.
const quotaGrantsMetric = "quota_grants"

// tickQuotas asks the owner for tokens in advance and updates the state of the owner.
func (c *core) tickQuotas(now time.Time, boot bootclock.Time) {
	q := &c.quotas
	if !q.client.Limits() && q.owner == nil {
		return
	}
	c.updateQuotaOwner(now, boot)
	q.client.SetInstances(c.instanceCount)
	if sequence := q.client.Overdue(now); sequence > 0 {
		c.failQuotaRequest(now, sequence)
	}
	if len(q.waiting) > 0 && now.Sub(q.waiting[0].since) > 2*ratelimit.AnswerTimeout {
		c.settleQuotas(now, true) // no owner is known
	}
	c.askQuotaOwner(now)
	if uses := q.client.Limits() && q.client.UsesShares(now); uses != q.usesShares {
		q.usesShares = uses
		c.log.Info("owner of the limits", "reachable", !uses, "holder", c.leader.Row().Holder)
	}
}

// updateQuotaOwner makes this instance the owner of the limits while it holds the order
// lease, and logs the customers whose limiting has begun or ended.
func (c *core) updateQuotaOwner(now time.Time, boot bootclock.Time) {
	q := &c.quotas
	if !c.leader.Held() {
		q.owner = nil
		return
	}
	if q.owner == nil || q.epoch != c.leader.Epoch() {
		q.owner, q.epoch, q.grants = ratelimit.NewOwner(now, quotaBounds(c.node.Bounds)), c.leader.Epoch(), 0
		if c.config != nil {
			q.owner.SetCustomers(now, c.config.Customers())
		}
	}
	q.owner.SetExclusive(c.leader.WithinTerm(boot))
	for _, l := range q.owner.Tick(now) {
		message := "customer is limited"
		if !l.Limited {
			message = "customer is no longer limited"
		}
		c.log.Info(message, "customer", l.Customer, "use", math.Round(100*l.Use)/100)
	}
	if grants := q.owner.Grants(); grants != q.grants {
		c.metrics.Counter(quotaGrantsMetric).Add(grants - q.grants)
		q.grants = grants
	}
}

// takeQuota takes the tokens of a request that has arrived. It returns false if the request
// is refused or waits for tokens.
func (c *core) takeQuota(now time.Time, e *admit) bool {
	customer := e.request.Request.Customer
	if customer == nil || !customer.Quota.Limited() {
		return true
	}
	verdict, retryAfter := c.quotas.client.Take(now, customer.Name, quotaCost(e.request.Request))
	if verdict != ratelimit.Wait {
		return c.concludeQuota(e, verdict, retryAfter)
	}
	c.quotas.waiting = append(c.quotas.waiting, quotaWaiter{admit: e, since: now})
	c.askQuotaOwner(now)
	return false
}

func quotaCost(r *dispatch.Request) float64 {
	return r.Customer.Quota.Cost(r.PromptTokens, r.OutputTokens)
}

// concludeQuota counts the decision on a request and refuses it if it exceeds the limit.
func (c *core) concludeQuota(e *admit, verdict ratelimit.Verdict, retryAfter time.Duration) bool {
	admitted := verdict == ratelimit.Admit
	if counter := c.quotas.counters[quotaResult{admitted, c.quotas.client.HasOwner()}]; counter != nil {
		counter.Add(1)
	}
	if !admitted {
		e.answer <- Admission{Decision: dispatch.Decision{Verdict: dispatch.Refuse, Cause: dispatch.CauseRateLimit, RetryAfter: retryAfter}}
	}
	return admitted
}

// returnQuota returns the tokens of a request that is refused at its first decision.
func (c *core) returnQuota(now time.Time, r *dispatch.Request) {
	if r.Customer != nil && r.Customer.Quota.Limited() {
		c.quotas.client.GiveBack(now, r.Customer.Name, quotaCost(r))
	}
}

// RequestQuota is published to ask the holder of the order lease for tokens. It can be
// delivered before the HolderChanged that Holder repeats.
type RequestQuota struct {
	Holder  HolderChanged
	Request ratelimit.Request
}

// askQuotaOwner sends the request to the owner that is due.
func (c *core) askQuotaOwner(now time.Time) {
	q := &c.quotas
	elsewhere := c.orderedElsewhere()
	if q.owner == nil && !elsewhere && c.leader.HolderExpected(bootclock.Now()) {
		return
	}
	request, due := q.client.Due(now)
	if !due {
		return
	}
	q.sent, q.waiting = append(q.sent, q.waiting...), nil
	switch {
	case q.owner != nil:
		if answer, ok := q.owner.Handle(now, request); ok {
			c.adoptQuotas(now, answer)
			return
		}
		c.failQuotaRequest(now, request.Sequence)
	case elsewhere:
		c.publishEvent(RequestQuota{Holder: c.holder, Request: request})
	default:
		c.failQuotaRequest(now, request.Sequence)
	}
}

// QuotaAnswered reports the answer of the owner to the request with the given sequence. Err
// is set if there is none.
type QuotaAnswered struct {
	Sequence uint64
	Answer   ratelimit.Answer
	Err      error
}

func (e QuotaAnswered) apply(c *core, now time.Time) {
	if e.Err != nil {
		c.log.Debug("request for tokens failed", "error", e.Err)
		c.failQuotaRequest(now, e.Sequence)
		return
	}
	c.adoptQuotas(now, e.Answer)
}

// adoptQuotas applies the owner's answer. One that comes too late counts as none.
func (c *core) adoptQuotas(now time.Time, answer ratelimit.Answer) {
	if !c.quotas.client.Adopt(now, answer) {
		c.failQuotaRequest(now, answer.Sequence)
		return
	}
	c.settleQuotas(now, false)
	c.askQuotaOwner(now)
}

func (c *core) failQuotaRequest(now time.Time, sequence uint64) {
	if c.quotas.client.Fail(sequence) {
		c.settleQuotas(now, true)
	}
}

// settleQuotas decides about the requests that wait for the owner's answer. With all, it
// also decides about those that came after the request to the owner.
func (c *core) settleQuotas(now time.Time, all bool) {
	q := &c.quotas
	settled := q.sent
	q.sent = nil
	if all {
		settled = append(settled, q.waiting...)
		q.waiting = nil
	}
	for _, w := range settled {
		if w.admit.ctx.Err() != nil {
			w.admit.answer <- Admission{} // nobody waits for it
			continue
		}
		r := w.admit.request.Request
		verdict, retryAfter := q.client.Settle(now, r.Customer.Name, quotaCost(r))
		if c.concludeQuota(w.admit, verdict, retryAfter) {
			w.admit.decide(c, now, true)
		}
	}
}

type serveQuota struct {
	request ratelimit.Request
	answer  chan<- quotaAnswer
}

type quotaAnswer struct {
	answer ratelimit.Answer
	ok     bool
}

// errNotOwner means that this instance does not hold the order lease, or has handled a
// later request of the instance.
var errNotOwner = errors.New("not the owner of the limits, or request is out of order")

// ServeQuota grants tokens to another instance. It fails if this instance is not the owner
// of the limits.
func (s *Service) ServeQuota(ctx context.Context, r ratelimit.Request) (ratelimit.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, ratelimit.AnswerTimeout)
	defer cancel()
	answer := make(chan quotaAnswer, 1)
	a, err := ask(ctx, s, serveQuota{request: r, answer: answer}, answer)
	if err == nil && !a.ok {
		err = errNotOwner
	}
	return a.answer, err
}

func (e serveQuota) apply(c *core, now time.Time) {
	if c.quotas.owner == nil || !c.leader.Held() {
		e.answer <- quotaAnswer{}
		return
	}
	answer, ok := c.quotas.owner.Handle(now, e.request)
	e.answer <- quotaAnswer{answer: answer, ok: ok}
}
