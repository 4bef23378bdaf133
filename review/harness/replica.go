package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// order is an order as a replica received it.
type order struct {
	Operation, Model, Adapter, Holder string
	Expected                          int64
	Fence                             uint64
	at                                time.Time
	status                            int
}

// run is one run of a request on a replica.
type run struct {
	id, replica, service, path string
	at                         time.Time
	bytes                      int
}

// replica is a stand-in for a replica of a service. It keeps to the pages.
type replica struct {
	id, service, zone, address string
	record                     *record
	work                       time.Duration

	mu      sync.Mutex
	models  map[string][]string // adapters, by model
	seq     int64
	beats   int64
	born    int64
	orders  []order
	runs    []run
	onOrder func(order)
	// extraOrders is set while the answer to a refused order is sent a second time, at the
	// point where the next answer on its channel is expected.
	extraOrders bool
	// down is set while the process doesn't run, and quiet while it writes no entry.
	down, quiet bool
	left        bool // the entry is removed
	server      *http.Server
	// extraFrom and extraUntil limit the time in which the answer 421 to an order or a call for a report is sent
	// a second time, at the point where the next answer on its channel is expected.
	extraFrom, extraUntil time.Time
	channels              map[net.Conn]bool
}

// channelState is what a replica remembers of a channel.
type channelState struct{ extra string }

type channelKey struct{}

func newReplica(rec *record, id, service, zone string, models ...string) (*replica, error) {
	return newReplicaAt(rec, "127.0.0.1:0", id, service, zone, models...)
}

func newReplicaAt(rec *record, address, id, service, zone string, models ...string) (*replica, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, zone: zone, address: l.Addr().String(), record: rec, work: 30 * time.Millisecond,
		models: make(map[string][]string), born: time.Now().UnixMilli(),
	}
	for _, m := range models {
		r.models[m] = []string{}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hyssophaven/report", r.report)
	mux.HandleFunc("POST /hyssophaven/order", r.order)
	mux.HandleFunc("/", r.request)
	r.channels = make(map[net.Conn]bool)
	server := &http.Server{Handler: r.withExtras(mux), ConnState: r.track, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, channelKey{}, &channelState{})
	}}
	r.server = server
	go func() { _ = server.Serve(l) }()
	return r, nil
}

// track keeps the open channels. While the process is down, it resets new ones.
func (r *replica) track(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.channels[c] = true
		if r.down {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(r.channels, c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// restart ends the process and starts it again under the same id after down. It then
// holds nothing, and writes its first entry beat after its start.
func (r *replica) restart(down, beat time.Duration) {
	r.mu.Lock()
	r.down, r.quiet = true, true
	for c := range r.channels {
		reset(c)
	}
	r.mu.Unlock()
	r.record.add("%s crashes", r.id)
	time.Sleep(down)
	r.mu.Lock()
	r.down, r.born, r.seq, r.beats, r.models = false, time.Now().UnixMilli(), 0, 0, make(map[string][]string)
	r.mu.Unlock()
	r.record.add("%s is back under the same id", r.id)
	time.AfterFunc(beat, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.quiet = false
	})
}

// leave removes the entry of a replica that never reports that it drains.
func (r *replica) leave(s *store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = true
	s.remove("servers", r.id)
}

// end ends the process for good.
func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for c := range r.channels {
		reset(c)
	}
}

// register writes the replica's entry now and every heartbeat interval. address is the one
// that the entry names.
func (r *replica) register(s *store, address string) {
	go func() {
		for {
			r.mu.Lock()
			if r.left {
				r.mu.Unlock()
				return
			}
			if r.quiet {
				r.mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				continue
			}
			r.beats++
			s.put("servers", r.id, map[string]any{
				"service": r.service, "address": address, "zone": r.zone, "version": "v1", "slot-count": 64, "state": "in_service",
				"cold-left-ms": 0, "stage": "both", "models": r.loaded(), "seq": r.beats, "born": r.born,
			})
			r.mu.Unlock()
			time.Sleep(heartbeat)
		}
	}()
}

// loaded returns the models as entries and reports list them. r.mu must be held.
func (r *replica) loaded() []map[string]any {
	out := []map[string]any{}
	for name, adapters := range r.models {
		out = append(out, map[string]any{"name": name, "version": 1, "adapters": slices.Clone(adapters)})
	}
	return out
}

func (r *replica) misdirected(w http.ResponseWriter, req *http.Request) bool {
	target := req.Header.Get("X-Hyssophaven-Target-Instance")
	if target == "" || target == r.id {
		return false
	}
	if c, ok := req.Context().Value(channelKey{}).(*channelState); ok && req.Header.Get("X-Hyssophaven-Attempt-Id") == "" {
		r.mu.Lock()
		now := time.Now()
		if now.After(r.extraFrom) && now.Before(r.extraUntil) {
			c.extra = "HTTP/1.1 421 Misdirected Request\r\nX-Hyssophaven-Instance-Id: " + r.id + "\r\nContent-Length: 0\r\n\r\n"
		}
		r.mu.Unlock()
		r.record.add("%s answers 421 to %s for %s", r.id, req.RequestURI, target)
	}
	w.Header().Set("X-Hyssophaven-Instance-Id", r.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// crashForGood ends the process and frees its address. The store removes the entry after
// three heartbeat intervals.
func (r *replica) crashForGood(s *store) {
	r.mu.Lock()
	r.left, r.down = true, true
	for c := range r.channels {
		reset(c)
	}
	r.mu.Unlock()
	_ = r.server.Close()
	r.record.add("%s crashes for good", r.id)
	time.AfterFunc(3*heartbeat, func() { s.remove("servers", r.id) })
}

func (r *replica) report(w http.ResponseWriter, req *http.Request) {
	if r.misdirected(w, req) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": r.loaded(), "busy": false, "seq": r.seq, "queued": 0, "in-flight": 0, "kv-used": 0, "kv-total": 138466, "handles": 0, "born": r.born,
	})
}

func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	var m struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
		Fence                             uint64 `json:"fence-token"`
	}
	if err := json.NewDecoder(req.Body).Decode(&m); err != nil || m.Holder == "" || m.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.misdirected(w, req) {
		return
	}
	r.mu.Lock()
	o := order{Operation: m.Operation, Model: m.Model, Adapter: m.Adapter, Holder: m.Holder, Fence: m.Fence, at: time.Now(), Expected: -1}
	o.status = http.StatusAccepted
	if m.Expected != nil {
		if o.Expected = *m.Expected; o.Expected != r.seq {
			o.status = http.StatusConflict
		}
	}
	if o.status == http.StatusAccepted {
		r.seq++
		switch {
		case m.Operation == "load" && m.Adapter != "":
			r.models[m.Model] = append(r.models[m.Model], m.Adapter)
		case m.Operation == "load":
			r.models[m.Model] = []string{}
		case m.Adapter != "":
			r.models[m.Model] = slices.DeleteFunc(r.models[m.Model], func(a string) bool { return a == m.Adapter })
			o.status = http.StatusOK
		default:
			delete(r.models, m.Model)
		}
	}
	r.orders = append(r.orders, o)
	if o.status == http.StatusConflict && r.extraOrders {
		if c, ok := req.Context().Value(channelKey{}).(*channelState); ok {
			c.extra = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
		}
	}
	r.mu.Unlock()
	r.record.add("order at %s: %s %s/%s holder=%s epoch=%d expected=%d -> %d", r.id, o.Operation, o.Model, o.Adapter, o.Holder, o.Fence, o.Expected, o.status)
	w.WriteHeader(o.status)
}

