package main

import (
	"net/http"
	"time"
)

// twoRoutes returns a desired state with two routes of one host: prefix /a/ goes to service list, prefix /a/b/ to service ledger.
func twoRoutes() map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "pathPrefix": prefix, "kind": "unsafe", "timeout": "2000ms", "aim": "800ms", "priority": 1,
			"service": service, "maxAttempts": 2, "sticky": false, "homeRegions": []string{},
		}
	}
	described := []map[string]any{}
	for _, name := range []string{"list", "ledger"} {
		described = append(described, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 6.4,
		})
	}
	return map[string]any{
		"version": "r5", "routes": []any{route("r-list", "/a/", "list"), route("r-ledger", "/a/b/", "ledger")}, "services": described,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// startSmall starts servers of the given services, writes a desired state and starts two machines.
func (w *world) startSmall(services []string, state map[string]any, work time.Duration) error {
	for _, service := range services {
		for _, zone := range []string{"luzon-makati", "luzon-pasig"} {
			if _, err := w.startServer(service, zone, 9, work); err != nil {
				return err
			}
		}
	}
	w.store.put("config", "main", state)
	for _, zone := range []string{"luzon-makati", "luzon-pasig"} {
		if _, err := w.startMachine(zone, nil); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(contact + time.Second)
	return nil
}

// servedBy returns the services that ran each request.
func (w *world) servedBy() map[string][]string {
	by := map[string][]string{}
	for _, s := range w.servers {
		s.mutex.Lock()
		for _, r := range s.runs {
			by[r.id] = append(by[r.id], s.service)
		}
		s.mutex.Unlock()
	}
	return by
}

func encodedSlash(w *world) (bool, error) {
	if err := w.startSmall([]string{"list", "ledger"}, twoRoutes(), 20*time.Millisecond); err != nil {
		return false, err
	}
	c := newClients(w)
	path := "/a/b-17"
	if w.trouble {
		path = "/a/b%2F17"
	}
	for range 20 {
		for _, m := range w.machines {
			c.send(m, http.MethodPost, path, 6*time.Second, nil)
		}
	}
	c.write()
	wrong := 0
	by := w.servedBy()
	for _, q := range c.all {
		for _, service := range by[q.id] {
			if service != "list" {
				wrong++
			}
		}
	}
	w.record.line("orders for route r-list that service ledger ran: %d", wrong)
	return wrong > 0, nil
}
