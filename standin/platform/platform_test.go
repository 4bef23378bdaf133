package standinplatform

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/fleet"
)

func writeTxn(key string) backing.Txn {
	return backing.Txn{Writes: []backing.Write{{Key: key, Value: []byte("v")}}}
}

// Guards against a lost answer whose write is not applied, and against losing
// more answers than LoseAnswers.
func TestLostAnswersTakeEffect(t *testing.T) {
	is := is.New(t)
	p := New(Config{})
	defer p.Close()
	p.SetFaults(Tables, Faults{LoseAnswers: 1})
	_, err := p.Tables().Commit(t.Context(), writeTxn("a"))
	is.True(errors.Is(err, backing.ErrUnknownOutcome))
	records, err := p.Tables().Read(t.Context(), backing.Query{Keys: []string{"a"}})
	is.NoErr(err)
	is.Equal(len(records), 1)
	_, err = p.Tables().Commit(t.Context(), writeTxn("b"))
	is.NoErr(err)
	is.Equal(p.Counts()[Tables], Counts{Reads: 1, Writes: 2, LostAnswers: 1})
}

// Guards against random faults that differ between platforms with the same seed.
func TestSeedRepeatsLostAnswers(t *testing.T) {
	is := is.New(t)
	pattern := func() (out []bool) {
		p := New(Config{Seed: 7})
		defer p.Close()
		p.SetFaults(Objects, Faults{LoseProbability: 0.5})
		for range 32 {
			out = append(out, p.Objects().Put(t.Context(), "o", nil) != nil)
		}
		return out
	}
	first := pattern()
	is.Equal(first, pattern())
	is.True(slices.Contains(first, true) && slices.Contains(first, false))
}

// Guards against a service that applies writes while it is down, and against the
// faults of one service affecting another.
func TestDownServiceAppliesNothing(t *testing.T) {
	is := is.New(t)
	p := New(Config{})
	defer p.Close()
	p.SetFaults(Tables, Faults{Down: true})
	_, err := p.Tables().Commit(t.Context(), writeTxn("a"))
	is.True(errors.Is(err, backing.ErrUnavailable))
	is.NoErr(p.Objects().Put(t.Context(), "o", nil))
	p.SetFaults(Tables, Faults{})
	records, err := p.Tables().Read(t.Context(), backing.Query{Prefix: "a"})
	is.NoErr(err)
	is.Equal(len(records), 0)
	is.Equal(p.Counts()[Tables].Refused, 1)
}

// Guards against list changes that are visible before ListLag has passed, and
// against calls that ignore the Delay of their service.
func TestListLagAndServiceDelayApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(Config{ListLag: 3 * time.Second})
		defer p.Close()
		p.PutEndpoint(fleet.Endpoint{ID: "e", Address: "a:1"})
		visibleEndpoints := func() int {
			l, err := p.Instances().List(t.Context())
			is.NoErr(err)
			return len(l.Endpoints)
		}
		time.Sleep(2 * time.Second)
		is.Equal(visibleEndpoints(), 0)
		time.Sleep(time.Second)
		is.Equal(visibleEndpoints(), 1)
		p.RemoveEndpoint("e")
		is.Equal(visibleEndpoints(), 1)
		p.SetFaults(Instances, Faults{Delay: 4 * time.Second})
		is.Equal(visibleEndpoints(), 0)
	})
}

// Guards against loads that start faster than ModelLoadsPerSecond, against
// concurrent loads that don't slow each other down, and against permits that never
// expire because their engine crashed before releasing them.
func TestWeightStoreLimitsRateAndSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := New(Config{Weights: WeightConfig{ModelLoadsPerSecond: 2, ModelLoadsAtFullSpeed: 2, PermitTTL: time.Minute}})
		defer p.Close()
		start := time.Now()
		acquire := func() backinghttp.Permit {
			permit, err := p.Weights().Acquire(t.Context(), backinghttp.LoadRequest{Engine: "e", Name: "m"})
			is.NoErr(err)
			return permit
		}
		var slowdowns []float64
		var last backinghttp.Permit
		for range 4 {
			last = acquire()
			slowdowns = append(slowdowns, last.Slowdown)
		}
		is.Equal(slowdowns, []float64{1, 1, 1.5, 2})
		is.Equal(time.Since(start), 1500*time.Millisecond)
		is.NoErr(p.Weights().Release(t.Context(), last.ID))
		is.Equal(acquire().Slowdown, 2.0)
		time.Sleep(2 * time.Minute)
		is.Equal(acquire().Slowdown, 1.0)
	})
}

// Guards against the HTTP test interface behaving differently from the Go API.
func TestFaultsAndListOverHTTP(t *testing.T) {
	is := is.New(t)
	p := New(Config{})
	defer p.Close()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	put := func(path, body string) int {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+path, strings.NewReader(body))
		is.NoErr(err)
		res, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		return res.StatusCode
	}
	is.Equal(put("/faults/tables", `{"delay":"2s","lose_answers":3,"lose_probability":0.5,"answer_delay":"1ms","down":true}`), 200)
	is.Equal(p.Faults(Tables), Faults{Down: true, Delay: 2 * time.Second, AnswerDelay: time.Millisecond, LoseAnswers: 3, LoseProbability: 0.5})
	is.Equal(put("/faults/other", `{}`), 400)
	is.Equal(put("/faults/tables", `{"typo":1}`), 400)
	is.Equal(put("/list/endpoints/e1", `{"kind":"engine","address":"a:1"}`), 200)
	is.Equal(put("/list/instances/i1", `{"data_centre":"d"}`), 200)
	l, err := p.Instances().List(t.Context())
	is.NoErr(err)
	is.Equal(l.Endpoints[0].ID, fleet.EndpointID("e1"))
	is.Equal(l.Instances[0].ID, fleet.InstanceID("i1"))
}
