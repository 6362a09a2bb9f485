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

// Guards against a forwarder that does not do what the tests of faults rely on.
func TestNetwork(t *testing.T) {
	n := fleet.NewNetwork(t)
	l, err := net.Listen("tcp", n.Join("b")+":0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			s, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(s, s) }()
		}
	}()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.Join("a"))}}
	s, err := dialer.Dial("tcp", n.Expose("b", l.Addr().String()))
	assert.NilError(t, err)
	defer func() { _ = s.Close() }()
	echo := func() time.Duration {
		started := time.Now()
		_, err := s.Write([]byte("x"))
		assert.NilError(t, err)
		_ = s.SetReadDeadline(started.Add(time.Second))
		if _, err = s.Read(make([]byte, 1)); err != nil {
			return time.Second
		}
		return time.Since(started)
	}
	assert.Assert(t, echo() < 100*time.Millisecond)
	n.Set("a", "b", fleet.Path{Delay: 55 * time.Millisecond})
	took := echo()
	assert.Assert(t, took >= 110*time.Millisecond && took < 250*time.Millisecond, "%v", took)
	n.SetOne("b", "a", fleet.Path{Silent: true})
	assert.Equal(t, echo(), time.Second)
	n.Set("a", "b", fleet.Path{})
	_ = s.SetReadDeadline(time.Now().Add(time.Second))
	_, err = io.ReadFull(s, make([]byte, 1))
	assert.NilError(t, err, "the late byte was lost")
	n.Set("a", "b", fleet.Path{Cut: true})
	_, err = s.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}
