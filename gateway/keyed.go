package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/idempotency"
	"github.com/hyssophaven/hyssophaven/idempotency/claimrecord"
	"github.com/hyssophaven/hyssophaven/openai"
)

// keyedCall performs the actions of one idempotency.Call. It runs in a goroutine of
// its own, because recording the outcome can outlast the caller's request.
type keyedCall struct {
	*serviceCall
	ctx       context.Context // context of the caller's request
	recordKey string          // key of the claim record in the table store
	call      *idempotency.Call
	verdict   chan idempotency.Reply // receives the one reply for the caller
	ended     bool                   // the call has no more actions
	storeEra  uint64                 // era of the table service when the call began
	queue     []idempotency.Action   // actions that are not performed yet

	callerAnswered                       bool // the reply has been sent on verdict
	callerGoneReported, stoppingReported bool // whether the events CallerGone and Stopping were passed to the call

	// answer and failure are written before the send on verdict and read after the
	// receive from it.
	answer  *serviceAnswer
	failure *failure
}

// serveKeyed serves a call that has an Idempotency-Key header.
func (g *Gateway) serveKeyed(w http.ResponseWriter, c *serviceCall, key string) {
	g.counters.keyedCalls.Add(1)
	snapshot := g.control.Snapshot()
	self := snapshot.Self
	owner := idempotency.Owner{Instance: self.ID, Incarnation: self.Incarnation, Call: g.sequence.Add(1)}
	k := &keyedCall{
		serviceCall: c, ctx: c.r.Context(),
		recordKey: idempotency.ClaimKey(c.row.Name, credential(c.r), key),
		verdict:   make(chan idempotency.Reply, 1),
		storeEra:  snapshot.StoreEra,
	}
	if snapshot.StoreUnsettled {
		g.writeKeyedReply(w, k, idempotency.Reply{Verdict: idempotency.StoreUnavailable})
		return
	}
	k.call = idempotency.NewCall(g.cfg.Claims, k.recordKey, owner, idempotency.BodyHash(c.r.Method, c.requestURI, c.body))
	k.memory.share()
	g.background.Go(func() {
		defer k.memory.close()
		k.run()
	})
	select {
	case t := <-k.verdict:
		g.writeKeyedReply(w, k, t)
	case <-k.ctx.Done():
		c.record(OutcomeCancelled)
	}
}

// credential returns the caller's credential. It is part of the record key, so that
// callers can't read each other's answers.
func credential(r *http.Request) string {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return "certificate " + string(r.TLS.PeerCertificates[0].Raw)
	}
	return "authorization " + r.Header.Get("Authorization")
}

// run performs the call's actions until none is left or the call ends.
func (k *keyedCall) run() {
	k.enqueue(k.call.Step(time.Now(), idempotency.Begun{Era: k.storeEra}))
	for len(k.queue) > 0 && !k.ended {
		a := k.queue[0]
		k.queue = k.queue[1:]
		ev := k.perform(a)
		if ev == nil {
			continue
		}
		k.enqueue(k.reportInterrupts())
		k.enqueue(k.call.Step(time.Now(), ev))
	}
}

// enqueue adds actions to the queue. A record is kept at once, so that no action
// comes between the claim and its copy.
func (k *keyedCall) enqueue(actions []idempotency.Action) {
	for _, a := range actions {
		if kept, ok := a.(idempotency.Keep); ok {
			k.g.claims.keep(time.Now(), k.recordKey, kept.Record)
			continue
		}
		k.queue = append(k.queue, a)
	}
}

// reportInterrupts reports to the call, once each, that its caller has hung up and
// that the gateway is stopping. It returns the resulting actions.
func (k *keyedCall) reportInterrupts() []idempotency.Action {
	var out []idempotency.Action
	if !k.callerGoneReported && k.ctx.Err() != nil {
		k.callerGoneReported = true
		out = append(out, k.call.Step(time.Now(), idempotency.CallerGone{})...)
	}
	select {
	case <-k.g.stopping:
		if !k.stoppingReported {
			k.stoppingReported = true
			out = append(out, k.call.Step(time.Now(), idempotency.Stopping{})...)
		}
	default:
	}
	return out
}

