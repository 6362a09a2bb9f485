package main

import "time"

// Names of the deployment.
const (
	bookingHost = "hulo84.example"
	lookupHost  = "jepu9.example"
	bookingPath = "/xapu221/ny95/"
	lookupPath  = "/lepu270/"
)

// Services and time limits of the deployment.
const (
	bookings     = "begleitdienst"
	wegfinder    = "wegfinder"
	bookingLimit = 6 * time.Second
	lookupLimit  = 4 * time.Second
)

// route returns a route of the desired state.
func route(name, host, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeout": "6000ms", "aim": "2000ms", "priority": 1, "service": service,
		"maxAttempts": 2, "sticky": false, "homeRegions": []string{},
	}
}

// desiredState returns a desired state.
func desiredState(version string, routes ...map[string]any) map[string]any {
	services := []map[string]any{}
	for _, name := range []string{bookings, wegfinder} {
		services = append(services, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 6.4,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// usualRoutes are the routes of the deployment.
func usualRoutes() []map[string]any {
	return []map[string]any{
		route("r-bookings", bookingHost, bookingPath, "unsafe", bookings), route("r-lookup", lookupHost, lookupPath, "safe", wegfinder),
	}
}

// usualTargets adds two targets of each service.
func (b *bed) usualTargets(bookingWork, lookupWork time.Duration, lookupBytes int) error {
	for range 2 {
		if err := b.addTarget(&target{service: bookings, slots: 16, zone: "nord-a", bodySize: 200, work: bookingWork}); err != nil {
			return err
		}
		if err := b.addTarget(&target{service: wegfinder, slots: 16, zone: "nord-a", bodySize: lookupBytes, work: lookupWork}); err != nil {
			return err
		}
	}
	return nil
}

// usual starts the deployment with two targets of each service and a number of hosts.
func (b *bed) usual(hosts int, bookingWork, lookupWork time.Duration, lookupBytes int) error {
	if err := b.usualTargets(bookingWork, lookupWork, lookupBytes); err != nil {
		return err
	}
	return b.startHosts(hosts)
}

// startHosts writes the desired state, starts a number of hosts and waits until they are up to date.
func (b *bed) startHosts(hosts int) error {
	if err := b.store.set("config", "main", desiredState("r7", usualRoutes()...)); err != nil {
		return err
	}
	for range hosts {
		if _, err := b.addHost("nord-a"); err != nil {
			return err
		}
	}
	for _, h := range b.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	// The platform expects a host to be up to date 4 s after its start.
	time.Sleep(4500 * time.Millisecond)
	return nil
}
