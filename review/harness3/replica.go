package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// model is a model of the config. The figures are those of petik-booking.
type model struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights-mb"`
	LoadS     float64 `json:"load-s"`
	Adapters  int     `json:"adapters"`
	AdapterMB float64 `json:"adapter-mb"`
	WarmS     float64 `json:"warm-s"`
	DiskS     float64 `json:"disk-s"`
}

const (
	replicaMB    = 200000.0
	adapterSlots = 8
)

// run is one run of a request on a replica.
type run struct {
	id, replica, target string
	at                  time.Time
}

// order is one order as it arrived at a replica.
type order struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Expected  *int64  `json:"expected"`
	Holder    string  `json:"holder"`
	Epoch     *uint64 `json:"fence-token"`

	at     time.Time
	status int
}

// replica is a stand-in of a replica. One of an engine has models; a plain one has none.
type replica struct {
	w                 *world
	id, service, zone string
	address           string // at which it is reached, perhaps through a proxy
	listens           string // at which it listens
	slots             int
	models            map[string]model // of the config
	born              int64
	server            *http.Server

	// answer, if set, answers a request instead of the usual answer. It returns false to leave
	// the request to the usual answer.
	answer func(a http.ResponseWriter, r *http.Request) bool
	onDisk []string      // models whose weights are on the disk of the replica
	events int           // of a stream
	gap    time.Duration // between two of them

	mu       sync.Mutex
	loaded   map[string]map[string]bool // adapters by model
	loading  string
	seq      int64 // orders accepted
	beat     int64
	running  map[string]int // requests, by model
	orders   []order
	runs     []run
	crashed  string // why, or empty
	stopped  bool
	inFlight int
}

// addReplica starts a replica that has some models loaded. The address in its entry is that
// of via, if set, which must lead to it.
func (w *world) addReplica(n int, service, zone string, slots int, declared []model, loaded ...string) *replica {
	r := &replica{w: w, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, slots: slots, models: make(map[string]model), born: time.Now().UnixMilli(),
		loaded: make(map[string]map[string]bool), running: make(map[string]int), onDisk: []string{}, events: 20, gap: 20 * time.Millisecond}
	for _, m := range declared {
		r.models[m.Name] = m
	}
	for _, name := range loaded {
		r.loaded[name] = make(map[string]bool)
	}
	l, err := net.Listen("tcp", w.prefix+strconv.Itoa(100+n)+":0")
	if err != nil {
		panic(err)
	}
	r.listens = l.Addr().String()
	r.address = r.listens
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hyssophaven/order", r.serveOrder)
	mux.HandleFunc("GET /hyssophaven/report", r.serveReport)
	mux.HandleFunc("GET /health", func(a http.ResponseWriter, _ *http.Request) { a.Header().Set("X-Hyssophaven-Instance-Id", r.id) })
	mux.HandleFunc("/", r.serveRequest)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	w.atEnd(r.stop)
	return r
}

// register begins to write the entry of the replica.
func (r *replica) register() {
	r.writeEntry()
	go func() {
		for {
			time.Sleep(heartbeat)
			r.mu.Lock()
			done := r.stopped || r.crashed != ""
			r.mu.Unlock()
			if done {
				return
			}
			r.writeEntry()
		}
	}()
}

func (r *replica) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	_ = r.server.Close()
}

// crash ends the replica as an order that does not fit does.
func (r *replica) crash(why string) {
	r.crashed = why
	r.w.record.add("%s: CRASH: %s", r.id, why)
	go func() { _ = r.server.Close() }()
}

// loadedModels describes the models; r.mu must be held.
func (r *replica) loadedModels() []map[string]any {
	out := []map[string]any{}
	for name, adapters := range r.loaded {
		names := []string{}
		for a := range adapters {
			names = append(names, a)
		}
		out = append(out, map[string]any{"name": name, "version": 1, "adapters": names})
	}
	return out
}

