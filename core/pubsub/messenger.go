package pubsub

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/juju/errors"

	"ebonyrouter.dev/core"
)

var _ core.Messenger = (*Messenger)(nil)

// closeTimeout limits how long Run waits for running handlers before it returns.
const closeTimeout = 5 * time.Second

// Messenger sends control messages over links and runs their handlers in a watermill Router.
type Messenger struct {
	publisher  *Publisher
	router     *message.Router
	subscriber *Subscriber
}

// NewMessenger returns a messenger over links; the caller closes links after Run has returned.
func NewMessenger(links core.Links) (*Messenger, error) {
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: closeTimeout}, watermill.NopLogger{})
	if err != nil {
		return nil, errors.Annotate(err, "create the router of control messages")
	}
	return &Messenger{publisher: NewPublisher(links), router: router, subscriber: NewSubscriber(links)}, nil
}

// HandleMessage implements core.Messenger.HandleMessage; all topics must be registered before Run.
func (m *Messenger) HandleMessage(topic string, handler core.MessageHandler) {
	m.router.AddConsumerHandler(topic, topic, m.subscriber, func(received *message.Message) error {
		handler(received.Metadata.Get(MetadataPeer), received.Payload)
		return nil
	})
}

// Run handles messages until ctx ends.
func (m *Messenger) Run(ctx context.Context) error {
	err := m.router.Run(ctx)
	if closeErr := m.subscriber.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

// Send implements core.Messenger.Send.
func (m *Messenger) Send(address, topic string, payload []byte) error {
	// Messages need no identifier, because they are neither stored nor redelivered.
	outgoing := message.NewMessage("", payload)
	outgoing.Metadata.Set(MetadataDestination, address)
	return m.publisher.Publish(topic, outgoing)
}
