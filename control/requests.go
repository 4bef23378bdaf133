package control

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

const (
	// probeTimeout is the longest wait for the answer to a probe. Without an
	// answer, the endpoint counts as dead.
	probeTimeout = 2 * time.Second
	// deathCorrelationWindow is the time in which further deaths count as
	// simultaneous with the first. A probe of a host that is gone takes up to 1 s.
	deathCorrelationWindow = 1500 * time.Millisecond
	// commonCauseDeaths is the smallest number of simultaneous deaths for which a
	// common cause is assumed.
	commonCauseDeaths = 3
	// deferTimeout is the longest time that a request waits for its trial or for
	// the retry budget.
	deferTimeout = 3 * time.Minute
	// exclusionTimeout is how long a request waits for an endpoint other than
	// those on which it failed.
	exclusionTimeout = 2 * time.Second
	// excludedLoadPenalty is added to the load of endpoints on which a request
	// failed, so that they sort last.
	excludedLoadPenalty = 1 << 20
	// candidateInterval is the period at which the candidate endpoints for trials
	// are updated and exclusions are checked against exclusionTimeout.
	candidateInterval = time.Second
	// stoppingRetryAfter is the Retry-After of refusals by a stopping or isolated
	// instance. The balancer routes the retry to another instance.
	stoppingRetryAfter = time.Second
)

// requests tracks the requests of this instance by request ID.
type requests struct {
	active     map[uint64]activeRequest // in the admission queue or granted
	byEndpoint map[fleet.EndpointID]map[uint64]bool
	// deferred holds requests that wait before they enter the admission queue.
	deferred    map[uint64]deferredRequest
	lastRefresh time.Time // start of the current candidateInterval
	probes      map[fleet.EndpointID]*probe
	deadBootIDs map[fleet.EndpointID]string // boot ID of each endpoint's last known death
}

// activeRequest is a request in the admission queue or on an endpoint.
type activeRequest struct {
	request  admission.Request
	queuedAt time.Time        // when it entered the admission queue
	endpoint fleet.EndpointID // empty while queued
	trial    bool
	bootID   string // the endpoint's boot ID at the time of the grant
}

// deferredRequest is a request that waits before it enters the admission queue.
type deferredRequest struct {
	request admission.Request
	since   time.Time
	reason  deferReason
	probe   fleet.EndpointID // the probed endpoint, for deferForProbe
}

// deferReason is the reason why a request is deferred.
type deferReason uint8

const (
	deferForTrial deferReason = iota // its content is suspected of crashing endpoints and needs a trial
	deferForProbe                    // a pending probe decides whether its content is suspected
	deferForRetry                    // the retry budget is exhausted
)

// probe checks whether an endpoint has died. It is started after connections to the
// endpoint broke or other endpoints of its data centre died, and ends when the
// endpoint proves alive or its death has been classified.
type probe struct {
	bootID    string // the endpoint's boot ID before the suspected death
	startedAt time.Time
	diedAt    time.Time       // when the endpoint was found dead, or zero
	inFlight  []activeRequest // requests on the endpoint when the probe started
	// endedFingerprints are the fingerprints of requests in inFlight that have
	// ended since. Quarantine must learn of the loss before it learns of their end.
	endedFingerprints []quarantine.Fingerprint
}

func newRequests() requests {
	return requests{
		active:      make(map[uint64]activeRequest),
		byEndpoint:  make(map[fleet.EndpointID]map[uint64]bool),
		deferred:    make(map[uint64]deferredRequest),
		probes:      make(map[fleet.EndpointID]*probe),
		deadBootIDs: make(map[fleet.EndpointID]string),
	}
}

// arrive defers a request while a probe can make it suspect, and otherwise checks
// it for quarantine. An isolated instance refuses all requests; a replaced one
// refuses all except retries.
func (c *core) arrive(now time.Time, ev arrive) {
	r := ev.request
	c.replies[r.ID] = ev.reply
	switch {
	case c.members.Isolated(now):
		c.refuse(r.ID, admission.ReasonIsolated, stoppingRetryAfter)
		return
	case c.stopping && !r.Readmitted && c.replaced:
		c.refuse(r.ID, admission.ReasonStopping, stoppingRetryAfter)
		return
	}
	if !r.Readmitted {
		c.retries.CountRequest(now)
	}
	if probed, ok := c.pendingProbe(r); ok {
		c.requests.deferred[r.ID] = deferredRequest{request: r, since: now, reason: deferForProbe, probe: probed}
		return
	}
	c.checkQuarantine(now, r)
}

// pendingProbe returns the endpoint whose pending probe can make the request's
// content suspect.
func (c *core) pendingProbe(r admission.Request) (fleet.EndpointID, bool) {
	if r.Fingerprint == 0 {
		return "", false
	}
	for id, p := range c.requests.probes {
		if slices.ContainsFunc(p.inFlight, func(active activeRequest) bool { return active.request.Fingerprint == r.Fingerprint }) {
			return id, true
		}
	}
	return "", false
}

