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
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
)

// requestsInFlight is the number of concurrent requests. It is less than the
// slots of the engines, so that no request waits.
const requestsInFlight = 16

// maxErrorBytes limits the text of a failed response.
const maxErrorBytes = 64 << 10

// measureRequests measures streamed requests through one whole instance. The
// client and the stand-in engines run in the same process and their processor
// time is included, so the results are upper bounds.
func measureRequests(ctx context.Context, o Options) ([]Line, error) {
	events := Line{
		Name: "requests: streamed request with client and engine", SizeUnit: "tokens", CostUnit: "µs", DesignSize: designTokenRate / designRequestRate,
		Explanation: "base: per request; slope: per event; both upper bounds",
	}
	d := dev.Deployments()["ladang-petik"]
	r, err := dev.Start(ctx, dev.Options{Deployment: d, Instances: 1, Log: log.New(io.Discard), ConfigureEngine: func(c *standinengine.Config) {
		c.Slots, c.DecodeStep, c.DecodePerSequence = 256, 2*time.Millisecond, time.Nanosecond
	}})
	if err != nil {
		return nil, err
	}
	err = measureStreamedRequests(ctx, o, r, &events)
	if stopErr := r.Stop(ctx); err == nil {
		err = stopErr
	}
	return []Line{events}, err
}

func measureStreamedRequests(ctx context.Context, o Options, r *dev.Running, events *Line) error {
	readyCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := r.WaitRoutable(readyCtx); err != nil {
		return err
	}
	time.Sleep(o.duration(5 * time.Second))
	started, before := time.Now(), processorTime()
	time.Sleep(o.duration(4 * time.Second))
	idle := (processorTime() - before).Seconds() / time.Since(started).Seconds()
	for _, tokens := range o.sizes(16, 64, 128, 256) {
		cost, err := streamedRequestCost(ctx, r, o.duration(4*time.Second), tokens, idle)
		if err != nil {
			return err
		}
		addSample(events, tokens, cost)
	}
	return nil
}

// startRequest sends one streamed request and returns its response. The caller
// closes the body.
func startRequest(ctx context.Context, r *dev.Running, row string, tokens int) (*http.Response, error) {
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
		text, _ := jsonhttp.ReadBody(res.Body, maxErrorBytes)
		_ = res.Body.Close()
		return nil, fmt.Errorf("response status %d: %s", res.StatusCode, text)
	}
	return res, nil
}

// streamedRequestCost returns the microseconds of processor time per request,
// without the share of the idle load. idle is this load in processor seconds per
// second.
func streamedRequestCost(ctx context.Context, r *dev.Running, d time.Duration, tokens int, idle float64) (float64, error) {
	started, before := time.Now(), processorTime()
	var group sync.WaitGroup
	counts, errs := make([]int, requestsInFlight), make([]error, requestsInFlight)
	for i := range counts {
		group.Go(func() {
			for ; time.Since(started) < d && errs[i] == nil; counts[i]++ {
				var res *http.Response
				if res, errs[i] = startRequest(ctx, r, "growers-answer", tokens); errs[i] == nil {
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
	used := (processorTime() - before).Seconds() - idle*time.Since(started).Seconds()
	return used * 1e6 / float64(total), nil
}