// perform executes one action and returns the resulting event, or nil if there is
// none.
func (k *keyedCall) perform(a idempotency.Action) idempotency.Event {
	switch a := a.(type) {
	case idempotency.Commit:
		return k.commitRecord(a)
	case idempotency.Read:
		return k.loadRecord()
	case idempotency.PutObject:
		ctx, cancel := k.storeContext(k.g.cfg.Limits.StoreTimeout)
		defer cancel()
		if k.g.cfg.Objects.Put(ctx, a.Name, a.Body) != nil {
			return idempotency.ObjectFailed{}
		}
		return idempotency.ObjectStored{}
	case idempotency.Send:
		return k.sendRequest()
	case idempotency.Wait:
		k.waitUntil(a.Until)
		return idempotency.WaitEnded{}
	case idempotency.Reply:
		k.callerAnswered = true
		k.verdict <- a
	case idempotency.End:
		k.ended = true
	}
	return nil
}

// storeContext returns a context for a store call. It is not cancelled when the
// caller hangs up, because the claim must still get its outcome.
func (k *keyedCall) storeContext(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(k.ctx), limit)
}

// commitRecord writes the claim record if its version is still a.IfVersion.
func (k *keyedCall) commitRecord(a idempotency.Commit) idempotency.Event {
	value, err := claimrecord.Encode(a.Record)
	if err != nil {
		return idempotency.CommitFailed{}
	}
	limit := k.g.cfg.Limits.StoreTimeout
	if a.Record.Status != idempotency.Claimed && !k.callerAnswered {
		limit = min(limit, k.g.cfg.Claims.AnswerHoldTime) // the caller is answered only after this write
	}
	ctx, cancel := k.storeContext(limit)
	defer cancel()
	versions, err := k.g.cfg.Table.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{{Key: k.recordKey, Version: a.IfVersion}},
		Writes:     []backing.Write{{Key: k.recordKey, Value: value}},
	})
	switch {
	case err == nil && len(versions) == 1:
		return idempotency.Committed{Version: versions[0]}
	case errors.Is(err, backing.ErrConflict):
		return idempotency.Conflicted{}
	case errors.Is(err, backing.ErrUnavailable):
		return idempotency.CommitFailed{}
	default:
		return idempotency.CommitUnknown{}
	}
}

// loadRecord reads the claim record and determines whether its owner is alive.
func (k *keyedCall) loadRecord() idempotency.Event {
	limit := k.g.cfg.Limits.StoreTimeout
	if sent := k.answer != nil || k.failure != nil; sent && !k.callerAnswered {
		limit = min(limit, k.g.cfg.Claims.AnswerHoldTime) // as in commitRecord
	}
	ctx, cancel := k.storeContext(limit)
	defer cancel()
	records, err := k.g.cfg.Table.Read(ctx, backing.Query{Keys: []string{k.recordKey}})
	if err != nil {
		return idempotency.ReadFailed{}
	}
	i := slices.IndexFunc(records, func(r backing.Record) bool { return r.Key == k.recordKey })
	if i < 0 {
		return idempotency.ReadResult{}
	}
	rec, err := claimrecord.Decode(records[i].Value)
	if err != nil {
		k.g.cfg.Log.Error("decoding claim record failed", "key", k.recordKey, "error", err)
		return idempotency.ReadFailed{}
	}
	snap := k.g.control.Snapshot()
	alive := snap.AliveIncarnations[rec.Owner.Instance] == rec.Owner.Incarnation ||
		rec.Owner.Instance == snap.Self.ID && rec.Owner.Incarnation == snap.Self.Incarnation
	return idempotency.ReadResult{Found: true, Version: records[i].Version, Record: rec, OwnerAlive: alive}
}

// sendRequest sends the request to the service and keeps the answer or failure.
func (k *keyedCall) sendRequest() idempotency.Event {
	a, f := k.exchange(k.ctx)
	k.answer, k.failure = a, f
	switch {
	case f == nil:
		return idempotency.Answered{Answer: idempotency.Answer{
			Status: a.status, ContentType: a.header.Get("Content-Type"),
			Location: a.header.Get("Location"), Body: a.body,
		}}
	case f.executed == engine.ExecutedNo:
		return idempotency.NotSent{}
	case f.err.Code == openai.CodeAnswerTooLarge:
		return idempotency.Answered{Answer: idempotency.Answer{Status: a.status, BodyLost: true}}
	default:
		return idempotency.SendUnknown{}
	}
}

