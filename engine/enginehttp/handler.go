package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/tmaxmax/go-sse"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// Backend is the engine behind a handler. If it returns an *engine.Error with
// ExecutedNo, the handler responds with a refusal. On any other error, and on any
// error of a stream, the handler aborts the connection, as a crash of the engine
// would.
type Backend interface {
	engine.Client
}

// Reporter is the part of a Backend that publishes load reports. Plain
// services publish their load in the same format.
type Reporter interface {
	Report(ctx context.Context) (engine.Report, error)
}

// NewHandler returns a handler that serves b. If bearerToken is empty, requests
// need no token.
func NewHandler(b Backend, bearerToken string) http.Handler {
	h := handler{backend: b}
	r := chi.NewRouter()
	r.Use(echoCallID, jsonhttp.RequireBearer(bearerToken))
	r.Post(pathGenerate, h.generate)
	r.Post(pathOrders, h.order)
	r.Get(pathState, h.state)
	r.Get(pathReport, reportHandler(b))
	r.Get(pathEvents, h.events)
	return r
}

// echoCallID copies the ID of a call to its response.
func echoCallID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerCallID, r.Header.Get(headerCallID))
		next.ServeHTTP(w, r)
	})
}

// NewReportHandler returns a handler that serves only the load reports of r.
func NewReportHandler(r Reporter) http.Handler {
	router := chi.NewRouter()
	router.Get(pathReport, reportHandler(r))
	return router
}

func reportHandler(b Reporter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		report, err := b.Report(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		jsonhttp.WriteJSON(w, http.StatusOK, newReportMessage(report))
	}
}

type handler struct{ backend Backend }

// writeError responds with a refusal if err is an *engine.Error with ExecutedNo, and
// aborts the connection otherwise.
func writeError(w http.ResponseWriter, err error) {
	var e *engine.Error
	if !errors.As(err, &e) || e.Executed != engine.ExecutedNo {
		panic(http.ErrAbortHandler)
	}
	status, code := http.StatusServiceUnavailable, codeRefused
	if e.Kind == engine.NotResident {
		status, code = http.StatusNotFound, codeNotResident
	}
	jsonhttp.WriteError(w, status, jsonhttp.Error{Code: code, Message: err.Error(), Executed: e.Executed.String()})
}

func writeBadRequest(w http.ResponseWriter, err error) {
	jsonhttp.WriteError(w, http.StatusBadRequest, jsonhttp.Error{Code: "bad_request", Message: err.Error(), Executed: "no"})
}

func (h handler) generate(w http.ResponseWriter, r *http.Request) {
	var m generateMessage
	if !jsonhttp.DecodeRequest(w, r, maxRequestBytes, &m) {
		return
	}
	request, err := m.request()
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	stream, err := h.backend.Generate(r.Context(), request)
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { _ = stream.Close() }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		c, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if writeChunk(w, c) != nil || controller.Flush() != nil {
			return // the client has disconnected
		}
	}
}

// writeChunk writes c as one event.
func writeChunk(w io.Writer, c engine.Chunk) error {
	data, err := json.Marshal(newChunkMessage(c))
	if err != nil {
		return err
	}
	var event sse.Message
	if c.Final {
		event.Type = sse.Type(endEvent)
	}
	event.AppendData(string(data))
	_, err = event.WriteTo(w)
	return err
}

func (h handler) order(w http.ResponseWriter, r *http.Request) {
	var m orderMessage
	if !jsonhttp.DecodeRequest(w, r, maxRequestBytes, &m) {
		return
	}
	o, err := m.order()
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	result, err := h.backend.Order(r.Context(), o)
	if err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.WriteJSON(w, http.StatusOK, orderResultMessage{
		OrderID: o.ID, Accepted: result.Accepted, Reason: result.Reason, HighestToken: tokenMessage(result.HighestToken),
	})
}

func (h handler) state(w http.ResponseWriter, r *http.Request) {
	s, err := h.backend.State(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.WriteJSON(w, http.StatusOK, stateMessage{
		BootID: s.BootID, HighestToken: tokenMessage(s.HighestToken), MemoryMB: s.MemoryMB,
		UsedMB: s.UsedMB, Residents: newResidentMessages(s.Residents),
	})
}

func (h handler) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeBadRequest(w, err)
		return
	}
	events, err := h.backend.CacheEvents(r.Context(), after)
	if err != nil {
		writeError(w, err)
		return
	}
	m := cacheEventsMessage{Events: make([]cacheEventMessage, len(events))}
	for i, e := range events {
		m.Events[i] = cacheEventMessage(e)
	}
	jsonhttp.WriteJSON(w, http.StatusOK, m)
}
