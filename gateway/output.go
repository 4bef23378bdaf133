package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/openai"
)

// output carries an answer to its caller, as a stream or as a whole.
type output interface {
	// text relays the next piece. If more is true another piece or the end
	// follows at once, so that both can be written together.
	text(s string, more bool) error
	// flush writes what text has held back.
	flush() error
	// end completes the answer.
	end(finishReason string, u openai.Usage) error
	// fail tells the caller that there is no whole answer.
	fail(f *failure)
}

// wholeOutput collects an answer and writes it at its end.
type wholeOutput struct {
	g       *Gateway
	w       http.ResponseWriter
	req     openai.Request
	id      string
	created time.Time
	buf     strings.Builder
}

func (o *wholeOutput) text(s string, _ bool) error {
	o.buf.WriteString(s)
	return nil
}

func (o *wholeOutput) flush() error { return nil }

func (o *wholeOutput) end(finishReason string, u openai.Usage) error {
	o.w.Header().Set(HeaderExecuted, engine.ExecutedYes.String())
	a := openai.Answer{
		ID: o.id, Model: o.req.Model, Created: o.created.Unix(),
		Text: o.buf.String(), FinishReason: finishReason, Usage: u,
	}
	return o.g.writeJSON(o.w, http.StatusOK, openai.AppendAnswer(nil, o.req.Kind, a))
}

func (o *wholeOutput) fail(f *failure) { o.g.fail(o.w, f) }

const (
	// flushAt is the size at which held-back events are written in any case.
	flushAt = 16 << 10
	// keepBuffer is the largest buffer that a stream keeps between writes, so
	// that an idle stream stays small.
	keepBuffer = 2 << 10
)

// onOwnStack runs f in a goroutine of its own and waits for it. Decoding a
// request and writing the header of an answer each need more than 8 KB of
// stack, which would stay with the goroutine of a stream as long as it waits
// for tokens: 16 KB instead of 8 KB.
func onOwnStack(f func()) {
	done := make(chan any)
	go func() {
		defer func() { done <- recover() }()
		f()
	}()
	if p := <-done; p != nil {
		panic(p) // handled by the server, as if f had been called directly
	}
}

// streamOutput writes an answer as server-sent events.
type streamOutput struct {
	g        *Gateway
	w        http.ResponseWriter
	rc       *http.ResponseController
	enc      *openai.StreamEncoder
	buf      []byte
	started  bool
	extended time.Time // when the write deadline was last moved
	// clear is set for HTTP/2, where a write deadline that passes ends the
	// stream even if nothing is being written.
	clear bool
}

func newStreamOutput(g *Gateway, w http.ResponseWriter, r *http.Request, req openai.Request, created time.Time) *streamOutput {
	return &streamOutput{
		g: g, w: w, rc: http.NewResponseController(w), clear: r.ProtoMajor > 1,
		enc: openai.NewStreamEncoder(req, r.Header.Get(HeaderRequestID), created.Unix()),
	}
}

func (o *streamOutput) text(s string, more bool) error {
	if s == "" && o.started {
		return nil
	}
	if o.buf == nil {
		o.buf = make([]byte, 0, 512) // holds one event of a usual token
	}
	o.buf = o.enc.AppendText(o.buf, s)
	if more && len(o.buf) < flushAt {
		return nil
	}
	return o.flush()
}

func (o *streamOutput) flush() error {
	if len(o.buf) == 0 {
		return nil
	}
	// Moving the deadline costs a runtime timer update, so it is not done for
	// every chunk. A reader always has at least 3/4 of WriteTimeout.
	if now := time.Now(); o.clear || now.Sub(o.extended) > o.g.cfg.Limits.WriteTimeout/4 {
		o.extended = now
		o.g.extendWrite(o.rc)
	}
	var err error
	if o.started {
		err = o.write()
	} else {
		onOwnStack(func() {
			o.start()
			err = o.write()
		})
	}
	if o.clear {
		_ = o.rc.SetWriteDeadline(time.Time{})
	}
	o.buf = o.buf[:0]
	if cap(o.buf) > keepBuffer {
		o.buf = nil
	}
	if err != nil {
		return o.g.writeError(err)
	}
	return nil
}

func (o *streamOutput) write() error {
	if _, err := o.w.Write(o.buf); err != nil {
		return err
	}
	return o.rc.Flush()
}

func (o *streamOutput) start() {
	o.started = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderExecuted, engine.ExecutedYes.String())
	o.w.WriteHeader(http.StatusOK)
}

func (o *streamOutput) end(finishReason string, u openai.Usage) error {
	o.buf = o.enc.AppendEnd(o.buf, finishReason, u)
	return o.flush()
}

// fail answers with an error, or ends a stream that has begun with an error
// event and without the end marker, so that it is never taken for whole.
func (o *streamOutput) fail(f *failure) {
	if !o.started {
		o.g.fail(o.w, f)
		return
	}
	o.buf = openai.AppendErrorEvent(o.buf, f.err)
	_ = o.flush()
}
