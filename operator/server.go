package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/table"
	"github.com/hyssophaven/hyssophaven/table/tablecodec"
	"github.com/hyssophaven/hyssophaven/tablestore"
)

// ServiceName is the kernel name of the operators' service.
const ServiceName = "operators"

// Control reads the status of the fleet and lifts quarantines. The service
// "control" implements it.
type Control interface {
	Status(ctx context.Context) (control.Status, error)
	LiftQuarantine(ctx context.Context, fingerprint uint64) error
}

// Table reads and edits the table. The service "table" implements it.
type Table interface {
	Load(ctx context.Context) (*table.Snapshot, error)
	Edit(ctx context.Context, e table.Edit) (*table.Snapshot, error)
	History(ctx context.Context, limit int) ([]tablestore.HistoryEntry, error)
}

// Burn builds the burn report. The service "burn" implements it.
type Burn interface {
	ReportJSON(ctx context.Context) ([]byte, error)
}

// Config configures the operators' listener.
type Config struct {
	Listener net.Listener
	TLS      *tls.Config // nil for plain HTTP
	// Token is the bearer token. If it is empty, client certificates are required.
	Token string
	Vars  *expvar.Map
}

// Server serves the operators' HTTP interface. It implements kernel.Service.
type Server struct {
	config    Config
	tokenHash [sha256.Size]byte
	control   Control
	table     Table
	burn      Burn
	http      *http.Server
	serveDone chan struct{}
}

// counterNames lists all counters. NewServer adds them with the value 0, so that
// each is exported from the start.
var counterNames = []string{"unauthorized", "bad_requests", "edits"}

// NewServer returns a server that has not been started.
func NewServer(c Config) *Server {
	for _, name := range counterNames {
		c.Vars.Add(name, 0)
	}
	return &Server{config: c, tokenHash: sha256.Sum256([]byte(c.Token)), serveDone: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *Server) Name() string { return ServiceName }

// Requires implements kernel.Service.
func (s *Server) Requires() []string { return []string{"control", "table", "burn"} }

// Start implements kernel.Service.
func (s *Server) Start(_ context.Context, k *kernel.Kernel) error {
	var errs [3]error
	s.control, errs[0] = kernel.Lookup[Control](k, "control")
	s.table, errs[1] = kernel.Lookup[Table](k, "table")
	s.burn, errs[2] = kernel.Lookup[Burn](k, "burn")
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	s.http = &http.Server{Handler: s.Handler(), ReadTimeout: 30 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}
	listener := s.config.Listener
	if s.config.TLS != nil {
		listener = tls.NewListener(listener, s.config.TLS)
	}
	go func() {
		defer close(s.serveDone)
		_ = s.http.Serve(listener) // returns ErrServerClosed after Stop
	}()
	return nil
}

// Stop implements kernel.Service.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	<-s.serveDone
	return err
}

// Handler returns the HTTP handler of the interface. It authenticates all requests.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.authenticate)
	r.Get(pathTable, s.getTable)
	r.Post(pathEdits, s.postEdit)
	r.Get(pathHistory, s.getHistory)
	r.Get(pathStatus, s.getStatus)
	r.Get(pathBurn, s.getBurn)
	r.Delete(pathQuarantine+"/{fingerprint}", s.deleteQuarantine)
	r.Method(http.MethodGet, pathVars, expvar.Handler())
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: fmt.Sprintf("no such path %q", r.URL.Path)})
	})
	return r
}

