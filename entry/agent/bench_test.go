package agent

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/core/wire"
)

// fakeLinks counts the bytes that are sent and keeps the last message.
type fakeLinks struct {
	core.Links
	bytes int
	last  []byte
}

func (s *fakeLinks) Alive(string) bool { return true }

func (s *fakeLinks) HandleMessage(string, core.MessageHandler) {}

func (s *fakeLinks) HandleRequest(string, core.RequestHandler) {}

func (s *fakeLinks) Send(_, _ string, payload []byte) error {
	s.bytes += len(payload)
	s.last = payload
	return nil
}

// fakeLease is the lease of a host that owns the objects in owned.
type fakeLease struct {
	Lease
	owned map[string]bool
}

func (s fakeLease) Owns(object string) (core.Instant, bool) { return 1, s.owned[object] }

// fakeAdopter accepts all documents.
type fakeAdopter struct{}

func (fakeAdopter) AdoptOwnership(core.Ownership) {}

func (fakeAdopter) AdoptSettings(core.SettingsUpdate) error { return nil }

// newTestAgent returns an agent that has the ownership document of a region with 138 hosts and 4 targets per host. The
// first host is its own.
func newTestAgent(b testing.TB, links core.Links) *Agent {
	settings := config.NewHolder()
	assert.NilError(b, settings.Set(&core.Snapshot{Head: core.SettingsHead{Revision: 1}}))
	document := core.Ownership{
		Epoch: 1, Members: map[string]core.Member{}, Objects: map[string]core.ObjectOwner{}, Region: "region-1",
	}
	owned := map[string]bool{}
	for i := range 138 {
		host := fmt.Sprintf("entry-%04d", i)
		document.Members[host] = core.Member{Host: host, Incarnation: "01JFZ0000000000000000000"}
		for j := range 4 {
			object := core.TargetObject("statusboard", fmt.Sprintf("statusboard-%04d", i*4+j))
			document.Objects[object] = core.ObjectOwner{Host: host, Incarnation: "01JFZ0000000000000000000", Since: 7}
			owned[object] = i == 0
		}
	}
	a := New(Config{
		Adopter:      fakeAdopter{},
		InFlight:     func() int { return 0 },
		InUse:        func() map[string]int { return nil },
		Lease:        fakeLease{owned: owned},
		Links:        links,
		Log:          zap.NewNop(),
		Messages:     links,
		Registration: func() core.Host { return core.Host{Host: "entry-0000", Region: "region-1"} },
		Settings:     settings,
		Timer:        timer.NewManual(),
	}, &Hosts{})
	content, err := json.Marshal(document)
	assert.NilError(b, err)
	_, err = a.keeper.Offer(core.Document{Content: content, Name: core.KeyOwnershipPrefix + "region-1", Version: 1})
	assert.NilError(b, err)
	return a
}

// BenchmarkStatus measures the time and size of one status message to the steer. A host sends 2 a second.
func BenchmarkStatus(b *testing.B) {
	links := &fakeLinks{}
	a := newTestAgent(b, links)
	b.ReportAllocs()
	for b.Loop() {
		a.sendStatus()
	}
	b.ReportMetric(float64(links.bytes)/float64(b.N), "B/message")
}

// BenchmarkLoadReport measures the time and size of one load report to 16 neighbours. A busy host sends up to 10 a second,
// an idle one sends one every 5 s.
func BenchmarkLoadReport(b *testing.B) {
	links := &fakeLinks{}
	a := newTestAgent(b, links)
	for i := range maxNeighbours {
		a.loadReceivers = append(a.loadReceivers, fmt.Sprint(i))
	}
	for name, load := range map[string]core.ServiceLoad{
		"busy": {FreeSlots: 30, Queued: 300, Slots: 36, WaitMs: 300},
		"idle": {FreeSlots: 36, Slots: 36},
	} {
		b.Run(name, func(b *testing.B) {
			links.bytes = 0
			services := map[string]core.ServiceLoad{"bookings": load, "records": load, "statusboard": load}
			for b.Loop() {
				a.sendLoad(services)
			}
			b.ReportMetric(float64(links.bytes)/float64(b.N), "B/round")
		})
	}
}

// BenchmarkHosts measures the size of a list of hosts and the time to encode and receive it.
func BenchmarkHosts(b *testing.B) {
	for _, n := range []int{11, 173, 345, 690} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var update core.HostsUpdate
			for i := range n {
				address := fmt.Sprintf("10.0.%d.%d:20000", i/64, i%64)
				update.Hosts = append(update.Hosts, core.Host{
					AdminAddress: address, EntryAddress: address, Host: fmt.Sprintf("entry-%04d", i),
					Incarnation: "01JFZ0000000000000000000", LinkAddress: address, Region: "region-1", RelayAddress: address,
					State: core.HostReady, SteerAddress: address, Zone: "region-1-a",
				})
			}
			a := newTestAgent(b, &fakeLinks{})
			var size int
			started := time.Now()
			for b.Loop() {
				payload, err := wire.Encode(update)
				assert.NilError(b, err)
				size = len(payload)
				a.handleHosts("", payload)
			}
			b.ReportMetric(float64(time.Since(started).Microseconds())/float64(b.N), "us")
			b.ReportMetric(float64(size), "hosts_B")
		})
	}
}
