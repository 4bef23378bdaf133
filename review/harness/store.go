package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is one row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"` // base64
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store, in memory. It never fails.
type store struct {
	mu      sync.Mutex
	rows    map[string]row // by table, part and key
	changes []row
	version uint64
	changed chan struct{}
	start   time.Time
	address string
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rows: make(map[string]row), changed: make(chan struct{}), start: time.Now(), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hyssophaven/rows-get", s.get)
	mux.HandleFunc("GET /hyssophaven/rows-feed", s.feed)
	mux.HandleFunc("POST /hyssophaven/rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or a replica does. The return is the ack.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data), Ver: s.version})
}

// remove removes a row. The return is the ack.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Ver: s.version, Removed: true})
}

// apply stores a row and wakes the waiting feed calls. s.mu must be held.
func (s *store) apply(r row) {
	s.rows[rowKey(r.Table, r.Part, r.Key)] = r
	s.changes = append(s.changes, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

type page struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has-more"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now-ms"`
}

// answer writes an answer. s.mu must be held.
func (s *store) answer(w http.ResponseWriter, status int, p page) {
	if p.Rows == nil {
		p.Rows = []row{}
	}
	p.NowMS = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Ver: s.version}
	for _, row := range s.rows {
		if row.Removed || row.Table != q.Get("table") || row.Part != q.Get("part") || row.Key < q.Get("from") || q.Has("to") && row.Key >= q.Get("to") {
			continue
		}
		p.Rows = append(p.Rows, row)
	}
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Rows) > limit {
		p.Rows, p.HasMore = p.Rows[:limit], true
	}
	s.answer(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		p, changed := page{Ver: s.version}, s.changed
		for _, row := range s.changes {
			if row.Table == q.Get("table") && row.Ver > after {
				p.Rows = append(p.Rows, row)
			}
		}
		if len(p.Rows) > 0 || ended {
			s.answer(w, http.StatusOK, p)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond) // tx-ms
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	p := page{Ver: s.version}
	for _, e := range t.Expected {
		current, ok := s.rows[rowKey(e.Table, e.Part, e.Key)]
		ok = ok && !current.Removed
		holds = holds && (ok && current.Ver == e.Ver || !ok && e.Ver == 0)
		if ok {
			p.Rows = append(p.Rows, current)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, p)
		return
	}
	s.version++
	for _, put := range t.Put {
		put.Ver, put.Removed = s.version, false
		s.apply(put)
	}
	for _, remove := range t.Remove {
		s.apply(row{Table: remove.Table, Part: remove.Part, Key: remove.Key, Ver: s.version, Removed: true})
	}
	s.answer(w, http.StatusOK, page{Ver: s.version})
}
