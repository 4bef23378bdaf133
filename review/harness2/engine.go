package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// engineAdapters is the number of adapters of each model, and adapterSlots how many of
	// them a replica holds.
	engineAdapters = 24
	adapterSlots   = 8
)

// engineOrder is an order that a replica has received.
type engineOrder struct {
	at            time.Time
	holder        string
	fence         uint64
	replica, what string
	status        int
}

// serveOrder carries out an order. Adapters are loaded at once.
func (r *replica) serveOrder(w http.ResponseWriter, req *http.Request) {
	var m struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
		Fence                             uint64 `json:"fence-token"`
	}
	if err := json.NewDecoder(req.Body).Decode(&m); err != nil || m.Holder == "" || m.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := req.Header.Get("X-Hyssophaven-Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key, status := m.Model+"/"+m.Adapter, http.StatusAccepted
	held := slices.Contains(r.adapters, key)
	switch {
	case m.Adapter == "" || !strings.HasPrefix(m.Model, "m"):
		status = http.StatusBadRequest // all models are loaded and stay
	case m.Expected != nil && *m.Expected != r.orders:
		status = http.StatusConflict
	case m.Operation == "load" && held:
		status = http.StatusOK
	case m.Operation == "load":
		r.adapters = append(r.adapters, key)
		r.orders++
	default:
		r.adapters = slices.DeleteFunc(r.adapters, func(a string) bool { return a == key })
		r.orders++
		status = http.StatusOK
	}
	o := engineOrder{at: time.Now(), holder: m.Holder, fence: m.Fence, replica: r.id, what: m.Operation + " " + key, status: status}
	r.received = append(r.received, o)
	recordf("replica %s gets order %q of holder %s, fence %d, answered %d", r.id, o.what, o.holder, o.fence, status)
	w.WriteHeader(status)
}

// serveReport answers a request for a report.
func (r *replica) serveReport(w http.ResponseWriter, _ *http.Request) {
	models := r.models()
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": models, "busy": false, "seq": r.orders, "queued": 0, "in-flight": 0, "kv-used": 0, "kv-total": 138466, "handles": 0,
		"born": r.born, "coming": []string{}, "at-hand": r.weights(),
	})
}

// lacks reports whether the replica lacks the model or adapter of a request.
func (r *replica) lacks(model string) bool {
	if r.events == 0 {
		return false
	}
	name, adapter, _ := strings.Cut(model, "/")
	r.mu.Lock()
	defer r.mu.Unlock()
	return !strings.HasPrefix(name, "m") || adapter != "" && !slices.Contains(r.adapters, model)
}

// models describes the models and adapters that the replica holds.
func (r *replica) models() []any {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := []any{}
	for i := range engineModels {
		if r.events == 0 {
			break
		}
		name, adapters := fmt.Sprintf("m%d", i+1), []string{}
		for _, a := range r.adapters {
			if adapter, ok := strings.CutPrefix(a, name+"/"); ok {
				adapters = append(adapters, adapter)
			}
		}
		held = append(held, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	return held
}

func (r *replica) weights() map[string]any {
	return map[string]any{"in-memory": []string{}, "on-disk": []string{}}
}
