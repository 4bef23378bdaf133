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

// relay runs one attempt on an engine. It relays a chunk only after checking that
// it belongs to this request and follows the last relayed chunk.
func (c *modelCall) relay(client engine.Client) admission.Result {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	watch := newWatchdog(c.g.cfg.Limits.EngineStallTimeout, cancel)
	defer watch.timer.Stop()
	id := c.engineRequestID()
	stream, err := c.generate(ctx, client, id)
	if err != nil {
		return c.handleEngineError(err, watch.fired.Load())
	}
	defer func() { _ = stream.Close() }()
	buffered, _ := stream.(engine.BufferedStream)
	var chunk engine.Chunk
	for {
		if chunk, err = stream.Next(); err == nil {
			err = c.validateChunk(&chunk, id)
		}
		if err != nil {
			return c.handleBrokenStream(err, watch)
		}
		now := time.Now()
		c.countChunk(&chunk, now)
		watch.lastChunkAt.Store(now.UnixNano())
		more := chunk.Final || buffered != nil && buffered.Buffered()
		if c.output.writeText(chunk.Text, more) != nil {
			return admission.ResultCancelled
		}
		if chunk.Final {
			return c.complete(&chunk)
		}
	}
}

// complete writes the end of an answer after its final chunk.
func (c *modelCall) complete(final *engine.Chunk) admission.Result {
	u := openai.Usage{PromptTokens: final.PromptTokens, CompletionTokens: final.CompletionTokens}
	if c.output.finish(final.FinishReason, u) != nil {
		return admission.ResultCancelled
	}
	return admission.ResultAnswered
}

// handleBrokenStream handles a stream that ended before its final chunk.
func (c *modelCall) handleBrokenStream(err error, watch *watchdog) admission.Result {
	if errors.Is(err, io.EOF) {
		err = &engine.Error{Kind: engine.Truncated, Err: errors.New("no final chunk")}
	}
	if c.output.flush() != nil {
		return admission.ResultCancelled
	}
	return c.handleEngineError(err, watch.fired.Load())
}

// generate starts generation on the engine, beginning with the first chunk that
// has not been relayed.
func (c *modelCall) generate(ctx context.Context, client engine.Client, id string) (engine.Stream, error) {
	return client.Generate(ctx, engine.GenerateRequest{
		RequestID: id, Model: c.admitRequest.Model, Adapter: c.admitRequest.Adapter, Version: c.admitRequest.Version,
		Prompt: c.req.Prompt, MaxTokens: c.req.MaxTokens, Priority: c.admitRequest.Rank, ResumeFrom: c.nextChunk,
	})
}

// watchdog cancels an attempt when its engine stalls. A chunk only stores its
// arrival time, and the timer restarts itself if a chunk came in the meantime.
// That is cheaper than resetting the timer with every chunk.
type watchdog struct {
	timer       *time.Timer
	lastChunkAt atomic.Int64 // Unix nanoseconds
	fired       atomic.Bool
}

func newWatchdog(limit time.Duration, cancel func()) *watchdog {
	w := &watchdog{}
	w.lastChunkAt.Store(time.Now().UnixNano())
	started := make(chan struct{}) // closed once w.timer is set
	w.timer = time.AfterFunc(limit, func() {
		<-started
		if left := limit - time.Since(time.Unix(0, w.lastChunkAt.Load())); left > 0 {
			w.timer.Reset(left)
			return
		}
		w.fired.Store(true)
		cancel()
	})
	close(started)
	return w
}

// countChunk adds a validated chunk to the progress of the call.
func (c *modelCall) countChunk(chunk *engine.Chunk, now time.Time) {
	c.executed = engine.ExecutedYes
	c.nextChunk++
	c.relayedBytes += countedBytes(chunk)
	if chunk.Tokens == 0 {
		return
	}
	c.lastTokenAt = now
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = c.lastTokenAt
	}
	c.relayedTokens += chunk.Tokens
}

// countedBytes returns the bytes of a chunk that count against MaxAnswerBytes. A chunk
// without text counts as one, so that a stream of them ends as well.
func countedBytes(chunk *engine.Chunk) int64 { return int64(max(len(chunk.Text), 1)) }

var (
	errOtherRequest   = errors.New("the chunk belongs to another request")
	errOutOfOrder     = errors.New("the chunk is out of order")
	errInvalidChunk   = errors.New("the chunk has impossible values")
	errAnswerTooLarge = errors.New("the answer is too large")
)

// validateChunk checks that a chunk is the next one of this request, has valid
// values and keeps the answer within MaxAnswerBytes.
func (c *modelCall) validateChunk(chunk *engine.Chunk, id string) error {
	switch {
	case chunk.RequestID != id:
		return &engine.Error{Kind: engine.WrongRequest, Err: errOtherRequest}
	case chunk.Index != c.nextChunk:
		return &engine.Error{Kind: engine.Malformed, Err: errOutOfOrder}
	case chunk.Tokens < 0, chunk.PromptTokens < 0, chunk.CompletionTokens < 0,
		chunk.Final && chunk.FinishReason != "stop" && chunk.FinishReason != "length":
		return &engine.Error{Kind: engine.Malformed, Err: errInvalidChunk}
	case c.relayedBytes+countedBytes(chunk) > c.g.cfg.Limits.MaxAnswerBytes:
		return &engine.Error{Kind: engine.Malformed, Err: errAnswerTooLarge}
	}
	return nil
}

// handleEngineError classifies an attempt that ended without a complete answer,
// excludes its endpoint and stores the failure for the caller, in case no other
// endpoint can resume the answer.
func (c *modelCall) handleEngineError(err error, stalled bool) admission.Result {
	if c.ctx.Err() != nil {
		return admission.ResultCancelled
	}
	c.excludeEndpoint()
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
		kind = engine.Cancelled // the gateway cancelled the stream, or the error has no engine kind
	}
	if stalled {
		c.g.counters.enginesStalled.Add(1)
	}
	code := openai.CodeEndpointLost
	result := admission.ResultLost
	switch kind {
	case engine.WrongRequest, engine.Malformed:
		code, result = openai.CodeEndpointAnswerInvalid, admission.ResultFailed
		c.countInvalidAnswer(kind)
	case engine.Refused, engine.NotResident:
		code, result = openai.CodeEndpointUnreachable, admission.ResultFailed
	case engine.Truncated:
		c.g.counters.answersTruncated.Add(1)
	case engine.Unreachable:
		if executed == engine.ExecutedNo {
			// The request never reached the endpoint, so it can't have crashed it.
			code, result = openai.CodeEndpointUnreachable, admission.ResultFailed
		}
	}
	if result == admission.ResultLost {
		c.g.counters.endpointsLost.Add(1)
	}
	c.failure = failf(code, c.executed, "endpoint %s gave no whole answer: %v", c.grant.Endpoint.ID, err).withRetryAfter(shortRetryAfter)
	return result
}

func (c *modelCall) countInvalidAnswer(kind engine.ErrorKind) {
	if kind == engine.WrongRequest {
		c.g.counters.answersCrossed.Add(1)
		return
	}
	c.g.counters.answersMalformed.Add(1)
}
