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

// callerTimeout ends a call that hangs.
const callerTimeout = 15 * time.Second

var defaultCallerClient = &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// errWrongAnswer reports that a caller received text that does not belong to its
// request, or a truncated answer without an error (I3).
var errWrongAnswer = errors.New("wrong answer")

var textCounter atomic.Int64

// uniqueText returns a text that no other request uses, so that an engine's
// counts for a prompt are the counts of one request.
func uniqueText(what string) string { return fmt.Sprintf("%s %d", what, textCounter.Add(1)) }

// canonicalPrompt returns the canonical form in which engines receive a single
// user message.
func canonicalPrompt(text string) string {
	return fmt.Sprintf(`{"messages":[{"role":"user","content":%q}]}`, text)
}

// expectedAnswer returns the answer that the given version of a model or adapter
// generates for a text.
func expectedAnswer(name, version, text string, tokens int) string {
	model, adapter := name, ""
	if number, ok := strings.CutPrefix(name, "adapter-"); ok {
		model, adapter = "model-"+number, name
	}
	return standinengine.Answer(model, adapter, version, canonicalPrompt(text), tokens)
}

// testVersions lists the versions that the tests assign to models and adapters.
var testVersions = []string{"1", "2", "3"}

// checkAnswer streams an answer through an instance and returns an error unless
// it equals the answer of one of the test versions.
func checkAnswer(ctx context.Context, i *instance, name, text string, tokens int) error {
	_, err := streamAnswer(ctx, i, name, text, tokens, nil)
	return err
}

// streamAnswer streams an answer through an instance and returns the received text.
// It returns an error unless the text equals the answer of one of the test versions.
// If onFirstChunk is not nil, it is called after the first chunk.
func streamAnswer(ctx context.Context, i *instance, name, text string, tokens int, onFirstChunk func()) (string, error) {
	client := openai.NewClient(option.WithBaseURL(i.callerURL()+"/v1"), option.WithAPIKey("test"),
		option.WithMaxRetries(0), option.WithHTTPClient(i.callerClient))
	s := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: name, MaxTokens: openai.Int(int64(tokens)),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	})
	defer s.Close()
	var got strings.Builder
	for s.Next() {
		if onFirstChunk != nil {
			onFirstChunk()
			onFirstChunk = nil
		}
		for _, choice := range s.Current().Choices {
			got.WriteString(choice.Delta.Content)
		}
	}
	isComplete, isPrefix := false, false
	for _, v := range testVersions {
		want := expectedAnswer(name, v, text, tokens)
		isComplete = isComplete || got.String() == want
		isPrefix = isPrefix || strings.HasPrefix(want, got.String())
	}
	switch {
	case !isPrefix, s.Err() == nil && !isComplete:
		return got.String(), fmt.Errorf("%w: %s through %s: got %q for prompt %q (%d tokens)", errWrongAnswer, name, i.id, got.String(), text, tokens)
	case s.Err() != nil:
		return got.String(), fmt.Errorf("%s through %s: %w", name, i.id, s.Err())
	}
	return got.String(), nil
}

// isNotExecuted reports whether an error response states that the request was not
// executed.
func isNotExecuted(err error) bool {
	var failure *openai.Error
	return errors.As(err, &failure) && failure.Response.Header.Get("X-Hyssophaven-Executed") == "no"
}

// engineCounts holds the counters of a stand-in engine.
type engineCounts struct {
	Total            standinengine.RequestCounts            `json:"total"`
	ByPrompt         map[uint64]standinengine.RequestCounts `json:"by_prompt"`
	PeakMB           int                                    `json:"peak_mb"`
	OvercommitEvents int                                    `json:"overcommit_events"`
	Crashes          int                                    `json:"crashes"`
}

func (d *deployment) readEngineCounts(e *endpoint) engineCounts {
	d.t.Helper()
	var c engineCounts
	waitNoError(d.t, "the counts of "+e.name, func() error {
		return callStandin(http.MethodGet, "http://"+e.directAddress+"/counts", nil, &c)
	})
	return c
}

