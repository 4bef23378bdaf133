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

const poisonText = "POISON"

// Guards against a request that crashes one endpoint after another when its
// caller repeats it through other instances (F9), and against other requests
// that are lost or quarantined because they ran on a crashed endpoint.
func TestCrashingRequestCostsAtMostTwoEndpoints(t *testing.T) {
	is := is.New(t)
	r := startDeployment(t, func(o *Options) {
		configureEngine := o.ConfigureEngine
		o.ConfigureEngine = func(c *standinengine.Config) {
			configureEngine(c)
			c.PoisonText, c.RestartDelay = poisonText, 300*time.Millisecond
		}
	})
	ctx := t.Context()
	// ladang-03 is a patient model. Its target of five minutes leaves time for
	// quarantine trials.
	unrelated := make(chan error, 60)
	for n := range cap(unrelated) {
		go func() {
			unrelated <- checkAnswer(ctx, newClient(r.Instances[n%3]), "ladang-03", fmt.Sprintf("innocent %d", n), 200)
		}()
	}
	for n := range 6 {
		c := newClient(r.Instances[n%3])
		_, err := c.Chat.Completions.New(ctx, chatParams("ladang-03", poisonText+" again", 8))
		is.True(err != nil) // the request can never be answered
	}
	for range cap(unrelated) {
		is.NoErr(<-unrelated)
	}
	is.True(sum(r.Engines, func(e *standinengine.Engine) int { return e.Counts().Crashes }) <= 2)
	is.NoErr(checkAnswer(ctx, newClient(r.Instances[0]), "ladang-03", "after", 4))
}

// Guards against an outage of all the platform's stores that interrupts serving
// (F5), and against a keyed call that is executed while its key cannot be stored.
func TestServingGoesOnWhileTheStoresAreDown(t *testing.T) {
	is := is.New(t)
	r := startDeployment(t, nil)
	ctx := t.Context()
	for _, s := range []standinplatform.Service{standinplatform.Tables, standinplatform.Objects} {
		r.Platform.SetFaults(s, standinplatform.Faults{Down: true})
	}
	time.Sleep(20 * time.Second) // longer than a lease term, so that all leases expire
	for n := range 40 {
		is.NoErr(checkAnswer(ctx, newClient(r.Instances[n%3]), fmt.Sprintf("ladang-adapter-%02d", n+1), "outage", 4))
	}
	code, executed := postBooking(t, r, 0, "while-down", "key-while-down")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(executed, "no")
	is.Equal(r.bookingExecutions("while-down"), 0)
	for _, s := range []standinplatform.Service{standinplatform.Tables, standinplatform.Objects} {
		r.Platform.SetFaults(s, standinplatform.Faults{})
	}
	waitFor(t, "keyed calls to work again", func() bool {
		code, _ := postBooking(t, r, 1, "after", "key-after")
		return code == http.StatusCreated
	})
	is.Equal(r.bookingExecutions("after"), 1)
}

// Guards against new work on an endpoint that is marked as leaving (I6).
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	r := startDeployment(t, nil)
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
	time.Sleep(200 * time.Millisecond) // lets requests dispatched before the mark reach the engine
	before := r.Engines[0].Counts().Total.Accepted
	for n := range 120 {
		is.NoErr(checkAnswer(t.Context(), newClient(r.Instances[n%3]), fmt.Sprintf("ladang-%02d", n%20+1), fmt.Sprint(n), 2))
	}
	is.Equal(r.Engines[0].Counts().Total.Accepted, before)
}

// Guards against concurrent edits of one row that are accepted more than once
// (F8), and against an accepted edit that does not reach every instance (I8).
func TestRacingEditsAreInForceEverywhere(t *testing.T) {
	is := is.New(t)
	r := startDeployment(t, nil)
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

// postBooking sends a keyed booking through one instance.
func postBooking(t *testing.T, r *Running, instance int, reference, key string) (code int, executed string) {
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

// bookingExecutions returns how often a booking was executed on all endpoints of
// the service.
func (r *Running) bookingExecutions(reference string) int {
	n := 0
	for _, s := range r.Services {
		n += s.Ledger().Executions(reference)
	}
	return n
}

// Guards against an engine that stays unused after it crashed and restarted
// without models.
func TestCrashedEngineIsLoadedAgain(t *testing.T) {
	is := is.New(t)
	r := startDeployment(t, func(o *Options) {
		configureEngine := o.ConfigureEngine
		o.ConfigureEngine = func(c *standinengine.Config) {
			configureEngine(c)
			c.RestartDelay = 300 * time.Millisecond
		}
	})
	readyModels := func(n int) int {
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
	before := []int{readyModels(0), readyModels(1)}
	r.Engines[0].Crash()
	r.Engines[1].Crash()
	waitFor(t, "the models to be loaded again", func() bool { return readyModels(0) == before[0] && readyModels(1) == before[1] })
	is.NoErr(checkAnswer(t.Context(), newClient(r.Instances[0]), "ladang-01", "after", 4))
}
