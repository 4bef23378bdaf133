package standin_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/engine/enginehttp"
	"github.com/hyssophaven/hyssophaven/standin"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
)

// Guards against a crash after which connections stay open, requests are still
// answered, or the restarted engine listens on another address.
func TestCrashCutsConnectionsAndRefusesNewOnes(t *testing.T) {
	is := is.New(t)
	e := standinengine.New(standinengine.Config{RestartDelay: 300 * time.Millisecond, ModelLoadTime: time.Millisecond})
	r, err := standin.Start(t.Context(), "engine", e, "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(r.Stop(context.WithoutCancel(t.Context()))) }()
	c := enginehttp.NewClient(r.Address(), enginehttp.Options{})
	before, err := c.State(t.Context())
	is.NoErr(err)
	_, err = c.Order(t.Context(), engine.Order{ID: "o", Name: "m", Version: "v1"})
	is.NoErr(err)
	request := engine.GenerateRequest{RequestID: "r", Model: "m", MaxTokens: 100_000}
	s, err := c.Generate(t.Context(), request)
	for kind, ok := engine.ErrorKindOf(err); ok && kind == engine.NotResident; kind, ok = engine.ErrorKindOf(err) {
		time.Sleep(time.Millisecond) // the model is still loading
		s, err = c.Generate(t.Context(), request)
	}
	is.NoErr(err)
	_, err = s.Next()
	is.NoErr(err)
	e.Crash()
	for err == nil {
		_, err = s.Next()
	}
	kind, _ := engine.ErrorKindOf(err)
	is.Equal(kind, engine.Truncated)
	is.NoErr(s.Close())

	var after engine.State
	refused := false
	for {
		if after, err = c.State(t.Context()); err == nil {
			break
		}
		var e *engine.Error
		is.True(errors.As(err, &e))
		refused = refused || e.Executed == engine.ExecutedNo
		time.Sleep(5 * time.Millisecond)
	}
	is.True(refused) // connections were refused while the engine was down
	is.True(after.BootID != before.BootID)
	is.Equal(len(after.Residents), 0)
}

// Guards against Start returning no error when the address is already in use.
func TestStartFailsIfTheAddressIsTaken(t *testing.T) {
	is := is.New(t)
	first, err := standin.Start(t.Context(), "engine", standinengine.New(standinengine.Config{}), "127.0.0.1:0")
	is.NoErr(err)
	_, err = standin.Start(t.Context(), "engine", standinengine.New(standinengine.Config{}), first.Address())
	is.True(err != nil)
	is.NoErr(first.Stop(t.Context()))
}

// Guards against chunks of concurrent answers being sent to the wrong caller, and
// against resumed answers that repeat or skip chunks.
func TestConcurrentAnswersReachTheirCallers(t *testing.T) {
	is := is.New(t)
	const callers, tokens = 100, 40
	e := standinengine.New(standinengine.Config{Slots: callers, DecodeStep: time.Millisecond, DecodePerSequence: time.Microsecond, ModelLoadTime: time.Millisecond})
	r, err := standin.Start(t.Context(), "engine", e, "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(r.Stop(context.WithoutCancel(t.Context()))) }()
	c := enginehttp.NewClient(r.Address(), enginehttp.Options{})
	_, err = c.Order(t.Context(), engine.Order{ID: "o", Name: "m", Version: "v1"})
	is.NoErr(err)
	for s, err := c.State(t.Context()); err == nil && !s.Residents[0].Ready; s, err = c.State(t.Context()) {
		time.Sleep(time.Millisecond)
	}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			request := engine.GenerateRequest{RequestID: fmt.Sprintf("r%d", i), Model: "m", Prompt: fmt.Sprintf("prompt %d", i), MaxTokens: tokens}
			answer, err := readChunks(t.Context(), c, request, i%tokens)
			request.ResumeFrom = i % tokens
			if err == nil {
				var rest string
				rest, err = readChunks(t.Context(), c, request, tokens)
				answer += rest
			}
			if want := standinengine.Answer("m", "", "v1", request.Prompt, tokens); err != nil || answer != want {
				t.Errorf("answer %q, want %q: %v", answer, want, err)
			}
		})
	}
	wg.Wait()
	n := e.Counts()
	is.Equal(n.Total.Accepted, 2*callers)
	is.True(n.Total.Finished >= callers) // all resumed answers finished
}

// readChunks reads at most limit chunks and then closes the stream.
func readChunks(ctx context.Context, c *enginehttp.Client, r engine.GenerateRequest, limit int) (string, error) {
	s, err := c.Generate(ctx, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = s.Close() }()
	text := ""
	for range limit {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return text, err
		}
		text += chunk.Text
	}
	return text, nil
}
