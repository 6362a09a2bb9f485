package links

import (
	"fmt"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/meter"
)

const (
	// topicHeartbeat and topicReply are the names under which frames without a topic are counted.
	topicHeartbeat = "heartbeat"
	topicReply     = "reply"
)

// exportedTopics lists the topics whose sent frames and bytes are exported as metrics.
var exportedTopics = []string{
	core.TopicDocument, core.TopicDocumentGet, core.TopicEntryStatus, core.TopicHosts, core.TopicLeaseAdvice, core.TopicLeaseChange,
	core.TopicLeaseConfirm, core.TopicLeaseRenew, core.TopicLoad, core.TopicMember, core.TopicMemberRevoke, core.TopicSettingsProof, core.TopicStatusGet,
	core.TopicSync, topicHeartbeat, topicReply,
}

// Export registers the counters as metrics: bytes and frames sent by topic, bytes received, open connections and
// failures.
func (m *Manager) Export(to *meter.Meter) {
	for _, topic := range exportedTopics {
		to.Gauge(fmt.Sprintf("ebony_links_sent_bytes_total{topic=%q}", topic), func() float64 { return float64(m.Sent(topic).Bytes) })
		to.Gauge(fmt.Sprintf("ebony_links_sent_frames_total{topic=%q}", topic), func() float64 { return float64(m.Sent(topic).Frames) })
	}
	to.Gauge("ebony_links_sent_all_bytes_total", func() float64 { return float64(m.sent.total().Bytes) })
	to.Gauge("ebony_links_sent_all_frames_total", func() float64 { return float64(m.sent.total().Frames) })
	to.Gauge("ebony_links_received_bytes_total", func() float64 { return float64(m.Stats().Received) })
	to.Gauge("ebony_links_open", func() float64 { return float64(m.connections()) })
	to.Gauge("ebony_links_dropped_total", func() float64 { return float64(m.Stats().Dropped) })
	to.Gauge("ebony_links_rejected_total", func() float64 { return float64(m.Stats().Rejected) })
	to.Gauge("ebony_links_late_replies_total", func() float64 { return float64(m.Stats().LateReplies) })
	to.Gauge("ebony_links_silent_total", func() float64 { return float64(m.Stats().Unresponsive) })
}

// Sent returns the traffic sent for a topic; frames without one count under "heartbeat" or "reply".
func (m *Manager) Sent(topic string) Traffic {
	return m.sent.get(topic)
}

func (m *Manager) connections() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.conns)
}
