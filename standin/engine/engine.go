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

// Engine is a stand-in for a model engine. It implements enginehttp.Backend and
// standin.Crasher. It is safe for concurrent use.
type Engine struct {
	config      Config
	owner       *owner.Goroutine
	batchSignal chan struct{} // wakes the batch goroutine when a request arrives
	crashes     chan time.Duration
	stop        chan struct{}
	closeOnce   sync.Once
	workers     sync.WaitGroup
	handler     http.Handler

	// The fields below belong to the owner goroutine.
	boot         boot
	down         bool
	leaving      bool
	highestToken fleet.Token
	residents    map[entryKey]*resident
	batch        batch
	cache        prefixCache
	reports      reportLog
	counts       Counts
	faults       Faults
}

var _ enginehttp.Backend = (*Engine)(nil)

// boot identifies a run of the engine from its start or restart to the next crash.
// Its context ends with the run.
type boot struct {
	id     string
	ctx    context.Context
	cancel context.CancelFunc
}

func newBoot() boot {
	ctx, cancel := context.WithCancel(context.Background())
	return boot{id: uuid.NewString(), ctx: ctx, cancel: cancel}
}

// New starts an Engine without models or adapters. The caller must call Close to
// stop it.
func New(c Config) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config:      c,
		owner:       owner.Start(),
		batchSignal: make(chan struct{}, 1),
		crashes:     make(chan time.Duration, 1),
		stop:        make(chan struct{}),
		boot:        newBoot(),
		residents:   make(map[entryKey]*resident),
		cache:       newPrefixCache(c, rand.New(rand.NewPCG(c.Seed, 2))),
		counts:      newCounts(),
	}
	e.handler = e.newHandler()
	e.owner.Do(func() { e.recordReport(time.Now()) })
	e.workers.Go(e.runBatch)
	e.workers.Go(e.runReports)
	return e
}

// Close aborts all requests and stops the engine.
func (e *Engine) Close() {
	e.closeOnce.Do(func() {
		e.owner.Do(func() {
			e.down = true // prevents new workers from being started
			e.abortAll()
			e.boot.cancel()
		})
		close(e.stop)
		e.workers.Wait()
		e.owner.Close()
	})
}

// Handler returns the handler for the engine's HTTP protocol. For tests it also
// serves GET /counts, GET and PUT /faults, POST /crash and PUT /leaving?value=true.
func (e *Engine) Handler() http.Handler { return e.handler }

// Crashes implements standin.Crasher.
func (e *Engine) Crashes() <-chan time.Duration { return e.crashes }

func (e *Engine) newHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/counts", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.WriteJSON(w, http.StatusOK, newCountsMessage(e.Counts()))
	})
	r.Get("/faults", e.getFaults)
	r.Put("/faults", e.putFaults)
	r.Post("/crash", func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		jsonhttp.WriteJSON(w, http.StatusOK, struct{}{})
	})
	r.Put("/leaving", func(w http.ResponseWriter, r *http.Request) {
		e.SetLeaving(r.URL.Query().Get("value") == "true")
		jsonhttp.WriteJSON(w, http.StatusOK, struct{}{})
	})
	r.Mount("/", enginehttp.NewHandler(e, e.config.BearerToken))
	return r
}

// SetLeaving sets whether load reports mark the engine as leaving. Work continues.
func (e *Engine) SetLeaving(leaving bool) { e.owner.Do(func() { e.leaving = leaving }) }

// Crash simulates a crash. It aborts all streams and drops all models, adapters,
// cached prefixes and load reports, and the highest fencing token seen. After Config.RestartDelay the engine restarts
// empty, with a new boot id.
func (e *Engine) Crash() { e.owner.Do(e.crash) }

func (e *Engine) crash() {
	if e.down {
		return
	}
	e.counts.Crashes++
	e.down = true
	e.boot.cancel()
	e.abortAll()
	clear(e.residents)
	e.highestToken = fleet.Token{}
	e.cache.clear()
	e.reports = reportLog{}
	select {
	case e.crashes <- e.config.RestartDelay:
	default: // no standin.Listener serves the engine
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
	e.recordReport(time.Now())
}

// sleep waits for d. It returns false if ctx ends or the engine is closed first.
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

// outcomeUnknownError returns the error for a call that gets no answer because the
// engine is down or crashed during the call, or because a fault lost the order or
// its answer. The HTTP handler closes the connection on this error.
func outcomeUnknownError() error {
	return &engine.Error{Kind: engine.Truncated, Executed: engine.ExecutedUnknown, Err: errDown}
}

// notExecutedError returns the error for a request that is refused before execution.
func notExecutedError(kind engine.ErrorKind, err error) error {
	return &engine.Error{Kind: kind, Executed: engine.ExecutedNo, Err: err}
}

// doIfUp runs f on the owner goroutine. If the engine is down, it returns an error
// without running f.
func (e *Engine) doIfUp(f func()) error {
	down := true
	e.owner.Do(func() {
		if down = e.down; !down {
			f()
		}
	})
	if down {
		return outcomeUnknownError()
	}
	return nil
}
