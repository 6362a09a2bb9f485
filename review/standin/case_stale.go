package main

import (
	"net/http"
	"time"
)

func init() { cases["old-state-from-stale-watch"] = oldStateFromStaleWatch }

// configApply is the bound of the settings.
const configApply = 2500 * time.Millisecond

// oldStateFromStaleWatch: the store's serializable calls return what is 3 s old, all others are linearizable. A new desired state
// moves a route to another service. The rule is broken if a request that is sent later than configApply after the confirmation
// is run by the old service.
func oldStateFromStaleWatch(e *env) (bool, error) {
	if e.trouble {
		e.store.staleness = 3 * time.Second
		e.record.add("serializable calls of the store return what is %s old", e.store.staleness)
	}
	if err := e.deployment(2,
		func(*http.Request) answer { return answer{work: 50 * time.Millisecond, size: 900} },
		func(*http.Request) answer { return answer{work: 50 * time.Millisecond, size: 900} }); err != nil {
		return false, err
	}
	traffic := e.startTraffic("GET", "/list/1", 8)
	// The hosts have been up for longer than contact.
	time.Sleep(6 * time.Second)
	routes := e.routes()
	routes[0].Service = "items"
	e.putState(5, routes...)
	confirmed := time.Now()
	time.Sleep(6 * time.Second)
	traffic.stop()
	late, last := 0, time.Duration(0)
	for _, r := range e.runsOf("lists") {
		sent, known := e.sentAt(r.id)
		if after := sent.Sub(confirmed); known && after > configApply {
			late++
			last = max(last, after)
		}
	}
	e.record.add("%d requests that were sent later than %s after the confirmation were run by the old service, the last one was sent after %s", late, configApply, last)
	return late > 0, nil
}
