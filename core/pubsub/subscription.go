package pubsub

import (
	"context"

	"github.com/ThreeDotsLabs/watermill/message"

	"ebonyrouter.dev/core/ring"
)

// subscription delivers the messages of one topic, one at a time.
type subscription struct {
	output     chan *message.Message
	ring       *ring.Ring
	subscriber *Subscriber
}

// deliver passes one message to the handler and waits for its Ack or Nack. It reports false if the subscription has ended.
func (u *subscription) deliver(ctx context.Context, m *message.Message) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.SetContext(ctx)
	done := u.subscriber.done
	select {
	case u.output <- m:
	case <-ctx.Done():
		return false
	case <-done:
		return false
	}
	select {
	case <-m.Acked():
		return true
	case <-m.Nacked():
		u.subscriber.nacked.Add(1)
		return true
	case <-ctx.Done():
		return false
	case <-done:
		return false
	}
}

func (u *subscription) run(ctx context.Context) {
	defer close(u.output)
	stop := context.AfterFunc(ctx, u.ring.Close)
	defer stop()
	for {
		e, err := u.ring.Take()
		if err != nil {
			return
		}
		d, _ := e.Value.(delivery)
		if !u.deliver(ctx, d.message()) {
			return
		}
	}
}
