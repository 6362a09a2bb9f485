package main

import (
	"slices"
	"time"

	"ebonyrouter.dev/core"
)

// backupAfter is the silence after which this steer dials its entry process, which otherwise dials alone, and the
// configured peers, which are needed only while no relay of the zone answers. With both ends dialling and with links to
// the peers a steer that is no relay had 12 links instead of 3.
const backupAfter = 2 * time.Second

// backupLinks keeps links open that are needed only in the absence of others.
type backupLinks struct {
	entry      string
	entryHeard core.Instant
	links      core.Links
	peers      []string
	relayHeard core.Instant
}

// look opens and closes links after the state of those that make them unnecessary; covered reports whether the
// documents were compared with those of a relay lately.
func (b *backupLinks) look(covered bool, relays []string, now core.Instant) {
	if b.entryHeard == 0 || b.links.Alive(b.entry) {
		b.entryHeard = now
	}
	if b.relayHeard == 0 || slices.ContainsFunc(relays, b.links.Alive) {
		b.relayHeard = now
	}
	// The link stays open afterwards: Alive does not tell whether the entry process has dialled as well.
	if now.Sub(b.entryHeard) >= backupAfter {
		b.links.Connect(b.entry)
	}
	needed := !covered || now.Sub(b.relayHeard) >= backupAfter
	for _, address := range b.peers {
		if needed {
			b.links.Connect(address)
			continue
		}
		b.links.Disconnect(address)
	}
}
