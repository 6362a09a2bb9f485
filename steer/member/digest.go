package member

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"ebonyrouter.dev/core"
)

// fresh reports whether the digest is valid by its own sequence.
func (h heard) fresh(now core.Instant) bool {
	return h.freshAt != 0 && now.Sub(h.freshAt) < digestFresh
}

// foreign returns the digests of other regions that are valid by their own sequence, in a fixed order. Those that are only
// listed are not passed on: their authors may be gone for longer than digestFresh.
func (t *table) foreign(now core.Instant) []core.MemberDigest {
	var digests []core.MemberDigest
	for _, key := range slices.Sorted(maps.Keys(t.digests)) {
		h := t.digests[key]
		if h.digest.Zone == "" && h.digest.Region != t.self.Region && h.fresh(now) {
			digests = append(digests, h.digest)
		}
	}
	return digests
}

// hear takes over digests that are newer than the known ones and reports whether any suspicion changed.
func (t *table) hear(update core.MemberUpdate, now core.Instant) bool {
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
			old.freshAt = now
		}
		t.digests[key] = heard{at: now, digest: d, freshAt: old.freshAt, id: digestID(d), suspected: set(d.Suspected)}
	}
	t.renewed(update.Beats, now)
	if !update.Complete {
		if len(update.Digests)+len(update.Beats) > 0 {
			delete(t.lists, update.Author)
		}
		return changed
	}
	changed = changed || !maps.Equal(t.lists[update.Author].keys, keys)
	t.lists[update.Author] = list{at: now, keys: keys}
	return changed
}

// listed returns the digests that other relays of the region answer for whose links are up. A host that is no relay any
// more sends no lists, so that its last one counts only for digestFresh; so does that of a relay which is suspected here,
// which is enough to end the suspicion.
func (t *table) listed(links core.Links, now core.Instant) map[string]bool {
	keys := map[string]bool{}
	relays := slices.Concat(t.topology().regionRelays[t.self.Region], t.cachedBase.regionRelays[t.self.Region])
	for name, l := range t.lists {
		age := now.Sub(l.at)
		if age >= listFresh || age >= digestFresh && !slices.Contains(relays, name) {
			continue
		}
		if links.Alive(t.entries[name].host.SteerAddress) {
			maps.Copy(keys, l.keys)
		}
	}
	return keys
}

// opinions returns by zone and region which hosts all valid digests suspect.
func (t *table) opinions(links core.Links, now core.Instant) map[string]map[string]bool {
	opinions := map[string][]map[string]bool{}
	t.silence = t.silent(links, now)
	opinions["zone/"+t.self.Zone] = []map[string]bool{set(t.silence)}
	listed := t.listed(links, now)
	for key, h := range t.digests {
		d := h.digest
		if !h.fresh(now) && !listed[key] {
			continue
		}
		switch {
		case d.Zone != "" && d.Region == t.self.Region:
			opinions["zone/"+d.Zone] = append(opinions["zone/"+d.Zone], h.suspected)
		case d.Zone == "" && d.Region != t.self.Region:
			opinions["region/"+d.Region] = append(opinions["region/"+d.Region], h.suspected)
		}
	}
	merged := map[string]map[string]bool{}
	for scope, o := range opinions {
		merged[scope] = intersection(o)
	}
	return merged
}

// renewed takes over the newer sequences of digests whose content is known. A beat of another content says nothing, so
// that a digest whose change was lost is not kept valid.
func (t *table) renewed(beats []core.MemberBeat, now core.Instant) {
	for _, b := range beats {
		for key, h := range t.digests {
			if h.id != b.ID || b.Sequence <= h.digest.Sequence {
				continue
			}
			h.at, h.freshAt = now, now
			h.digest.Sequence = b.Sequence
			t.digests[key] = h
		}
	}
}

// digestID returns a hash of the author and the content of a digest.
func digestID(d core.MemberDigest) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(digestKey(d) + " " + strings.Join(d.Suspected, " ")))
	return h.Sum32()
}

// digestKey names the author of a digest and what it is about.
func digestKey(d core.MemberDigest) string {
	return d.Region + "/" + d.Zone + "/" + d.Author + "/" + d.Start
}

// sameOpinion reports whether two digests differ in nothing but their sequence.
func sameOpinion(a, b core.MemberDigest) bool {
	return digestKey(a) == digestKey(b) && slices.Equal(a.Suspected, b.Suspected)
}
