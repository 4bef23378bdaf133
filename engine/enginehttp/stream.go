package enginehttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"strconv"
	"time"

	"github.com/tidwall/gjson"
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

// parseChunk decodes one event. In BenchmarkStreamNext an event costs 2.8 to
// 3.2 µs and 10 allocations with encoding/json, and 1.1 to 1.4 µs and 2
// allocations with gjson, of which go-sse takes about 0.6 µs.
func parseChunk(event sse.Event) (engine.Chunk, error) {
	final := event.Type == endEvent
	if !final && event.Type != "" {
		return engine.Chunk{}, fmt.Errorf("unknown event %q", event.Type)
	}
	if !gjson.Valid(event.Data) {
		return engine.Chunk{}, errors.New("chunk is not JSON")
	}
	c := engine.Chunk{Final: final}
	object := gjson.Parse(event.Data)
	if !object.IsObject() {
		return engine.Chunk{}, errors.New("chunk is not a JSON object")
	}
	var err error
	object.ForEach(func(key, value gjson.Result) bool {
		err = setField(&c, key.Str, value)
		return err == nil
	})
	if err != nil {
		return engine.Chunk{}, err
	}
	if c.RequestID == "" {
		return engine.Chunk{}, errors.New("chunk has no request id")
	}
	if final != (c.FinishReason == "stop" || c.FinishReason == "length") {
		return engine.Chunk{}, fmt.Errorf("event %q has finish reason %q", event.Type, c.FinishReason)
	}
	return c, nil
}

// setField sets the field of c that has the given name in chunkMessage. Other
// names are ignored, so that the protocol can grow.
func setField(c *engine.Chunk, name string, v gjson.Result) error {
	var text *string
	var number *int
	switch name {
	case "id":
		text = &c.RequestID
	case "t":
		text = &c.Text
	case "finish":
		text = &c.FinishReason
	case "i":
		number = &c.Index
	case "n":
		number = &c.Tokens
	case "prompt_tokens":
		number = &c.PromptTokens
	case "completion_tokens":
		number = &c.CompletionTokens
	default:
		return nil
	}
	if text != nil {
		if v.Type != gjson.String {
			return fmt.Errorf("field %q is not a string", name)
		}
		*text = v.Str
		return nil
	}
	n, err := strconv.ParseUint(v.Raw, 10, 31)
	if err != nil {
		return fmt.Errorf("field %q is not a count", name)
	}
	*number = int(n)
	return nil
}
