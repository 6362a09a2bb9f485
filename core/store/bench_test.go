package store_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/store/server"
)

// documentBytes is the size of the ownership document of 138 hosts.
const documentBytes = 92_000

// countingListener counts the bytes that its connections send.
type countingListener struct {
	net.Listener
	sent atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, sent: &l.sent}, err
}

// countingConn adds the number of sent bytes to a counter.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// BenchmarkRead reports the time, the allocations and the response bytes of reading an unchanged ownership document, in
// full and conditionally.
func BenchmarkRead(b *testing.B) {
	m := store.NewMemory()
	version, err := m.Put(b.Context(), "k", []byte(strings.Repeat("x", documentBytes)), 0)
	assert.NilError(b, err)
	test := httptest.NewUnstartedServer(http.HandlerFunc(server.New(m, zap.NewNop()).ServeHTTP))
	listener := &countingListener{Listener: test.Listener}
	test.Listener = listener
	test.Start()
	defer test.Close()
	c := store.NewClient(test.Listener.Addr().String())
	defer c.Close()
	for name, knownVersion := range map[string]int64{"whole": 0, "if changed": version} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			before := listener.sent.Load()
			for b.Loop() {
				_, err := c.GetChanged(b.Context(), "k", knownVersion)
				assert.Equal(b, errors.Is(err, core.ErrUnchanged), knownVersion == version)
			}
			b.ReportMetric(float64(listener.sent.Load()-before)/float64(b.N), "answer_B")
		})
	}
}
