package standinengine

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/engine/enginehttp"
	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
	"github.com/hyssophaven/hyssophaven/internal/owner"
)

// Engine is the stand-in. It implements enginehttp.Backend and
// standin.Crasher and is safe for concurrent use.
type Engine struct {
	config  Config
	owner   *owner.Goroutine
	wake    chan struct{} // tells the batch goroutine that a request arrived
	crashes chan time.Duration
	stop    chan struct{}
	once    sync.Once
	workers sync.WaitGroup
	handler http.Handler

	// The fields below belong to the owner goroutine.
	boot      boot
	down      bool
	leaving   bool
	highest   fleet.Token
	residents map[entryKey]*resident
	batch     batch
	cache     prefixCache
	reports   reportLog
	counts    Counts
	faults    Faults
}

var _ enginehttp.Backend = (*Engine)(nil)

// boot is one run of the engine between crashes.
type boot struct {
	id  string
	ctx context.Context
	end context.CancelFunc
}

func newBoot() boot {
	ctx, end := context.WithCancel(context.Background())
	return boot{id: uuid.NewString(), ctx: ctx, end: end}
}

// New returns a running engine that holds nothing. Close ends it.
func New(c Config) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config:    c,
		owner:     owner.Start(),
		wake:      make(chan struct{}, 1),
		crashes:   make(chan time.Duration, 1),
		stop:      make(chan struct{}),
		boot:      newBoot(),
		residents: make(map[entryKey]*resident),
		cache:     newPrefixCache(c, rand.New(rand.NewPCG(c.Seed, 2))),
		counts:    newCounts(),
	}
	e.handler = e.newHandler()
	e.owner.Do(func() { e.takeReport(time.Now()) })
	e.workers.Go(e.runBatch)
	e.workers.Go(e.runReports)
	return e
}

// Close ends the engine and cuts its streams.
func (e *Engine) Close() {
	e.once.Do(func() {
		e.owner.Do(func() {
			e.down = true // no worker is started from now on
			e.cutAll()
			e.boot.end()
		})
		close(e.stop)
		e.workers.Wait()
		e.owner.Close()
	})
}

// Handler serves the engine's protocol, and for tests GET /counts, GET and PUT
// /faults, POST /crash and PUT /leaving?value=true.
func (e *Engine) Handler() http.Handler { return e.handler }

// Crashes implements standin.Crasher.
func (e *Engine) Crashes() <-chan time.Duration { return e.crashes }

func (e *Engine) newHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/counts", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Answer(w, http.StatusOK, newCountsMessage(e.Counts()))
	})
	r.Get("/faults", e.getFaults)
	r.Put("/faults", e.putFaults)
	r.Post("/crash", func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		jsonhttp.Answer(w, http.StatusOK, struct{}{})
	})
	r.Put("/leaving", func(w http.ResponseWriter, r *http.Request) {
		e.SetLeaving(r.URL.Query().Get("value") == "true")
		jsonhttp.Answer(w, http.StatusOK, struct{}{})
	})
	r.Mount("/", enginehttp.NewHandler(e, e.config.BearerToken))
	return r
}

// SetLeaving sets the leaving mark in the load report. It does not end work.
func (e *Engine) SetLeaving(leaving bool) { e.owner.Do(func() { e.leaving = leaving }) }

// Crash kills the engine: streams are cut, everything it held is lost, and it
// is back empty with a new boot id after the restart delay.
func (e *Engine) Crash() { e.owner.Do(e.crash) }

func (e *Engine) crash() {
	if e.down {
		return
	}
	e.counts.Crashes++
	e.down = true
	e.boot.end()
	e.cutAll()
	clear(e.residents)
	e.highest = fleet.Token{}
	e.cache.clear()
	e.reports = reportLog{}
	select {
	case e.crashes <- e.config.RestartDelay:
	default: // nobody serves the engine on a listener
	}
	e.workers.Go(func() {
		if e.sleep(context.Background(), e.config.RestartDelay) {
			e.owner.Do(e.restart)
		}
	})
}

func (e *Engine) restart() {
	e.boot = newBoot()
	e.down = false
	e.takeReport(time.Now())
}

// sleep waits for d. It reports false if ctx or the engine ended first.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-e.stop:
		return false
	}
}

var errDown = errors.New("engine is down")

// lost is the error for a call whose engine died or is dead. The handler cuts
// the connection on it.
func lost() error {
	return &engine.Error{Kind: engine.Truncated, Executed: engine.ExecutedUnknown, Err: errDown}
}

func refused(kind engine.ErrorKind, err error) error {
	return &engine.Error{Kind: kind, Executed: engine.ExecutedNo, Err: err}
}

// read runs f on the owner goroutine unless the engine is down.
func (e *Engine) read(f func()) error {
	down := true
	e.owner.Do(func() {
		if down = e.down; !down {
			f()
		}
	})
	if down {
		return lost()
	}
	return nil
}
