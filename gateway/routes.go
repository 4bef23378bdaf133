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
	"github.com/hyssophaven/hyssophaven/openai"
)

func (g *Gateway) routes() http.Handler {
	r := chi.NewRouter()
	r.Use(g.prepare)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		g.fail(w, failf(openai.CodeNotFound, engine.ExecutedNo, "no such path: %s", r.URL.Path))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		g.fail(w, failf(openai.CodeMethodNotAllowed, engine.ExecutedNo, "method %s is not allowed on %s", r.Method, r.URL.Path))
	})
	r.Get("/healthz", g.healthz)
	r.Get("/readyz", g.readyz)
	r.Group(func(r chi.Router) {
		r.Use(g.requireTable)
		r.Get("/v1/models", g.listModels)
		r.Get("/v1/models/*", g.getModel)
		r.Post("/v1/chat/completions", g.answerHandler(openai.DecodeChat))
		r.Post("/v1/completions", g.answerHandler(openai.DecodeCompletion))
		r.HandleFunc("/services/{name}", g.serveService)
		r.HandleFunc("/services/{name}/*", g.serveService)
	})
	return r
}

// requireTable refuses calls that come before the instance has its first table.
func (g *Gateway) requireTable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.control.Snapshot().Table == nil {
			g.fail(w, failf(openai.CodeNotReady, engine.ExecutedNo, "this instance has no table yet").after(retrySoon))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// prepare sets what all answers have in common.
func (g *Gateway) prepare(next http.Handler) http.Handler {
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
			// The deadline of the connection's previous answer may have passed.
			g.extendWrite(http.NewResponseController(w))
		}
		next.ServeHTTP(w, r)
	})
}

// maxIDLength bounds request ids and idempotency keys.
const maxIDLength = 255

// validRequestID reports whether a caller's request id is visible ASCII of a
// bounded length.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxIDLength {
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
	_ = g.writeWhole(w, http.StatusOK, []byte("ok\n"))
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
	_ = g.writeWhole(w, status, []byte(text+"\n"))
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
		g.fail(w, unknownModel(name))
		return
	}
	_ = g.writeJSON(w, http.StatusOK, openai.AppendModel(nil, name))
}

// pathParam returns a decoded path parameter.
func pathParam(r *http.Request, name string) string {
	raw := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return raw // chi matched the decoded path
	}
	if decoded, err := url.PathUnescape(raw); err == nil {
		return decoded
	}
	return raw
}

func unknownModel(name string) *failure {
	f := failf(openai.CodeModelNotFound, engine.ExecutedNo, "the model %q does not exist", name)
	f.err.Param = "model"
	return f
}

// answerHandler handles calls that a model answers.
func (g *Gateway) answerHandler(decode func([]byte) (openai.Request, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c *modelCall
		var f *failure
		onOwnStack(func() { c, f = g.accept(w, r, decode) })
		if f != nil {
			g.fail(w, f)
			return
		}
		c.run()
	}
}

// accept reads, decodes and classifies a call.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, decode func([]byte) (openai.Request, error)) (*modelCall, *failure) {
	arrived := time.Now()
	g.counters.requests.Add(1)
	body, f := g.readBody(w, r)
	if f != nil {
		return nil, f
	}
	req, err := decode(body)
	if err != nil {
		g.counters.badRequest.Add(1)
		return nil, badRequest(err)
	}
	serving, ok := g.control.Snapshot().Table.Resolve(req.Model)
	if !ok {
		return nil, unknownModel(req.Model)
	}
	return newModelCall(g, w, r, req, serving, arrived), nil
}

func badRequest(err error) *failure {
	var e *openai.Error
	if !errors.As(err, &e) {
		e = &openai.Error{Code: openai.CodeInvalidJSON, Message: err.Error()}
	}
	return &failure{err: e, executed: engine.ExecutedNo}
}

// readBody reads a bounded body within BodyTimeout.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure) {
	limit := g.cfg.Limits.MaxBodyBytes
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, g.tooLarge(limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(g.cfg.Limits.BodyTimeout))
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// Without a deadline the server can watch for a caller that hangs up.
		_ = rc.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, g.tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.counters.slowWriter.Add(1)
		w.Header().Set("Connection", "close")
		return nil, failf(openai.CodeBodyTimeout, engine.ExecutedNo, "the body did not arrive within %v", g.cfg.Limits.BodyTimeout)
	default:
		g.counters.badRequest.Add(1)
		return nil, failf(openai.CodeBodyIncomplete, engine.ExecutedNo, "the body could not be read: %v", err)
	}
}

func (g *Gateway) tooLarge(limit int64) *failure {
	g.counters.tooLarge.Add(1)
	return failf(openai.CodeBodyTooLarge, engine.ExecutedNo, "the body is larger than %d bytes", limit)
}

// maxBodyGuess bounds the memory that is set aside for an announced body
// before any of it has arrived.
const maxBodyGuess = 64 << 10

// readAll reads r to its end. The expected length may be -1 and is only a hint.
func readAll(r io.Reader, expected int64) ([]byte, error) {
	// One byte more than expected lets the reader report the end without growing.
	buf := make([]byte, 0, max(512, min(expected, maxBodyGuess)+1))
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
	}
}