// writeEntry writes the entry of the replica without a condition: it is the only one that
// writes it.
func (r *replica) writeEntry() {
	r.mu.Lock()
	r.beat++
	entry := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slot-count": r.slots, "state": "in_service", "cold-left-ms": 0, "seq": r.beat, "born": r.born}
	if len(r.models) > 0 {
		entry["stage"], entry["models"], entry["at-hand"] = "both", r.loadedModels(), map[string]any{"in-memory": []string{}, "on-disk": r.onDisk}
	}
	value, err := json.Marshal(entry)
	r.mu.Unlock()
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(transaction{Expected: []row{}, Put: []row{{Table: "servers", Key: r.id, Value: base64.StdEncoding.EncodeToString(value)}}, Remove: []row{}})
	if err != nil {
		panic(err)
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Post("http://"+r.w.store.owners+"/hyssophaven/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		r.w.record.add("%s: entry written without an answer: %s", r.id, value)
		return
	}
	_ = answer.Body.Close()
}

// used returns the memory of the models that are loaded or being loaded; r.mu must be held.
func (r *replica) used() float64 {
	sum := 0.0
	for name, adapters := range r.loaded {
		sum += r.models[name].WeightsMB + float64(len(adapters))*r.models[name].AdapterMB
	}
	if r.loading != "" && r.loaded[r.loading] == nil {
		sum += r.models[r.loading].WeightsMB
	}
	return sum
}

func (r *replica) adapterCount() int {
	n := 0
	for _, adapters := range r.loaded {
		n += len(adapters)
	}
	return n
}

func (r *replica) serveOrder(a http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		a.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.at = time.Now()
	o.status = r.decideOrder(&o, q.Header.Get("X-Hyssophaven-Target-Instance"))
	r.orders = append(r.orders, o)
	r.w.record.add("%s: order %s %s %s expected %d, from %s under epoch %d: %d", r.id, o.Operation, o.Model, o.Adapter, deref(o.Expected), o.Holder, deref(o.Epoch), o.status)
	a.WriteHeader(o.status)
}

func deref[T int64 | uint64](p *T) T {
	if p == nil {
		return 0
	}
	return *p
}

// decideOrder carries out an order and returns the status of its answer; r.mu must be held.
func (r *replica) decideOrder(o *order, target string) int {
	m, declared := r.models[o.Model]
	switch {
	case target != "" && target != r.id:
		return http.StatusMisdirectedRequest
	case o.Holder == "" || o.Epoch == nil || !declared:
		return http.StatusBadRequest
	case r.loading != "" || o.Expected != nil && *o.Expected != r.seq:
		return http.StatusConflict
	case o.Adapter != "" && r.loaded[o.Model] == nil:
		return http.StatusMisdirectedRequest
	case o.Operation == "load" && o.Adapter == "" && r.loaded[o.Model] != nil, o.Operation == "load" && o.Adapter != "" && r.loaded[o.Model][o.Adapter]:
		return http.StatusOK
	case o.Operation == "unload" && r.loaded[o.Model] == nil, o.Operation == "unload" && o.Adapter != "" && !r.loaded[o.Model][o.Adapter]:
		return http.StatusOK
	}
	r.seq++
	switch {
	case o.Operation == "load" && o.Adapter != "":
		r.loaded[o.Model][o.Adapter] = true
		if n := r.adapterCount(); n > adapterSlots {
			r.crash(fmt.Sprintf("%d adapters, %d places", n, adapterSlots))
		}
	case o.Operation == "load":
		r.loading = o.Model
		if used := r.used(); used > replicaMB {
			r.crash(fmt.Sprintf("ordered to load %s beside %s: %.0f MB, memory for %.0f MB", o.Model, r.names(), used, replicaMB))
			return http.StatusAccepted
		}
		time.AfterFunc(r.loadTime(m), func() {
			r.mu.Lock()
			r.loaded[o.Model], r.loading = make(map[string]bool), ""
			r.w.record.add("%s: %s is loaded; the replica holds %s", r.id, o.Model, r.names())
			r.mu.Unlock()
			r.writeEntry()
		})
	case o.Adapter != "":
		delete(r.loaded[o.Model], o.Adapter)
		return http.StatusOK
	default:
		r.loading = o.Model // busy until its runs have ended
		go r.unload(o.Model)
	}
	return http.StatusAccepted
}

// loadTime returns how long a load takes.
func (r *replica) loadTime(m model) time.Duration {
	if slices.Contains(r.onDisk, m.Name) {
		return time.Duration(m.DiskS * float64(time.Second))
	}
	return time.Duration(m.LoadS * float64(time.Second))
}

func (r *replica) unload(model string) {
	for {
		r.mu.Lock()
		if r.running[model] == 0 {
			delete(r.loaded, model)
			r.loading = ""
			r.w.record.add("%s: %s is unloaded; the replica holds %s", r.id, model, r.names())
			r.mu.Unlock()
			r.writeEntry()
			return
		}
		r.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// names lists the loaded models; r.mu must be held.
func (r *replica) names() string {
	var out []string
	for name := range r.loaded {
		out = append(out, name)
	}
	return "[" + strings.Join(out, " ") + "]"
}

func (r *replica) serveReport(a http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a).Encode(map[string]any{"stage": "both", "models": r.loadedModels(), "busy": r.loading != "", "seq": r.seq, "queued": 0, "in-flight": r.inFlight, "kv-used": 0, "kv-total": 138466, "handles": 0,
		"coming": []string{}, "born": r.born, "at-hand": map[string]any{"in-memory": []string{}, "on-disk": r.onDisk}})
}

func (r *replica) serveRequest(a http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Hyssophaven-Attempt-Id")
	h := a.Header()
	r.mu.Lock()
	h.Set("X-Hyssophaven-Server-Load", fmt.Sprintf("%d,0,%d", r.inFlight, r.slots))
	name, adapter, _ := strings.Cut(q.Header.Get("X-Hyssophaven-Model"), "/")
	held := len(r.models) == 0 || r.loaded[name] != nil && (adapter == "" || r.loaded[name][adapter])
	r.mu.Unlock()
	if id != "" {
		h.Set("X-Hyssophaven-Attempt-Id", id)
	}
	switch target := q.Header.Get("X-Hyssophaven-Target-Instance"); {
	case id == "":
		h.Set("X-Hyssophaven-Not-Executed", "1")
		a.WriteHeader(http.StatusBadRequest)
		return
	case target != "" && target != r.id || !held:
		h.Set("X-Hyssophaven-Instance-Id", r.id)
		a.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	this := run{id: id, replica: r.id, target: q.RequestURI, at: time.Now()}
	r.runs = append(r.runs, this)
	r.inFlight++
	r.running[name]++
	r.mu.Unlock()
	r.w.record.add("%s: runs %s %s %s %s", r.id, q.Method, q.RequestURI, id, q.Header.Get("X-Hyssophaven-Model"))
	defer func() {
		r.mu.Lock()
		r.inFlight--
		r.running[name]--
		r.mu.Unlock()
	}()
	if r.answer != nil && r.answer(a, q) {
		return
	}
	h.Set("X-Hyssophaven-Server-Seal", id+"."+r.id)
	if len(r.models) == 0 {
		time.Sleep(30 * time.Millisecond)
		h.Set("Content-Type", "text/plain")
		fmt.Fprintf(a, "done %s at %s\n", id, r.id)
		return
	}
	r.stream(a, q, id)
}

// stream writes the events of a stream after the one that the caller has.
func (r *replica) stream(a http.ResponseWriter, q *http.Request, id string) {
	a.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	out := http.NewResponseController(a)
	for n := first + 1; n <= r.events; n++ {
		select {
		case <-time.After(r.gap):
		case <-q.Context().Done():
			return
		}
		fmt.Fprintf(a, "id: %d\ndata: %s %d of %d at %s\n\n", n, id, n, r.events, r.id)
		if out.Flush() != nil {
			return
		}
	}
}
