package main

import "fmt"

// adapterCounts are the adapters of the models m1, m2 and m3: 64 as in petik-booking.
var adapterCounts = []int{24, 20, 20}

// adapterSlots are the places for adapters of a replica.
var adapterSlots = 8

// config is the operator's config. service is that of the routes /look/ and /book/; with
// more, there is a further route /more/.
func config(version int, service string, more bool) map[string]any {
	route := func(name, prefix, kind, service string, timeout, goal, attempts int) map[string]any {
		return map[string]any{"name": name, "host": host, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout, "goal-ms": goal, "priority": 2,
			"service": service, "attempts": attempts, "sticky": false}
	}
	routes := []map[string]any{
		route("look", "/look/", "idempotent", service, 1200, 150, 2),
		route("book", "/book/", "non_idempotent", service, 1200, 150, 1),
	}
	chat := route("chat", "/chat/", "stream", "petik-llm", 15000, 500, 2)
	chat["sticky"], chat["resumable"], chat["gap-goal-ms"], chat["priority"] = true, true, 250, 0
	routes = append(routes, chat)
	if more {
		routes = append(routes, route("more", "/more/", "idempotent", service, 1200, 150, 2))
	}
	models := []map[string]any{}
	for i, adapters := range adapterCounts {
		models = append(models, map[string]any{"name": fmt.Sprintf("m%d", i+1), "weights-mb": 65100.0, "load-s": 7.8, "adapters": adapters, "adapter-mb": 12.0, "warm-s": 1.2, "disk-s": 1.6})
	}
	engine := map[string]any{"slot-count": 64, "kv-capacity": 138466, "kv-token-bytes": 163840, "link-mbps": 550000.0, "moves": true, "backups": true, "stride": 2,
		"max-count": 12, "host-mb": 140000.0, "disk-mb": 400000.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": models,
		"weights-mb": 200000.0, "adapter-slots": adapterSlots, "loads-per-s": 1.5}
	services := []map[string]any{
		{"name": "petik-app", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false},
		{"name": "petik-app2", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false},
		{"name": "petik-llm", "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "engine": engine},
	}
	return map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
}
