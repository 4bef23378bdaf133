package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/hyssophaven/hyssophaven/admission"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/fleet"
)

const wholeText = "the slot on friday is free "

func (r *testGateway) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(r.url+"/v1"), option.WithAPIKey("k"), option.WithMaxRetries(0))
}

func chat(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:         model,
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("when?")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
}

// streamText streams a chat answer with the official OpenAI client and reads it to
// its end.
func streamText(r *testGateway, ctx context.Context, model string) (text, finish string, tokens int64, err error) {
	c := r.client()
	s := c.Chat.Completions.NewStreaming(ctx, chat(model))
	defer func() { _ = s.Close() }()
	for s.Next() {
		chunk := s.Current()
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
			finish += choice.FinishReason
		}
		tokens += chunk.Usage.CompletionTokens
	}
	return text, finish, tokens, s.Err()
}

// Guards against answers that the official OpenAI client does not understand.
func TestOfficialOpenAIClient(t *testing.T) {
	r := newTestGateway(t, nil)
	c := r.client()
	p := chat("drafts")
	p.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	whole, err := c.Chat.Completions.New(t.Context(), p)
	r.is.NoErr(err)
	r.is.Equal(whole.Choices[0].Message.Content, wholeText)
	r.is.Equal(whole.Choices[0].FinishReason, "stop")
	r.is.Equal(whole.Usage.TotalTokens, int64(9))
	r.is.Equal(whole.Model, "drafts")

	text, finish, tokens, err := streamText(r, t.Context(), "tuned")
	r.is.NoErr(err)
	r.is.Equal(text, wholeText)
	r.is.Equal(finish, "stop")
	r.is.Equal(tokens, int64(6))

	completion, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
		Model: "base", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("when?")},
	})
	r.is.NoErr(err)
	r.is.Equal(completion.Choices[0].Text, wholeText)

	models, err := c.Models.List(t.Context())
	r.is.NoErr(err)
	r.is.Equal(len(models.Data), 3) // the rows of kinds model, adapter and work, but not service or rank
	model, err := c.Models.Get(t.Context(), "tuned")
	r.is.NoErr(err)
	r.is.Equal(model.ID, "tuned")

	asked := r.control.admitRequests[0]
	r.is.Equal([]string{asked.Row, asked.Pool, asked.Model, asked.Adapter, asked.Version}, []string{"drafts", "models", "base", "tuned", "v7"})
	r.is.Equal(asked.Rank, fleet.Prompt)
}

// Guards against refusals that a caller can't recognise by their code, or that don't
// state whether the request was executed.
func TestRefusedRequest(t *testing.T) {
	r := newTestGateway(t, nil)
	r.control.refusal = func(admission.Request) *admission.Refusal {
		return &admission.Refusal{Reason: admission.ReasonOverload, RetryAfter: 1500_000_000}
	}
	c := r.client()
	_, err := c.Chat.Completions.New(t.Context(), chat("base"))
	var apiErr *openai.Error
	r.is.True(errors.As(err, &apiErr))
	r.is.Equal(apiErr.Code, "invalid_value") // stream_options is only allowed with stream
	_, _, _, err = streamText(r, t.Context(), "base")
	r.is.True(errors.As(err, &apiErr))
	r.is.Equal(apiErr.StatusCode, http.StatusTooManyRequests)
	r.is.Equal(apiErr.Code, "overloaded")
	r.is.Equal(apiErr.Response.Header.Get(HeaderExecuted), "no")
	r.is.Equal(apiErr.Response.Header.Get("Retry-After"), "2")
	_, err = c.Models.Get(t.Context(), "unknown")
	r.is.True(errors.As(err, &apiErr))
	r.is.Equal(apiErr.Code, "model_not_found")
}

// Guards against an engine that continues to generate after its caller hung up.
func TestCallerHangUpCancelsEngineRequest(t *testing.T) {
	r := newTestGateway(t, nil)
	cancelled := make(chan struct{})
	ctx, hangUp := context.WithCancel(t.Context())
	r.engines["e1"].generate = func(engineCtx context.Context, q engine.GenerateRequest) (engine.Stream, error) {
		return newWordStream(engineCtx, q, map[int]func(*engine.Chunk) error{2: func(*engine.Chunk) error {
			hangUp()
			<-engineCtx.Done()
			close(cancelled)
			return engineCtx.Err()
		}}), nil
	}
	_, _, _, err := streamText(r, ctx, "base")
	r.is.True(errors.Is(err, context.Canceled))
	<-cancelled
	r.is.NoErr(r.stopKernel(context.Background()))
	r.is.Equal(r.control.results(), []admission.Result{admission.ResultCancelled})
}

