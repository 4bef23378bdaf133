package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/openai"
)

// relay runs one attempt on an engine. Chunks are relayed only after they are
// known to belong to this request and to follow the last one relayed.
func (c *modelCall) relay(client engine.Client) admission.Result {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	watch := newWatchdog(c.g.cfg.Limits.EngineStall, cancel)
	defer watch.timer.Stop()
	id := c.engineRequestID()
	stream, err := c.generate(ctx, client, id)
	if err != nil {
		return c.engineFailed(err, watch.fired.Load())
	}
	defer func() { _ = stream.Close() }()
	buffered, _ := stream.(engine.BufferedStream)
	var chunk engine.Chunk
	for {
		if chunk, err = stream.Next(); err == nil {
			err = c.check(&chunk, id)
		}
		if err != nil {
			return c.broken(err, watch)
		}
		now := time.Now()
		c.account(&chunk, now)
		watch.last.Store(now.UnixNano())
		more := chunk.Final || buffered != nil && buffered.Buffered()
		if c.out.text(chunk.Text, more) != nil {
			return admission.ResultCancelled
		}
		if chunk.Final {
			return c.complete(&chunk)
		}
	}
}

// complete ends an answer whose chunks are all relayed.
func (c *modelCall) complete(final *engine.Chunk) admission.Result {
	u := openai.Usage{PromptTokens: final.PromptTokens, CompletionTokens: final.CompletionTokens}
	if c.out.end(final.FinishReason, u) != nil {
		return admission.ResultCancelled
	}
	return admission.ResultAnswered
}

// broken handles a stream that ended before its final chunk.
func (c *modelCall) broken(err error, watch *watchdog) admission.Result {
	if errors.Is(err, io.EOF) {
		err = &engine.Error{Kind: engine.Truncated, Err: errors.New("no final chunk")}
	}
	if c.out.flush() != nil {
		return admission.ResultCancelled
	}
	return c.engineFailed(err, watch.fired.Load())
}

// generate starts the answer on the engine from the first chunk that is
// missing.
func (c *modelCall) generate(ctx context.Context, client engine.Client, id string) (engine.Stream, error) {
	return client.Generate(ctx, engine.GenerateRequest{
		RequestID: id, Model: c.admit.Model, Adapter: c.admit.Adapter, Version: c.admit.Version,
		Prompt: c.req.Prompt, MaxTokens: c.req.MaxTokens, Priority: c.admit.Rank, ResumeFrom: c.next,
	})
}

// watchdog cancels an attempt whose engine has sent nothing for too long. A
// chunk only stores its time; the timer starts again when it finds that there
// were chunks, which is cheaper than moving it with every chunk.
type watchdog struct {
	timer *time.Timer
	last  atomic.Int64 // Unix nanoseconds
	fired atomic.Bool
}

func newWatchdog(limit time.Duration, cancel func()) *watchdog {
	w := &watchdog{}
	w.last.Store(time.Now().UnixNano())
	started := make(chan struct{}) // w.timer is set
	w.timer = time.AfterFunc(limit, func() {
		<-started
		if left := limit - time.Since(time.Unix(0, w.last.Load())); left > 0 {
			w.timer.Reset(left)
			return
		}
		w.fired.Store(true)
		cancel()
	})
	close(started)
	return w
}

// account notes a chunk that has passed the check.
func (c *modelCall) account(chunk *engine.Chunk, now time.Time) {
	c.executed = engine.ExecutedYes
	c.next++
	c.bytes += int64(len(chunk.Text))
	if chunk.Tokens == 0 {
		return
	}
	c.lastAt = now
	if c.firstAt.IsZero() {
		c.firstAt = c.lastAt
	}
	c.tokens += chunk.Tokens
}

var (
	errOtherRequest = errors.New("the chunk belongs to another request")
	errOutOfOrder   = errors.New("the chunk is out of order")
	errBadChunk     = errors.New("the chunk has impossible values")
	errTooLarge     = errors.New("the answer is too large")
)

// check verifies that a chunk is the next one of this request.
func (c *modelCall) check(chunk *engine.Chunk, id string) error {
	switch {
	case chunk.RequestID != id:
		return &engine.Error{Kind: engine.Crossed, Err: errOtherRequest}
	case chunk.Index != c.next:
		return &engine.Error{Kind: engine.Malformed, Err: errOutOfOrder}
	case chunk.Tokens < 0, chunk.PromptTokens < 0, chunk.CompletionTokens < 0,
		chunk.Final && chunk.FinishReason != "stop" && chunk.FinishReason != "length":
		return &engine.Error{Kind: engine.Malformed, Err: errBadChunk}
	case c.bytes+int64(len(chunk.Text)) > c.g.cfg.Limits.MaxAnswerBytes:
		return &engine.Error{Kind: engine.Malformed, Err: errTooLarge}
	}
	return nil
}

// engineFailed classifies the end of an attempt that gave no whole answer and
// notes the answer for the caller in case no other endpoint can go on.
func (c *modelCall) engineFailed(err error, stalled bool) admission.Result {
	if c.ctx.Err() != nil {
		return admission.ResultCancelled
	}
	c.exclude()
	executed := engine.ExecutedUnknown
	var e *engine.Error
	if errors.As(err, &e) {
		executed = e.Executed
	}
	if executed == engine.ExecutedUnknown && c.executed == engine.ExecutedNo {
		c.executed = engine.ExecutedUnknown
	}
	if executed == engine.ExecutedYes {
		c.executed = engine.ExecutedYes
	}
	kind, known := engine.ErrorKindOf(err)
	if !known || stalled {
		kind = engine.Cancelled // the stream was given up without an answer of the engine
	}
	if stalled {
		c.g.counters.stalled.Add(1)
	}
	code := openai.CodeEndpointLost
	result := admission.ResultLost
	switch kind {
	case engine.Crossed, engine.Malformed:
		code, result = openai.CodeEndpointAnswer, admission.ResultFailed
		c.countBadAnswer(kind)
	case engine.Refused, engine.NotResident:
		code, result = openai.CodeEndpointUnreachable, admission.ResultFailed
	case engine.Truncated:
		c.g.counters.truncated.Add(1)
	case engine.Unreachable:
		if executed == engine.ExecutedNo {
			// The request never reached the endpoint, so it is no suspect of
			// having crashed it.
			code, result = openai.CodeEndpointUnreachable, admission.ResultFailed
		}
	}
	if result == admission.ResultLost {
		c.g.counters.lost.Add(1)
	}
	c.failure = failf(code, c.executed, "endpoint %s gave no whole answer: %v", c.grant.Endpoint.ID, err).after(retrySoon)
	return result
}

func (c *modelCall) countBadAnswer(kind engine.ErrorKind) {
	if kind == engine.Crossed {
		c.g.counters.crossed.Add(1)
		return
	}
	c.g.counters.malformed.Add(1)
}
