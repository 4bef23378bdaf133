// Package standinplatform implements an in-memory stand-in for the platform that
// hyssophaven runs on: a table service, an object store, an instance list and a
// weight store. It injects configured faults and counts calls. A single goroutine
// owns its state, which is not persisted.
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

// Config configures a Platform.
type Config struct {
	// ListLag is the delay after which a change is visible in the instance list.
	ListLag time.Duration
	Weights WeightConfig
	// BearerToken is required in HTTP requests for the platform's services unless
	// it is empty.
	BearerToken string
	// Seed seeds the random choice of lost answers.
	Seed uint64
}

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	config  Config
	owner   *owner.Goroutine
	weights *weightStore
	handler http.Handler

	// The fields below belong to the owner goroutine.
	random  *rand.Rand
	records map[string]backing.Record
	// deletedVersions holds the last version of each deleted record, by key. A
	// record that is created again continues from it.
	deletedVersions map[string]uint64
	era             uint64 // rises with every restore of the table service
	objects         map[string][]byte
	list            instanceList
	faults          map[Service]Faults
	counts          map[Service]Counts
}

// New starts a Platform. The caller must call Close to stop it.
func New(c Config) *Platform {
	p := &Platform{
		config:          c,
		owner:           owner.Start(),
		random:          rand.New(rand.NewPCG(c.Seed, 1)),
		records:         make(map[string]backing.Record),
		deletedVersions: make(map[string]uint64),
		objects:         make(map[string][]byte),
		faults:          make(map[Service]Faults),
		counts:          make(map[Service]Counts),
	}
	p.weights = newWeightStore(p, c.Weights)
	p.handler = p.newHandler()
	return p
}

// Close stops the platform. Later calls fail with backing.ErrUnavailable.
func (p *Platform) Close() { p.owner.Close() }

// Tables returns the table service.
func (p *Platform) Tables() backing.TableStore { return tableStore{p} }

// Objects returns the object store.
func (p *Platform) Objects() backing.ObjectStore { return objectStore{p} }

// Instances returns the instance list.
func (p *Platform) Instances() backing.InstanceList { return listReader{p} }

// Weights returns the weight store.
func (p *Platform) Weights() backinghttp.WeightStore { return p.weights }

// Handler returns the handler for the protocol of the platform. For tests it also
// serves GET /counts, GET and PUT /faults/{service}, and PUT and DELETE for
// /list/instances/{id} and /list/endpoints/{id}.
func (p *Platform) Handler() http.Handler { return p.handler }

// call runs f on the owner goroutine as a call to service s, and injects the
// faults of that service.
func (p *Platform) call(ctx context.Context, s Service, write bool, f func() error) error {
	var faults Faults
	var loseAnswer bool
	if !p.owner.Do(func() { faults, loseAnswer = p.startCall(s, write) }) {
		return fmt.Errorf("%w: platform is closed", backing.ErrUnavailable)
	}
	if err := sleep(ctx, faults.Delay); err != nil {
		return fmt.Errorf("%w: %w", backing.ErrUnavailable, err)
	}
	if faults.Down {
		return fmt.Errorf("%w: %s is down", backing.ErrUnavailable, s)
	}
	var err error
	if !p.owner.Do(func() { err = f() }) {
		return fmt.Errorf("%w: platform is closed", backing.ErrUnavailable)
	}
	if err != nil {
		return err
	}
	if waitErr := sleep(ctx, faults.AnswerDelay); waitErr != nil && write {
		return fmt.Errorf("%w: %w", backing.ErrUnknownOutcome, waitErr)
	}
	if loseAnswer {
		return fmt.Errorf("%w: answer is lost on demand", backing.ErrUnknownOutcome)
	}
	return nil
}

// sleep waits for d. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
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
		jsonhttp.WriteJSON(w, http.StatusOK, p.Counts())
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
	jsonhttp.WriteError(w, http.StatusBadRequest, jsonhttp.Error{Code: "bad_request", Message: err.Error(), Executed: "no"})
}

func (p *Platform) getFaults(w http.ResponseWriter, r *http.Request) {
	s, err := ParseService(chi.URLParam(r, "service"))
	if err != nil {
		badRequest(w, err)
		return
	}
	jsonhttp.WriteJSON(w, http.StatusOK, newFaultsMessage(p.Faults(s)))
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	s, err := ParseService(chi.URLParam(r, "service"))
	if err != nil {
		badRequest(w, err)
		return
	}
	var m faultsMessage
	if !jsonhttp.DecodeRequest(w, r, 1<<16, &m) {
		return
	}
	p.SetFaults(s, m.faults())
	jsonhttp.WriteJSON(w, http.StatusOK, m)
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var m backinghttp.InstanceMessage
	if !jsonhttp.DecodeRequest(w, r, 1<<16, &m) {
		return
	}
	m.ID = chi.URLParam(r, "id")
	i, err := m.Instance()
	if err != nil {
		badRequest(w, err)
		return
	}
	p.PutInstance(i)
	jsonhttp.WriteJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) putEndpoint(w http.ResponseWriter, r *http.Request) {
	var m backinghttp.EndpointMessage
	if !jsonhttp.DecodeRequest(w, r, 1<<16, &m) {
		return
	}
	m.ID = chi.URLParam(r, "id")
	e, err := m.Endpoint()
	if err != nil {
		badRequest(w, err)
		return
	}
	p.PutEndpoint(e)
	jsonhttp.WriteJSON(w, http.StatusOK, struct{}{})
}
