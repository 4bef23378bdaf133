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
	"github.com/hyssophaven/hyssophaven/idempotency/record"
	"github.com/hyssophaven/hyssophaven/openai"
)

// keyedCall carries out the actions of one idempotency.Call. It runs in its
// own goroutine, since storing may go on after the caller has been answered.
type keyedCall struct {
	*serviceCall
	ctx   context.Context // of the caller
	key   string          // of the record
	call  *idempotency.Call
	told  chan idempotency.Tell
	ended bool

	answered           bool // the caller has been told
	goneTold, stopTold bool // the call knows that the caller is gone, or that the instance stops

	// Written before told is sent to, read after it has been received from.
	answer  *serviceAnswer
	failure *failure
}

// serveKeyed serves a call with an Idempotency-Key.
func (g *Gateway) serveKeyed(w http.ResponseWriter, c *serviceCall, key string) {
	g.counters.keyed.Add(1)
	self := g.control.Snapshot().Self
	owner := idempotency.Owner{Instance: self.ID, Incarnation: self.Incarnation, Call: g.sequence.Add(1)}
	k := &keyedCall{
		serviceCall: c, ctx: c.r.Context(),
		key:  idempotency.ClaimKey(c.row.Name, credential(c.r), key),
		told: make(chan idempotency.Tell, 1),
	}
	k.call = idempotency.NewCall(g.cfg.Claims, k.key, owner, idempotency.BodyHash(c.r.Method, c.target, c.body))
	g.background.Go(k.run)
	select {
	case t := <-k.told:
		g.replyKeyed(w, k, t)
	case <-k.ctx.Done():
		c.record(OutcomeCancelled)
	}
}

// credential identifies the caller, so that callers can't see each other's answers.
func credential(r *http.Request) string {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return "certificate " + string(r.TLS.PeerCertificates[0].Raw)
	}
	return "authorization " + r.Header.Get("Authorization")
}

// run carries out actions until there are none.
func (k *keyedCall) run() {
	queue := k.call.Step(time.Now(), idempotency.Begun{})
	for len(queue) > 0 && !k.ended {
		a := queue[0]
		queue = queue[1:]
		ev := k.do(a)
		if ev == nil {
			continue
		}
		queue = append(queue, k.interrupts()...)
		queue = append(queue, k.call.Step(time.Now(), ev)...)
	}
}

// interrupts tells the call what has changed around it.
func (k *keyedCall) interrupts() []idempotency.Action {
	var out []idempotency.Action
	if !k.goneTold && k.ctx.Err() != nil {
		k.goneTold = true
		out = append(out, k.call.Step(time.Now(), idempotency.CallerGone{})...)
	}
	select {
	case <-k.g.stopping:
		if !k.stopTold {
			k.stopTold = true
			out = append(out, k.call.Step(time.Now(), idempotency.Stopping{})...)
		}
	default:
	}
	return out
}

// do carries out one action and returns the event that answers it, if any.
func (k *keyedCall) do(a idempotency.Action) idempotency.Event {
	switch a := a.(type) {
	case idempotency.Commit:
		return k.commit(a)
	case idempotency.Read:
		return k.load()
	case idempotency.PutObject:
		ctx, cancel := k.storeContext(k.g.cfg.Limits.StoreTimeout)
		defer cancel()
		if k.g.cfg.Objects.Put(ctx, a.Name, a.Body) != nil {
			return idempotency.ObjectFailed{}
		}
		return idempotency.ObjectStored{}
	case idempotency.Send:
		return k.send()
	case idempotency.Wait:
		k.wait(a.Until)
		return idempotency.Woken{}
	case idempotency.Tell:
		k.answered = true
		k.told <- a
	case idempotency.End:
		k.ended = true
	}
	return nil
}

// storeContext bounds a store call. It outlives the caller, because a claim
// must be settled even if the caller hangs up.
func (k *keyedCall) storeContext(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(k.ctx), limit)
}

func (k *keyedCall) commit(a idempotency.Commit) idempotency.Event {
	value, err := record.Encode(a.Record)
	if err != nil {
		return idempotency.StoreDown{}
	}
	limit := k.g.cfg.Limits.StoreTimeout
	if a.Record.Status == idempotency.Done && !k.answered {
		limit = min(limit, k.g.cfg.Claims.AnswerWithin) // the caller waits for this write
	}
	ctx, cancel := k.storeContext(limit)
	defer cancel()
	versions, err := k.g.cfg.Table.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{{Key: k.key, Version: a.IfVersion}},
		Writes:     []backing.Write{{Key: k.key, Value: value}},
	})
	switch {
	case err == nil && len(versions) == 1:
		return idempotency.Committed{Version: versions[0]}
	case errors.Is(err, backing.ErrConflict):
		return idempotency.Conflicted{}
	case errors.Is(err, backing.ErrUnavailable):
		return idempotency.StoreDown{}
	default:
		return idempotency.StoreLost{}
	}
}

