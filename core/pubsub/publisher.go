package pubsub

import (
	"maps"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
)

var _ message.Publisher = (*Publisher)(nil)

// Keys of the metadata of messages.
const (
	// MetadataDestination is the key of the address to which a message is sent; the key itself is not transmitted.
	MetadataDestination = "ebony_destination"
	// MetadataPeer is the key of the advertised address of the sender of a received message.
	MetadataPeer = "ebony_peer"
)

// ErrClosed means that the publisher or subscriber is closed.
const ErrClosed = errors.ConstError("pubsub closed")

// Publisher sends watermill messages over links.
type Publisher struct {
	closed atomic.Bool
	links  core.Links
}

// NewPublisher returns a publisher over links; the caller closes links.
func NewPublisher(links core.Links) *Publisher {
	return &Publisher{links: links}
}

// Close implements message.Publisher.Close.
func (p *Publisher) Close() error {
	p.closed.Store(true)
	return nil
}

// Publish implements message.Publisher.Publish; a nil error means that the messages were queued, not that they
// arrived.
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	if p.closed.Load() {
		return errors.Trace(ErrClosed)
	}
	for _, m := range messages {
		if err := p.publish(topic, m); err != nil {
			return errors.Annotatef(err, "publish message %s", m.UUID)
		}
	}
	return nil
}

func (p *Publisher) publish(topic string, m *message.Message) error {
	address := m.Metadata[MetadataDestination]
	if address == "" {
		return errors.Errorf("metadata %s is missing", MetadataDestination)
	}
	metadata := maps.Clone(m.Metadata)
	delete(metadata, MetadataDestination)
	b, err := wire.Encode(&envelope{Metadata: metadata, Payload: m.Payload, UUID: m.UUID})
	if err != nil {
		return errors.Trace(err)
	}
	return p.links.Send(address, topic, b)
}
