package lookup_test

import (
	"bytes"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/entry/lookup"
)

const mebibyte = 1 << 20

// distributions holds the value of the parameter clustered of randomBlocks by the name of the distribution.
var distributions = map[string]bool{"clustered": true, "scattered": false}

// BenchmarkLookup measures one lookup at the design size; target: 200 ns and no allocation.
func BenchmarkLookup(b *testing.B) {
	for name, clustered := range distributions {
		b.Run(name, func(b *testing.B) {
			list := randomBlocks(designBlocks, clustered)
			r := newRanker(b, newFixture(designHosts), newSites(designSites, 100), list)
			clients := clientsOf(list)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, err := r.Lookup("bookings", clients[i&(len(clients)-1)]); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// BenchmarkSetBlock measures the change of one block at the design size.
func BenchmarkSetBlock(b *testing.B) {
	for name, clustered := range distributions {
		b.Run(name, func(b *testing.B) {
			list := randomBlocks(designBlocks, clustered)
			r := newRanker(b, newFixture(designHosts), newSites(designSites, 100), list)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				c := list[i*7919%len(list)]
				c.Site = uint8(i % designSites)
				assert.NilError(b, r.SetBlock(c))
				i++
			}
		})
	}
}

// BenchmarkChanges measures the change of a tenth of the blocks, which are adjacent, at the design size.
func BenchmarkChanges(b *testing.B) {
	list := randomBlocks(designBlocks, true)
	slices.SortFunc(list, blocks.Compare)
	t := build(b, encode(b, newSites(designSites, 100), list))
	old := list[:designBlocks/10]
	changed := slices.Clone(old)
	for i := range changed {
		changed[i].Site = (changed[i].Site + 1) % designSites
	}
	b.ReportAllocs()
	for b.Loop() {
		t.WithChanges(old, changed)
	}
}

// BenchmarkRank measures the computation of all rankings after a change of settings or hosts at the design size.
func BenchmarkRank(b *testing.B) {
	f := newFixture(designHosts)
	r := newRanker(b, f, newSites(designSites, 100), randomBlocks(1000, true))
	for b.Loop() {
		s := *f.snapshot
		f.snapshot = &s
		assert.NilError(b, r.Refresh())
	}
}

// BenchmarkHTTP measures lookups over one kept-alive connection on the loopback. With -cpu 1 the client runs on
// the same core, so a server with a core of its own handles more requests.
func BenchmarkHTTP(b *testing.B) {
	list := randomBlocks(designBlocks, true)
	r := newRanker(b, newFixture(designHosts), newSites(designSites, 100), list)
	server := httptest.NewServer(r.Handler())
	defer server.Close()
	socket, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(b, err)
	defer func() { assert.Check(b, socket.Close()) }()
	request := []byte("GET /v1/lookup?service=bookings&client=" + list[0].Prefix.Addr().String() + " HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err = socket.Write(request)
	assert.NilError(b, err)
	response := make([]byte, 4096)
	n, err := socket.Read(response)
	assert.NilError(b, err)
	assert.Assert(b, bytes.HasPrefix(response, []byte("HTTP/1.1 200")))
	// The requests are sent in batches; all responses have the same length.
	const batch = 64
	requests := bytes.Repeat(request, batch)
	responses := make([]byte, batch*n)
	b.ReportAllocs()
	for b.Loop() {
		_, err = socket.Write(requests)
		assert.NilError(b, err)
		_, err = io.ReadFull(socket, responses)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "lookups/s")
}

// BenchmarkMemory reports the heap of the table and its rankings after a garbage collection, and the peak heap during the
// build, both relative to the heap before the build; targets: 24 MB and 64 MB.
func BenchmarkMemory(b *testing.B) {
	for name, clustered := range distributions {
		b.Run(name, func(b *testing.B) {
			sites := newSites(designSites, 100)
			parts := encode(b, sites, randomBlocks(designBlocks, clustered))
			var ranker *lookup.Ranker
			var resident, peak, size int64
			for b.Loop() {
				ranker = nil
				debug.FreeOSMemory()
				before := heap()
				f := newFixture(designHosts)
				peakHeap := watchHeap(func() {
					ranker = lookup.NewRanker(nopLog, f, f)
					assert.NilError(b, ranker.Refresh())
					assert.NilError(b, ranker.SetTable(build(b, parts)))
				})
				debug.FreeOSMemory()
				resident = heap() - before
				peak = peakHeap - before
				size = int64(ranker.Table().Len())
			}
			runtime.KeepAlive(parts)
			b.ReportMetric(float64(resident)/mebibyte, "resident-MB")
			b.ReportMetric(float64(peak)/mebibyte, "peak-MB")
			b.ReportMetric(float64(resident)/float64(size), "B/block")
			b.ReportMetric(float64(len(parts.Parts)), "parts")
		})
	}
}

// clientsOf returns 65,536 addresses that are in blocks of the list.
func clientsOf(list []blocks.Block) []netip.Addr {
	clients := make([]netip.Addr, 1<<16)
	for i := range clients {
		clients[i] = list[i*7919%len(list)].Prefix.Addr().Next()
	}
	return clients
}

// heap returns the bytes in all heap spans in use, including their unused parts.
func heap() int64 {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/unused:bytes"}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64() + s[1].Value.Uint64())
}

// watchHeap returns the peak heap while work runs, sampled every millisecond.
func watchHeap(work func()) int64 {
	var peakHeap atomic.Int64
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			peakHeap.Store(max(peakHeap.Load(), heap()))
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	work()
	close(stop)
	<-done
	return peakHeap.Load()
}
