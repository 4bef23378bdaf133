package standinengine

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/hyssophaven/hyssophaven/engine"
)

// Generate implements engine.Client.
func (e *Engine) Generate(ctx context.Context, r engine.GenerateRequest) (engine.Stream, error) {
	var s *sequence
	var refusal error
	if err := e.doIfUp(func() { s, refusal = e.enqueue(r) }); err != nil {
		return nil, err
	}
	if refusal != nil {
		return nil, refusal
	}
	e.signalBatch()
	version := s.residents[0].key.version
	return &stream{engine: e, ctx: ctx, sequence: s, seed: answerSeed(r.Model, r.Adapter, version, r.Prompt)}, nil
}

// enqueue adds a request to the waiting sequences. It refuses the request if its
// model or adapter is not ready or the queue is full.
func (e *Engine) enqueue(r engine.GenerateRequest) (*sequence, error) {
	modelVersion := r.Version
	if r.Adapter != "" {
		modelVersion = ""
	}
	model := e.findReady(r.Model, modelVersion, false)
	if model == nil {
		return nil, notExecutedError(engine.NotResident, fmt.Errorf("model %q version %q is not ready", r.Model, modelVersion))
	}
	residents := []*resident{model}
	if r.Adapter != "" {
		adapter := e.findReady(r.Adapter, r.Version, true)
		if adapter == nil || adapter.base != r.Model {
			return nil, notExecutedError(engine.NotResident, fmt.Errorf("adapter %q version %q is not ready on %q", r.Adapter, r.Version, r.Model))
		}
		residents = []*resident{adapter, model}
	}
	if len(e.batch.waiting) >= e.config.MaxWaiting {
		return nil, notExecutedError(engine.Refused, fmt.Errorf("%d requests wait already", e.config.MaxWaiting))
	}
	for _, u := range residents {
		u.userCount++
	}
	e.batch.arrivals++
	s := &sequence{
		request: r, residents: residents, arrival: e.batch.arrivals, nextChunk: r.ResumeFrom,
		chunks: make(chan int, chunkBuffer), aborted: make(chan struct{}),
	}
	e.batch.waiting = append(e.batch.waiting, s)
	e.countRequest(r, func(n *RequestCounts) { n.Accepted++ })
	return s, nil
}

// stream returns the chunks of a sequence to its client.
type stream struct {
	engine   *Engine
	ctx      context.Context
	sequence *sequence
	seed     uint64
}

var errAborted = errors.New("engine aborted the request")

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	select {
	case index, ok := <-s.sequence.chunks:
		if !ok {
			return engine.Chunk{}, io.EOF
		}
		return s.chunk(index), nil
	case <-s.sequence.aborted:
		return engine.Chunk{}, &engine.Error{Kind: engine.Truncated, Executed: engine.ExecutedUnknown, Err: errAborted}
	case <-s.ctx.Done():
		return engine.Chunk{}, &engine.Error{Kind: engine.Cancelled, Executed: engine.ExecutedUnknown, Err: s.ctx.Err()}
	}
}

// chunk returns the chunk at index. A request that resumes after its last token
// gets an empty final chunk.
func (s *stream) chunk(index int) engine.Chunk {
	r := s.sequence.request
	c := engine.Chunk{RequestID: r.RequestID, Index: index}
	if index < r.MaxTokens {
		c.Text, c.Tokens = chunkText(s.seed, index), 1
	}
	if index >= r.MaxTokens-1 {
		c.Final, c.FinishReason = true, "length"
		c.PromptTokens, c.CompletionTokens = promptTokens(r.Prompt), r.MaxTokens
	}
	return c
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.engine.owner.Do(func() {
		s.engine.endSequence(s.sequence, func(n *RequestCounts) { n.Cancelled++ })
	})
	return nil
}