// Guards against an endpoint that is lost or fails in mid-answer and leaves text that
// is duplicated, missing or from another request. Another endpoint must resume the
// answer.
func TestFailedEndpointIsReplacedMidAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		at     int
		hook   func(*engine.Chunk) error
		result admission.Result
	}{
		{"lost", 3, truncateStream, admission.ResultLost},
		{"lost before the first chunk", 0, truncateStream, admission.ResultLost},
		{"lost before the final chunk", 6, truncateStream, admission.ResultLost},
		{"crossed", 2, func(c *engine.Chunk) error { c.RequestID = "other"; return nil }, admission.ResultFailed},
		{"doubled chunk", 2, func(c *engine.Chunk) error { c.Index--; return nil }, admission.ResultFailed},
		{"skipped chunk", 2, func(c *engine.Chunk) error { c.Index++; return nil }, admission.ResultFailed},
		{"garbage", 2, func(*engine.Chunk) error { return &engine.Error{Kind: engine.Malformed} }, admission.ResultFailed},
		{"impossible count", 2, func(c *engine.Chunk) error { c.Tokens = -1; return nil }, admission.ResultFailed},
		{"bad finish reason", 6, func(c *engine.Chunk) error { c.FinishReason = "?"; return nil }, admission.ResultFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestGateway(t, nil)
			r.hookChunk("e1", c.at, c.hook)
			text, finish, _, err := streamText(r, t.Context(), "base")
			r.is.NoErr(err)
			r.is.Equal(text, wholeText)
			r.is.Equal(finish, "stop")
			r.is.Equal(r.control.results(), []admission.Result{c.result, admission.ResultAnswered})
			again := r.control.admitRequests[1]
			r.is.True(again.Readmitted)
			r.is.Equal(again.Exclude, []fleet.EndpointID{"e1"})
		})
	}
}

// Guards against a truncated answer that looks complete when no endpoint can resume
// it.
func TestAnswerThatCannotResumeEndsWithError(t *testing.T) {
	r := newTestGateway(t, nil)
	r.control.endpoints = r.control.endpoints[:1]
	r.hookChunk("e1", 3, truncateStream)
	text, finish, _, err := streamText(r, t.Context(), "base")
	r.is.Equal(text, "the slot on ")
	r.is.Equal(finish, "")
	r.is.True(err != nil)
	r.is.True(strings.Contains(err.Error(), "no_endpoint"))
	whole := r.call("POST", "/v1/completions", `{"model":"base","prompt":"x"}`)
	r.is.Equal(whole.status, http.StatusServiceUnavailable)
	r.is.Equal(whole.executed, "yes")
	r.hookChunk("e1", 0, truncateStream)
	whole = r.call("POST", "/v1/completions", `{"model":"base","prompt":"x"}`)
	r.is.Equal(whole.executed, "unknown") // the request was sent, but it is unknown whether it ran
	r.engines["e1"].generate = func(context.Context, engine.GenerateRequest) (engine.Stream, error) {
		return nil, &engine.Error{Kind: engine.Unreachable, Executed: engine.ExecutedNo}
	}
	whole = r.call("POST", "/v1/completions", `{"model":"base","prompt":"x"}`)
	r.is.Equal(whole.executed, "no")
}

// Guards against a request that reaches an engine before its adapter is loaded, and
// against repeating a refused load order with the token of the same old snapshot.
func TestAdapterIsLoadedFirst(t *testing.T) {
	r := newTestGateway(t, nil)
	tokens := uint64(0)
	r.control.changeGrant = func(g *admission.Grant) {
		tokens++
		g.LoadAdapter, g.Token = true, fleet.Token{Epoch: 1, Sequence: tokens}
	}
	var orders []engine.Order
	r.engines["e1"].order = func(o engine.Order) (engine.OrderResult, error) {
		orders = append(orders, o)
		if len(orders) == 1 {
			r.control.mu.Lock()
			defer r.control.mu.Unlock()
			next := *r.control.snapshot
			r.control.snapshot = &next
			return engine.OrderResult{Reason: "token is old"}, nil
		}
		return engine.OrderResult{Accepted: true}, nil
	}
	text, _, _, err := streamText(r, t.Context(), "drafts")
	r.is.NoErr(err)
	r.is.Equal(text, wholeText)
	r.is.Equal(len(orders), 2)
	r.is.Equal(orders[1].Token, fleet.Token{Epoch: 1, Sequence: 2})
	r.is.Equal([]string{orders[1].Name, orders[1].Base, orders[1].Version}, []string{"tuned", "base", "v7"})
	r.is.Equal(len(r.control.admitRequests[1].Exclude), 0)
}

var _ control.Control = (*fakeControl)(nil)

// Guards against a panic that leaks a grant or stops the instance.
func TestPanicReleasesTheGrant(t *testing.T) {
	r := newTestGateway(t, nil)
	r.engines["e1"].generate = func(context.Context, engine.GenerateRequest) (engine.Stream, error) {
		panic("fault in an engine client")
	}
	_, _, _, err := streamText(r, t.Context(), "base")
	r.is.True(err != nil)
	r.is.Equal(r.call("GET", "/healthz", "").status, http.StatusOK)
	r.is.NoErr(r.stopKernel(context.Background()))
	r.is.Equal(r.control.results(), []admission.Result{admission.ResultFailed})
}
