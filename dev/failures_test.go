package dev

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/fleet"
	standinengine "github.com/hyssophaven/hyssophaven/standin/engine"
	standinplatform "github.com/hyssophaven/hyssophaven/standin/platform"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/tablestore"
)

const poison = "POISON"

// Guards against a request that takes down one endpoint after another when its
// caller sends it again through other instances (F9), and against innocent
// requests beside it that are lost or punished.
func TestCrashingRequestCostsAtMostTwoEndpoints(t *testing.T) {
	is := is.New(t)
	r := start(t, func(o *Options) {
		engine := o.Engine
		o.Engine = func(c *standinengine.Config) {
			engine(c)
			c.PoisonText, c.RestartDelay = poison, 300*time.Millisecond
		}
	})
	ctx := t.Context()
	// ladang-03 is patient work, whose target of five minutes leaves time for trials.
	innocent := make(chan error, 60)
	for n := range cap(innocent) {
		go func() {
			innocent <- checkAnswer(ctx, client(r.Instances[n%3]), "ladang-03", fmt.Sprintf("innocent %d", n), 200)
		}()
	}
	for n := range 6 {
		c := client(r.Instances[n%3])
		_, err := c.Chat.Completions.New(ctx, chat("ladang-03", poison+" again", 8))
		is.True(err != nil) // the request can never be answered
	}
	for range cap(innocent) {
		is.NoErr(<-innocent)
	}
	is.True(sum(r.Engines, func(e *standinengine.Engine) int { return e.Counts().Crashes }) <= 2)
	is.NoErr(checkAnswer(ctx, client(r.Instances[0]), "ladang-03", "after", 4))
}

// Guards against an outage of all the platform's stores that stops serving
// (F5), and against a stopped edit that is reported as accepted.
func TestServingGoesOnWhileTheStoresAreDown(t *testing.T) {
	is := is.New(t)
	r := start(t, nil)
	ctx := t.Context()
	for _, s := range []standinplatform.Service{standinplatform.Tables, standinplatform.Objects} {
		r.Platform.SetFaults(s, standinplatform.Faults{Down: true})
	}
	time.Sleep(20 * time.Second) // longer than a lease term, so that all leases lapse
	for n := range 40 {
		is.NoErr(checkAnswer(ctx, client(r.Instances[n%3]), fmt.Sprintf("ladang-adapter-%02d", n+1), "outage", 4))
	}
	code, executed := book(t, r, 0, "while-down", "key-while-down")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(executed, "no")
	is.Equal(r.bookings("while-down"), 0)
	for _, s := range []standinplatform.Service{standinplatform.Tables, standinplatform.Objects} {
		r.Platform.SetFaults(s, standinplatform.Faults{})
	}
	waitFor(t, "keyed calls to work again", func() bool {
		code, _ := book(t, r, 1, "after", "key-after")
		return code == http.StatusCreated
	})
	is.Equal(r.bookings("after"), 1)
}

// Guards against an endpoint that gets new work after it was marked as leaving (I6).
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	r := start(t, nil)
	s := r.Instances[0].Control().Snapshot()
	var leaving fleet.Endpoint
	for _, e := range s.Endpoints {
		if e.Kind == fleet.ModelEngine {
			leaving = e
			break
		}
	}
	leaving.Leaving = true
	r.Platform.PutEndpoint(leaving)
	waitFor(t, "the mark to reach every instance", func() bool {
		for _, i := range r.Instances {
			for _, e := range i.Control().Snapshot().Endpoints {
				if e.ID == leaving.ID && !e.Leaving {
					return false
				}
			}
		}
		return true
	})
	time.Sleep(200 * time.Millisecond) // requests granted just before
	before := r.Engines[0].Counts().Total.Accepted
	for n := range 120 {
		is.NoErr(checkAnswer(t.Context(), client(r.Instances[n%3]), fmt.Sprintf("ladang-%02d", n%20+1), fmt.Sprint(n), 2))
	}
	is.Equal(r.Engines[0].Counts().Total.Accepted, before)
}

// Guards against racing edits (F8) of which both are accepted or that are not
// in force everywhere (I8).
func TestRacingEditsAreInForceEverywhere(t *testing.T) {
	is := is.New(t)
	r := start(t, nil)
	store := tablestore.New(r.Platform.Tables())
	seen, err := store.Load(t.Context())
	is.NoErr(err)
	row, _ := seen.Row("ladang-01")
	results := make(chan error, 8)
	for n := range cap(results) {
		go func() {
			changed := row
			changed.Weight = float64(n + 2)
			_, err := store.Edit(t.Context(), table.Edit{Changes: []table.Change{{Row: changed, BaseVersion: row.RowVersion}}})
			results <- err
		}()
	}
	accepted := 0
	for range cap(results) {
		if <-results == nil {
			accepted++
		}
	}
	is.Equal(accepted, 1)
	after, err := store.Load(t.Context())
	is.NoErr(err)
	want, _ := after.Row("ladang-01")
	waitFor(t, "the edit to be in force on every instance", func() bool {
		for _, i := range r.Instances {
			if got, _ := i.Control().Snapshot().Table.Row("ladang-01"); got.Weight != want.Weight {
				return false
			}
		}
		return true
	})
}

// book sends a keyed booking through one instance.
func book(t *testing.T, r *Running, instance int, reference, key string) (code int, executed string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+r.Instances[instance].Self().CallerAddress+"/services/booking/bookings",
		strings.NewReader(fmt.Sprintf(`{"reference":%q}`, reference)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("X-Hyssophaven-Executed")
}

// bookings counts the executions of a booking on all replicas of the service.
func (r *Running) bookings(reference string) int {
	n := 0
	for _, s := range r.Services {
		n += s.Ledger().Executions(reference)
	}
	return n
}

// Guards against an engine that is not used again after it crashed and came
// back empty.
func TestCrashedEngineIsLoadedAgain(t *testing.T) {
	is := is.New(t)
	r := start(t, func(o *Options) {
		engine := o.Engine
		o.Engine = func(c *standinengine.Config) {
			engine(c)
			c.RestartDelay = 300 * time.Millisecond
		}
	})
	held := func(n int) int {
		state, err := r.Engines[n].State(t.Context())
		if err != nil {
			return -1
		}
		ready := 0
		for _, res := range state.Residents {
			if res.Ready && res.Base == "" {
				ready++
			}
		}
		return ready
	}
	before := []int{held(0), held(1)}
	r.Engines[0].Crash()
	r.Engines[1].Crash()
	waitFor(t, "the models to be loaded again", func() bool { return held(0) == before[0] && held(1) == before[1] })
	is.NoErr(checkAnswer(t.Context(), client(r.Instances[0]), "ladang-01", "after", 4))
}
