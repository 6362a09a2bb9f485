package member

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"ebonyrouter.dev/core"
)

// fresh reports whether a growing sequence confirmed the digest within digestMaxAge.
func (r report) fresh(now core.Instant) bool {
	return r.confirmedAt != 0 && now.Sub(r.confirmedAt) < digestMaxAge
}

// remoteDigests returns the fresh digests of other regions for forwarding, ordered by key. Digests that are valid only
// because a list names them are not forwarded, because their authors may have stopped longer than
// digestMaxAge ago.
func (t *table) remoteDigests(now core.Instant) []core.MemberDigest {
	var digests []core.MemberDigest
	for _, key := range slices.Sorted(maps.Keys(t.digests)) {
		r := t.digests[key]
		if r.digest.Zone == "" && r.digest.Region != t.self.Region && r.fresh(now) {
			digests = append(digests, r.digest)
		}
	}
	return digests
}

// adoptDigests stores the digests of an update that are newer than the stored ones and reports whether any suspicion
// changed.
func (t *table) adoptDigests(update core.MemberUpdate, now core.Instant) bool {
	changed := false
	keys := map[string]bool{}
	for _, d := range update.Digests {
		if d.Author == t.self.Host {
			continue
		}
		key := digestKey(d)
		keys[key] = true
		old, ok := t.digests[key]
		if ok && d.Sequence <= old.digest.Sequence {
			continue
		}
		changed = changed || !ok || !slices.Equal(old.digest.Suspected, d.Suspected)
		if !update.Complete {
			old.confirmedAt = now
		}
		t.digests[key] = report{receivedAt: now, digest: d, confirmedAt: old.confirmedAt, id: digestID(d), suspected: toSet(d.Suspected)}
	}
	t.adoptBeats(update.Beats, now)
	if !update.Complete {
		if len(update.Digests)+len(update.Beats) > 0 {
			delete(t.lists, update.Author)
		}
		return changed
	}
	changed = changed || !maps.Equal(t.lists[update.Author].keys, keys)
	t.lists[update.Author] = digestList{receivedAt: now, keys: keys}
	return changed
}

// listedDigests returns the keys of the digests in the lists of other relays of the region whose links are up. A list from
// a host that is a relay neither with nor without the suspicions is valid only for digestMaxAge, because such a host sends
// no further lists. If it is a relay that this host suspects wrongly, that is long enough to end the suspicion.
func (t *table) listedDigests(links core.Links, now core.Instant) map[string]bool {
	keys := map[string]bool{}
	relays := slices.Concat(t.topology().regionRelays[t.self.Region], t.cachedBase.regionRelays[t.self.Region])
	for name, l := range t.lists {
		age := now.Sub(l.receivedAt)
		if age >= listMaxAge || age >= digestMaxAge && !slices.Contains(relays, name) {
			continue
		}
		if links.Alive(t.registrations[name].host.SteerAddress) {
			maps.Copy(keys, l.keys)
		}
	}
	return keys
}

// mergedSuspicions returns for each availability zone and region the hosts that all valid digests of it suspect. It also
// updates the unresponsive hosts of the own zone, which count as one of its digests.
func (t *table) mergedSuspicions(links core.Links, now core.Instant) map[string]map[string]bool {
	suspicions := map[string][]map[string]bool{}
	t.unresponsive = t.unresponsiveHosts(links, now)
	suspicions["zone/"+t.self.Zone] = []map[string]bool{toSet(t.unresponsive)}
	listed := t.listedDigests(links, now)
	for key, r := range t.digests {
		d := r.digest
		if !r.fresh(now) && !listed[key] {
			continue
		}
		switch {
		case d.Zone != "" && d.Region == t.self.Region:
			suspicions["zone/"+d.Zone] = append(suspicions["zone/"+d.Zone], r.suspected)
		case d.Zone == "" && d.Region != t.self.Region:
			suspicions["region/"+d.Region] = append(suspicions["region/"+d.Region], r.suspected)
		}
	}
	merged := map[string]map[string]bool{}
	for scope, sets := range suspicions {
		merged[scope] = intersection(sets)
	}
	return merged
}

// adoptBeats stores newer sequences of digests whose content is known. A beat for different content is ignored, so that
// a digest does not stay valid if the message with its new content was lost.
func (t *table) adoptBeats(beats []core.MemberBeat, now core.Instant) {
	for _, b := range beats {
		for key, r := range t.digests {
			if r.id != b.ID || b.Sequence <= r.digest.Sequence {
				continue
			}
			r.receivedAt, r.confirmedAt = now, now
			r.digest.Sequence = b.Sequence
			t.digests[key] = r
		}
	}
}

// digestID returns a hash of the author and the content of a digest.
func digestID(d core.MemberDigest) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(digestKey(d) + " " + strings.Join(d.Suspected, " ")))
	return h.Sum32()
}

// digestKey returns a key of the author of a digest, the run of its process and the zone or region that it covers.
func digestKey(d core.MemberDigest) string {
	return d.Region + "/" + d.Zone + "/" + d.Author + "/" + d.Start
}

// sameContent reports whether two digests differ only in their sequence.
func sameContent(a, b core.MemberDigest) bool {
	return digestKey(a) == digestKey(b) && slices.Equal(a.Suspected, b.Suspected)
}
