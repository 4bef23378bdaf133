package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two messages of a replica to the store.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of a replica of a service, which registers itself in the store and
// records the requests that it has run. A plain one answers with answerBytes bytes, a model
// replica with a stream.
type replica struct {
	id, service, address, zone string
	answerBytes                int // of plain answers
	events                     int // of streams; 0 for a plain service
	work                       time.Duration
	born                       int64
	server                     *http.Server

	mu       sync.Mutex
	runs     map[string]int // by request id
	orders   int64          // accepted ones
	adapters []string       // held, as MODEL/ADAPTER
	received []engineOrder
}

// startReplica serves a replica on a free port of host and registers it in the store.
func startReplica(s *store, host, id, service, zone string, answerBytes, events int, work time.Duration) *replica {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		cannotRun("listen for a replica", err)
	}
	r := &replica{
		id: id, service: service, address: l.Addr().String(), zone: zone, answerBytes: answerBytes, events: events, work: work,
		born: time.Now().UnixMilli(), runs: make(map[string]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Hyssophaven-Instance-Id", id) })
	mux.HandleFunc("GET /hyssophaven/report", r.serveReport)
	mux.HandleFunc("POST /hyssophaven/order", r.serveOrder)
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	go func() {
		for ; ; time.Sleep(heartbeat) {
			s.register(id, r.entry())
		}
	}()
	return r
}

// entry is what the replica says of itself in the store, but for the number of the message.
func (r *replica) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": 1, "slot-count": 64, "state": "in_service",
		"cold-left-ms": 0, "born": r.born, "models": r.models(), "stage": "both", "at-hand": r.weights(),
	}
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Hyssophaven-Attempt-Id")
	w.Header().Set("X-Hyssophaven-Attempt-Id", id)
	w.Header().Set("Keep-Alive", "timeout=15")
	if target := req.Header.Get("X-Hyssophaven-Target-Instance"); target != "" && target != r.id || r.lacks(req.Header.Get("X-Hyssophaven-Model")) {
		w.Header().Set("X-Hyssophaven-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	recordf("replica %s runs request %s", r.id, id)
	time.Sleep(r.work)
	w.Header().Set("X-Hyssophaven-Server-Seal", "seal."+r.id+"."+id)
	if r.events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= r.events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", i, id, i)
		}
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(r.answerBytes))
	body := make([]byte, r.answerBytes)
	for i := range body {
		body[i] = 'a' + byte(i%23)
	}
	_, _ = w.Write(body)
}

// ran returns how often the replica has run a request.
func (r *replica) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
