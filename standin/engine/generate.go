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
	if err := e.read(func() { s, refusal = e.accept(r) }); err != nil {
		return nil, err
	}
	if refusal != nil {
		return nil, refusal
	}
	e.wakeBatch()
	version := s.uses[0].key.version
	return &stream{engine: e, ctx: ctx, sequence: s, seed: answerSeed(r.Model, r.Adapter, version, r.Prompt)}, nil
}

// accept queues a request whose model and adapter are ready.
func (e *Engine) accept(r engine.GenerateRequest) (*sequence, error) {
	modelVersion := r.Version
	if r.Adapter != "" {
		modelVersion = ""
	}
	model := e.find(r.Model, modelVersion, false)
	if model == nil {
		return nil, refused(engine.NotResident, fmt.Errorf("model %q version %q is not ready", r.Model, modelVersion))
	}
	uses := []*resident{model}
	if r.Adapter != "" {
		adapter := e.find(r.Adapter, r.Version, true)
		if adapter == nil || adapter.base != r.Model {
			return nil, refused(engine.NotResident, fmt.Errorf("adapter %q version %q is not ready on %q", r.Adapter, r.Version, r.Model))
		}
		uses = []*resident{adapter, model}
	}
	if len(e.batch.waiting) >= e.config.MaxWaiting {
		return nil, refused(engine.Refused, fmt.Errorf("%d requests wait already", e.config.MaxWaiting))
	}
	for _, u := range uses {
		u.users++
	}
	e.batch.arrivals++
	s := &sequence{
		request: r, uses: uses, arrival: e.batch.arrivals, next: r.ResumeFrom,
		out: make(chan int, chunkBuffer), cut: make(chan struct{}),
	}
	e.batch.waiting = append(e.batch.waiting, s)
	e.countRequest(r, func(n *RequestCounts) { n.Accepted++ })
	return s, nil
}

// stream hands the chunks of a sequence to one client.
type stream struct {
	engine   *Engine
	ctx      context.Context
	sequence *sequence
	seed     uint64
}

var errCut = errors.New("engine gave the request up")

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	select {
	case index, ok := <-s.sequence.out:
		if !ok {
			return engine.Chunk{}, io.EOF
		}
		return s.chunk(index), nil
	case <-s.sequence.cut:
		return engine.Chunk{}, &engine.Error{Kind: engine.Truncated, Executed: engine.ExecutedUnknown, Err: errCut}
	case <-s.ctx.Done():
		return engine.Chunk{}, &engine.Error{Kind: engine.Cancelled, Executed: engine.ExecutedUnknown, Err: s.ctx.Err()}
	}
}

// chunk returns the chunk of an index. A request that resumes after its last
// token gets an empty final chunk.
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
		s.engine.end(s.sequence, func(n *RequestCounts) { n.Cancelled++ })
	})
	return nil
}
