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
	// bytesPerToken estimates the tokens of a prompt; 4 is usual for English text.
	bytesPerToken = 4
	// defaultMaxTokens bounds the answer to callers that set no limit.
	defaultMaxTokens = 1024

	// The pause before a request is admitted again.
	retryFirst = 50 * time.Millisecond
	retryMax   = 500 * time.Millisecond
)

// modelCall is one request that a model answers. It is used by the goroutine
// of its request only.
type modelCall struct {
	g       *Gateway
	ctx     context.Context
	id      string // request id of the caller
	req     openai.Request
	out     output
	admit   admission.Request
	grant   admission.Grant // of the latest attempt
	arrived time.Time

	next     int // index of the next chunk; all chunks below it are relayed
	bytes    int64
	tokens   int
	firstAt  time.Time
	lastAt   time.Time
	executed engine.Executed // what is known of all attempts so far
	failure  *failure        // of the latest attempt
}

func newModelCall(g *Gateway, w http.ResponseWriter, r *http.Request, req openai.Request, s table.Serving, arrived time.Time) *modelCall {
	c := &modelCall{
		g: g, ctx: r.Context(), id: r.Header.Get(HeaderRequestID), req: req,
		arrived: arrived, executed: engine.ExecutedNo,
	}
	if req.Stream {
		c.out = newStreamOutput(g, w, r, req, arrived)
	} else {
		c.out = &wholeOutput{g: g, w: w, req: req, id: c.id, created: arrived}
	}
	if c.req.MaxTokens == 0 {
		c.req.MaxTokens = defaultMaxTokens // engines need a limit
	}
	c.admit = admission.Request{
		Row: s.Row.Name, Rank: s.Row.Rank, Weight: s.Row.Weight, Limits: s.Row.Limits, Targets: s.Row.Targets,
		Pool: s.Model.Pool, Model: s.Model.Name, Version: s.Model.Version,
		Tokens:      len(req.Prompt)/bytesPerToken + c.req.MaxTokens,
		Fingerprint: openai.Fingerprint(s.Row.Name, req.Prompt),
		Prefix:      openai.PrefixHash(s.Model.Name, req.Prompt),
	}
	if s.Adapter != nil {
		c.admit.Adapter, c.admit.Version = s.Adapter.Name, s.Adapter.Version
	}
	return c
}

// run serves the call and records it.
func (c *modelCall) run() {
	outcome := c.serve()
	now := time.Now()
	c.g.counters.chunks.Add(int64(c.next))
	s := Served{
		Row: c.admit.Row, Rank: c.admit.Rank, Between: c.between(), Whole: now.Sub(c.arrived),
		Outcome: outcome, Targets: c.admit.Targets,
	}
	if outcome == OutcomeRefused || outcome == OutcomeFailed {
		s.Code = c.failure.err.Code
	}
	if !c.firstAt.IsZero() {
		s.FirstToken = c.firstAt.Sub(c.arrived)
	}
	c.g.record(s)
}

// between returns the mean time between tokens so far.
func (c *modelCall) between() time.Duration {
	if c.tokens < 2 {
		return 0
	}
	return c.lastAt.Sub(c.firstAt) / time.Duration(c.tokens-1)
}

// serve admits the call and relays its answer, on another endpoint from the
// first missing chunk if one is lost.
func (c *modelCall) serve() Outcome {
	pause := backoff.ExponentialBackOff{
		InitialInterval: retryFirst, MaxInterval: retryMax,
		Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor,
	}
	pause.Reset()
	for attempt := range c.g.cfg.Limits.MaxAttempts {
		if attempt > 0 {
			if !sleep(c.ctx, pause.NextBackOff()) {
				return OutcomeCancelled
			}
			c.admit.Readmitted = true
		}
		if err := c.ask(); err != nil {
			return c.refused(err)
		}
		if attempt > 0 && c.next > 0 {
			c.g.counters.resumed.Add(1)
		}
		switch c.attempt() {
		case admission.ResultAnswered:
			return OutcomeAnswered
		case admission.ResultCancelled:
			return OutcomeCancelled
		}
	}
	c.failure.executed = c.executed
	c.out.fail(c.failure)
	return OutcomeFailed
}

// ask waits for a grant.
func (c *modelCall) ask() (err error) {
	c.admit.ID = c.g.sequence.Add(1)
	c.grant, err = c.g.control.Admit(c.ctx, c.admit)
	return err
}

func (c *modelCall) refused(err error) Outcome {
	if c.ctx.Err() != nil {
		return OutcomeCancelled
	}
	c.failure = refusalFailure(err, c.executed)
	c.out.fail(c.failure)
	if c.executed == engine.ExecutedNo {
		return OutcomeRefused
	}
	return OutcomeFailed
}

// attempt runs the call on the granted endpoint and finishes the grant, also
// when the goroutine panics.
func (c *modelCall) attempt() (result admission.Result) {
	start, before := time.Now(), c.tokens
	result = admission.ResultFailed
	defer func() { c.finish(result, start, c.tokens-before) }()
	client := c.g.cfg.Engine(c.grant.Endpoint)
	if c.grant.LoadAdapter {
		if f, exclude := c.loadAdapter(client); f != nil {
			if c.ctx.Err() != nil {
				return admission.ResultCancelled
			}
			c.failure = f
			if exclude {
				c.exclude()
			}
			return admission.ResultFailed
		}
	}
	return c.relay(client)
}

func (c *modelCall) finish(result admission.Result, start time.Time, tokens int) {
	now := time.Now()
	o := admission.Outcome{
		ID: c.admit.ID, Endpoint: c.grant.Endpoint.ID, Result: result,
		Fingerprint: c.admit.Fingerprint, Trial: c.grant.Trial,
		Tokens: tokens, BetweenTokens: c.between(),
		Duration: now.Sub(start), Total: now.Sub(c.arrived),
	}
	if !c.firstAt.IsZero() {
		o.FirstToken = c.firstAt.Sub(c.arrived)
	}
	c.g.control.Finish(o)
}

func (c *modelCall) exclude() {
	if !slices.Contains(c.admit.Exclude, c.grant.Endpoint.ID) {
		// A copy, because the control goroutine may still hold the old slice.
		c.admit.Exclude = append(slices.Clone(c.admit.Exclude), c.grant.Endpoint.ID)
	}
}

// engineRequestID returns an id that no other request of the fleet has, so
// that an answer to another request is always recognised. Callers choose
// their own ids, which may be equal.
func (c *modelCall) engineRequestID() string {
	self := c.g.control.Snapshot().Self
	return fmt.Sprintf("%s.%s.%x.%x", c.id, self.ID, uint64(self.Incarnation), c.g.sequence.Add(1))
}