func (k *keyedCall) load() idempotency.Event {
	ctx, cancel := k.storeContext(k.g.cfg.Limits.StoreTimeout)
	defer cancel()
	records, err := k.g.cfg.Table.Read(ctx, backing.Query{Keys: []string{k.key}})
	if err != nil {
		return idempotency.LoadFailed{}
	}
	i := slices.IndexFunc(records, func(r backing.Record) bool { return r.Key == k.key })
	if i < 0 {
		return idempotency.Loaded{}
	}
	rec, err := record.Decode(records[i].Value)
	if err != nil {
		k.g.cfg.Log.Error("claim record cannot be read", "key", k.key, "error", err)
		return idempotency.LoadFailed{}
	}
	snap := k.g.control.Snapshot()
	alive := snap.AliveIncarnations[rec.Owner.Instance] == rec.Owner.Incarnation ||
		rec.Owner.Instance == snap.Self.ID && rec.Owner.Incarnation == snap.Self.Incarnation
	return idempotency.Loaded{Found: true, Version: records[i].Version, Record: rec, OwnerAlive: alive}
}

// send sends the request to the service.
func (k *keyedCall) send() idempotency.Event {
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
		return idempotency.SendLost{}
	}
}

// wait pauses until the given time or until the instance stops.
func (k *keyedCall) wait(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	if k.stopTold {
		<-timer.C
		return
	}
	select {
	case <-timer.C:
	case <-k.g.stopping:
	}
}

// replyKeyed answers the caller of a keyed call.
func (g *Gateway) replyKeyed(w http.ResponseWriter, k *keyedCall, t idempotency.Tell) {
	if t.Verdict == idempotency.Ran || t.Verdict == idempotency.Replayed {
		outcome := OutcomeAnswered
		if err := g.replyAnswer(w, k, t); err != nil {
			outcome = OutcomeCancelled
		}
		k.record(outcome)
		return
	}
	f := keyedFailure(k, t.Verdict)
	if f.executed == engine.ExecutedUnknown {
		g.counters.keyedUnknown.Add(1)
	}
	g.fail(w, f)
	k.recordFailure(f)
}

// keyedFailure returns the answer for a verdict without an answer of the service.
func keyedFailure(k *keyedCall, v idempotency.Verdict) *failure {
	switch v {
	case idempotency.StoreUnavailable:
		return failf(openai.CodeStoreUnavailable, engine.ExecutedNo, "the key could not be claimed, so the request was not sent").after(retrySoon)
	case idempotency.NotExecuted:
		if k.failure != nil {
			return k.failure
		}
		return failf(openai.CodeNoEndpoint, engine.ExecutedNo, "the request was not sent").after(retrySoon)
	case idempotency.InProgress:
		return failf(openai.CodeInProgress, engine.ExecutedUnknown, "a request with this key is in progress").after(retrySoon)
	case idempotency.OtherBody:
		return failf(openai.CodeKeyReused, engine.ExecutedNo, "the key was used for another request")
	case idempotency.EarlierUnknown:
		return failf(openai.CodeOutcomeUnknown, engine.ExecutedUnknown, "the outcome of the first request with this key is unknown; look it up at the service")
	default:
		f := failf(openai.CodeOutcomeUnknown, engine.ExecutedUnknown, "the request was sent and its answer was lost; look it up at the service")
		f.err.Status = http.StatusBadGateway
		return f
	}
}

// replyAnswer gives the service's answer, from this call or from the record.
func (g *Gateway) replyAnswer(w http.ResponseWriter, k *keyedCall, t idempotency.Tell) error {
	if t.Verdict == idempotency.Ran && k.failure != nil {
		g.fail(w, k.failure)
		return nil
	}
	if t.Verdict == idempotency.Ran {
		return g.writeService(w, k.answer)
	}
	g.counters.keyedReplayed.Add(1)
	w.Header().Set(HeaderReplayed, "true")
	a := t.Answer
	if a.Object != "" {
		ctx, cancel := k.storeContext(g.cfg.Limits.StoreTimeout)
		defer cancel()
		body, err := g.cfg.Objects.Get(ctx, a.Object)
		if err != nil && !errors.Is(err, backing.ErrNotFound) {
			g.fail(w, failf(openai.CodeStoreUnavailable, engine.ExecutedYes, "the request ran; its stored answer cannot be read now").after(retrySoon))
			return nil
		}
		a.Body, a.BodyLost = body, err != nil
	}
	if a.BodyLost {
		f := failf(openai.CodeAnswerNotKept, engine.ExecutedYes, "the request ran with status %d; the body of its answer was not kept", a.Status)
		f.err.Status = a.Status
		g.fail(w, f)
		return nil
	}
	header := http.Header{}
	for name, value := range map[string]string{"Content-Type": a.ContentType, "Location": a.Location} {
		if value != "" {
			header.Set(name, value)
		}
	}
	return g.writeService(w, &serviceAnswer{status: a.Status, header: header, body: a.Body})
}
