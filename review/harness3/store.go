package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// transaction is the body of POST /hyssophaven/rows-tx.
type transaction struct {
	Expected []row `json:"expected"`
	Put      []row `json:"put"`
	Remove   []row `json:"remove"`
}

// store is the stand-in of the platform's store. It keeps rows in memory, applies each
// transaction whole or not at all, and answers feeds from its history.
type store struct {
	w       *world
	address string // for the system
	owners  string // for the operator and the replicas, which may write all tables

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	changed chan struct{}
	start   time.Time
	// late, if set, is asked about each transaction. A transaction with a delay above zero gets
	// no answer and is performed after the delay, if its conditions hold then.
	late func(t *transaction) time.Duration
}

func newStore(w *world) (*store, error) {
	s := &store{w: w, rows: make(map[string]row), changed: make(chan struct{}), start: time.Now()}
	for _, target := range []struct {
		address *string
		owner   bool
	}{{&s.address, false}, {&s.owners, true}} {
		l, err := net.Listen("tcp", w.prefix+"2:0")
		if err != nil {
			return nil, err
		}
		*target.address = l.Addr().String()
		mux := http.NewServeMux()
		mux.HandleFunc("POST /hyssophaven/rows-tx", func(a http.ResponseWriter, r *http.Request) { s.serveWrite(a, r, target.owner) })
		mux.HandleFunc("GET /hyssophaven/rows-get", s.serveRead)
		mux.HandleFunc("GET /hyssophaven/rows-feed", s.serveFeed)
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(l) }()
		w.atEnd(func() { _ = server.Close() })
	}
	return s, nil
}

func rowKey(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func (s *store) answer(a http.ResponseWriter, status int, rows []row, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	a.Header().Set("Content-Type", "application/json")
	a.Header().Set("Store-Era", "1")
	a.WriteHeader(status)
	_ = json.NewEncoder(a).Encode(map[string]any{"rows": rows, "has-more": false, "ver": version, "now-ms": time.Since(s.start).Milliseconds()})
}

func (s *store) serveWrite(a http.ResponseWriter, r *http.Request, owner bool) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		a.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row{}, t.Put...), t.Remove...) {
		if !owner && (p.Table == "op" || p.Table == "servers") {
			s.answer(a, http.StatusForbidden, nil, 0)
			return
		}
	}
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late != nil {
		if delay := late(&t); delay > 0 {
			time.AfterFunc(delay, func() { s.apply(&t) })
			panic(http.ErrAbortHandler) // no answer, and the connection delivers nothing further
		}
	}
	time.Sleep(4 * time.Millisecond)
	status, rows, version := s.apply(&t)
	s.answer(a, status, rows, version)
}

// apply performs a transaction if all conditions hold.
func (s *store) apply(t *transaction) (status int, rows []row, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	for _, c := range t.Expected {
		current, ok := s.rows[rowKey(c)]
		if ok {
			rows = append(rows, current)
		}
		if current.Ver != c.Ver {
			conflict = true
		}
	}
	if conflict {
		return http.StatusPreconditionFailed, rows, s.version
	}
	s.version++
	for _, p := range t.Put {
		p.Ver, p.Removed = s.version, false
		s.rows[rowKey(p)] = p
		s.history = append(s.history, p)
	}
	for _, p := range t.Remove {
		delete(s.rows, rowKey(p))
		s.history = append(s.history, row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, nil, s.version
}

func (s *store) serveRead(a http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(a, http.StatusOK, rows, version)
}

func (s *store) serveFeed(a http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		newest := make(map[string]row)
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				newest[rowKey(x)] = x
			}
		}
		var rows []row
		for _, x := range newest {
			rows = append(rows, x)
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
		if len(rows) > 0 || wait == 0 {
			s.answer(a, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(&transaction{Put: []row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)}}})
}
