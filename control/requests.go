package control

import (
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/quarantine"
)

const (
	// probeTimeout bounds the wait for a probe of an endpoint whose
	// connections broke; without an answer the endpoint counts as lost.
	probeTimeout = 2 * time.Second
	// deathSettleTime is how long a death waits for others; a probe of a host
	// that is gone takes up to 1 s.
	deathSettleTime = 1500 * time.Millisecond
	// commonCauseDeaths is the number of endpoints that die together from which
	// on a common cause is assumed.
	commonCauseDeaths = 3
	// holdTimeout bounds the wait of a request for its trial or for the retry
	// budget.
	holdTimeout = 3 * time.Minute
	// exclusionTime is how long a request waits for an endpoint other than
	// those that failed it.
	exclusionTime = 2 * time.Second
	// excludedLoad puts endpoints that failed a request behind all others.
	excludedLoad = 1 << 20
	// candidateInterval is the time between updates of the endpoints on which
	// a trial may run.
	candidateInterval = time.Second
	// stoppingRetryAfter is told to callers that still reach a stopping or
	// isolated instance; the balancer sends them elsewhere.
	stoppingRetryAfter = time.Second
)

// requests tracks the requests of this instance by their IDs.
type requests struct {
	running    map[uint64]running // passed to the admission queue, or granted
	byEndpoint map[fleet.EndpointID]map[uint64]bool
	// held are requests that wait before they are queued.
	held      map[uint64]heldRequest
	refreshed time.Time // when the candidates of trials were last updated
	probes    map[fleet.EndpointID]*probe
	dead      map[fleet.EndpointID]string // last boot of an endpoint that is known to have died
}

// running is a request that waits in the admission queue or runs on an endpoint.
type running struct {
	request  admission.Request
	queued   time.Time        // when it was passed to the admission queue
	endpoint fleet.EndpointID // empty while it waits
	trial    bool
	bootID   string // of the endpoint when the request was granted
}

type heldRequest struct {
	request admission.Request
	since   time.Time
	wait    waitReason
	probe   fleet.EndpointID // with waitProbe
}

// waitReason is why a request is held back before it is queued.
type waitReason uint8

const (
	waitTrial waitReason = iota // its content is suspected; it runs in a trial
	waitProbe                   // a probe decides whether its content is suspected
	waitRetry                   // the retry budget is used up for now
)

// probe asks whether an endpoint whose connections broke has died.
type probe struct {
	bootID string // when the connections broke
	since  time.Time
	diedAt time.Time // when the endpoint was found dead; zero before
	lost   []running // requests that were in flight
	// ended are requests of lost that have finished meanwhile; quarantine is
	// told of their end after it was told of the loss.
	ended []quarantine.Fingerprint
}

func newRequests() requests {
	return requests{
		running:    make(map[uint64]running),
		byEndpoint: make(map[fleet.EndpointID]map[uint64]bool),
		held:       make(map[uint64]heldRequest),
		probes:     make(map[fleet.EndpointID]*probe),
		dead:       make(map[fleet.EndpointID]string),
	}
}

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
	if place, ok := c.probeOf(r); ok {
		c.requests.held[r.ID] = heldRequest{request: r, since: now, wait: waitProbe, probe: place}
		return
	}
	c.screen(now, r)
}

// probeOf returns the endpoint whose probe may turn the request into a suspect.
func (c *core) probeOf(r admission.Request) (fleet.EndpointID, bool) {
	if r.Fingerprint == 0 {
		return "", false
	}
	for id, p := range c.requests.probes {
		if slices.ContainsFunc(p.lost, func(l running) bool { return l.request.Fingerprint == r.Fingerprint }) {
			return id, true
		}
	}
	return "", false
}