// waitUntil pauses until the given time. It returns early when background
// goroutines must give up, unless the call already knows that.
func (k *keyedCall) waitUntil(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	if k.stoppingReported {
		<-timer.C
		return
	}
	select {
	case <-timer.C:
	case <-k.g.stopping:
	}
}

// writeKeyedReply answers the caller of a keyed call and records the request.
func (g *Gateway) writeKeyedReply(w http.ResponseWriter, k *keyedCall, t idempotency.Reply) {
	if t.Verdict == idempotency.Executed || t.Verdict == idempotency.Replayed {
		outcome := OutcomeAnswered
		if err := g.writeKeyedAnswer(w, k, t); err != nil {
			outcome = OutcomeCancelled
		}
		k.record(outcome)
		return
	}
	f := failureForVerdict(k, t.Verdict)
	if f.executed == engine.ExecutedUnknown {
		g.counters.keyedUnknown.Add(1)
	}
	g.writeFailure(w, f)
	k.recordFailure(f)
}

// failureForVerdict returns the error answer for a verdict without an answer from
// the service.
func failureForVerdict(k *keyedCall, v idempotency.Verdict) *failure {
	switch v {
	case idempotency.StoreUnavailable:
		return failf(openai.CodeStoreUnavailable, engine.ExecutedNo, "the key could not be claimed, so the request was not sent").withRetryAfter(shortRetryAfter)
	case idempotency.NotExecuted:
		if k.failure != nil {
			return k.failure
		}
		return failf(openai.CodeNoEndpoint, engine.ExecutedNo, "the request was not sent").withRetryAfter(shortRetryAfter)
	case idempotency.InProgress:
		return failf(openai.CodeInProgress, engine.ExecutedUnknown, "a request with this key is in progress").withRetryAfter(shortRetryAfter)
	case idempotency.KeyReused:
		return failf(openai.CodeKeyReused, engine.ExecutedNo, "the key was used for another request")
	case idempotency.EarlierUnknown:
		return failf(openai.CodeOutcomeUnknown, engine.ExecutedUnknown, "the outcome of the first request with this key is unknown; look it up at the service")
	default:
		f := failf(openai.CodeOutcomeUnknown, engine.ExecutedUnknown, "the request was sent and its answer was lost; look it up at the service")
		f.err.Status = http.StatusBadGateway
		return f
	}
}

// writeKeyedAnswer writes the service's answer, taken from this call or from the
// claim record. It writes an error if the answer's body is too large, lost or not
// readable now.
func (g *Gateway) writeKeyedAnswer(w http.ResponseWriter, k *keyedCall, t idempotency.Reply) error {
	if t.Verdict == idempotency.Executed && k.failure != nil {
		g.writeFailure(w, k.failure)
		return nil
	}
	if t.Verdict == idempotency.Executed {
		return g.writeServiceAnswer(w, k.answer)
	}
	g.counters.keyedReplayed.Add(1)
	w.Header().Set(HeaderReplayed, "true")
	a := t.Answer
	if a.Object != "" {
		ctx, cancel := k.storeContext(g.cfg.Limits.StoreTimeout)
		defer cancel()
		body, err := g.cfg.Objects.Get(ctx, a.Object)
		if err != nil && !errors.Is(err, backing.ErrNotFound) {
			g.writeFailure(w, failf(openai.CodeStoreUnavailable, engine.ExecutedYes, "the request ran; its stored answer cannot be read now").withRetryAfter(shortRetryAfter))
			return nil
		}
		a.Body, a.BodyLost = body, err != nil
	}
	if a.BodyLost {
		f := failf(openai.CodeAnswerNotKept, engine.ExecutedYes, "the request ran with status %d; the body of its answer was not kept", a.Status)
		f.err.Status = a.Status
		g.writeFailure(w, f)
		return nil
	}
	header := http.Header{}
	for name, value := range map[string]string{"Content-Type": a.ContentType, "Location": a.Location} {
		if value != "" {
			header.Set(name, value)
		}
	}
	return g.writeServiceAnswer(w, &serviceAnswer{status: a.Status, header: header, body: a.Body})
}
