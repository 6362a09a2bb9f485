package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// settings returns a desired state in which the route of orders goes to the given service.
func settings(version, service string) map[string]any {
	route := map[string]any{
		"name": "r-orders", "host": hostName, "pathPrefix": "/orders/", "kind": "unsafe", "timeout": "2000ms", "aim": "800ms", "priority": 1,
		"service": service, "maxAttempts": 2, "sticky": false, "homeRegions": []string{},
	}
	described := []map[string]any{}
	for _, name := range []string{"old", "new"} {
		described = append(described, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 6.4,
		})
	}
	return map[string]any{
		"version": version, "routes": []any{route}, "services": described,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// lostWatch loses one answer of the store: the one that tells a machine of a new desired state.
func lostWatch(w *world) (bool, error) {
	for _, service := range []string{"old", "new"} {
		for _, zone := range []string{"luzon-makati", "luzon-pasig"} {
			if _, err := w.startServer(service, zone, 9, 50*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	w.store.put("config", "main", settings("r5", "old"))
	for _, zone := range []string{"luzon-makati", "luzon-pasig"} {
		if _, err := w.startMachine(zone, nil); err != nil {
			return false, err
		}
	}
	for _, m := range w.machines {
		if err := m.awaitReady(); err != nil {
			return false, err
		}
	}
	victim := w.machines[0]
	var lost atomic.Int64
	w.store.loseWatch = func(caller, kind string, _ []change) bool {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClients(w)
	for _, m := range w.machines {
		c.stream(ctx, m, http.MethodPost, "/orders/1", 6*time.Second, 100*time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	// A change that both machines learn, and one 2 s later that moves the route.
	w.record.line("r7 confirmed at %s", w.record.at(w.store.put("config", "main", settings("r7", "old"))))
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.store.mutex.Lock()
		w.store.loseWatch = func(caller, kind string, _ []change) bool {
			if kind != "config" || caller != victim.ip && caller != "127.0.0.1" || !lost.CompareAndSwap(0, time.Now().UnixNano()) {
				return false
			}
			w.record.line("the answer to a watch of %s from %s is lost", kind, caller)
			return true
		}
		w.store.mutex.Unlock()
	}
	confirmed := w.store.put("config", "main", settings("r9", "new"))
	w.record.line("r9 confirmed at %s: the route of orders goes to service new", w.record.at(confirmed))
	time.Sleep(20 * time.Second)
	cancel()
	c.wait.Wait()
	c.write()
	if w.trouble && lost.Load() == 0 {
		return false, fmt.Errorf("no answer was lost")
	}
	// From then on the store has been without disturbance for contact, and the bound and the longest stretch have passed as well.
	from := confirmed.Add(contact + configApply)
	stale, strict, last := 0, 0, time.Time{}
	byID := map[string]*sent{}
	for _, q := range c.all {
		byID[q.id] = q
	}
	for _, r := range w.allRuns() {
		q := byID[r.id]
		if q == nil || !q.at.After(from) || r.server[:5] != "i-old" {
			continue
		}
		stale++
		last = q.at
		if q.at.After(confirmed.Add(contact + configApply + maxStretch)) {
			strict++
		}
	}
	w.record.line("orders sent later than %.1f s after the confirmation and run by the old service: %d, later than %.1f s: %d", from.Sub(confirmed).Seconds(), stale, (contact + configApply + maxStretch).Seconds(), strict)
	if stale > 0 {
		w.record.line("the last one was sent %.1f s after the confirmation", last.Sub(confirmed).Seconds())
	}
	return stale > 0, nil
}
