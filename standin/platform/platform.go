// Package standinplatform is an in-memory stand-in for the platform that
// hyssophaven runs on: table service, object store, instance list and weight
// store, with faults on demand and counts of what was called. One goroutine
// owns its state; nothing is kept after Close.
package standinplatform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/backinghttp"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	"github.com/hyssophaven/hyssophaven/internal/owner"
)

// Config is the behaviour of a Platform.
type Config struct {
	// ListLag is the age of what the instance list shows.
	ListLag time.Duration
	Weights WeightConfig
	// BearerToken is required of HTTP callers if it is not empty.
	BearerToken string
	// Seed makes faults with a probability repeatable.
	Seed uint64
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	config  Config
	owner   *owner.Goroutine
	weights *weightStore
	handler http.Handler

	// The fields below belong to the owner goroutine.
	random  *rand.Rand
	records map[string]backing.Record
	// deleted holds the last version of deleted records, so that a record
	// that is created again continues its versions.
	deleted map[string]uint64
	objects map[string][]byte
	list    instanceList
	faults  map[Service]Faults
	counts  map[Service]Counts
}

// New returns a running platform. Close ends it.
func New(c Config) *Platform {
	p := &Platform{
		config:  c,
		owner:   owner.Start(),
		random:  rand.New(rand.NewPCG(c.Seed, 1)),
		records: make(map[string]backing.Record),
		deleted: make(map[string]uint64),
		objects: make(map[string][]byte),
		faults:  make(map[Service]Faults),
		counts:  make(map[Service]Counts),
	}
	p.weights = newWeightStore(p, c.Weights)
	p.handler = p.newHandler()
	return p
}

// Close ends the platform. Later calls fail with backing.ErrUnavailable.
func (p *Platform) Close() { p.owner.Close() }

// Tables returns the table service.
func (p *Platform) Tables() backing.TableStore { return tableStore{p} }

// Objects returns the object store.
func (p *Platform) Objects() backing.ObjectStore { return objectStore{p} }

// Instances returns the instance list.
func (p *Platform) Instances() backing.InstanceList { return listReader{p} }

// Weights returns the weight store.
func (p *Platform) Weights() backinghttp.WeightStore { return p.weights }

// Handler serves the platform's protocol, and for tests GET /counts,
// GET and PUT /faults/{service}, PUT and DELETE /list/instances/{id} and
// /list/endpoints/{id}.
func (p *Platform) Handler() http.Handler { return p.handler }

// call runs f on the owner goroutine under the faults of a service.
func (p *Platform) call(ctx context.Context, s Service, write bool, f func() error) error {
	var fault Faults
	var lose bool
	if !p.owner.Do(func() { fault, lose = p.begin(s, write) }) {
		return fmt.Errorf("%w: platform is closed", backing.ErrUnavailable)
	}
	if err := wait(ctx, fault.Delay); err != nil {
		return fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	if fault.Down {
		return fmt.Errorf("%w: %s is down", backing.ErrUnavailable, s)
	}
	var err error
	if !p.owner.Do(func() { err = f() }) {
		return fmt.Errorf("%w: platform is closed", backing.ErrUnavailable)
	}
	if err != nil {
		return err
	}
	if waitErr := wait(ctx, fault.AnswerDelay); waitErr != nil && write {
		return fmt.Errorf("%w: %w", backing.ErrUnknownOutcome, waitErr)
	}
	if lose {
		return fmt.Errorf("%w: answer is lost on demand", backing.ErrUnknownOutcome)
	}
	return nil
}

// wait waits for d or the end of ctx.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Platform) newHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/counts", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Answer(w, http.StatusOK, p.Counts())
	})
	r.Get("/faults/{service}", p.getFaults)
	r.Put("/faults/{service}", p.putFaults)
	r.Put("/list/instances/{id}", p.putInstance)
	r.Delete("/list/instances/{id}", p.deleteInstance)
	r.Put("/list/endpoints/{id}", p.putEndpoint)
	r.Delete("/list/endpoints/{id}", p.deleteEndpoint)
	r.Mount("/", backinghttp.NewHandler(backinghttp.Services{
		Tables: p.Tables(), Objects: p.Objects(), Instances: p.Instances(), Weights: p.Weights(),
	}, p.config.BearerToken))
	return r
}

func badRequest(w http.ResponseWriter, err error) {
	jsonhttp.Fail(w, http.StatusBadRequest, jsonhttp.Error{Code: "bad_request", Message: err.Error(), Executed: "no"})
}

func (p *Platform) getFaults(w http.ResponseWriter, r *http.Request) {
	s, err := ParseService(chi.URLParam(r, "service"))
	if err != nil {
		badRequest(w, err)
		return
	}
	jsonhttp.Answer(w, http.StatusOK, newFaultsMessage(p.Faults(s)))
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	s, err := ParseService(chi.URLParam(r, "service"))
	if err != nil {
		badRequest(w, err)
		return
	}
	var m faultsMessage
	if !jsonhttp.Decode(w, r, 1<<16, &m) {
		return
	}
	p.SetFaults(s, m.faults())
	jsonhttp.Answer(w, http.StatusOK, m)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var m backinghttp.InstanceMessage
	if !jsonhttp.Decode(w, r, 1<<16, &m) {
		return
	}
	m.ID = chi.URLParam(r, "id")
	i, err := m.Instance()
	if err != nil {
		badRequest(w, err)
		return
	}
	p.PutInstance(i)
	jsonhttp.Answer(w, http.StatusOK, struct{}{})
}

func (p *Platform) putEndpoint(w http.ResponseWriter, r *http.Request) {
	var m backinghttp.EndpointMessage
	if !jsonhttp.Decode(w, r, 1<<16, &m) {
		return
	}
	m.ID = chi.URLParam(r, "id")
	e, err := m.Endpoint()
	if err != nil {
		badRequest(w, err)
		return
	}
	p.PutEndpoint(e)
	jsonhttp.Answer(w, http.StatusOK, struct{}{})
}
