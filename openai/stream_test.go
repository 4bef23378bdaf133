package openai

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type streamEvent struct {
	Object  string
	Model   string
	Choices []struct {
		Text         string
		Delta        struct{ Role, Content string }
		FinishReason string `json:"finish_reason"`
	}
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		TotalTokens  int `json:"total_tokens"`
	}
}

// Guards against altered text, events that are not valid JSON and streams without a
// correct end, for any text and model name.
func TestStreamCarriesAnyTextUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{
			Kind:         rapid.SampledFrom([]Kind{Chat, Completion}).Draw(t, "kind"),
			Model:        rapid.String().Draw(t, "model"),
			IncludeUsage: rapid.Bool().Draw(t, "usage"),
		}
		texts := rapid.SliceOf(rapid.String()).Draw(t, "texts")
		enc := NewStreamEncoder(r, "id", 7)
		var out []byte
		for _, text := range texts {
			out = enc.AppendText(out, text)
		}
		out = enc.AppendEnd(out, "stop", Usage{PromptTokens: 2, CompletionTokens: 3})
		events := strings.Split(strings.TrimSuffix(string(out), "\n\n"), "\n\n")
		want := len(texts) + 2
		if r.IncludeUsage {
			want++
		}
		if len(events) != want || events[len(events)-1] != "data: [DONE]" {
			t.Fatalf("%d events, want %d with the last one [DONE]: %q", len(events), want, out)
		}
		var got strings.Builder
		reason := ""
		for _, line := range events[:len(events)-1] {
			var ev streamEvent
			if err := json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &ev); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			if ev.Model != r.Model {
				t.Fatalf("model %q, want %q", ev.Model, r.Model)
			}
			for _, c := range ev.Choices {
				got.WriteString(c.Text + c.Delta.Content)
				reason += c.FinishReason
			}
		}
		if got.String() != strings.Join(texts, "") || reason != "stop" {
			t.Fatalf("got %q ended by %q, want %q", got.String(), reason, texts)
		}
	})
}

// Guards against errors whose type, param or code differs from the OpenAI format.
func TestErrorFormat(t *testing.T) {
	is := is.New(t)
	is.Equal(string(AppendError(nil, &Error{Code: CodeModelNotFound, Param: "model", Message: "no"})),
		`{"error":{"message":"no","type":"invalid_request_error","param":"model","code":"model_not_found"}}`)
	is.Equal(string(AppendError(nil, &Error{Code: CodeQueueFull, Message: "full"})),
		`{"error":{"message":"full","type":"rate_limit_error","param":null,"code":"queue_full"}}`)
	is.Equal(string(AppendErrorEvent(nil, &Error{Code: CodeEndpointLost, Message: "lost"})),
		"data: {\"error\":{\"message\":\"lost\",\"type\":\"server_error\",\"param\":null,\"code\":\"endpoint_lost\"}}\n\n")
}

func BenchmarkStreamEvent(b *testing.B) {
	enc := NewStreamEncoder(Request{Model: "contract-drafts"}, "0d1f6c1e-1111-4222-8333-444455556666", 1)
	buf := make([]byte, 0, 512)
	b.ReportAllocs()
	for b.Loop() {
		buf = enc.AppendText(buf[:0], " token")
	}
}

func BenchmarkDecodeChat(b *testing.B) {
	body := []byte(`{"model":"m","stream":true,"messages":[{"role":"system","content":"` + strings.Repeat("be brief. ", 100) + `"},{"role":"user","content":"when is the next slot?"}]}`)
	b.ReportAllocs()
	for b.Loop() {
		r, err := DecodeChat(body)
		if err != nil {
			b.Fatal(err)
		}
		_ = Fingerprint(r.Model, r.Prompt)
	}
}
