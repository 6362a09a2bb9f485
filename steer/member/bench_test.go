package member

import (
	"fmt"
	"maps"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// designSize is the deployment size that the system is designed for: 690 hosts in 11 availability zones of 5 regions.
var designSize = [][]int{{63, 63, 63}, {63, 63}, {63, 63}, {63, 63}, {63, 60}}

// roles maps each role to one host that has it.
var roles = map[string]string{"exporter": "r0-z0-000", "plain": "r0-z0-062", "relay": "r0-z1-000"}

// BenchmarkTick measures one tick, of which there are 8 per second, and reports the payload bytes that a host sends per
// second.
func BenchmarkTick(b *testing.B) {
	f := newCluster(b, designSize...)
	f.run(updateIdleInterval)
	f.bytes = map[string]int{}
	const span = 2 * updateIdleInterval
	f.run(span)
	bytes := maps.Clone(f.bytes)
	for role, host := range roles {
		b.Run(role, func(b *testing.B) {
			m := f.members[host]
			b.ReportAllocs()
			// Messages are discarded, because delivering them would add the time of their receivers. renew keeps the
			// digests valid, because expiring ones would not be a steady state.
			f.discard = true
			for b.Loop() {
				f.now = f.now.Add(tickInterval)
				m.table.renew(f.now)
				m.tick()
			}
			b.ReportMetric(float64(bytes[host])/span.Seconds(), "payload_B/s")
		})
	}
}

// renew sets the receive times of all digests, lists and updates to now.
func (t *table) renew(now core.Instant) {
	for key, r := range t.digests {
		if r.receivedAt = now; r.confirmedAt != 0 {
			r.confirmedAt = now
		}
		t.digests[key] = r
	}
	for key, l := range t.lists {
		l.receivedAt = now
		t.lists[key] = l
	}
	for key, r := range t.updates {
		r.receivedAt = now
		t.updates[key] = r
	}
}

// BenchmarkMemory reports the heap of one membership table and the size of the response with all registrations.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{11, 173, 345, 690} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var heap, seed float64
			for b.Loop() {
				heap, seed = memory(b, n)
			}
			b.ReportMetric(heap, "heap_B")
			b.ReportMetric(seed, "all_registrations_B")
		})
	}
}

// memory returns the live heap of a table of n hosts and the size of the message that filled it.
func memory(b *testing.B, n int) (float64, float64) {
	b.Helper()
	endpoints = nil
	clock := &endpoint{cluster: &cluster{dials: map[string]bool{}, now: 1}}
	update := core.MemberUpdate{Version: int64(n)}
	for i := range n {
		update.Changes = append(update.Changes, core.HostChange{Host: newHost(i), Version: int64(i + 1)})
	}
	payload, err := msgpack.Marshal(update)
	assert.NilError(b, err)
	before := inUse()
	m := New(newHost(0), clock, clock, clock)
	m.handleUpdate("", payload)
	m.publish()
	heap := inUse() - before
	runtime.KeepAlive(m)
	return heap, float64(len(payload))
}

// newHost returns a host with all addresses and an incarnation of the usual length.
func newHost(i int) core.Host {
	address := fmt.Sprintf("10.%d.%d.%d:20000", i/4096, i/64%64, i%64)
	return core.Host{
		AdminAddress: address, EntryAddress: address, Host: fmt.Sprintf("entry-%04d", i), Incarnation: "01JFZ0000000000000000000",
		LinkAddress: address, Region: fmt.Sprintf("region-%d", i%5), RelayAddress: address, State: core.HostReady,
		SteerAddress: address, Zone: fmt.Sprintf("region-%d-a", i%5),
	}
}

// inUse returns the bytes of live heap objects.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}
