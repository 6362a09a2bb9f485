package pubsub

import (
	"maps"

	"github.com/ThreeDotsLabs/watermill/message"
)

// delivery is a received message in the ring of a subscription.
type delivery struct {
	envelope envelope
	peer     string
}

// message returns a message of its own for each subscription, because handlers may change metadata.
func (d delivery) message() *message.Message {
	m := message.NewMessage(d.envelope.UUID, d.envelope.Payload)
	maps.Copy(m.Metadata, d.envelope.Metadata)
	m.Metadata[MetadataPeer] = d.peer
	return m
}
