package links_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ebonyrouter.dev/core/links"
	"ebonyrouter.dev/core/wire"
)

// BenchmarkIdleLinks reports the processor time that one end of 138 links spends on heartbeats and supervision. A region
// of the design size has 138 peers, and the limit for all control work of a node is 1.1% of a core. The other ends are
// bare connections that make the same system calls.
func BenchmarkIdleLinks(b *testing.B) {
	const peers, window = 138, 2 * time.Second
	hub := newBenchManager(b)
	sockets := make([]net.Conn, peers)
	heartbeat := frameBytes(b, wire.Frame{Kind: wire.KindHeartbeat})
	for i := range sockets {
		s, err := net.Dial("tcp", hub.Address())
		assert.NilError(b, err)
		defer func() { assert.Check(b, s.Close()) }()
		// The hub uses a connection from the first frame after the hello on.
		_, err = s.Write(append(helloFrame(b, ""), heartbeat...))
		assert.NilError(b, err)
		go func() { _, _ = io.Copy(io.Discard, s) }()
		sockets[i] = s
	}
	poll.WaitOn(b, condition(func() bool { return hub.Stats().Opened == peers }))
	var cpuTime time.Duration
	for b.Loop() {
		before := processorTime(b)
		for range window / links.HeartbeatInterval {
			for _, s := range sockets {
				_, err := s.Write(heartbeat)
				assert.NilError(b, err)
			}
			time.Sleep(links.HeartbeatInterval)
		}
		cpuTime += processorTime(b) - before
	}
	assert.Equal(b, hub.Stats().Unresponsive, int64(0))
	b.ReportMetric(100*float64(cpuTime)/float64(b.Elapsed())/2, "%core")
}

// BenchmarkRequest measures one request and its reply over an idle link.
func BenchmarkRequest(b *testing.B) {
	from, to := newBenchManager(b), newBenchManager(b)
	to.HandleRequest("echo", func(_ context.Context, _ string, payload []byte) ([]byte, error) { return payload, nil })
	from.Connect(to.Address())
	poll.WaitOn(b, condition(func() bool { return from.Alive(to.Address()) }))
	payload := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		_, err := from.Request(context.Background(), to.Address(), "echo", payload)
		assert.NilError(b, err)
	}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func newBenchManager(b *testing.B) *links.Manager {
	b.Helper()
	return newManager(b, systemTimer(b))
}