// screen queues a request unless its content is suspected of crashing endpoints.
func (c *core) screen(now time.Time, r admission.Request) {
	verdict, until := quarantine.Clear, time.Time{}
	if r.Fingerprint != 0 {
		verdict, until = c.suspects.Check(quarantine.Fingerprint(r.Fingerprint), now)
	}
	switch verdict {
	case quarantine.Quarantined:
		c.refuse(r.ID, admission.ReasonQuarantined, until.Sub(now))
	case quarantine.NeedsTrial:
		c.requests.held[r.ID] = heldRequest{request: r, since: now}
		c.wantTrial(now, r)
	default:
		c.queueRequest(now, r)
	}
}

// queueRequest passes a request to the admission queue. A retry waits until the
// budget allows it; refusing it would lose work that was accepted.
func (c *core) queueRequest(now time.Time, r admission.Request) {
	if r.Readmitted && !c.retries.AllowRetry(now) {
		c.requests.held[r.ID] = heldRequest{request: r, since: now, wait: waitRetry}
		return
	}
	c.admit(now, admission.Arrive{Request: r})
}

func (c *core) wantTrial(now time.Time, r admission.Request) {
	c.quarantine(now, quarantine.TrialWanted{
		Request: r.ID, Fingerprint: quarantine.Fingerprint(r.Fingerprint),
		Candidates: c.trialCandidates(r), QuarantineFor: c.quarantineFor(r.Row),
	})
}

// trialCandidates returns the endpoints that can run the request, those with
// the least to do first and those that failed it before last.
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
			load[v.Endpoint.ID] += excludedLoad
		}
	}
	slices.SortStableFunc(out, func(a, b quarantine.Candidate) int { return load[a.Endpoint] - load[b.Endpoint] })
	return out
}

// serves reports whether an endpoint has ready what the request needs.
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

func (c *core) quarantineFor(row string) time.Duration {
	if s := c.table.Current(); s != nil {
		if r, ok := s.Row(row); ok {
			return r.QuarantineFor
		}
	}
	return 0
}

// admit passes an event to the admission queue and handles its actions.
func (c *core) admit(now time.Time, ev admission.Event) {
	if a, ok := ev.(admission.Arrive); ok {
		c.requests.running[a.Request.ID] = running{request: a.Request, queued: now}
	}
	for _, a := range slices.Clone(c.queue.Step(now, ev)) {
		switch a := a.(type) {
		case admission.Dispatch:
			c.grant(now, a.ID, a.Grant)
		case admission.Refuse:
			delete(c.requests.running, a.ID)
			c.answer(a.ID, answer{refusal: a.Refusal})
		}
	}
}

// grant lets a request run.
func (c *core) grant(now time.Time, id uint64, g admission.Grant) {
	r := c.requests.running[id]
	r.endpoint, r.trial, r.bootID = g.Endpoint.ID, g.Trial, c.bootID(g.Endpoint.ID)
	c.requests.running[id] = r
	if c.requests.byEndpoint[r.endpoint] == nil {
		c.requests.byEndpoint[r.endpoint] = make(map[uint64]bool)
	}
	c.requests.byEndpoint[r.endpoint][id] = true
	if !g.Trial && r.request.Fingerprint != 0 {
		c.quarantine(now, quarantine.Started{Fingerprint: quarantine.Fingerprint(r.request.Fingerprint)})
	}
	c.answer(id, answer{grant: g})
}

func (c *core) refuse(id uint64, reason admission.Reason, after time.Duration) {
	c.answer(id, answer{refusal: &admission.Refusal{Reason: reason, RetryAfter: max(after, 0)}})
}

// answer ends an Admit call. The channel has room, so this does not block.
func (c *core) answer(id uint64, a answer) {
	if reply, ok := c.replies[id]; ok {
		delete(c.replies, id)
		reply <- a
	}
}

func (c *core) finish(now time.Time, o admission.Outcome) {
	r, ok := c.requests.running[o.ID]
	if !ok {
		return
	}
	if o.Result == admission.ResultLost {
		c.connectionLost(now, r)
	}
	c.release(now, o.ID, r)
	if !r.trial {
		c.admit(now, admission.Finish{Outcome: o})
		return
	}
	c.trialFinished(now, r, o.Result)
}