// checkQuarantine queues a request, refuses it if its content is quarantined, or
// defers it if its content needs a trial.
func (c *core) checkQuarantine(now time.Time, r admission.Request) {
	verdict, until := quarantine.Clear, time.Time{}
	if r.Fingerprint != 0 {
		verdict, until = c.quarantineState.Check(quarantine.Fingerprint(r.Fingerprint), now)
	}
	switch verdict {
	case quarantine.Quarantined:
		c.refuse(r.ID, admission.ReasonQuarantined, until.Sub(now))
	case quarantine.NeedsTrial:
		c.requests.deferred[r.ID] = deferredRequest{request: r, since: now}
		c.requestTrial(now, r)
	default:
		c.queueRequest(now, r)
	}
}

// queueRequest passes a request to the admission queue. A retry waits until the
// retry budget allows it, because a refusal would lose accepted work.
func (c *core) queueRequest(now time.Time, r admission.Request) {
	if r.Readmitted && !c.retries.AllowRetry(now) {
		c.requests.deferred[r.ID] = deferredRequest{request: r, since: now, reason: deferForRetry}
		return
	}
	c.stepQueue(now, admission.Arrive{Request: r})
}

// requestTrial asks for a trial of a request, with the current candidates.
func (c *core) requestTrial(now time.Time, r admission.Request) {
	c.stepQuarantine(now, quarantine.TrialWanted{
		Request: r.ID, Fingerprint: quarantine.Fingerprint(r.Fingerprint),
		Candidates: c.trialCandidates(r), QuarantineFor: c.quarantineFor(r.Row),
	})
}

// trialCandidates returns the endpoints that can run the request, least loaded
// first. Endpoints on which it has failed come last.
func (c *core) trialCandidates(r admission.Request) []quarantine.Candidate {
	var out []quarantine.Candidate
	load := make(map[fleet.EndpointID]int)
	for _, v := range c.endpointViews() {
		if c.leaving(v.Endpoint) || !serves(v, r) {
			continue
		}
		out = append(out, quarantine.Candidate{Endpoint: v.Endpoint.ID, BootID: c.bootID(v.Endpoint.ID)})
		load[v.Endpoint.ID] = v.Running + v.Waiting
		if slices.Contains(r.Exclude, v.Endpoint.ID) {
			load[v.Endpoint.ID] += excludedLoadPenalty
		}
	}
	slices.SortStableFunc(out, func(a, b quarantine.Candidate) int { return load[a.Endpoint] - load[b.Endpoint] })
	return out
}

// serves reports whether the model or adapter that the request needs is ready on
// the endpoint.
func serves(v admission.EndpointView, r admission.Request) bool {
	if v.Endpoint.Pool != r.Pool {
		return false
	}
	name := r.Adapter
	if name == "" {
		name = r.Model
	}
	if name == "" {
		return v.Endpoint.Kind == fleet.PlainService
	}
	for _, res := range v.Residents {
		if res.Name == name && res.Ready {
			return true
		}
	}
	return false
}

// quarantineFor returns the quarantine duration configured for a row, or 0 for an
// unknown row.
func (c *core) quarantineFor(row string) time.Duration {
	if s := c.table.Current(); s != nil {
		if r, ok := s.Row(row); ok {
			return r.QuarantineFor
		}
	}
	return 0
}

// stepQueue passes an event to the admission queue and handles its actions.
func (c *core) stepQueue(now time.Time, ev admission.Event) {
	if a, ok := ev.(admission.Arrive); ok {
		c.requests.active[a.Request.ID] = activeRequest{request: a.Request, queuedAt: now}
	}
	for _, a := range slices.Clone(c.queue.Step(now, ev)) {
		switch a := a.(type) {
		case admission.Dispatch:
			c.grant(now, a.ID, a.Grant)
		case admission.Refuse:
			delete(c.requests.active, a.ID)
			c.answer(a.ID, answer{refusal: a.Refusal})
		}
	}
}

// grant records the endpoint of a request and answers its Admit call.
func (c *core) grant(now time.Time, id uint64, g admission.Grant) {
	r := c.requests.active[id]
	r.endpoint, r.trial, r.bootID = g.Endpoint.ID, g.Trial, c.bootID(g.Endpoint.ID)
	c.requests.active[id] = r
	if c.requests.byEndpoint[r.endpoint] == nil {
		c.requests.byEndpoint[r.endpoint] = make(map[uint64]bool)
	}
	c.requests.byEndpoint[r.endpoint][id] = true
	if !g.Trial && r.request.Fingerprint != 0 {
		c.stepQuarantine(now, quarantine.RunStarted{Fingerprint: quarantine.Fingerprint(r.request.Fingerprint)})
	}
	c.answer(id, answer{grant: g})
}

// refuse answers an Admit call with a refusal.
func (c *core) refuse(id uint64, reason admission.Reason, after time.Duration) {
	c.answer(id, answer{refusal: &admission.Refusal{Reason: reason, RetryAfter: max(after, 0)}})
}

