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

// silentListener stands for a device between client and store that can lose track of the open connections.
type silentListener struct {
	net.Listener
	// epoch grows when connections go silent; those of an earlier one deliver nothing more.
	epoch  atomic.Int64
	opened atomic.Int64
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.opened.Add(1)
	return &silentConn{Conn: c, epoch: l.epoch.Load(), listener: l}, err
}

type silentConn struct {
	net.Conn
	epoch    int64
	listener *silentListener
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.epoch == c.listener.epoch.Load() {
			return n, err
		}
	}
}

// Guards against one lost call for each kept connection: when the connections to the store have gone silent, the first
// call that finds out must keep all later ones from them.
func TestSilentConnections(t *testing.T) {
	const connections = 8
	memory := store.NewMemory()
	upstream := httptest.NewUnstartedServer(server.New(memory, zap.NewNop()))
	listener := &silentListener{Listener: upstream.Listener}
	upstream.Listener = listener
	upstream.Start()
	defer upstream.Close()
	client := store.NewClient(upstream.Listener.Addr().String(), store.WithCallTimeout(200*time.Millisecond))
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
	listener.epoch.Add(1)
	lost := 0
	for ; lost < connections; lost++ {
		if _, err := client.Get(t.Context(), "k"); err == nil {
			break
		}
	}
	assert.Equal(t, lost, 1, "calls lost before a new connection was used")
}
