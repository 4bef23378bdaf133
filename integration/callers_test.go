//go:build linux

package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
	standinservice "github.com/hyssophaven/hyssophaven/standin/service"
)

// callerTimeout only stops a hang of one call.
const callerTimeout = 60 * time.Second

var (
	balancer = &http.Client{Timeout: 2 * time.Second}
	callers  = &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
)

// errWrongAnswer means that a caller got other text than its own, or a part of
// it without an error (I3).
var errWrongAnswer = errors.New("wrong answer")

var texts atomic.Int64

// newText returns a text that no other request has, so that the engines'
// counts by prompt are counts of one request.
func newText(what string) string { return fmt.Sprintf("%s %d", what, texts.Add(1)) }

// prompt is the canonical form of one user message, as engines get it.
func prompt(text string) string {
	return fmt.Sprintf(`{"messages":[{"role":"user","content":%q}]}`, text)
}

// expected is the answer to a text at a version of the model or adapter.
func expected(name, text string, tokens int) string {
	model, adapter := name, ""
	if number, ok := strings.CutPrefix(name, "adapter-"); ok {
		model, adapter = "model-"+number, name
	}
	return standinengine.Answer(model, adapter, "1", prompt(text), tokens)
}

// checkAnswer streams an answer from an instance and compares it with what
// engines generate.
func checkAnswer(ctx context.Context, i *instance, name, text string, tokens int) error {
	return checkStream(ctx, i, name, text, tokens, nil)
}

// checkStream is checkAnswer with a call after the first chunk.
func checkStream(ctx context.Context, i *instance, name, text string, tokens int, first func()) error {
	client := openai.NewClient(option.WithBaseURL("http://"+i.callers+"/v1"), option.WithAPIKey("test"),
		option.WithMaxRetries(0), option.WithHTTPClient(callers))
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: name, MaxTokens: openai.Int(int64(tokens)),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	})
	defer stream.Close()
	var got strings.Builder
	finished := false
	for stream.Next() {
		if first != nil {
			first()
			first = nil
		}
		for _, choice := range stream.Current().Choices {
			got.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != ""
		}
	}
	want := expected(name, text, tokens)
	switch {
	case !strings.HasPrefix(want, got.String()):
		return fmt.Errorf("%w: %s: %q to %q, want %q", errWrongAnswer, name, got.String(), text, want)
	case stream.Err() != nil:
		return fmt.Errorf("%s through %s: %w", name, i.id, stream.Err())
	case finished && got.String() != want:
		return fmt.Errorf("%w: %s: short answer %q to %q, want %q", errWrongAnswer, name, got.String(), text, want)
	case !finished:
		return fmt.Errorf("%s through %s: the stream ended without its end", name, i.id)
	}
	return nil
}

// saidNo reports whether a caller was told that its request did not run.
func saidNo(err error) bool {
	var failure *openai.Error
	return errors.As(err, &failure) && failure.Response.Header.Get("X-Hyssophaven-Executed") == "no"
}

// engineCounts is what a stand-in engine has done.
type engineCounts struct {
	Total            standinengine.RequestCounts            `json:"total"`
	ByPrompt         map[uint64]standinengine.RequestCounts `json:"by_prompt"`
	PeakMB           int                                    `json:"peak_mb"`
	OvercommitEvents int                                    `json:"overcommit_events"`
	Crashes          int                                    `json:"crashes"`
}

func (d *deployment) counts(e *endpoint) engineCounts {
	d.t.Helper()
	var c engineCounts
	waitNil(d.t, "the counts of "+e.name, func() error {
		return call(http.MethodGet, "http://"+e.direct+"/counts", nil, &c)
	})
	return c
}

// starts returns how often engines started to run a text.
func (d *deployment) starts(text string) int {
	d.t.Helper()
	n := 0
	for _, e := range d.engines {
		n += d.counts(e).ByPrompt[standinengine.PromptHash(prompt(text))].Started
	}
	return n
}

// checkMemory asserts that no engine's memory was ever overcommitted (I1).
func (d *deployment) checkMemory() {
	d.t.Helper()
	for _, e := range d.engines {
		if c := d.counts(e); c.OvercommitEvents != 0 || c.PeakMB > engineMB {
			d.t.Errorf("%s: memory was overcommitted %d times, peak %d MB of %d MB", e.name, c.OvercommitEvents, c.PeakMB, engineMB)
		}
	}
}

func (d *deployment) crash(e *endpoint) {
	d.t.Helper()
	if err := call(http.MethodPost, "http://"+e.direct+"/crash", nil, nil); err != nil {
		d.t.Logf("crash %s: %v", e.name, err) // the answer may be cut by the crash
	}
}

// executions returns how often the booking services ran each reference.
func (d *deployment) executions() map[string]int {
	d.t.Helper()
	out := make(map[string]int)
	for _, s := range d.services {
		var l standinservice.Ledger
		if err := call(http.MethodGet, "http://"+s.direct+"/ledger", nil, &l); err != nil {
			d.t.Fatal(err)
		}
		for _, e := range l.Entries {
			out[e.Reference]++
		}
	}
	return out
}

// booking is what a caller was told about one call.
type booking struct {
	reference string
	status    int // 0 if the connection was cut
	executed  string
}

// book sends a booking through an instance. An empty key sends none.
func book(ctx context.Context, i *instance, reference, key string) booking {
	out := booking{reference: reference}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers+"/services/booking/bookings",
		strings.NewReader(fmt.Sprintf(`{"reference":%q}`, reference)))
	if err != nil {
		return out
	}
	request.Header.Set("Content-Type", "application/json")
	// Without this, the client itself repeats a POST that has a key.
	request.GetBody = nil
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := callers.Do(request)
	if err != nil {
		return out
	}
	defer response.Body.Close()
	out.status, out.executed = response.StatusCode, response.Header.Get("X-Hyssophaven-Executed")
	return out
}

// checkBookings compares what callers were told with the services' ledgers:
// none ran twice (I5), none that was confirmed is missing, and none ran of
// which every call was answered with executed "no" (I4).
func checkBookings(t *testing.T, told []booking, ran map[string]int) {
	t.Helper()
	type summary struct{ confirmed, other bool }
	all := make(map[string]summary)
	for _, b := range told {
		s := all[b.reference]
		s.confirmed = s.confirmed || b.status == http.StatusCreated
		s.other = s.other || b.executed != "no"
		all[b.reference] = s
	}
	for reference, s := range all {
		n := ran[reference]
		switch {
		case n > 1:
			t.Errorf("booking %s ran %d times", reference, n)
		case s.confirmed && n == 0:
			t.Errorf("booking %s was confirmed and did not run", reference)
		case !s.other && n > 0:
			t.Errorf(`booking %s ran, but every call was answered with executed "no"`, reference)
		}
	}
}