// authenticate accepts requests with the bearer token or, if no token is
// configured, with a verified client certificate. It compares hashes of the
// tokens in constant time, so that the response time reveals neither the content
// nor the length of the valid token.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.config.Token == "" && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			next.ServeHTTP(w, r)
			return
		}
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := sha256.Sum256([]byte(token))
		if s.config.Token == "" || !ok || subtle.ConstantTimeCompare(hash[:], s.tokenHash[:]) != 1 {
			s.config.Vars.Add("unauthorized", 1)
			writeError(w, &Error{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Message: "a valid bearer token is required"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) getTable(w http.ResponseWriter, r *http.Request) {
	snapshot, err := s.table.Load(r.Context())
	if errors.Is(err, tablestore.ErrNoTable) {
		snapshot, err = table.NewSnapshot(0, nil), nil
	}
	if err != nil {
		writeError(w, toError(err))
		return
	}
	data, err := tablecodec.EncodeSnapshot(snapshot)
	writeResult(w, data, err)
}

func (s *Server) postEdit(w http.ResponseWriter, r *http.Request) {
	var request editRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&request); err != nil {
		s.config.Vars.Add("bad_requests", 1)
		writeError(w, badRequest("read edit: %v", err))
		return
	}
	edit, requestErr := decodeEdit(request)
	if requestErr != nil {
		s.config.Vars.Add("bad_requests", 1)
		writeError(w, requestErr)
		return
	}
	after, err := s.table.Edit(r.Context(), edit)
	if err != nil {
		writeError(w, toError(err))
		return
	}
	s.config.Vars.Add("edits", 1)
	data, err := json.Marshal(editResponse{Revision: after.Revision})
	writeResult(w, data, err)
}

// decodeEdit converts a request to an edit. It fails if there are no changes, or
// if a change has both or neither of set and remove, or a malformed row.
func decodeEdit(request editRequest) (table.Edit, *Error) {
	edit := table.Edit{Author: request.Author}
	if len(request.Changes) == 0 {
		return edit, badRequest("the edit has no changes")
	}
	for i, c := range request.Changes {
		if (c.Remove == "") == (len(c.Set) == 0) {
			return edit, badRequest("change %d must have either set or remove", i+1)
		}
		change := table.Change{Remove: c.Remove != "", BaseVersion: c.BasedOn, Force: c.Force}
		change.Row.Name = c.Remove
		if !change.Remove {
			row, err := tablecodec.DecodeRow(c.Set)
			if err != nil {
				return edit, badRequest("change %d: %v", i+1, err)
			}
			change.Row = row
		}
		edit.Changes = append(edit.Changes, change)
	}
	return edit, nil
}

// defaultHistoryLimit is the maximum number of edits returned if the request has
// no limit parameter.
const defaultHistoryLimit = 50

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			writeError(w, badRequest("limit %q is not a positive number", text))
			return
		}
		limit = n
	}
	entries, err := s.table.History(r.Context(), limit)
	if err != nil {
		writeError(w, toError(err))
		return
	}
	data, err := json.Marshal(historyResponse{Entries: entries})
	writeResult(w, data, err)
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.control.Status(r.Context())
	if err != nil {
		writeError(w, toError(err))
		return
	}
	data, err := json.Marshal(statusOf(status))
	writeResult(w, data, err)
}

func (s *Server) getBurn(w http.ResponseWriter, r *http.Request) {
	data, err := s.burn.ReportJSON(r.Context())
	writeResult(w, data, err)
}

func (s *Server) deleteQuarantine(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := parseFingerprint(chi.URLParam(r, "fingerprint"))
	if err != nil {
		writeError(w, badRequest("%v", err))
		return
	}
	if err := s.control.LiftQuarantine(r.Context(), fingerprint); err != nil {
		writeError(w, toError(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func badRequest(format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: fmt.Sprintf(format, args...)}
}

// toError converts an error of package table or of the store to the error code
// and HTTP status of the interface. Other errors are internal.
func toError(err error) *Error {
	var invalid *table.InvalidError
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &invalid):
		e := &Error{Status: http.StatusUnprocessableEntity, Code: CodeInvalidTable, Message: "the table would not be valid"}
		for _, p := range invalid.Problems {
			e.Problems = append(e.Problems, Problem{Row: p.Row, Column: p.Column, Message: p.Message})
		}
		return e
	case errors.As(err, &conflict):
		e := &Error{Status: http.StatusConflict, Code: CodeConflict, Message: err.Error()}
		if conflict.Current != nil {
			e.Current, _ = tablecodec.EncodeRow(*conflict.Current)
		}
		return e
	case errors.Is(err, backing.ErrUnknownOutcome):
		return &Error{Status: http.StatusGatewayTimeout, Code: CodeUnknownOutcome, Message: err.Error()}
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrConflict):
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeStoreUnavailable, Message: err.Error()}
	default:
		return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: err.Error()}
	}
}

func writeResult(w http.ResponseWriter, data []byte, err error) {
	if err != nil {
		writeError(w, toError(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, e *Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(errorResponse{Error: e})
}
