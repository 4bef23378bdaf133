package main

const (
	host          = "ficu95.example"
	engineService = "petik-llm"
	plainService  = "petik-app"
	chatPath      = "/grower-chat/2f"
	bookPath      = "/book-slot/2f"
	checkPath     = "/check-slot/2f"
)

// models are some of the models of petik-booking.
var models = []model{
	{Name: "m0", WeightsMB: 65100, LoadS: 7.8, Adapters: 24, AdapterMB: 12, WarmS: 1.2, DiskS: 1.6},
	{Name: "m1", WeightsMB: 72700, LoadS: 8.6, AdapterMB: 66, WarmS: 1.3, DiskS: 1.7},
	{Name: "m2", WeightsMB: 72700, LoadS: 8.6, Adapters: 11, AdapterMB: 66, WarmS: 1.3, DiskS: 1.7},
	{Name: "m3", WeightsMB: 65100, LoadS: 7.8, AdapterMB: 12, WarmS: 1.2, DiskS: 1.6},
	{Name: "m4", WeightsMB: 72700, LoadS: 8.6, Adapters: 11, AdapterMB: 66, WarmS: 1.3, DiskS: 1.7},
}

// config returns the operator's config with the routes of petik-booking that the cases use.
func config(version int) map[string]any {
	route := func(name, kind, service string, timeout, goal, priority, attempts int, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": timeout, "goal-ms": goal, "priority": priority, "service": service, "attempts": attempts}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("grower-chat", "stream", engineService, 15000, 500, 0, 2, map[string]any{"sticky": true, "resumable": true, "gap-goal-ms": 250}),
			route("visitor-recap", "stream", engineService, 15000, 10000, 2, 1, map[string]any{"sticky": true, "resumable": false, "gap-goal-ms": 250}),
			route("book-slot", "non_idempotent", plainService, 1200, 150, 2, 1, nil),
			route("check-slot", "idempotent", plainService, 1200, 150, 2, 2, nil),
		},
		"services": []any{
			map[string]any{"name": engineService, "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slot-count": 64, "kv-capacity": 138466, "kv-token-bytes": 163840, "link-mbps": 550000.0, "moves": true, "backups": true, "stride": 2, "max-count": 12,
				"host-mb": 140000.0, "disk-mb": 400000.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": models, "weights-mb": replicaMB, "adapter-slots": adapterSlots, "loads-per-s": 1.5}},
			map[string]any{"name": plainService, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
