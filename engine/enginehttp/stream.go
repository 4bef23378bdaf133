package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/hyssophaven/hyssophaven/engine"
)

// drainTimeout bounds the wait for the end of the body after the end marker,
// which is needed to use the connection again.
const drainTimeout = 100 * time.Millisecond

// stream is an answer in progress. ctx is the context of the HTTP request.
type stream struct {
	ctx       context.Context
	cancel    context.CancelFunc
	body      io.ReadCloser
	next      func() (sse.Event, error, bool)
	stop      func()
	requestID string
	index     int
	received  bool
	finished  bool
	err       error
}

func newStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, r engine.GenerateRequest) *stream {
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent})))
	return &stream{ctx: ctx, cancel: cancel, body: body, next: next, stop: stop, requestID: r.RequestID, index: r.ResumeFrom}
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	if s.err != nil {
		return engine.Chunk{}, s.err
	}
	if s.finished {
		s.err = io.EOF
		return engine.Chunk{}, s.err
	}
	c, err := s.read()
	if err != nil {
		s.err = err
		s.cancel()
		return engine.Chunk{}, err
	}
	s.received = true
	s.index++
	s.finished = c.Final
	return c, nil
}

func (s *stream) read() (engine.Chunk, error) {
	event, err, ok := s.next()
	if !ok {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return engine.Chunk{}, readError(s.ctx, err, s.executed())
	}
	c, err := parseChunk(event)
	if err != nil {
		return engine.Chunk{}, &engine.Error{Kind: engine.Malformed, Executed: s.executed(), Err: err}
	}
	if c.RequestID != s.requestID {
		return engine.Chunk{}, &engine.Error{Kind: engine.Crossed, Executed: s.executed(), Err: fmt.Errorf("chunk of request %q in the answer to %q", c.RequestID, s.requestID)}
	}
	if c.Index != s.index {
		return engine.Chunk{}, &engine.Error{Kind: engine.Malformed, Executed: s.executed(), Err: fmt.Errorf("chunk %d follows instead of chunk %d", c.Index, s.index)}
	}
	return c, nil
}

// executed says whether the request ran: it did if a chunk came back.
func (s *stream) executed() engine.Executed {
	if s.received {
		return engine.ExecutedYes
	}
	return engine.ExecutedUnknown
}

// Close implements engine.Stream. A finished answer's connection is kept for
// the next request; any other is closed, which cancels the request.
func (s *stream) Close() error {
	if s.finished {
		timer := time.AfterFunc(drainTimeout, s.cancel)
		_, _, _ = s.next()
		timer.Stop()
	}
	s.cancel()
	s.stop()
	err := s.body.Close()
	if s.err == nil {
		s.err = &engine.Error{Kind: engine.Cancelled, Executed: s.executed(), Err: errors.New("stream is closed")}
	}
	return err
}

func parseChunk(event sse.Event) (engine.Chunk, error) {
	final := event.Type == endEvent
	if !final && event.Type != "" {
		return engine.Chunk{}, fmt.Errorf("unknown event %q", event.Type)
	}
	var m chunkMessage
	if err := json.Unmarshal([]byte(event.Data), &m); err != nil {
		return engine.Chunk{}, err
	}
	if m.Tokens < 0 || m.Prompt < 0 || m.Completion < 0 {
		return engine.Chunk{}, errors.New("chunk has a negative count")
	}
	if final != (m.Finish == "stop" || m.Finish == "length") {
		return engine.Chunk{}, fmt.Errorf("event %q has finish reason %q", event.Type, m.Finish)
	}
	return engine.Chunk{
		RequestID: m.RequestID, Index: m.Index, Text: m.Text, Tokens: m.Tokens,
		Final: final, FinishReason: m.Finish, PromptTokens: m.Prompt, CompletionTokens: m.Completion,
	}, nil
}
