package main

import (
	"strings"
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

// deadlines remembers the longest deadline of each service over all zones and revisions. A revision that shortens it
// must not shorten the wait for requests that began before.
type deadlines struct {
	longest map[string]time.Duration
	mu      sync.Mutex
}

// adopt takes over the deadlines of a revision.
func (d *deadlines) adopt(snapshot *core.Snapshot) {
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

// of returns the longest deadline of the service of an object, such as target/bookings/t1.
func (d *deadlines) of(object string) time.Duration {
	_, rest, _ := strings.Cut(object, "/")
	service, _, _ := strings.Cut(rest, "/")
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.longest[service]
}
