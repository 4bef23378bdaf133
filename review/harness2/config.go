package main

import "fmt"

// engineModels is the number of models of the config; they are named m1, m2 and so on.
const engineModels = 4

// config returns the operators' config of the cases: two routes to a booking service and one
// to model replicas, with limits as in the users' deployments.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path-prefix": prefix, "kind": kind, "timeout-ms": 30000, "goal-ms": 500, "priority": 1,
			"service": service, "attempts": attempts,
		}
	}
	chat := route("chat", "/chat/", "stream", "llm", 2)
	chat["resumable"], chat["sticky"], chat["gap-goal-ms"] = true, true, 250
	models := []any{}
	for i := range engineModels {
		models = append(models, map[string]any{
			"name": fmt.Sprintf("m%d", i+1), "weights-mb": 20000.0, "load-s": 5.0, "warm-s": 0.9, "disk-s": 1.2, "adapters": engineAdapters, "adapter-mb": 12.0,
		})
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("book", "/book/", "non_idempotent", "app", 1), route("look", "/look/", "idempotent", "app", 2), chat},
		"services": []any{
			map[string]any{"name": "app", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false},
			map[string]any{
				"name": "llm", "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slot-count": 64, "kv-capacity": 138466, "kv-token-bytes": 163840, "link-mbps": 550000.0, "weights-mb": 200000.0,
					"adapter-slots": adapterSlots, "loads-per-s": 1.5, "models": models,
				},
			},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