// answer completes an Admit call. The reply channel is buffered, so the send does
// not block.
func (c *core) answer(id uint64, a answer) {
	if reply, ok := c.replies[id]; ok {
		delete(c.replies, id)
		reply <- a
	}
}

// finish handles the end of a granted request.
func (c *core) finish(now time.Time, o admission.Outcome) {
	r, ok := c.requests.active[o.ID]
	if !ok {
		return
	}
	if o.Result == admission.ResultLost {
		c.connectionLost(now, r)
	}
	c.release(now, o.ID, r)
	if !r.trial {
		c.stepQueue(now, admission.Finish{Outcome: o})
		return
	}
	c.trialFinished(now, r, o.Result)
}

// release removes a granted request.
func (c *core) release(now time.Time, id uint64, r activeRequest) {
	delete(c.requests.active, id)
	delete(c.requests.byEndpoint[r.endpoint], id)
	if r.trial || r.request.Fingerprint == 0 {
		return
	}
	f := quarantine.Fingerprint(r.request.Fingerprint)
	if p, ok := c.requests.probes[r.endpoint]; ok && p.includes(id) {
		p.endedFingerprints = append(p.endedFingerprints, f)
		return
	}
	c.stepQuarantine(now, quarantine.RunEnded{Fingerprint: f})
}

// cancel removes a request in any state and ends its trial, if it has one.
func (c *core) cancel(now time.Time, id uint64) {
	delete(c.replies, id)
	if d, ok := c.requests.deferred[id]; ok {
		delete(c.requests.deferred, id)
		c.stepQuarantine(now, quarantine.TrialWithdrawn{Request: id, Fingerprint: quarantine.Fingerprint(d.request.Fingerprint)})
		return
	}
	r, ok := c.requests.active[id]
	if !ok {
		return
	}
	if r.endpoint == "" {
		delete(c.requests.active, id)
	} else {
		c.release(now, id, r)
	}
	if r.trial {
		c.trialFinished(now, r, admission.ResultCancelled)
		return
	}
	c.stepQueue(now, admission.Cancel{ID: id})
}

// tickRequests ends probes and waits that have timed out, classifies deaths and
// retries deferred requests.
func (c *core) tickRequests(now time.Time) {
	for id, p := range c.requests.probes {
		if p.diedAt.IsZero() && now.Sub(p.startedAt) > probeTimeout {
			c.probeDone(now, ProbeDone{Endpoint: id})
		}
	}
	c.classifyDeaths(now)
	refresh := now.Sub(c.requests.lastRefresh) >= candidateInterval
	if refresh {
		c.requests.lastRefresh = now
		c.clearExclusions(now)
	}
	for _, id := range sortedKeys(c.requests.deferred) {
		d := c.requests.deferred[id]
		switch {
		case d.reason == deferForProbe:
		case now.Sub(d.since) > deferTimeout:
			c.refuseDeferred(now, id, d)
		case d.reason == deferForRetry:
			delete(c.requests.deferred, id)
			c.requeueRetry(now, d)
		case refresh:
			c.requestTrial(now, d.request)
		}
	}
}

// requeueRetry tries again to queue a deferred retry. If it is deferred again, it
// keeps the time at which its wait began.
func (c *core) requeueRetry(now time.Time, d deferredRequest) {
	c.queueRequest(now, d.request)
	if requeued, ok := c.requests.deferred[d.request.ID]; ok {
		requeued.since = d.since
		c.requests.deferred[d.request.ID] = requeued
	}
}

// clearExclusions lets requests that found no other endpoint return to those on
// which they failed. Such an endpoint may have restarted since, and the others may
// be gone.
func (c *core) clearExclusions(now time.Time) {
	for _, id := range sortedKeys(c.requests.active) {
		r := c.requests.active[id]
		if r.endpoint != "" || len(r.request.Exclude) == 0 || now.Sub(r.queuedAt) < exclusionTimeout {
			continue
		}
		c.stepQueue(now, admission.Cancel{ID: id})
		r.request.Exclude = nil
		c.stepQueue(now, admission.Arrive{Request: r.request})
	}
}

// refuseDeferred refuses a request that was deferred for longer than deferTimeout.
func (c *core) refuseDeferred(now time.Time, id uint64, d deferredRequest) {
	delete(c.requests.deferred, id)
	if d.reason == deferForRetry {
		c.refuse(id, admission.ReasonRetryBudget, deferTimeout)
		return
	}
	c.stepQuarantine(now, quarantine.TrialWithdrawn{Request: id, Fingerprint: quarantine.Fingerprint(d.request.Fingerprint)})
	c.refuse(id, admission.ReasonTrialUnavailable, deferTimeout)
}

// refuseAll refuses every pending Admit call when the control goroutine ends.
func (c *core) refuseAll(reason admission.Reason) {
	for _, id := range sortedKeys(c.replies) {
		c.refuse(id, reason, stoppingRetryAfter)
	}
}