func (r *replica) request(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	id := req.Header.Get("X-Hyssophaven-Attempt-Id")
	w.Header().Set("X-Hyssophaven-Attempt-Id", id)
	if r.misdirected(w, req) {
		return
	}
	model, adapter, _ := strings.Cut(req.Header.Get("X-Hyssophaven-Model"), "/")
	r.mu.Lock()
	adapters, holds := r.models[model]
	if model != "" && (!holds || adapter != "" && !slices.Contains(adapters, adapter)) {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.runs = append(r.runs, run{id: id, replica: r.id, service: r.service, path: req.RequestURI, at: time.Now(), bytes: len(body)})
	r.mu.Unlock()
	r.record.add("run %s at %s (%s) %s %s, %d bytes", id, r.id, r.service, req.Method, req.RequestURI, len(body))
	w.Header().Set("X-Hyssophaven-Server-Seal", "seal."+r.id+"."+id)
	w.Header().Set("X-Hyssophaven-Server-Load", "1,0,64")
	if model == "" {
		time.Sleep(r.work)
		_, _ = io.WriteString(w, "answer of "+r.id+" to "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= 5; event++ {
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", event, id, event)
		_ = http.NewResponseController(w).Flush()
	}
}

// withExtras sends the second copy of an answer before the next answer on its channel,
// whatever that one answers. The channel ends after both.
func (r *replica) withExtras(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c, ok := req.Context().Value(channelKey{}).(*channelState)
		if !ok || c.extra == "" {
			next.ServeHTTP(w, req)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		r.record.add("%s sends an earlier answer a second time, before the answer to %s %s %s", r.id, req.Method, req.RequestURI, req.Header.Get("X-Hyssophaven-Attempt-Id"))
		_, _ = io.WriteString(conn, c.extra)
		raw := &rawWriter{conn: conn, header: make(http.Header)}
		next.ServeHTTP(raw, req)
		raw.WriteHeader(http.StatusOK)
	})
}

// rawWriter writes an answer that ends with its channel.
type rawWriter struct {
	conn   net.Conn
	header http.Header
	begun  bool
}

func (w *rawWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Only the first call has an effect.
func (w *rawWriter) WriteHeader(status int) {
	if w.begun {
		return
	}
	w.begun = true
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\n", status, http.StatusText(status))
	_ = w.header.Write(&b)
	b.WriteString("\r\n")
	_, _ = w.conn.Write(b.Bytes())
}

func (w *rawWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.conn.Write(b)
}

// Flush implements http.Flusher. Writes aren't buffered.
func (w *rawWriter) Flush() {}
