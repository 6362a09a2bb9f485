package main

import "fmt"

// route is one route of a desired state.
type route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	PathPrefix  string   `json:"pathPrefix"`
	Kind        string   `json:"kind"`
	Timeout     string   `json:"timeout"`
	Aim         string   `json:"aim"`
	Priority    int      `json:"priority"`
	Service     string   `json:"service"`
	MaxAttempts int      `json:"maxAttempts"`
	Sticky      bool     `json:"sticky"`
	HomeRegions []string `json:"homeRegions"`
}

// putState writes a desired state with the given routes, as the operator does.
func (e *env) putState(version int, routes ...route) {
	services := []map[string]any{}
	seen := map[string]bool{}
	for i, r := range routes {
		routes[i].HomeRegions = []string{}
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{
				"name": r.Service, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 10.0,
			})
		}
	}
	e.store.put("config", "main", map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	e.record.add("operator: desired state r%d with %d routes is confirmed", version, len(routes))
}
