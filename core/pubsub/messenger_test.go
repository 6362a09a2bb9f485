package pubsub_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/links"
	"ebonyrouter.dev/core/pubsub"
	"ebonyrouter.dev/core/timer"
)

// Guards against a control message that is lost between two messengers or delivered to the handler of another topic.
func TestMessengerDelivers(t *testing.T) {
	clock, err := timer.NewSystem()
	assert.NilError(t, err)
	var managers []*links.Manager
	var messengers []*pubsub.Messenger
	received := make(chan string, 4)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	for range 2 {
		l, err := links.New(clock, zap.NewNop(), links.WithListen("127.0.0.1:0"))
		assert.NilError(t, err)
		m, err := pubsub.NewMessenger(l)
		assert.NilError(t, err)
		for _, topic := range []string{"a", "b"} {
			m.HandleMessage(topic, func(peer string, payload []byte) { received <- topic + " " + peer + " " + string(payload) })
		}
		go func() { done <- m.Run(ctx) }()
		managers = append(managers, l)
		messengers = append(messengers, m)
	}
	managers[0].Connect(managers[1].Address())
	for messengers[0].Send(managers[1].Address(), "b", []byte("hello")) != nil {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, <-received, "b "+managers[0].Address()+" hello")
	cancel()
	for _, l := range managers {
		assert.NilError(t, <-done)
		assert.NilError(t, l.Close())
	}
}
