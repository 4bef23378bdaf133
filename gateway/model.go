package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/openai"
	"github.com/hyssophaven/hyssophaven/table"
)

const (
	// bytesPerToken estimates the token count of a prompt; 4 is typical of English text.
	bytesPerToken = 4
	// defaultMaxTokens is the length limit of an answer if the caller sets none.
	defaultMaxTokens = 1024

	// firstRetryPause and maxRetryPause bound the exponential backoff between the
	// attempts of one request.
	firstRetryPause = 50 * time.Millisecond
	maxRetryPause   = 500 * time.Millisecond
)

// modelCall is one request to a model or adapter. Only the goroutine that serves
// the request uses it.
type modelCall struct {
	g            *Gateway
	ctx          context.Context
	requestID    string // from the caller's header or generated
	req          openai.Request
	output       output
	admitRequest admission.Request
	grant        admission.Grant // grant of the latest attempt
	arrived      time.Time

	nextChunk     int // index of the next chunk; all earlier ones are relayed
	relayedBytes  int64
	relayedTokens int
	firstTokenAt  time.Time
	lastTokenAt   time.Time
	executed      engine.Executed // whether any attempt so far was executed
	failure       *failure        // failure of the latest attempt
}

func newModelCall(g *Gateway, w http.ResponseWriter, r *http.Request, req openai.Request, s table.Serving, arrived time.Time) *modelCall {
	c := &modelCall{
		g: g, ctx: r.Context(), requestID: r.Header.Get(HeaderRequestID), req: req,
		arrived: arrived, executed: engine.ExecutedNo,
	}
	if req.Stream {
		c.output = newStreamOutput(g, w, r, req, arrived)
	} else {
		c.output = &bufferedOutput{g: g, w: w, req: req, id: c.requestID, created: arrived}
	}
	if c.req.MaxTokens == 0 {
		c.req.MaxTokens = defaultMaxTokens // engines require a limit
	}
	c.admitRequest = admission.Request{
		Row: s.Row.Name, Rank: s.Row.Rank, Weight: s.Row.Weight, Limits: s.Row.Limits, Targets: s.Row.Targets,
		Pool: s.Model.Pool, Model: s.Model.Name, Version: s.Model.Version,
		Tokens:      len(req.Prompt)/bytesPerToken + c.req.MaxTokens,
		Fingerprint: openai.Fingerprint(s.Row.Name, req.Prompt),
		Prefix:      openai.RoutingPrefixHash(s.Model.Name, req.Prompt),
	}
	if s.Adapter != nil {
		c.admitRequest.Adapter, c.admitRequest.Version = s.Adapter.Name, s.Adapter.Version
	}
	return c
}

// run serves the call and records it.
func (c *modelCall) run() {
	outcome := c.serve()
	now := time.Now()
	c.g.counters.chunksRelayed.Add(int64(c.nextChunk))
	s := FinishedRequest{
		Row: c.admitRequest.Row, Rank: c.admitRequest.Rank, TimeBetweenTokens: c.meanTimeBetweenTokens(), Duration: now.Sub(c.arrived),
		Outcome: outcome, Targets: c.admitRequest.Targets,
	}
	if outcome == OutcomeRefused || outcome == OutcomeFailed {
		s.Code = c.failure.err.Code
	}
	if !c.firstTokenAt.IsZero() {
		s.TimeToFirstToken = c.firstTokenAt.Sub(c.arrived)
	}
	c.g.recordFinished(s)
}

// meanTimeBetweenTokens returns the mean time between tokens so far.
func (c *modelCall) meanTimeBetweenTokens() time.Duration {
	if c.relayedTokens < 2 {
		return 0
	}
	return c.lastTokenAt.Sub(c.firstTokenAt) / time.Duration(c.relayedTokens-1)
}

// serve admits the call and relays its answer. If an endpoint is lost, it resumes
// on another one from the first missing chunk.
func (c *modelCall) serve() Outcome {
	pause := backoff.ExponentialBackOff{
		InitialInterval: firstRetryPause, MaxInterval: maxRetryPause,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	pause.Reset()
	for attempt := range c.g.cfg.Limits.MaxAttempts {
		if attempt > 0 {
			if !sleep(c.ctx, pause.NextBackOff()) {
				return OutcomeCancelled
			}
			c.admitRequest.Readmitted = true
		}
		if err := c.awaitGrant(); err != nil {
			return c.handleRefusal(err)
		}
		if attempt > 0 && c.nextChunk > 0 {
			c.g.counters.answersResumed.Add(1)
		}
		switch c.attempt() {
		case admission.ResultAnswered:
			return OutcomeAnswered
		case admission.ResultCancelled:
			return OutcomeCancelled
		}
	}
	c.failure.executed = c.executed
	c.output.writeFailure(c.failure)
	return OutcomeFailed
}

// awaitGrant asks for admission and waits for the grant.
func (c *modelCall) awaitGrant() (err error) {
	c.admitRequest.ID = c.g.sequence.Add(1)
	c.grant, err = c.g.control.Admit(c.ctx, c.admitRequest)
	return err
}

func (c *modelCall) handleRefusal(err error) Outcome {
	if c.ctx.Err() != nil {
		return OutcomeCancelled
	}
	c.failure = refusalFailure(err, c.executed)
	c.output.writeFailure(c.failure)
	if c.executed == engine.ExecutedNo {
		return OutcomeRefused
	}
	return OutcomeFailed
}

// attempt runs the call on the granted endpoint. It finishes the grant even if the
// goroutine panics.
func (c *modelCall) attempt() (result admission.Result) {
	start, before := time.Now(), c.relayedTokens
	result = admission.ResultFailed
	defer func() { c.finishGrant(result, start, c.relayedTokens-before) }()
	client := c.g.cfg.EngineClient(c.grant.Endpoint)
	if c.grant.LoadAdapter {
		if f, exclude := c.loadAdapter(client); f != nil {
			if c.ctx.Err() != nil {
				return admission.ResultCancelled
			}
			c.failure = f
			if exclude {
				c.excludeEndpoint()
			}
			return admission.ResultFailed
		}
	}
	return c.relay(client)
}

func (c *modelCall) finishGrant(result admission.Result, start time.Time, tokens int) {
	now := time.Now()
	o := admission.Outcome{
		ID: c.admitRequest.ID, Endpoint: c.grant.Endpoint.ID, Result: result,
		Fingerprint: c.admitRequest.Fingerprint, Trial: c.grant.Trial,
		Tokens: tokens, BetweenTokens: c.meanTimeBetweenTokens(),
		Duration: now.Sub(start), Total: now.Sub(c.arrived),
	}
	if !c.firstTokenAt.IsZero() {
		o.FirstToken = c.firstTokenAt.Sub(c.arrived)
	}
	c.g.control.Finish(o)
}

func (c *modelCall) excludeEndpoint() {
	if !slices.Contains(c.admitRequest.Exclude, c.grant.Endpoint.ID) {
		// Copy the slice, because the control goroutine may still read the old one.
		c.admitRequest.Exclude = append(slices.Clone(c.admitRequest.Exclude), c.grant.Endpoint.ID)
	}
}

// engineRequestID returns a request id that is unique in the fleet, so that an
// answer to another request is always detected. Callers choose their own request
// ids, so those are not necessarily unique.
func (c *modelCall) engineRequestID() string {
	self := c.g.control.Snapshot().Self
	return fmt.Sprintf("%s.%s.%x.%x", c.requestID, self.ID, uint64(self.Incarnation), c.g.sequence.Add(1))
}
