package main

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It holds rows in memory and answers
// the calls that an edge instance makes, as PROTOCOL.md describes them.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	ver     uint64
	rows    map[string]map[string]storedRow // by table and key
	removed map[string]map[string]uint64    // versions of removals
	entries map[string]any                  // what the replicas have registered, by id
	config  any                             // what the operator wrote
	era     uint64
	away    bool
	copies  []storeCopy                           // one for each version, oldest first
	onWrite func(table, key string, value []byte) // is told of each write of an instance, unless nil
	stale   int                                   // writes of the lease in this era that say that they are of an earlier one
	began   time.Time
}

// staleWrites returns how often the lease was written in this era by an instance that did not
// know of it.
func (s *store) staleWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stale
}

// storeCopy is the state of the store at a version.
type storeCopy struct {
	at      time.Time
	ver     uint64
	rows    map[string]map[string]storedRow
	removed map[string]map[string]uint64
}

type storedRow struct {
	value []byte
	ver   uint64
}

type rowMessage struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// startStore serves a store on a free port of host.
func startStore(host string) *store {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		cannotRun("listen for the store", err)
	}
	s := &store{
		address: l.Addr().String(), changed: make(chan struct{}), rows: make(map[string]map[string]storedRow),
		removed: make(map[string]map[string]uint64), entries: make(map[string]any), era: 1, began: time.Now(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hyssophaven/rows-get", s.get)
	mux.HandleFunc("GET /hyssophaven/rows-feed", s.feed)
	mux.HandleFunc("POST /hyssophaven/rows-tx", s.write)
	s.server = &http.Server{Handler: s.unlessAway(mux), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// unlessAway resets the connections of calls while the store is away.
func (s *store) unlessAway(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if away {
			reset(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func reset(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// leave makes the store unreachable, and interrupts the calls that wait.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack ends leave. With lost > 0, the store comes back from the copy that lacks its last
// transactions, as many as lost, in a new era. What the operator wrote since then, and what the
// replicas say of themselves, is written again.
func (s *store) comeBack(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost > 0 {
		from := s.copies[max(0, len(s.copies)-1-lost)]
		recordf("the store comes back from a copy %.1f s old; version %d is %d again", time.Since(from.at).Seconds(), s.ver, from.ver)
		s.ver, s.rows, s.removed = from.ver, cloneTables(from.rows), cloneTables(from.removed)
		s.era++
		s.stale = 0
		s.copies = nil
		if s.rows["op"] == nil {
			s.writeRow("op", "config", s.config)
		}
		for id, entry := range s.entries {
			s.writeRow("servers", id, entry)
		}
	}
	s.away = false
	s.wake()
}

func cloneTables[V any](tables map[string]map[string]V) map[string]map[string]V {
	out := make(map[string]map[string]V, len(tables))
	for name, rows := range tables {
		out[name] = maps.Clone(rows)
	}
	return out
}

// configure writes the config as the operator does.
func (s *store) configure(config any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
	s.writeRow("op", "config", config)
	s.wake()
}

// register writes the entry of a replica, if it has changed and the store is not away. The
// number of the message alone does not change it.
func (s *store) register(id string, entry any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away || reflect.DeepEqual(s.entries[id], entry) {
		return
	}
	s.entries[id] = entry
	s.writeRow("servers", id, entry)
	s.wake()
}

// writeRow writes one row in a transaction. s.mu must be held.
func (s *store) writeRow(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode row", err)
	}
	s.ver++
	s.set(table, key, data)
	s.keepCopy()
}

// keepCopy keeps a copy of the current version. s.mu must be held.
func (s *store) keepCopy() {
	s.copies = append(s.copies, storeCopy{at: time.Now(), ver: s.ver, rows: cloneTables(s.rows), removed: cloneTables(s.removed)})
	if len(s.copies) > 300 {
		s.copies = s.copies[100:]
	}
}

// set stores a row under the current version. s.mu must be held.
func (s *store) set(table, key string, data []byte) {
	if s.rows[table] == nil {
		s.rows[table], s.removed[table] = make(map[string]storedRow), make(map[string]uint64)
	}
	s.rows[table][key] = storedRow{value: data, ver: s.ver}
	delete(s.removed[table], key)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, more := []rowMessage{}, false
	for _, key := range sortedKeys(s.rows[q.Get("table")]) {
		if key < q.Get("from") || q.Get("to") != "" && key >= q.Get("to") {
			continue
		}
		if len(rows) == limit {
			more = true
			break
		}
		row := s.rows[q.Get("table")][key]
		rows = append(rows, rowMessage{Table: q.Get("table"), Key: key, Value: base64.StdEncoding.EncodeToString(row.value), Ver: row.ver})
	}
	s.answer(w, http.StatusOK, rows, more)
}

func sortedKeys(rows map[string]storedRow) []string {
	keys := make([]string, 0, len(rows))
	for key := range rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			reset(w)
			return
		}
		if after > s.ver {
			s.answer(w, http.StatusGone, []rowMessage{}, false)
			s.mu.Unlock()
			return
		}
		rows, changed := s.changesAfter(q.Get("table"), after), s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.answer(w, http.StatusOK, []rowMessage{}, false)
			s.mu.Unlock()
			return
		}
	}
}

// changesAfter returns the rows of a table that changed after a version, in order. s.mu must
// be held.
func (s *store) changesAfter(table string, after uint64) []rowMessage {
	rows := []rowMessage{}
	for key, row := range s.rows[table] {
		if row.ver > after {
			rows = append(rows, rowMessage{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(row.value), Ver: row.ver})
		}
	}
	for key, ver := range s.removed[table] {
		if ver > after {
			rows = append(rows, rowMessage{Table: table, Key: key, Ver: ver, Removed: true})
		}
	}
	slices.SortFunc(rows, func(a, b rowMessage) int { return cmp.Compare(a.Ver, b.Ver) })
	return rows
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Expected []rowMessage `json:"expected"`
		Put      []rowMessage `json:"put"`
		Remove   []rowMessage `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []rowMessage{}, true
	for _, e := range m.Expected {
		row := s.rows[e.Table][e.Key]
		holds = holds && row.ver == e.Ver
		if row.ver != 0 {
			current = append(current, rowMessage{Table: e.Table, Key: e.Key, Value: base64.StdEncoding.EncodeToString(row.value), Ver: row.ver})
		}
	}
	for _, p := range append(m.Put, m.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range m.Put {
		value, _ := base64.StdEncoding.DecodeString(p.Value)
		recordf("era %d: a write of %s/%s requires %s and finds %s: %s", s.era, p.Table, p.Key, versions(m.Expected), versions(current), value)
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, p := range m.Put {
		value, err := base64.StdEncoding.DecodeString(p.Value)
		if err != nil {
			cannotRun("decode a row that an instance wrote", err)
		}
		s.set(p.Table, p.Key, value)
		var lease struct{ Era uint64 }
		if p.Key == "orders" && json.Unmarshal(value, &lease) == nil && lease.Era < s.era {
			s.stale++
			recordf("this write of era %d is accepted in era %d", lease.Era, s.era)
		}
		if s.onWrite != nil {
			s.onWrite(p.Table, p.Key, value)
		}
	}
	for _, p := range m.Remove {
		delete(s.rows[p.Table], p.Key)
		s.removed[p.Table][p.Key] = s.ver
	}
	s.keepCopy()
	s.wake()
	s.answer(w, http.StatusOK, []rowMessage{}, false)
}

// versions describes the versions of rows.
func versions(rows []rowMessage) string {
	var out []string
	for _, row := range rows {
		out = append(out, fmt.Sprintf("%s/%s %d", row.Table, row.Key, row.Ver))
	}
	return "[" + strings.Join(out, ", ") + "]"
}

// answer writes rows as the answer to a call. s.mu must be held.
func (s *store) answer(w http.ResponseWriter, status int, rows []rowMessage, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has-more": more, "ver": s.ver, "now-ms": time.Since(s.began).Milliseconds(),
	})
}
