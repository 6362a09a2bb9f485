package store_test

import (
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/store/server"
)

// stallingListener simulates a device between client and store that can lose its state of the open connections.
type stallingListener struct {
	net.Listener
	// generation is raised to make all open connections unresponsive: those of an earlier generation deliver no more bytes.
	generation atomic.Int64
	opened     atomic.Int64
}

func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.opened.Add(1)
	return &stallingConn{Conn: c, generation: l.generation.Load(), listener: l}, err
}

// stallingConn is a connection of a stallingListener; it discards what it reads once its generation has passed.
type stallingConn struct {
	net.Conn
	generation int64
	listener   *stallingListener
}

func (c *stallingConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.generation == c.listener.generation.Load() {
			return n, err
		}
	}
}

// Guards against one timed-out call for each idle connection. When the connections to the store have become unresponsive,
// the first call that times out must make all later calls use new connections.
func TestUnresponsiveConnections(t *testing.T) {
	const connections = 8
	memory := store.NewMemory()
	test := httptest.NewUnstartedServer(server.New(memory, zap.NewNop()))
	listener := &stallingListener{Listener: test.Listener}
	test.Listener = listener
	test.Start()
	defer test.Close()
	client := store.NewClient(test.Listener.Addr().String(), store.WithCallTimeout(200*time.Millisecond))
	defer client.Close()
	put(t, client, "k", "1", 0)
	memory.SetFaults(store.Faults{SlowMs: 50})
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { _, _ = client.Get(t.Context(), "k") })
	}
	calls.Wait()
	memory.SetFaults(store.Faults{})
	assert.Assert(t, listener.opened.Load() >= connections)
	listener.generation.Add(1)
	timedOut := 0
	for ; timedOut < connections; timedOut++ {
		if _, err := client.Get(t.Context(), "k"); err == nil {
			break
		}
	}
	assert.Equal(t, timedOut, 1, "calls that timed out before a new connection was used")
}
