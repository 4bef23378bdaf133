package openai

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// DoneEvent is the event that ends a complete stream.
const DoneEvent = "data: [DONE]\n\n"

// StreamEncoder encodes the events of one streamed answer. It encodes only once
// the parts that all events share, so that an event costs little more than copying
// its text.
type StreamEncoder struct {
	kind         Kind
	includeUsage bool
	eventPrefix  []byte // start of each event, up to the opening bracket of "choices"
	eventSuffix  string // end of each event, after the choice
	textAppended bool
}

// NewStreamEncoder returns an encoder for the answer to r with the given request id
// and creation time in Unix seconds.
func NewStreamEncoder(r Request, id string, created int64) *StreamEncoder {
	e := &StreamEncoder{kind: r.Kind, includeUsage: r.IncludeUsage, eventSuffix: "]}\n\n"}
	if r.IncludeUsage {
		e.eventSuffix = "],\"usage\":null}\n\n"
	}
	object := "chat.completion.chunk"
	if r.Kind == Completion {
		object = "text_completion"
	}
	h := make([]byte, 0, 128+len(id)+len(r.Model))
	h = append(h, `data: {"id":`...)
	h = appendString(h, answerID(r.Kind, id))
	h = append(h, `,"object":"`+object+`","created":`...)
	h = strconv.AppendInt(h, created, 10)
	h = append(h, `,"model":`...)
	h = appendString(h, r.Model)
	e.eventPrefix = append(h, `,"choices":[`...)
	return e
}

// AppendText appends an event with the next piece of text to dst.
func (e *StreamEncoder) AppendText(dst []byte, text string) []byte {
	dst = append(dst, e.eventPrefix...)
	switch {
	case e.kind == Completion:
		dst = append(dst, `{"index":0,"text":`...)
		dst = appendString(dst, text)
		dst = append(dst, `,"logprobs":null,"finish_reason":null}`...)
	case !e.textAppended:
		dst = append(dst, `{"index":0,"delta":{"role":"assistant","content":`...)
		dst = appendString(dst, text)
		dst = append(dst, `},"logprobs":null,"finish_reason":null}`...)
	default:
		dst = append(dst, `{"index":0,"delta":{"content":`...)
		dst = appendString(dst, text)
		dst = append(dst, `},"logprobs":null,"finish_reason":null}`...)
	}
	e.textAppended = true
	return append(dst, e.eventSuffix...)
}

// AppendEnd appends the events that end a complete answer to dst: the finish reason,
// the usage if the caller requested it, and DoneEvent.
func (e *StreamEncoder) AppendEnd(dst []byte, finishReason string, u Usage) []byte {
	dst = append(dst, e.eventPrefix...)
	if e.kind == Completion {
		dst = append(dst, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	} else {
		dst = append(dst, `{"index":0,"delta":{},"logprobs":null,"finish_reason":`...)
	}
	dst = appendString(dst, finishReason)
	dst = append(dst, '}')
	dst = append(dst, e.eventSuffix...)
	if e.includeUsage {
		dst = append(dst, e.eventPrefix...)
		dst = append(dst, `],"usage":`...)
		dst = appendJSON(dst, newUsageBody(u))
		dst = append(dst, "}\n\n"...)
	}
	return append(dst, DoneEvent...)
}

// AppendErrorEvent appends to dst an event that reports an error after the stream
// has begun.
func AppendErrorEvent(dst []byte, e *Error) []byte {
	dst = append(dst, "data: "...)
	dst = AppendError(dst, e)
	return append(dst, "\n\n"...)
}

// appendString appends s as a JSON string to dst. Text that needs no escapes, the
// usual case, is copied without a second buffer.
func appendString(dst []byte, s string) []byte {
	if !needsNoEscape(s) {
		out := bytes.NewBuffer(dst)
		enc := json.NewEncoder(out)
		enc.SetEscapeHTML(false)
		if err := enc.Encode(s); err != nil {
			panic(err) // strings can always be encoded
		}
		return out.Bytes()[:out.Len()-1] // without the newline that Encode adds
	}
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}

// needsNoEscape reports whether s is valid UTF-8 that a JSON string can contain
// without escapes.
func needsNoEscape[T ~string | ~[]byte](s T) bool {
	ascii := true
	for i := range len(s) {
		c := s[i]
		if c < 0x20 || c == '"' || c == '\\' {
			return false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	return ascii || utf8.ValidString(string(s))
}
