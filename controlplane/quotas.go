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
	deputy *ratelimit.Owner // nil unless other instances have asked this one as the deputy
	// failedAt is when the owner was last found to be unreachable, and failedHolder the
	// sequence of the holder of the lease then.
	failedAt     time.Time
	failedHolder uint64
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
	for _, o := range []*ratelimit.Owner{q.owner, q.deputy} {
		if o != nil {
			o.SetCustomers(now, customers)
		}
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
	if !q.client.Limits() && q.owner == nil && q.deputy == nil {
		return
	}
	c.updateQuotaOwner(now, boot)
	c.updateDeputy(now)
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
		c.log.Info("owner of the limits", "reachable", !uses, "holder", c.leader.Row().Holder, "deputy", q.client.Deputy())
	}
}

// updateQuotaOwner makes this instance the owner of the limits while it holds the order
// lease.
func (c *core) updateQuotaOwner(now time.Time, boot bootclock.Time) {
	q := &c.quotas
	if !c.leader.Held() {
		q.owner = nil
		return
	}
	if q.owner == nil || q.epoch != c.leader.Epoch() {
		q.deputy = nil
		q.owner, q.epoch, q.grants = ratelimit.NewOwner(now, c.node.DataCentre, quotaBounds(c.node.Bounds)), c.leader.Epoch(), 0
		if c.config != nil {
			q.owner.SetCustomers(now, c.config.Customers())
		}
	}
	q.owner.SetExclusive(c.leader.WithinTerm(boot))
	c.logLimiting(q.owner.Tick(now))
	if grants := q.owner.Grants(); grants != q.grants {
		c.metrics.Counter(quotaGrantsMetric).Add(grants - q.grants)
		q.grants = grants
	}
}

// updateDeputy drops the state of the deputy once no instance asks it, and goes back to the
// owner once there is a new one or the last one has answered something else.
func (c *core) updateDeputy(now time.Time) {
	q := &c.quotas
	if q.deputy != nil {
		c.logLimiting(q.deputy.Tick(now))
		if q.deputy.Idle() {
			q.deputy = nil
		}
	}
	if q.client.Delegated() && (q.owner != nil || c.holderSeenAt.After(q.failedAt) || c.holder.Sequence != q.failedHolder) {
		q.client.UseDeputy(false)
		c.log.Debug("limits are shared by their owner again", "holder", c.leader.Row().Holder)
	}
}

// deputyOwner returns the state of this instance as the deputy of the owner, or as the owner
// if it has become that.
func (c *core) deputyOwner(now time.Time) *ratelimit.Owner {
	q := &c.quotas
	if q.owner != nil {
		return q.owner
	}
	if q.deputy == nil {
		q.deputy = ratelimit.NewDeputy(now, quotaBounds(c.node.Bounds))
		if c.config != nil {
			q.deputy.SetCustomers(now, c.config.Customers())
		}
		c.log.Info("limits are shared by this instance", "reason", "other instances can't reach their owner")
	}
	return q.deputy
}

// logLimiting logs the customers whose limiting has begun or ended.
func (c *core) logLimiting(changes []ratelimit.Limiting) {
	for _, l := range changes {
		message := "customer is limited"
		if !l.Limited {
			message = "customer is no longer limited"
		}
		c.log.Info(message, "customer", l.Customer, "use", math.Round(100*l.Use)/100)
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

// RequestQuota is published to ask the holder of the order lease for tokens, or its deputy
// if Deputy is not empty. It can be delivered before the HolderChanged that Holder repeats.
type RequestQuota struct {
	Holder  HolderChanged
	Deputy  string // address
	Request ratelimit.Request
}

// askQuotaOwner sends the request to the owner that is due, or to its deputy.
func (c *core) askQuotaOwner(now time.Time) {
	q := &c.quotas
	elsewhere := c.orderedElsewhere()
	if q.owner == nil && !elsewhere && !q.client.Delegated() && c.leader.HolderExpected(bootclock.Now()) {
		return
	}
	request, due := q.client.Due(now)
	if !due {
		return
	}
	if len(request.Items) > 0 { // otherwise it asks for nothing
		q.sent, q.waiting = append(q.sent, q.waiting...), nil
	}
	self := c.node.PeerAddress()
	if q.owner == nil && !c.stopping && !c.node.AvoidLease() {
		request.Address, request.DataCentre = self, c.node.DataCentre
	}
	switch deputy := q.client.Deputy(); {
	case request.Delegated && deputy != self:
		c.publishEvent(RequestQuota{Holder: c.holder, Deputy: deputy, Request: request})
	case request.Delegated:
		c.answerQuota(now, c.deputyOwner(now), request)
	case q.owner == nil && elsewhere:
		c.publishEvent(RequestQuota{Holder: c.holder, Request: request})
	default:
		c.answerQuota(now, q.owner, request)
	}
}

// answerQuota has the request of this instance answered by its own owner, which may be nil.
func (c *core) answerQuota(now time.Time, owner *ratelimit.Owner, request ratelimit.Request) {
	if owner != nil {
		if answer, ok := owner.Handle(now, request); ok {
			c.adoptQuotas(now, answer)
			return
		}
	}
	c.failQuotaRequest(now, request.Sequence)
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

// failQuotaRequest asks the deputy if the owner does not answer, and otherwise decides about
// the requests that wait without an owner.
func (c *core) failQuotaRequest(now time.Time, sequence uint64) {
	q := &c.quotas
	switch {
	case !q.client.Fail(sequence):
	case q.client.Delegated() || q.client.Deputy() == "":
		c.settleQuotas(now, true)
	default:
		q.client.UseDeputy(true)
		q.failedAt, q.failedHolder = now, c.holder.Sequence
		q.waiting, q.sent = append(q.sent, q.waiting...), nil
		for _, w := range q.waiting {
			r := w.admit.request.Request
			q.client.Requeue(r.Customer.Name, quotaCost(r))
		}
		c.askQuotaOwner(now)
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
// of the limits and is not asked as its deputy.
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
	owner := c.quotas.owner
	if e.request.Delegated {
		owner = c.deputyOwner(now)
	}
	if owner == nil || !e.request.Delegated && !c.leader.Held() {
		e.answer <- quotaAnswer{}
		return
	}
	answer, ok := owner.Handle(now, e.request)
	e.answer <- quotaAnswer{answer: answer, ok: ok}
}
