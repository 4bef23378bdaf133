package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/openai"
)

// output writes an answer to its caller, either streamed or in one piece.
type output interface {
	// writeText writes the next piece of text. If more is true, another piece or
	// the end follows immediately, so both may be written together.
	writeText(s string, more bool) error
	// flush writes the text that writeText has buffered.
	flush() error
	// finish writes the end of a complete answer.
	finish(finishReason string, u openai.Usage) error
	// writeFailure tells the caller that the answer is missing or incomplete.
	writeFailure(f *failure)
}

// bufferedOutput buffers an answer and writes it when it is complete.
type bufferedOutput struct {
	g       *Gateway
	w       http.ResponseWriter
	req     openai.Request
	id      string
	created time.Time
	buf     strings.Builder
}

func (o *bufferedOutput) writeText(s string, _ bool) error {
	o.buf.WriteString(s)
	return nil
}

func (o *bufferedOutput) flush() error { return nil }

func (o *bufferedOutput) finish(finishReason string, u openai.Usage) error {
	o.w.Header().Set(HeaderExecuted, engine.ExecutedYes.String())
	a := openai.Answer{
		ID: o.id, Model: o.req.Model, Created: o.created.Unix(),
		Text: o.buf.String(), FinishReason: finishReason, Usage: u,
	}
	return o.g.writeJSON(o.w, http.StatusOK, openai.AppendAnswer(nil, o.req.Kind, a))
}

func (o *bufferedOutput) writeFailure(f *failure) { o.g.writeFailure(o.w, f) }

const (
	// flushThresholdBytes is the buffer size from which events are written even if
	// more text follows immediately.
	flushThresholdBytes = 16 << 10
	// maxKeptBufferBytes is the largest buffer that a stream keeps between writes.
	// It limits the memory of an idle stream.
	maxKeptBufferBytes = 2 << 10
)

// runOnSeparateStack runs f in a new goroutine and waits for it. Decoding a
// request and writing the header of an answer each need more than 8 KB of stack.
// On the stream's own goroutine they would grow its stack to 16 KB, which it would
// keep while it waits for tokens.
func runOnSeparateStack(f func()) {
	done := make(chan any)
	go func() {
		defer func() { done <- recover() }()
		f()
	}()
	if p := <-done; p != nil {
		panic(p) // recovered by the HTTP server, as if f had been called directly
	}
}

// streamOutput writes an answer as server-sent events.
type streamOutput struct {
	g             *Gateway
	w             http.ResponseWriter
	rc            *http.ResponseController
	enc           *openai.StreamEncoder
	buf           []byte
	headerWritten bool
	deadlineSetAt time.Time // when the write deadline was last set
	// clearDeadline is true for HTTP/2, where an expired write deadline ends the
	// stream even if no write is in progress.
	clearDeadline bool
}

func newStreamOutput(g *Gateway, w http.ResponseWriter, r *http.Request, req openai.Request, created time.Time) *streamOutput {
	return &streamOutput{
		g: g, w: w, rc: http.NewResponseController(w), clearDeadline: r.ProtoMajor > 1,
		enc: openai.NewStreamEncoder(req, r.Header.Get(HeaderRequestID), created.Unix()),
	}
}

func (o *streamOutput) writeText(s string, more bool) error {
	if s == "" && o.headerWritten {
		return nil
	}
	if o.buf == nil {
		o.buf = make([]byte, 0, 512) // enough for the event of a typical token
	}
	o.buf = o.enc.AppendText(o.buf, s)
	if more && len(o.buf) < flushThresholdBytes {
		return nil
	}
	return o.flush()
}

func (o *streamOutput) flush() error {
	if len(o.buf) == 0 {
		return nil
	}
	// Setting the deadline updates a runtime timer, so it is not done for every
	// chunk. The caller always has at least 3/4 of WriteTimeout to read.
	if now := time.Now(); o.clearDeadline || now.Sub(o.deadlineSetAt) > o.g.cfg.Limits.WriteTimeout/4 {
		o.deadlineSetAt = now
		o.g.extendWriteDeadline(o.rc)
	}
	var err error
	if o.headerWritten {
		err = o.write()
	} else {
		runOnSeparateStack(func() {
			o.writeHeader()
			err = o.write()
		})
	}
	if o.clearDeadline {
		_ = o.rc.SetWriteDeadline(time.Time{})
	}
	o.buf = o.buf[:0]
	if cap(o.buf) > maxKeptBufferBytes {
		o.buf = nil
	}
	if err != nil {
		return o.g.wrapWriteError(err)
	}
	return nil
}

func (o *streamOutput) write() error {
	if _, err := o.w.Write(o.buf); err != nil {
		return err
	}
	return o.rc.Flush()
}

func (o *streamOutput) writeHeader() {
	o.headerWritten = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderExecuted, engine.ExecutedYes.String())
	o.w.WriteHeader(http.StatusOK)
}

func (o *streamOutput) finish(finishReason string, u openai.Usage) error {
	o.buf = o.enc.AppendEnd(o.buf, finishReason, u)
	return o.flush()
}

// writeFailure answers with an error. If the stream has begun, it appends an error
// event and omits the end marker, so that the caller can't take it for complete.
func (o *streamOutput) writeFailure(f *failure) {
	if !o.headerWritten {
		o.g.writeFailure(o.w, f)
		return
	}
	o.buf = openai.AppendErrorEvent(o.buf, f.err)
	_ = o.flush()
}
