package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hyssophaven/hyssophaven/dev"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
)

// requestsInFlight is below the slots of the engines of the deployment.
const requestsInFlight = 16

// measureRequests measures streamed requests through one whole instance. The
// processor time includes that of the client and of the engine's stand-in in
// the same process, so the figures are upper bounds.
func measureRequests(ctx context.Context, o Options) ([]Line, error) {
	events := Line{
		Name: "requests: streamed request with client and engine", Varied: "tokens", Unit: "µs", Full: fullTokens / fullRequests,
		Why: "base: per request; slope: per event; both upper bounds",
	}
	d := dev.Deployments()["ladang-petik"]
	r, err := dev.Start(ctx, dev.Options{Deployment: d, Instances: 1, Log: log.New(io.Discard), Engine: func(c *standinengine.Config) {
		c.Slots, c.DecodeStep, c.DecodePerSequence = 256, 2*time.Millisecond, time.Nanosecond
	}})
	if err != nil {
		return nil, err
	}
	err = requestLine(ctx, o, r, &events)
	if stopErr := r.Stop(ctx); err == nil {
		err = stopErr
	}
	return []Line{events}, err
}

func requestLine(ctx context.Context, o Options, r *dev.Running, events *Line) error {
	ready, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := r.WaitReachable(ready); err != nil {
		return err
	}
	time.Sleep(o.duration(5 * time.Second))
	began, before := time.Now(), processorTime()
	time.Sleep(o.duration(4 * time.Second))
	idle := (processorTime() - before).Seconds() / time.Since(began).Seconds()
	for _, tokens := range o.sizes(16, 64, 128, 256) {
		cost, err := streamedRequests(ctx, r, o.duration(4*time.Second), tokens, idle)
		if err != nil {
			return err
		}
		add(events, tokens, cost)
	}
	return nil
}

// ask starts one streamed request.
func ask(ctx context.Context, r *dev.Running, row string, tokens int) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"when?"}]}`, row, tokens)
	url := "http://" + r.Instances[0].Self().CallerAddress + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		return nil, fmt.Errorf("answer %d: %s", res.StatusCode, text)
	}
	return res, nil
}

// streamedRequests returns the microseconds of processor time per request.
func streamedRequests(ctx context.Context, r *dev.Running, d time.Duration, tokens int, idle float64) (float64, error) {
	began, before := time.Now(), processorTime()
	var group sync.WaitGroup
	counts, errs := make([]int, requestsInFlight), make([]error, requestsInFlight)
	for i := range counts {
		group.Go(func() {
			for ; time.Since(began) < d && errs[i] == nil; counts[i]++ {
				var res *http.Response
				if res, errs[i] = ask(ctx, r, "growers-answer", tokens); errs[i] == nil {
					_, errs[i] = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			}
		})
	}
	group.Wait()
	total := 0
	for i, n := range counts {
		total += n
		if errs[i] != nil {
			return 0, errs[i]
		}
	}
	used := (processorTime() - before).Seconds() - idle*time.Since(began).Seconds()
	return used * 1e6 / float64(total), nil
}