// release forgets a granted request.
func (c *core) release(now time.Time, id uint64, r running) {
	delete(c.requests.running, id)
	delete(c.requests.byEndpoint[r.endpoint], id)
	if r.trial || r.request.Fingerprint == 0 {
		return
	}
	f := quarantine.Fingerprint(r.request.Fingerprint)
	if p, ok := c.requests.probes[r.endpoint]; ok && p.holds(id) {
		p.ended = append(p.ended, f)
		return
	}
	c.quarantine(now, quarantine.Ended{Fingerprint: f})
}

func (c *core) cancel(now time.Time, id uint64) {
	delete(c.replies, id)
	if h, ok := c.requests.held[id]; ok {
		delete(c.requests.held, id)
		c.quarantine(now, quarantine.TrialWithdrawn{Request: id, Fingerprint: quarantine.Fingerprint(h.request.Fingerprint)})
		return
	}
	r, ok := c.requests.running[id]
	if !ok {
		return
	}
	if r.endpoint == "" {
		delete(c.requests.running, id)
	} else {
		c.release(now, id, r)
	}
	if r.trial {
		c.trialFinished(now, r, admission.ResultCancelled)
		return
	}
	c.admit(now, admission.Cancel{ID: id})
}

// tickRequests ends waits that last too long.
func (c *core) tickRequests(now time.Time) {
	for id, p := range c.requests.probes {
		if p.diedAt.IsZero() && now.Sub(p.since) > probeTimeout {
			c.probeDone(now, ProbeDone{Endpoint: id})
		}
	}
	c.settleDeaths(now)
	refresh := now.Sub(c.requests.refreshed) >= candidateInterval
	if refresh {
		c.requests.refreshed = now
		c.relaxExclusions(now)
	}
	for _, id := range sortedKeys(c.requests.held) {
		h := c.requests.held[id]
		switch {
		case h.wait == waitProbe:
		case now.Sub(h.since) > holdTimeout:
			c.giveUpHeld(now, id, h)
		case h.wait == waitRetry:
			delete(c.requests.held, id)
			c.retryHeld(now, h)
		case refresh:
			c.wantTrial(now, h.request)
		}
	}
}

// retryHeld tries again to queue a retry and keeps the time since it waits.
func (c *core) retryHeld(now time.Time, h heldRequest) {
	c.queueRequest(now, h.request)
	if again, ok := c.requests.held[h.request.ID]; ok {
		again.since = h.since
		c.requests.held[h.request.ID] = again
	}
}

// relaxExclusions lets requests that found no other endpoint go back to those
// that failed them before. Such an endpoint may have restarted since, and the
// others may be gone.
func (c *core) relaxExclusions(now time.Time) {
	for _, id := range sortedKeys(c.requests.running) {
		r := c.requests.running[id]
		if r.endpoint != "" || len(r.request.Exclude) == 0 || now.Sub(r.queued) < exclusionTime {
			continue
		}
		c.admit(now, admission.Cancel{ID: id})
		r.request.Exclude = nil
		c.admit(now, admission.Arrive{Request: r.request})
	}
}

// giveUpHeld refuses a request that was held back for too long.
func (c *core) giveUpHeld(now time.Time, id uint64, h heldRequest) {
	delete(c.requests.held, id)
	if h.wait == waitRetry {
		c.refuse(id, admission.ReasonRetryBudget, holdTimeout)
		return
	}
	c.quarantine(now, quarantine.TrialWithdrawn{Request: id, Fingerprint: quarantine.Fingerprint(h.request.Fingerprint)})
	c.refuse(id, admission.ReasonTrialUnavailable, holdTimeout)
}

// refuseAll answers every caller that still waits when the goroutine ends.
func (c *core) refuseAll(reason admission.Reason) {
	for _, id := range sortedKeys(c.replies) {
		c.refuse(id, reason, stoppingRetryAfter)
	}
}
