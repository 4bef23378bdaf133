package openai

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// Done is the last event of a complete stream.
const Done = "data: [DONE]\n\n"

// StreamEncoder encodes the events of one streamed answer. Everything that is
// the same in each event is encoded once, so an event costs little more than
// copying its text.
type StreamEncoder struct {
	kind         Kind
	includeUsage bool
	head         []byte // up to and including the opening of "choices"
	tail         string // from after the choice to the end of the event
	begun        bool
}

// NewStreamEncoder returns an encoder for the answer with the given request id.
func NewStreamEncoder(r Request, id string, created int64) *StreamEncoder {
	e := &StreamEncoder{kind: r.Kind, includeUsage: r.IncludeUsage, tail: "]}\n\n"}
	if r.IncludeUsage {
		e.tail = "],\"usage\":null}\n\n"
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
	e.head = append(h, `,"choices":[`...)
	return e
}

// AppendText appends an event with the next piece of text.
func (e *StreamEncoder) AppendText(dst []byte, text string) []byte {
	dst = append(dst, e.head...)
	switch {
	case e.kind == Completion:
		dst = append(dst, `{"index":0,"text":`...)
		dst = appendString(dst, text)
		dst = append(dst, `,"logprobs":null,"finish_reason":null}`...)
	case !e.begun:
		dst = append(dst, `{"index":0,"delta":{"role":"assistant","content":`...)
		dst = appendString(dst, text)
		dst = append(dst, `},"logprobs":null,"finish_reason":null}`...)
	default:
		dst = append(dst, `{"index":0,"delta":{"content":`...)
		dst = appendString(dst, text)
		dst = append(dst, `},"logprobs":null,"finish_reason":null}`...)
	}
	e.begun = true
	return append(dst, e.tail...)
}

// AppendEnd appends the events that end a complete answer: the finish reason,
// the usage if the caller asked for it, and Done.
func (e *StreamEncoder) AppendEnd(dst []byte, finishReason string, u Usage) []byte {
	dst = append(dst, e.head...)
	if e.kind == Completion {
		dst = append(dst, `{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	} else {
		dst = append(dst, `{"index":0,"delta":{},"logprobs":null,"finish_reason":`...)
	}
	dst = appendString(dst, finishReason)
	dst = append(dst, '}')
	dst = append(dst, e.tail...)
	if e.includeUsage {
		dst = append(dst, e.head...)
		dst = append(dst, `],"usage":`...)
		dst = appendJSON(dst, newUsageBody(u))
		dst = append(dst, "}\n\n"...)
	}
	return append(dst, Done...)
}

// AppendErrorEvent appends an event that tells that the answer ends early.
func AppendErrorEvent(dst []byte, e *Error) []byte {
	dst = append(dst, "data: "...)
	dst = AppendError(dst, e)
	return append(dst, "\n\n"...)
}

// appendString appends s as a JSON string. Text without escapes, which is the
// usual case, is copied without a second buffer.
func appendString(dst []byte, s string) []byte {
	if !plain(s) {
		out := bytes.NewBuffer(dst)
		enc := json.NewEncoder(out)
		enc.SetEscapeHTML(false)
		if err := enc.Encode(s); err != nil {
			panic(err) // strings can always be encoded
		}
		return out.Bytes()[:out.Len()-1] // without the newline of Encode
	}
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}

// plain reports whether s is valid UTF-8 that needs no escape in JSON.
func plain[T ~string | ~[]byte](s T) bool {
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
