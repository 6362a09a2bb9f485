package relay_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/relay"
)

const (
	kind   = "servers"
	maxAge = 2600 * time.Millisecond
	// step is the time by which the tests move the clock.
	step = 10 * time.Millisecond
)

// zone is a set of hosts on one manual clock whose links call the handlers of each other.
type zone struct {
	clock    *timer.Manual
	handlers map[string]core.RequestHandler
	mutex    sync.Mutex
	// paused and killed hold the hosts that receive requests without a reply, and those without a link.
	paused, killed map[string]bool
	// relays is what each host takes for the relays of the zone.
	relays map[string][]string
	hosts  map[string]*relay.Relay
	// delay holds back the replies of all hosts.
	delay time.Duration
	tasks sync.WaitGroup
}

func newZone(t *testing.T, hosts ...string) *zone {
	z := &zone{
		clock: timer.NewManual(), handlers: map[string]core.RequestHandler{}, paused: map[string]bool{}, killed: map[string]bool{},
		relays: map[string][]string{}, hosts: map[string]*relay.Relay{},
	}
	for _, name := range hosts {
		z.relays[name] = hosts[:1]
		z.start(name)
	}
	t.Cleanup(z.tasks.Wait)
	return z
}

// start starts the process of a host with empty memory.
func (z *zone) start(name string) {
	z.hosts[name] = relay.New(relay.Config{
		Links: simLinks{nil, name, z}, Log: zap.NewNop(), MaxAge: maxAge, Self: name, Timer: z.clock,
		Unchanged: func(era int64) []core.UnchangedKind {
			return []core.UnchangedKind{{Kind: "other", After: 1, AsOf: era + 1}}
		},
		Relays: func() []string { z.mutex.Lock(); defer z.mutex.Unlock(); return slices.Clone(z.relays[name]) },
	}, kind)
}

// record records a linearizable response of the store at a host.
func (z *zone) record(host string, after, asOf, era int64, names ...string) {
	z.hosts[host].Record(kind, &relay.Response{After: after, AsOf: asOf, Changes: changes(names...), CurrentAt: z.clock.Now(), Era: era})
}

// result is what a Watch returned, and how long it took.
type result struct {
	core.StoreChanges
	err  error
	took time.Duration
}

// watch starts a Watch of a host.
func (z *zone) watch(ctx context.Context, host string, after, era int64) <-chan result {
	c, started := make(chan result, 1), z.clock.Now()
	z.tasks.Go(func() {
		reply, err := z.hosts[host].Watch(ctx, kind, after, era)
		c <- result{reply, err, z.clock.Now().Sub(started)}
	})
	return c
}

// wait moves the clock until the Watch has ended, for 5 s at most.
func (z *zone) wait(t *testing.T, c <-chan result) result {
	t.Helper()
	for range 500 {
		select {
		case got := <-c:
			return got
		case <-time.After(2 * time.Millisecond):
			z.clock.Advance(step)
		}
	}
	t.Fatal("the watch did not end")
	return result{}
}

func changes(names ...string) []core.StoreChange {
	var all []core.StoreChange
	for _, name := range names {
		all = append(all, core.StoreChange{Object: []byte(name)})
	}
	return all
}

// simLinks carries requests between the hosts of a zone.
type simLinks struct {
	core.Links
	self string
	zone *zone
}

func (s simLinks) HandleRequest(_ string, handler core.RequestHandler) {
	s.zone.mutex.Lock()
	defer s.zone.mutex.Unlock()
	s.zone.handlers[s.self] = handler
}

func (s simLinks) Request(ctx context.Context, address, _ string, payload []byte) ([]byte, error) {
	z := s.zone
	z.mutex.Lock()
	handler, paused, killed, delay := z.handlers[address], z.paused[address], z.killed[address], z.delay
	z.mutex.Unlock()
	if killed {
		return nil, core.ErrLinkDown
	}
	if !paused {
		body, err := handler(ctx, s.self, payload)
		if delay == 0 {
			return body, err
		}
		select {
		case <-z.clock.After(delay):
			return body, err
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return nil, errors.Annotate(errors.WithType(ctx.Err(), core.ErrNoReply), "no reply")
}
