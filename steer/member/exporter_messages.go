package member

import (
	"ebonyrouter.dev/core"
)

// exchanged is the content of a digest that was sent to exporters, and when it is sent in full again.
type exchanged struct {
	id   uint32
	pace pace
}

// exchange returns the messages with digests for exporters. A digest is sent in full when its content is new and
// repeatedly after that (see pace), and to an exporter whose link came up; else as a beat.
func (m *Members) exchange(peers, next []string, zone, region core.MemberDigest, foreign []core.MemberDigest, now core.Instant) []message {
	t := m.table
	full := map[uint32]bool{}
	kept := make(map[string]exchanged, len(m.exchanged))
	for _, d := range append([]core.MemberDigest{zone, region}, foreign...) {
		key, id := digestKey(d), digestID(d)
		e, ok := m.exchanged[key]
		if !ok {
			e.pace = pace{idle: digestIdle, interval: digestInterval, settled: digestSettled}
		}
		changed := !ok || e.id != id
		e.id = id
		full[id] = e.pace.due(changed, now)
		kept[key] = e
	}
	m.exchanged = kept
	told := map[string]bool{}
	var messages []message
	send := func(name string, own core.MemberDigest) {
		host := t.entries[name].host
		update := core.MemberUpdate{Author: t.self.Host}
		for _, d := range append([]core.MemberDigest{own}, foreign...) {
			id := digestID(d)
			switch {
			case d.Zone == "" && d.Region == host.Region:
				// A region does not use digests of itself.
			case full[id] || !m.toldExporters[name]:
				update.Digests = append(update.Digests, d)
			default:
				update.Beats = append(update.Beats, core.MemberBeat{ID: id, Sequence: d.Sequence})
			}
		}
		told[name] = m.links.Alive(host.SteerAddress)
		messages = append(messages, message{host.SteerAddress, update})
	}
	for _, name := range peers {
		send(name, zone)
	}
	for _, name := range next {
		send(name, region)
	}
	m.toldExporters = told
	return messages
}
