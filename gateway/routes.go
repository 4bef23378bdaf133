package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/heldbytes"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/openai"
)

func (g *Gateway) newRouter() http.Handler {
	r := chi.NewRouter()
	r.Use(g.withCommonHeaders)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		g.writeFailure(w, failf(openai.CodeNotFound, engine.ExecutedNo, "no such path: %s", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		g.writeFailure(w, failf(openai.CodeMethodNotAllowed, engine.ExecutedNo, "method %s is not allowed on %s", r.Method, r.URL.Path))
	})
	r.Get("/healthz", g.healthz)
	r.Get("/readyz", g.readyz)
	r.Group(func(r chi.Router) {
		r.Use(g.requireTable)
		r.Get("/v1/models", g.listModels)
		r.Get("/v1/models/*", g.getModel)
		r.Post("/v1/chat/completions", g.modelCallHandler(openai.DecodeChat))
		r.Post("/v1/completions", g.modelCallHandler(openai.DecodeCompletion))
		r.HandleFunc("/services/{name}", g.serveService)
		r.HandleFunc("/services/{name}/*", g.serveService)
	})
	return r
}

// requireTable refuses requests until the instance has its first table.
func (g *Gateway) requireTable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.control.Snapshot().Table == nil {
			g.writeFailure(w, failf(openai.CodeNotReady, engine.ExecutedNo, "this instance has no table yet").withRetryAfter(shortRetryAfter))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withCommonHeaders sets the headers that all answers share and, for HTTP/1, a
// new write deadline.
func (g *Gateway) withCommonHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderRequestID)
		if !validRequestID(id) {
			id = uuid.NewString()
			r.Header.Set(HeaderRequestID, id)
		}
		w.Header().Set(HeaderRequestID, id)
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if r.ProtoMajor == 1 {
			// The deadline set for the connection's previous answer may have expired.
			g.extendWriteDeadline(http.NewResponseController(w))
		}
		next.ServeHTTP(w, r)
	})
}

// maxIDBytes limits the length of request ids and idempotency keys.
const maxIDBytes = 255

// validRequestID reports whether a caller's request id consists of 1 to maxIDBytes
// visible ASCII characters.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

func (g *Gateway) healthz(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = g.writeWithLength(w, http.StatusOK, []byte("ok\n"))
}

func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	status, text := http.StatusOK, "ready"
	switch snap := g.control.Snapshot(); {
	case g.draining.Load():
		status, text = http.StatusServiceUnavailable, "stopping"
	case !snap.Ready:
		status, text = http.StatusServiceUnavailable, "not ready: "+snap.NotReadyReason
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = g.writeWithLength(w, status, []byte(text+"\n"))
}

func (g *Gateway) listModels(w http.ResponseWriter, _ *http.Request) {
	var names []string
	t := g.control.Snapshot().Table
	for _, name := range t.Names() {
		if _, ok := t.Resolve(name); ok {
			names = append(names, name)
		}
	}
	_ = g.writeJSON(w, http.StatusOK, openai.AppendModels(nil, names))
}

func (g *Gateway) getModel(w http.ResponseWriter, r *http.Request) {
	name := pathParam(r, "*")
	if _, ok := g.control.Snapshot().Table.Resolve(name); !ok {
		g.writeFailure(w, unknownModelFailure(name))
		return
	}
	_ = g.writeJSON(w, http.StatusOK, openai.AppendModel(nil, name))
}

// pathParam returns a path parameter with percent-encoding decoded.
func pathParam(r *http.Request, name string) string {
	raw := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return raw // chi matched against the decoded path
	}
	if decoded, err := url.PathUnescape(raw); err == nil {
		return decoded
	}
	return raw
}

func unknownModelFailure(name string) *failure {
	f := failf(openai.CodeModelNotFound, engine.ExecutedNo, "the model %q does not exist", name)
	f.err.Param = "model"
	return f
}

// modelCallHandler returns the handler of requests to models and adapters.
func (g *Gateway) modelCallHandler(decode func([]byte) (openai.Request, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c *modelCall
		m, ok := g.openMemory(w)
		defer m.close()
		if !ok {
			g.writeFailure(w, g.refuseForMemory(w))
			return
		}
		var f *failure
		runOnSeparateStack(func() { c, f = g.decodeModelCall(w, r, decode, m) })
		if f != nil {
			g.writeFailure(w, f)
			return
		}
		c.run()
	}
}

// decodeModelCall reads and decodes a request and resolves its model in the table.
func (g *Gateway) decodeModelCall(w http.ResponseWriter, r *http.Request, decode func([]byte) (openai.Request, error), m *requestMemory) (*modelCall, *failure) {
	arrived := time.Now()
	g.counters.requests.Add(1)
	body, f := g.readBody(w, r, m)
	if f != nil {
		return nil, f
	}
	req, err := decode(body)
	if err != nil {
		g.counters.badRequests.Add(1)
		return nil, badRequestFailure(err)
	}
	serving, ok := g.control.Snapshot().Table.Resolve(req.Model)
	if !ok {
		return nil, unknownModelFailure(req.Model)
	}
	return newModelCall(g, w, r, req, serving, arrived), nil
}

func badRequestFailure(err error) *failure {
	var e *openai.Error
	if !errors.As(err, &e) {
		e = &openai.Error{Code: openai.CodeInvalidJSON, Message: err.Error()}
	}
	return &failure{err: e, executed: engine.ExecutedNo}
}

// readBody reads a request body of at most MaxBodyBytes within BodyTimeout.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, m *requestMemory) ([]byte, *failure) {
	limit := g.cfg.Limits.MaxBodyBytes
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // the body is left unread
		return nil, g.bodyTooLarge(limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(g.cfg.Limits.BodyTimeout))
	body, err := readAll(m.countProgress(http.MaxBytesReader(w, r.Body, limit)), r.ContentLength, limit+1, m.held(), memorybudget.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, heldbytes.ErrNoRoom) || !m.protect():
		return nil, g.refuseForMemory(w)
	case err == nil:
		// Removes the deadline, because the server continues to read from the connection
		// to detect that the caller hangs up.
		_ = rc.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, g.bodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.counters.slowWriters.Add(1)
		w.Header().Set("Connection", "close")
		return nil, failf(openai.CodeBodyTimeout, engine.ExecutedNo, "the body did not arrive within %v", g.cfg.Limits.BodyTimeout)
	default:
		g.counters.badRequests.Add(1)
		return nil, failf(openai.CodeBodyIncomplete, engine.ExecutedNo, "the body could not be read: %v", err)
	}
}

func (g *Gateway) bodyTooLarge(limit int64) *failure {
	g.counters.bodiesTooLarge.Add(1)
	return failf(openai.CodeBodyTooLarge, engine.ExecutedNo, "the body is larger than %d bytes", limit)
}

// maxInitialBufferBytes limits the buffer that is allocated from the Content-Length
// alone, before any of the body has arrived.
const maxInitialBufferBytes = 64 << 10

// readAll reads r, which ends after limit bytes at the latest. The expected length is only
// a hint; -1 means unknown.
func readAll(r io.Reader, expected, limit int64, m *memorybudget.Reservation, p memorybudget.Purpose) ([]byte, error) {
	// One spare byte lets the reader report io.EOF without growing the buffer.
	body, err := heldbytes.ReadAll(r, max(512, min(expected, maxInitialBufferBytes)+1), limit+1, m, p)
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}