// startsByPrompt returns how many times the engines started to run each prompt.
func (d *deployment) startsByPrompt() startCounts {
	d.t.Helper()
	out := make(startCounts)
	for _, e := range d.engines {
		for hash, n := range d.readEngineCounts(e).ByPrompt {
			out[hash] += n.Started
		}
	}
	return out
}

// startCounts maps the hash of a prompt to the number of starts.
type startCounts map[uint64]int

func (c startCounts) forText(text string) int {
	return c[standinengine.PromptHash(canonicalPrompt(text))]
}

// checkMemory asserts that the memory of no engine was ever overcommitted (I1).
func (d *deployment) checkMemory() {
	d.t.Helper()
	for _, e := range d.engines {
		if c := d.readEngineCounts(e); c.OvercommitEvents != 0 || c.PeakMB > d.options.engineMemoryMB {
			d.t.Errorf("%s: memory was overcommitted %d times, peak %d MB of %d MB", e.name, c.OvercommitEvents, c.PeakMB, d.options.engineMemoryMB)
		}
	}
}

func (d *deployment) crashEngine(e *endpoint) {
	d.t.Helper()
	if err := callStandin(http.MethodPost, "http://"+e.directAddress+"/crash", nil, nil); err != nil {
		d.t.Logf("crash %s: %v", e.name, err) // the crash can break off the response
	}
}

// bookingExecutions returns how many times the booking services executed each
// reference.
func (d *deployment) bookingExecutions() map[string]int {
	d.t.Helper()
	out := make(map[string]int)
	for _, s := range d.services {
		var ledger standinservice.Ledger
		if err := callStandin(http.MethodGet, "http://"+s.directAddress+"/ledger", nil, &ledger); err != nil {
			d.t.Fatal(err)
		}
		for _, e := range ledger.Entries {
			out[e.Reference]++
		}
	}
	return out
}

// bookingResult holds the response that a caller received to one booking call.
type bookingResult struct {
	reference string
	status    int    // 0 if the connection broke
	executed  string // value of the X-Hyssophaven-Executed header
}

// sendBooking sends a booking through an instance, without an idempotency key if
// key is empty.
func sendBooking(ctx context.Context, i *instance, reference, key string) bookingResult {
	out := bookingResult{reference: reference}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, i.callerURL()+"/services/booking/bookings",
		strings.NewReader(fmt.Sprintf(`{"reference":%q}`, reference)))
	if err != nil {
		return out
	}
	request.Header.Set("Content-Type", "application/json")
	// With GetBody set, the HTTP client retries a POST that has an idempotency key.
	request.GetBody = nil
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := i.callerClient.Do(request)
	if err != nil {
		return out
	}
	defer response.Body.Close()
	out.status, out.executed = response.StatusCode, response.Header.Get("X-Hyssophaven-Executed")
	return out
}

// checkBookings compares the responses with the services' ledgers: no booking was
// executed twice (I5), every confirmed booking was executed, and no booking was
// executed if all its calls were answered with executed "no" (I4).
func checkBookings(t *testing.T, results []bookingResult, executions map[string]int) {
	t.Helper()
	type summary struct{ confirmed, possiblyExecuted bool }
	summaries := make(map[string]summary)
	for _, b := range results {
		s := summaries[b.reference]
		s.confirmed = s.confirmed || b.status == http.StatusCreated
		s.possiblyExecuted = s.possiblyExecuted || b.executed != "no"
		summaries[b.reference] = s
	}
	for reference, s := range summaries {
		n := executions[reference]
		switch {
		case n > 1:
			t.Errorf("booking %s was executed %d times", reference, n)
		case s.confirmed && n == 0:
			t.Errorf("booking %s was confirmed but not executed", reference)
		case !s.possiblyExecuted && n > 0:
			t.Errorf(`booking %s was executed, but every call was answered with executed "no"`, reference)
		}
	}
}
