package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/hyssophaven/hyssophaven/daemon"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
	"github.com/hyssophaven/hyssophaven/table"
)

// startTimeout ends a test that hangs; the deployment is ready within seconds.
const startTimeout = 2 * time.Minute

// startDeployment runs Ladang Petik with fast loads and waits until every model
// and adapter can be routed.
func startDeployment(t *testing.T, configure func(*Options)) *Running {
	t.Helper()
	d := Deployments()["ladang-petik"]
	d.LoadsPerSecond, d.MaxConcurrentLoads = 200, 100
	o := Options{Deployment: d, Log: log.New(io.Discard), ListLag: 100 * time.Millisecond}
	o.ConfigureEngine = func(c *standinengine.Config) { c.ModelLoadTime = 20 * time.Millisecond }
	if configure != nil {
		configure(&o)
	}
	r, err := Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if err := r.WaitRoutable(ctx); err != nil {
		t.Fatal(err)
	}
	return r
}

func newClient(i *daemon.Instance) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+i.Self().CallerAddress+"/v1"), option.WithAPIKey("test"), option.WithMaxRetries(0))
}

func chatParams(model, text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// Guards against callers who receive another caller's answer, and against
// unreachable models and adapters: 200 concurrent requests go to 20 models and
// 60 adapters through three instances, and each answer is checked.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	is := is.New(t)
	r := startDeployment(t, nil)
	var names []string
	for _, row := range r.Options.Deployment.Rows() {
		if row.Kind == table.KindModel || row.Kind == table.KindAdapter {
			names = append(names, row.Name)
		}
	}
	is.Equal(len(names), 80)
	const callers, tokens = 200, 12
	errs := make(chan error, callers)
	for n := range callers {
		go func() {
			c := newClient(r.Instances[n%len(r.Instances)])
			errs <- checkAnswer(t.Context(), c, names[n%len(names)], fmt.Sprintf("request %d", n), tokens)
		}()
	}
	for range callers {
		is.NoErr(<-errs)
	}
	for _, e := range r.Engines {
		is.Equal(e.Counts().OvercommitEvents, 0)
	}
}

// checkAnswer sends a request and compares the answer with the text that an
// engine generates for this request.
func checkAnswer(ctx context.Context, c openai.Client, name, text string, tokens int) error {
	answer, err := c.Chat.Completions.New(ctx, chatParams(name, text, int64(tokens)))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	got := answer.Choices[0].Message.Content
	if want := expectedAnswer(name, text, tokens); got != want {
		return fmt.Errorf("%s: answer %q to %q, want %q", name, got, text, want)
	}
	return nil
}

// Guards against incompatibility with the stock OpenAI client: a stream whose
// chunks differ from the whole answer, a required max_tokens, a refusal without
// its error code, an incomplete model list, and a cancelled stream that keeps its
// slot.
func TestStockClient(t *testing.T) {
	is := is.New(t)
	r := startDeployment(t, nil)
	c := newClient(r.Instances[1])
	stream := c.Chat.Completions.NewStreaming(t.Context(), chatParams("slot-confirmation", "stream", 20))
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	is.NoErr(stream.Err())
	is.Equal(text.String(), expectedAnswer("ladang-01", "stream", 20))

	unlimited := chatParams("slot-confirmation", "no limit", 1)
	unlimited.MaxTokens = openai.ChatCompletionNewParams{}.MaxTokens
	answer, err := c.Chat.Completions.New(t.Context(), unlimited)
	is.NoErr(err) // max_tokens is optional
	is.True(answer.Usage.CompletionTokens > 1)

	_, err = c.Chat.Completions.New(t.Context(), chatParams("no-such-model", "x", 1))
	var apiErr *openai.Error
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.StatusCode, 404)
	is.Equal(apiErr.Code, "model_not_found")
	is.Equal(apiErr.Response.Header.Get("X-Hyssophaven-Executed"), "no")

	models, err := c.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(len(models.Data), 84) // 20 models, 60 adapters, 4 kinds of work

	ctx, cancel := context.WithCancel(t.Context())
	long := c.Chat.Completions.NewStreaming(ctx, chatParams("visit-summary", "long", 100_000))
	is.True(long.Next())
	cancel()
	for long.Next() {
	}
	waitFor(t, "the cancelled request to leave its engine", func() bool {
		return sum(r.Engines, func(e *standinengine.Engine) int { return e.Counts().Total.Cancelled }) == 1
	})
}

// Guards against a planned stop that ends a running stream.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	r := startDeployment(t, nil)
	c := newClient(r.Instances[2])
	stream := c.Chat.Completions.NewStreaming(t.Context(), chatParams("growers-answer", "slow", 400))
	is.True(stream.Next())
	stopped := make(chan error, 1)
	go func() { stopped <- r.Instances[2].Stop(context.Background()) }()
	chunks := 1
	for stream.Next() {
		chunks++
	}
	is.NoErr(stream.Err())
	is.True(chunks >= 400)
	is.NoErr(<-stopped)
	r.Instances = r.Instances[:2]
	is.NoErr(checkAnswer(t.Context(), newClient(r.Instances[0]), "ladang-07", "after", 4))
}

func sum(engines []*standinengine.Engine, count func(*standinengine.Engine) int) int {
	n := 0
	for _, e := range engines {
		n += count(e)
	}
	return n
}

func waitFor(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", condition)
		}
	}
}

// expectedAnswer returns the text that an engine generates for a user message.
func expectedAnswer(name, text string, tokens int) string {
	model, adapter := name, ""
	for _, row := range Deployments()["ladang-petik"].Rows() {
		if row.Name == name && row.Kind == table.KindAdapter {
			model, adapter = row.Base, name
		}
	}
	return standinengine.Answer(model, adapter, "1", canonicalPrompt(text), tokens)
}

// canonicalPrompt returns the canonical form in which engines receive one user
// message.
func canonicalPrompt(text string) string {
	return fmt.Sprintf(`{"messages":[{"role":"user","content":%q}]}`, text)
}
