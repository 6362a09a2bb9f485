package main

import (
	"slices"
	"time"

	"ebonyrouter.dev/core"
)

const (
	// hostsKeepAlive is the time after which an unchanged list of hosts is sent again. A list of 690 hosts is 170 kB
	// and costs both processes together 3.6 ms. A change is sent hostsRepeats times, and so is the list after a broken
	// link or a restart of the entry process.
	hostsKeepAlive = 30 * time.Second
	// hostsRepeats is the number of times a change is sent, because the first message may be lost with its link.
	hostsRepeats = 2
)

// hostsFeed decides when to send the list of hosts to the entry process. incarnation is that of the entry process.
type hostsFeed struct {
	incarnation string
	last        core.HostsUpdate
	repeats     int
	sentAt      core.Instant
}

// due reports whether to send the update now, and if so records it as sent: after a change, after a restart of the entry
// process or a broken link, and otherwise every hostsKeepAlive.
func (f *hostsFeed) due(update core.HostsUpdate, incarnation string, alive bool, now core.Instant) bool {
	changed := f.incarnation != incarnation || f.last.StoreDown != update.StoreDown ||
		!slices.Equal(f.last.Hosts, update.Hosts) || !slices.Equal(f.last.Suspected, update.Suspected)
	if changed || !alive {
		f.incarnation = incarnation
		f.last = update
		f.repeats = hostsRepeats
	}
	if !alive || f.repeats == 0 && now.Sub(f.sentAt) < hostsKeepAlive {
		return false
	}
	f.repeats = max(f.repeats-1, 0)
	f.sentAt = now
	return true
}
