package main

import (
	"strings"
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

// deadlines keeps the longest deadline of each service across all zones and revisions. A revision that shortens a deadline
// must not shorten the wait for requests that started under an earlier revision.
type deadlines struct {
	longest map[string]time.Duration
	mu      sync.Mutex
}

// add includes the deadlines of a revision.
func (d *deadlines) add(snapshot *core.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longest == nil {
		d.longest = map[string]time.Duration{}
	}
	for service, zones := range snapshot.Policies {
		for _, policy := range zones {
			d.longest[service] = max(d.longest[service], time.Duration(policy.DeadlineMs)*time.Millisecond)
		}
	}
}

// forObject returns the longest deadline of the service of an object, such as target/bookings/t1.
func (d *deadlines) forObject(object string) time.Duration {
	_, name, _ := strings.Cut(object, "/")
	service, _, _ := strings.Cut(name, "/")
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.longest[service]
}
