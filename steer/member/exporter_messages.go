package member

import (
	"ebonyrouter.dev/core"
)

// sentDigest is the content hash of a digest sent to exporters and the schedule for sending it in full.
type sentDigest struct {
	id       uint32
	schedule resendSchedule
}

// exporterMessages returns the messages with digests for exporters. A digest is sent in full when its content is new,
// repeatedly after that (see resendSchedule), and to an exporter whose link has come up; otherwise it is sent as a
// beat.
func (m *Members) exporterMessages(peerExporters, nextExporters []string, zone, region core.MemberDigest, remoteDigests []core.MemberDigest, now core.Instant) []message {
	t := m.table
	full := map[uint32]bool{}
	sentDigests := make(map[string]sentDigest, len(m.sentDigests))
	for _, d := range append([]core.MemberDigest{zone, region}, remoteDigests...) {
		key, id := digestKey(d), digestID(d)
		e, ok := m.sentDigests[key]
		if !ok {
			e.schedule = resendSchedule{idle: digestIdleInterval, interval: digestInterval, settleTime: digestSettled}
		}
		changed := !ok || e.id != id
		e.id = id
		full[id] = e.schedule.due(changed, now)
		sentDigests[key] = e
	}
	m.sentDigests = sentDigests
	sent := map[string]bool{}
	var messages []message
	addMessage := func(name string, own core.MemberDigest) {
		host := t.registrations[name].host
		update := core.MemberUpdate{Author: t.self.Host}
		for _, d := range append([]core.MemberDigest{own}, remoteDigests...) {
			id := digestID(d)
			switch {
			case d.Zone == "" && d.Region == host.Region:
				// A region does not use digests about itself.
			case full[id] || !m.sentExporters[name]:
				update.Digests = append(update.Digests, d)
			default:
				update.Beats = append(update.Beats, core.MemberBeat{ID: id, Sequence: d.Sequence})
			}
		}
		sent[name] = m.links.Alive(host.SteerAddress)
		messages = append(messages, message{host.SteerAddress, update})
	}
	for _, name := range peerExporters {
		addMessage(name, zone)
	}
	for _, name := range nextExporters {
		addMessage(name, region)
	}
	m.sentExporters = sent
	return messages
}
