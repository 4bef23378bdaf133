package backinghttp

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/version"
	"github.com/hyssophaven/hyssophaven/internal/jsonhttp"
)

// Services holds the services behind a handler. Requests to a nil service are
// answered with 404.
type Services struct {
	Tables    backing.TableStore
	Objects   backing.ObjectStore
	Instances backing.InstanceList
	Weights   WeightStore
}

// NewHandler returns a handler that serves s. If a service returns
// ErrUnknownOutcome, the handler aborts the connection without an answer, as when
// an answer is lost. If bearerToken is empty, requests need no token.
func NewHandler(s Services, bearerToken string) http.Handler {
	r := chi.NewRouter()
	r.Use(jsonhttp.RequireBearer(bearerToken))
	if s.Tables != nil {
		h := tableHandler{s.Tables}
		r.Post(pathRead, h.read)
		r.Post(pathCommit, h.commit)
	}
	if s.Objects != nil {
		h := objectHandler{s.Objects}
		r.Put(pathObject, h.put)
		r.Get(pathObject, h.get)
		r.Delete(pathObject, h.delete)
		r.Get(pathNames, h.names)
	}
	if s.Instances != nil {
		r.Get(pathListing, listHandler{s.Instances}.list)
	}
	if s.Weights != nil {
		h := weightHandler{s.Weights}
		r.Post(pathPermits, h.acquire)
		r.Delete(pathPermits, h.release)
	}
	return r
}

// writeError answers with the error of a service, or aborts the connection if the
// protocol has no code for the error.
func writeError(w http.ResponseWriter, err error) {
	e := jsonhttp.Error{Message: err.Error(), Executed: "no"}
	switch {
	case errors.Is(err, backing.ErrConflict):
		e.Code = codeConflict
		jsonhttp.WriteError(w, http.StatusConflict, e)
	case errors.Is(err, backing.ErrNotFound):
		e.Code = codeNotFound
		jsonhttp.WriteError(w, http.StatusNotFound, e)
	case errors.Is(err, backing.ErrUnavailable):
		e.Code = codeUnavailable
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, e)
	default:
		panic(http.ErrAbortHandler)
	}
}

type tableHandler struct{ store backing.TableStore }

func (h tableHandler) read(w http.ResponseWriter, r *http.Request) {
	var m queryMessage
	if !jsonhttp.DecodeRequest(w, r, maxBodyBytes, &m) {
		return
	}
	records, err := h.store.Read(r.Context(), backing.Query{Keys: m.Keys, Prefix: m.Prefix})
	if err != nil {
		h.setEra(w, 0)
		writeError(w, err)
		return
	}
	answer := recordsMessage{Records: make([]recordMessage, len(records))}
	var newest uint64
	for i, rec := range records {
		answer.Records[i] = recordMessage{rec.Key, rec.Value, version.Counter(rec.Version)}
		newest = max(newest, rec.Version)
	}
	h.setEra(w, newest)
	jsonhttp.WriteJSON(w, http.StatusOK, answer)
}

func (h tableHandler) commit(w http.ResponseWriter, r *http.Request) {
	var m txnMessage
	if !jsonhttp.DecodeRequest(w, r, maxBodyBytes, &m) {
		return
	}
	versions, err := h.store.Commit(r.Context(), m.txn())
	if err != nil {
		h.setEra(w, 0)
		writeError(w, err)
		return
	}
	answer := versionsMessage{Versions: make([]uint64, len(versions))}
	var newest uint64
	for i, v := range versions {
		answer.Versions[i] = version.Counter(v)
		newest = max(newest, v)
	}
	h.setEra(w, newest)
	jsonhttp.WriteJSON(w, http.StatusOK, answer)
}

// setEra sets the era of an answer: that of a version in it, or the newest one if
// it has none (0).
func (h tableHandler) setEra(w http.ResponseWriter, v uint64) {
	era := version.Era(v)
	if v == 0 {
		era = h.store.Era()
	}
	if era > 0 {
		w.Header().Set(headerEra, strconv.FormatUint(era, 10))
	}
}

type objectHandler struct{ store backing.ObjectStore }

func (h objectHandler) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		jsonhttp.WriteError(w, http.StatusBadRequest, jsonhttp.Error{Code: "bad_request", Message: err.Error(), Executed: "no"})
		return
	}
	if err := h.store.Put(r.Context(), r.URL.Query().Get("name"), data); err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.WriteJSON(w, http.StatusOK, struct{}{})
}

func (h objectHandler) get(w http.ResponseWriter, r *http.Request) {
	data, err := h.store.Get(r.Context(), r.URL.Query().Get("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (h objectHandler) delete(w http.ResponseWriter, r *http.Request) {
	if err := h.store.Delete(r.Context(), r.URL.Query().Get("name")); err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.WriteJSON(w, http.StatusOK, struct{}{})
}

func (h objectHandler) names(w http.ResponseWriter, r *http.Request) {
	names, err := h.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	if names == nil {
		names = []string{}
	}
	jsonhttp.WriteJSON(w, http.StatusOK, namesMessage{Names: names})
}

type listHandler struct{ source backing.InstanceList }

func (h listHandler) list(w http.ResponseWriter, r *http.Request) {
	listing, err := h.source.List(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	m := listingMessage{
		Instances: make([]InstanceMessage, len(listing.Instances)),
		Endpoints: make([]EndpointMessage, len(listing.Endpoints)),
	}
	for i, in := range listing.Instances {
		m.Instances[i] = NewInstanceMessage(in)
	}
	for i, e := range listing.Endpoints {
		m.Endpoints[i] = NewEndpointMessage(e)
	}
	jsonhttp.WriteJSON(w, http.StatusOK, m)
}

type weightHandler struct{ store WeightStore }

func (h weightHandler) acquire(w http.ResponseWriter, r *http.Request) {
	var m loadMessage
	if !jsonhttp.DecodeRequest(w, r, maxBodyBytes, &m) {
		return
	}
	permit, err := h.store.Acquire(r.Context(), LoadRequest(m))
	if err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.WriteJSON(w, http.StatusOK, permitMessage(permit))
}

func (h weightHandler) release(w http.ResponseWriter, r *http.Request) {
	if err := h.store.Release(r.Context(), r.URL.Query().Get("id")); err != nil {
		writeError(w, err)
		return
	}
	jsonhttp.WriteJSON(w, http.StatusOK, struct{}{})
}
