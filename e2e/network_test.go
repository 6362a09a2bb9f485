package e2e_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/fleet"
)

// Guards against a test network whose latency and faults differ from what the fault tests rely on.
func TestNetwork(t *testing.T) {
	n := fleet.NewNetwork(t)
	l, err := net.Listen("tcp", n.AddEndpoint("b")+":0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			accepted, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(accepted, accepted) }()
		}
	}()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.AddEndpoint("a"))}}
	conn, err := dialer.Dial("tcp", n.Expose("b", l.Addr().String()))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	echo := func() time.Duration {
		started := time.Now()
		_, err := conn.Write([]byte("x"))
		assert.NilError(t, err)
		_ = conn.SetReadDeadline(started.Add(time.Second))
		if _, err = conn.Read(make([]byte, 1)); err != nil {
			return time.Second
		}
		return time.Since(started)
	}
	assert.Assert(t, echo() < 100*time.Millisecond)
	n.SetPaths("a", "b", fleet.Path{Delay: 55 * time.Millisecond})
	rtt := echo()
	assert.Assert(t, rtt >= 110*time.Millisecond && rtt < 250*time.Millisecond, "%v", rtt)
	n.SetPath("b", "a", fleet.Path{Blackhole: true})
	assert.Equal(t, echo(), time.Second)
	n.SetPaths("a", "b", fleet.Path{})
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, err = io.ReadFull(conn, make([]byte, 1))
	assert.NilError(t, err, "the delayed byte was lost")
	n.SetPaths("a", "b", fleet.Path{Reset: true})
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}
