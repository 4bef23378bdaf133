package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Options configure Run.
type Options struct {
	// Check, if not nil, replaces the scenario's answer check.
	Check AnswerCheck
	// Client, if not nil, replaces the default HTTP client.
	Client *http.Client
}

// sample is one request and its outcome.
type sample struct {
	request    Request
	answer     Answer
	startDelay time.Duration // delay of the start after the scheduled time
	checkErr   error         // set if the answer failed the check
}

// Run generates the load of a scenario and returns what callers saw. When ctx
// ends, it sends no more requests and cancels those in flight.
func Run(ctx context.Context, s *Scenario, o Options) (*Result, error) {
	check := o.Check
	if check == nil {
		var err error
		if check, err = AnswerCheckNamed(s.Check); err != nil {
			return nil, err
		}
	}
	client := o.Client
	if client == nil {
		client = newClient()
		defer client.CloseIdleConnections()
	}
	samples, faults := make(chan sample, 1024), make(chan error, len(s.Faults))
	collected := make(chan *Result, 1)
	go func() { collected <- collect(s, samples) }()

	start := time.Now()
	for i, f := range s.Faults {
		go func() { faults <- runFault(ctx, client, i, f, start) }()
	}
	wait := generate(ctx, s, start, func(r Request, due time.Time) {
		startDelay := time.Since(due)
		ctx, cancel := context.WithDeadline(ctx, due.Add(time.Duration(s.Timeout)))
		defer cancel()
		a := send(ctx, client, &s.Streams[r.Stream], r, due)
		observed := sample{request: r, answer: a, startDelay: startDelay}
		if a.Code == "" {
			observed.checkErr = check(r, a)
		}
		samples <- observed
	})
	wait()
	close(samples)
	result := <-collected
	for range s.Faults {
		if err := <-faults; err != nil {
			result.FaultErrors = append(result.FaultErrors, err.Error())
		}
	}
	return result, ctx.Err()
}

// generate calls do for each request in a new goroutine at the scheduled time, and
// returns when the last one has started. wait waits until all have ended.
func generate(ctx context.Context, s *Scenario, start time.Time, do func(Request, time.Time)) (wait func()) {
	schedule := NewSchedule(s)
	var requests sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		r, ok := schedule.Next()
		if !ok || !sleepUntil(ctx, timer, start.Add(r.At)) {
			break
		}
		requests.Go(func() { do(r, start.Add(r.At)) })
	}
	return requests.Wait
}

// sleepUntil waits until at. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, timer *time.Timer, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer.Reset(d)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runFault causes a fault at its time after start.
func runFault(ctx context.Context, client *http.Client, index int, f Fault, start time.Time) error {
	timer := time.NewTimer(time.Until(start.Add(time.Duration(f.At))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return fmt.Errorf("fault %d not caused: %w", index+1, ctx.Err())
	}
	if err := callFault(ctx, client, f); err != nil {
		return fmt.Errorf("fault %d: %w", index+1, err)
	}
	return nil
}
