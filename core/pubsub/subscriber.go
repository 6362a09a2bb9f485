package pubsub

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/juju/errors"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/ring"
	"ebonyrouter.dev/core/wire"
)

var _ message.Subscriber = (*Subscriber)(nil)

const defaultRingSize = 256

// Subscriber receives watermill messages from links.
type Subscriber struct {
	cancel context.CancelFunc
	closed bool
	done   <-chan struct{}
	// dropped counts the dropped messages of subscriptions that have ended.
	dropped  int64
	invalid  atomic.Int64
	links    core.Links
	mu       sync.RWMutex
	nacked   atomic.Int64
	ringSize int
	tasks    sync.WaitGroup
	topics   map[string][]*subscription
}

// NewSubscriber returns a subscriber over links; the caller closes links after the subscriber.
func NewSubscriber(links core.Links, options ...Option) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Subscriber{
		cancel:   cancel,
		done:     ctx.Done(),
		links:    links,
		ringSize: defaultRingSize,
		topics:   map[string][]*subscription{},
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Close implements message.Subscriber.Close.
func (s *Subscriber) Close() error {
	s.mu.Lock()
	s.closed = true
	for _, subscriptions := range s.topics {
		for _, u := range subscriptions {
			u.ring.Close()
		}
	}
	s.mu.Unlock()
	s.cancel()
	s.tasks.Wait()
	return nil
}

// Stats returns the counters, including those of active subscriptions.
func (s *Subscriber) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	dropped := s.dropped
	for _, subscriptions := range s.topics {
		for _, u := range subscriptions {
			dropped += u.ring.Stats().Dropped
		}
	}
	return Stats{Dropped: dropped, Invalid: s.invalid.Load(), Nacked: s.nacked.Load()}
}

// Subscribe implements message.Subscriber.Subscribe; every subscription of a topic receives each message.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errors.Trace(ErrClosed)
	}
	u := &subscription{
		output:     make(chan *message.Message),
		ring:       ring.New(s.ringSize, ring.RuleDropOldest),
		subscriber: s,
	}
	if _, registered := s.topics[topic]; !registered {
		s.links.HandleMessage(topic, func(peer string, payload []byte) { s.receive(topic, peer, payload) })
	}
	s.topics[topic] = append(s.topics[topic], u)
	s.tasks.Go(func() {
		u.run(ctx)
		s.remove(topic, u)
	})
	return u.output, nil
}

// receive queues a message for all subscriptions of topic without blocking.
func (s *Subscriber) receive(topic, peer string, payload []byte) {
	var e envelope
	if err := wire.Decode(payload, &e); err != nil {
		s.invalid.Add(1)
		return
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, u := range s.topics[topic] {
		_ = u.ring.Put(ring.Entry{Droppable: true, Value: delivery{envelope: e, peer: peer}})
	}
}

func (s *Subscriber) remove(topic string, u *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = slices.DeleteFunc(s.topics[topic], func(o *subscription) bool { return o == u })
	s.dropped += u.ring.Stats().Dropped
}
