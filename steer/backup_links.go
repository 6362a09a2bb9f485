package main

import (
	"slices"
	"time"

	"ebonyrouter.dev/core"
)

// backupAfter is the time without a response after which this steer process dials its entry process and the configured
// peers. Otherwise only the entry process dials, and the peers are needed only while no relay of the availability zone
// responds. With both ends dialling and permanent links to the peers, a steer process that is not a relay had 12 links
// instead of 3.
const backupAfter = 2 * time.Second

// backupLinks opens the links to the entry process and the configured peers that are needed only while the regular links
// are down.
type backupLinks struct {
	entry        string
	entryAliveAt core.Instant
	links        core.Links
	peers        []string
	relayAliveAt core.Instant
}

// update opens and closes the backup links. synced reports whether the documents were recently compared with those of a
// relay.
func (b *backupLinks) update(synced bool, relays []string, now core.Instant) {
	if b.entryAliveAt == 0 || b.links.Alive(b.entry) {
		b.entryAliveAt = now
	}
	if b.relayAliveAt == 0 || slices.ContainsFunc(relays, b.links.Alive) {
		b.relayAliveAt = now
	}
	// This link is never closed again: Alive does not show whether the entry process has dialled as well.
	if now.Sub(b.entryAliveAt) >= backupAfter {
		b.links.Connect(b.entry)
	}
	needed := !synced || now.Sub(b.relayAliveAt) >= backupAfter
	for _, address := range b.peers {
		if needed {
			b.links.Connect(address)
			continue
		}
		b.links.Disconnect(address)
	}
}
