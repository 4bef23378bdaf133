package openai

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against invalid input that is accepted, or that is refused without naming
// the invalid parameter.
func TestInvalidInputNamesTheParameter(t *testing.T) {
	for _, c := range []struct {
		kind  Kind
		body  string
		code  Code
		param string
		name  string
	}{
		{Chat, ``, CodeInvalidJSON, "", "empty body"},
		{Chat, `{`, CodeInvalidJSON, "", "cut body"},
		{Chat, `{} {}`, CodeInvalidJSON, "", "two documents"},
		{Chat, `null`, CodeInvalidType, "", "null is no object"},
		{Chat, `[]`, CodeInvalidType, "", "a list is no object"},
		{Chat, `{"messages":[{"role":"user","content":"a"}]}`, CodeMissingParameter, "model", "no model"},
		{Chat, `{"model":7}`, CodeInvalidType, "model", "wrong type of a shared member"},
		{Chat, `{"model":"m"}`, CodeMissingParameter, "messages", "no messages"},
		{Chat, `{"model":"m","messages":{}}`, CodeInvalidType, "messages", "messages is no list"},
		{Chat, `{"model":"m","messages":[{"role":"king","content":"a"}]}`, CodeInvalidValue, "messages[0].role", "unknown role"},
		{Chat, `{"model":"m","messages":[{"role":"user"}]}`, CodeMissingParameter, "messages[0].content", "no content"},
		{Chat, `{"model":"m","messages":[{"role":"user","content":3}]}`, CodeInvalidType, "messages[0].content", "content is a number"},
		{Chat, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, CodeUnsupportedParameter, "messages[0].content[0].type", "an image"},
		{Chat, `{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}]}`, CodeMissingParameter, "messages[0].content[0].text", "a text part without text"},
		{Chat, `{"model":"m","n":2,"messages":[{"role":"user","content":"a"}]}`, CodeUnsupportedParameter, "n", "several answers"},
		{Chat, `{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"a"}]}`, CodeInvalidValue, "max_tokens", "no tokens"},
		{Chat, `{"model":"m","max_completion_tokens":-1,"messages":[{"role":"user","content":"a"}]}`, CodeInvalidValue, "max_completion_tokens", "negative tokens"},
		{Chat, `{"model":"m","stream_options":{"include_usage":true},"messages":[{"role":"user","content":"a"}]}`, CodeInvalidValue, "stream_options", "options without a stream"},
		{Completion, `{"model":"m"}`, CodeMissingParameter, "prompt", "no prompt"},
		{Completion, `{"model":"m","prompt":["a","b"]}`, CodeUnsupportedParameter, "prompt", "several prompts"},
		{Completion, `{"model":"m","prompt":[1,2]}`, CodeInvalidType, "prompt", "token ids"},
		{Completion, `{"model":"m","prompt":"a","best_of":3}`, CodeUnsupportedParameter, "best_of", "several answers"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := decode(c.kind, []byte(c.body))
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Code, c.code)
			is.Equal(e.Param, c.param)
			is.Equal(e.HTTPStatus(), 400)
		})
	}
}

func decode(kind Kind, body []byte) (Request, error) {
	if kind == Chat {
		return DecodeChat(body)
	}
	return DecodeCompletion(body)
}

// Guards against known members that are ignored and unknown members that are refused.
func TestDecodeReadsAllMembers(t *testing.T) {
	is := is.New(t)
	r, err := DecodeChat([]byte(`{"model":"m","max_tokens":5,"max_completion_tokens":9,"stream":true,"temperature":0.2,
		"stream_options":{"include_usage":true},"brand_new":{"a":[1]},"messages":[{"role":"user","content":"hi","name":"x"}]}`))
	is.NoErr(err)
	is.Equal(r, Request{Kind: Chat, Model: "m", MaxTokens: 9, Stream: true, IncludeUsage: true,
		Prompt: `{"messages":[{"role":"user","name":"x","content":"hi"}]}`})
	r, err = DecodeCompletion([]byte(`{"model":"m","prompt":["once"],"max_tokens":3}`))
	is.NoErr(err)
	is.Equal(r, Request{Kind: Completion, Model: "m", MaxTokens: 3, Prompt: "once"})
}

// Guards against equal content with different fingerprints, with which a crashing
// request would evade its quarantine, and against different conversations with the
// same canonical form.
func TestCanonicalFormDependsOnlyOnContent(t *testing.T) {
	is := is.New(t)
	prompt := func(messages string) string {
		r, err := DecodeChat([]byte(`{"model":"m","messages":` + messages + `}`))
		is.NoErr(err)
		return r.Prompt
	}
	plain := prompt(`[{"role":"user","content":"a<b"}]`)
	is.Equal(plain, prompt(` [ {"content":[{"type":"text","text":"a"},{"type":"text","text":"\u003cb"}],"role":"user","x":1} ]`))
	is.True(plain != prompt(`[{"role":"system","content":"a<b"}]`))
	is.True(prompt(`[{"role":"user","content":"a"},{"role":"user","content":"b"}]`) !=
		prompt(`[{"role":"user","content":"a\"},{\"role\":\"user\",\"content\":\"b"}]`))
	is.Equal(Fingerprint("row", plain), Fingerprint("row", plain))
	is.True(Fingerprint("row", plain) != Fingerprint("other", plain))
	is.True(Fingerprint("a", "bc") != Fingerprint("ab", "c"))
}

// Guards against a chat decoder that panics, accepts a request without a model or with
// a negative token limit, returns an error that can't be encoded, or produces a prompt
// that is not valid JSON.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"assistant","content":null,"tool_calls":[{}]}],"tools":[{}]}`))
	f.Add([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"\ud800"}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := DecodeChat(body)
		checkDecoded(t, r, err)
		if err == nil && !json.Valid([]byte(r.Prompt)) {
			t.Fatalf("canonical form %q is not valid JSON", r.Prompt)
		}
	})
}

// Guards against the same faults in the completion decoder, whose prompt is not JSON.
func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"a"}`))
	f.Add([]byte(`{"model":"m","prompt":["a"],"best_of":1,"n":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := DecodeCompletion(body)
		checkDecoded(t, r, err)
	})
}

func checkDecoded(t *testing.T, r Request, err error) {
	var e *Error
	switch {
	case err == nil && (r.Model == "" || r.MaxTokens < 0):
		t.Fatalf("accepted invalid request %+v", r)
	case err != nil && !errors.As(err, &e):
		t.Fatalf("error %v is not an *Error", err)
	case err != nil && !json.Valid(AppendError(nil, e)):
		t.Fatalf("error %v is not encoded as valid JSON", err)
	}
}
