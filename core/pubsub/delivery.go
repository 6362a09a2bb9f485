package pubsub

import (
	"maps"

	"github.com/ThreeDotsLabs/watermill/message"
)

// delivery is a received message that is queued for a subscription.
type delivery struct {
	envelope envelope
	peer     string
}

// message returns a new watermill message. Subscriptions do not share messages, because handlers may change the metadata.
func (d delivery) message() *message.Message {
	m := message.NewMessage(d.envelope.UUID, d.envelope.Payload)
	maps.Copy(m.Metadata, d.envelope.Metadata)
	m.Metadata[MetadataPeer] = d.peer
	return m
}
