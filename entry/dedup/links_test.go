package dedup

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"ebonyrouter.dev/core"
)

// network simulates the links between several hosts. The name of a host is also its link address. Faults are drawn from a
// seeded random generator.
type network struct {
	delay time.Duration
	down  bool
	// faults loses requests and replies; lateRequests also delivers requests after the sender has given up.
	faults   bool
	handlers map[string]map[string]core.RequestHandler
	hosts    []core.Host
	// late tracks the delivery of late requests.
	late         sync.WaitGroup
	lateRequests bool
	mu           sync.Mutex
	rng          *rand.Rand
}

func newNetwork(seed uint64, hosts int) *network {
	n := &network{handlers: map[string]map[string]core.RequestHandler{}, rng: rand.New(rand.NewPCG(seed, 2))}
	for i := range hosts {
		name := string(rune('a' + i))
		n.handlers[name] = map[string]core.RequestHandler{}
		n.hosts = append(n.hosts, core.Host{Host: name, LinkAddress: name, Region: "r", State: core.HostReady})
	}
	return n
}

// Current implements core.SettingsSource.Current.
func (*network) Current() *core.Snapshot { return nil }

// Hosts implements core.HostView.Hosts.
func (n *network) Hosts() []core.Host { return n.hosts }

// join returns a Forwarder of the host with this index, connected to the network.
func (n *network) join(host int, local *Deduper, timer core.Timer) *Forwarder {
	name := n.hosts[host].Host
	return NewForwarder(ForwarderConfig{
		Host: name, Hosts: n, Links: &fakeLinks{name: name, network: n}, Local: local, Log: zap.NewNop(), Region: "r",
		Settings: n, Timer: timer,
	})
}

// dice returns a random number below sides, or -1 without faults.
func (n *network) dice(sides int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.faults {
		return -1
	}
	return n.rng.IntN(sides)
}

// fakeLinks implements core.Links for one host of a network.
type fakeLinks struct {
	core.Links
	name    string
	network *network
}

// Alive implements core.Links.Alive.
func (l *fakeLinks) Alive(string) bool { return !l.network.down }

// Connect implements core.Links.Connect.
func (*fakeLinks) Connect(string) {}

// HandleRequest implements core.Links.HandleRequest.
func (l *fakeLinks) HandleRequest(topic string, handler core.RequestHandler) {
	l.network.handlers[l.name][topic] = handler
}

// Request implements core.Links.Request.
func (l *fakeLinks) Request(ctx context.Context, address, topic string, payload []byte) ([]byte, error) {
	n := l.network
	time.Sleep(n.delay)
	handler := n.handlers[address][topic]
	switch n.dice(6) {
	case 0:
		return nil, core.ErrLinkDown
	case 1: // the reply is lost
		_, _ = handler(ctx, l.name, payload)
		return nil, core.ErrNoReply
	case 2: // the sender gives up before the writer has responded, or before it has received the request
		if !n.lateRequests {
			return nil, core.ErrNoReply
		}
		delay := time.Duration(n.dice(3000)) * time.Microsecond
		n.late.Go(func() {
			time.Sleep(delay)
			_, _ = handler(context.WithoutCancel(ctx), l.name, payload)
		})
		return nil, core.ErrNoReply
	case 3: // the writer's time limit ends before the store responds
		ended, cancel := context.WithCancel(ctx)
		cancel()
		return handler(ended, l.name, payload)
	default:
		return handler(ctx, l.name, payload)
	}
}
