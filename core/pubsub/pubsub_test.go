package pubsub_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/links"
	"ebonyrouter.dev/core/pubsub"
	"ebonyrouter.dev/core/timer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// pair is a publisher and a subscriber that receives what the publisher sends to destination.
type pair struct {
	destination string
	publisher   message.Publisher
	subscriber  message.Subscriber
}

func (p pair) publish(t *testing.T, topic string, bodies ...string) {
	t.Helper()
	for _, b := range bodies {
		m := message.NewMessage("id-"+b, []byte(b))
		m.Metadata[pubsub.MetadataDestination] = p.destination
		m.Metadata["key"] = "value"
		assert.Check(t, p.publisher.Publish(topic, m))
	}
}

// implementations creates a pair with watermill's own in-memory implementation, for comparison, and with this package.
var implementations = map[string]func(testing.TB) pair{
	"gochannel": func(testing.TB) pair {
		g := gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{})
		return pair{publisher: g, subscriber: g}
	},
	"links": func(t testing.TB) pair { return newPair(t) },
}

// Guards against lost, changed or reordered messages and against a message that is delivered before the previous one is
// acknowledged.
func TestContractDelivery(t *testing.T) {
	for name, create := range implementations {
		t.Run(name, func(t *testing.T) {
			p := create(t)
			first, err := p.subscriber.Subscribe(t.Context(), "topic")
			assert.NilError(t, err)
			second, err := p.subscriber.Subscribe(t.Context(), "topic")
			assert.NilError(t, err)
			published := publishAsync(t, p, "a", "b", "c")
			for _, want := range []string{"a", "b", "c"} {
				for _, c := range []<-chan *message.Message{first, second} {
					m := <-c
					assert.Equal(t, string(m.Payload), want)
					assert.Equal(t, m.UUID, "id-"+want)
					assert.Equal(t, m.Metadata["key"], "value")
					select {
					case early := <-c:
						t.Fatalf("message %s was delivered before the Ack of %s", early.Payload, want)
					case <-time.After(5 * time.Millisecond):
					}
					assert.NilError(t, m.Context().Err())
					m.Ack()
					<-m.Context().Done()
				}
			}
			<-published
			assert.NilError(t, p.subscriber.Close())
			assert.NilError(t, p.publisher.Close())
		})
	}
}

// Guards against output channels that stay open after Close or cancellation, and against use after Close.
func TestContractClose(t *testing.T) {
	for name, create := range implementations {
		t.Run(name, func(t *testing.T) {
			p := create(t)
			ctx, cancel := context.WithCancel(t.Context())
			cancelled, err := p.subscriber.Subscribe(ctx, "topic")
			assert.NilError(t, err)
			cancel()
			_, open := <-cancelled
			assert.Assert(t, !open)
			pending, err := p.subscriber.Subscribe(t.Context(), "topic")
			assert.NilError(t, err)
			published := publishAsync(t, p, "a")
			<-pending
			assert.NilError(t, p.subscriber.Close())
			<-published
			_, open = <-pending
			assert.Assert(t, !open)
			assert.NilError(t, p.publisher.Close())
			_, err = p.subscriber.Subscribe(t.Context(), "topic")
			assert.Assert(t, err != nil)
			assert.Assert(t, p.publisher.Publish("topic", message.NewMessage("x", nil)) != nil)
		})
	}
}

// Guards against a control message that is redelivered after a Nack, and against a slow subscription that keeps its oldest
// messages on overflow.
func TestNackAndOverflow(t *testing.T) {
	p := newPair(t, pubsub.WithRingSize(2))
	s, _ := p.subscriber.(*pubsub.Subscriber)
	c, err := s.Subscribe(t.Context(), "topic")
	assert.NilError(t, err)
	p.publish(t, "topic", "0")
	m := <-c
	for i := 1; i < 20; i++ {
		p.publish(t, "topic", strconv.Itoa(i))
	}
	p.publish(t, "other", "x")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Stats().Dropped == 17 {
			return poll.Success()
		}
		return poll.Continue("dropped %d", s.Stats().Dropped)
	})
	m.Nack()
	for _, want := range []string{"18", "19"} {
		m = <-c
		assert.Equal(t, string(m.Payload), want)
		m.Ack()
	}
	assert.Equal(t, s.Stats().Nacked, int64(1))
	assert.ErrorContains(t, p.publisher.Publish("topic", message.NewMessage("x", nil)), pubsub.MetadataDestination)
	assert.NilError(t, s.Close())
}

// BenchmarkRouterAgainstSend reports the latency and the allocations of one message through watermill's Router and through
// a handler of core.Links, and their ratios.
func BenchmarkRouterAgainstSend(b *testing.B) {
	p := newPair(b)
	receiver, sender := connectedManagers(b)
	received := make(chan struct{}, 1)
	receiver.HandleMessage("direct", func(string, []byte) { received <- struct{}{} })
	r, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	assert.NilError(b, err)
	r.AddConsumerHandler("handler", "topic", p.subscriber, func(*message.Message) error {
		received <- struct{}{}
		return nil
	})
	go func() { _ = r.Run(context.Background()) }()
	<-r.Running()
	payload := make([]byte, 200)
	send := func() {
		assert.NilError(b, sender.Send(receiver.Address(), "direct", payload))
		<-received
	}
	route := func() {
		m := message.NewMessage(watermill.NewUUID(), payload)
		m.Metadata[pubsub.MetadataDestination] = p.destination
		assert.NilError(b, p.publisher.Publish("topic", m))
		<-received
	}
	var direct, routed cost
	for b.Loop() {
		direct.measure(send)
		routed.measure(route)
	}
	assert.NilError(b, r.Close())
	direct.report(b, "direct")
	routed.report(b, "router")
	b.ReportMetric(float64(routed.elapsed)/float64(direct.elapsed), "latency-ratio")
	b.ReportMetric(float64(routed.mallocs)/float64(direct.mallocs), "allocs-ratio")
}

func publishAsync(t *testing.T, p pair, bodies ...string) <-chan struct{} {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.publish(t, "topic", bodies...)
	}()
	return done
}

// connectedManagers returns a receiver and a sender that is connected to it.
func connectedManagers(t testing.TB) (receiver, sender *links.Manager) {
	t.Helper()
	clock, err := timer.NewSystem()
	assert.NilError(t, err)
	var both [2]*links.Manager
	for i := range both {
		m, err := links.New(clock, zap.NewNop(), links.WithListen("127.0.0.1:0"))
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, m.Close()) })
		both[i] = m
	}
	receiver, sender = both[0], both[1]
	sender.Connect(receiver.Address())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if sender.Alive(receiver.Address()) {
			return poll.Success()
		}
		return poll.Continue("not connected")
	})
	return receiver, sender
}

func newPair(t testing.TB, options ...pubsub.Option) pair {
	t.Helper()
	receiver, sender := connectedManagers(t)
	var l core.Links = receiver
	return pair{
		destination: receiver.Address(),
		publisher:   pubsub.NewPublisher(sender),
		subscriber:  pubsub.NewSubscriber(l, options...),
	}
}
