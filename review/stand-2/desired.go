package main

// Names of the small deployment.
const (
	engines    = "models"
	tools      = "desk"
	threadPath = "/thread/"
	chatPath   = "/chat/"
	chargePath = "/charge/"
	// tokensPerEvent is the number of tokens that an event counts as.
	tokensPerEvent = 9
)

// desired returns a desired state with the fields and limits of the pages' example.
func desired(version int, slots int) map[string]any {
	route := func(name, path, kind, service string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "kind": kind, "timeout_ms": timeout, "target_latency_ms": 200, "priority": 1,
			"service": service, "max_attempts": 2, "sticky": kind == "streaming", "gap_aim_ms": 200, "retain": false, "resumable": false,
		}
	}
	thread := route("thread", threadPath, "streaming", engines, 4000)
	thread["retain"], thread["retain_s"] = true, 60.0
	chat := route("chat", chatPath, "streaming", engines, 4000)
	chat["resumable"], chat["retain_s"] = true, 60.0
	charge := route("charge", chargePath, "non_idempotent", tools, 2000)
	charge["max_attempts"] = 1
	return map[string]any{
		"version": version, "routes": []any{thread, chat, charge},
		"services": []any{
			map[string]any{"name": engines, "health_path": "/health", "max_conns": 160, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": slots, "kv_capacity": 144933, "kv_token_bytes": 163840, "link_mbps": 2900000.0, "tokens_per_event": tokensPerEvent,
			}},
			map[string]any{"name": tools, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
