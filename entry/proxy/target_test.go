package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConnectionLimit guards against more connections to a target than its limit, and against requests that wait for a
// connection forever.
func TestConnectionLimit(t *testing.T) {
	var open, peak atomic.Int64
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		current := open.Add(1)
		defer open.Add(-1)
		for highest := peak.Load(); current > highest && !peak.CompareAndSwap(highest, current); highest = peak.Load() {
		}
		for readRequest(c) == nil {
			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(c, okResponse)
		}
	})
	url, _ := newFixture(up.address).start(t, "a", nil)
	var callers sync.WaitGroup
	for range 40 {
		callers.Go(func() {
			got, err := call(t, "POST", url, "body", nil)
			assert.Check(t, err == nil && got.summary() == "200 1000 yes", "%v %v", got, err)
		})
	}
	callers.Wait()
	assert.Equal(t, peak.Load(), int64(4))
}

// TestLateResponse guards against a response that arrives after its attempt timeout and is returned for the next
// request.
func TestLateResponse(t *testing.T) {
	written := make(chan struct{})
	late := newScriptedUpstream(t, func(n int64, c net.Conn) {
		_ = readRequest(c)
		if n > 1 {
			_, _ = io.WriteString(c, okResponse)
			return
		}
		time.Sleep(250 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		close(written)
	})
	up := newFixedUpstream(t, okResponse)
	url, _ := newFixture(late.address, up.address).start(t, "a", nil)
	for range 2 {
		got, err := call(t, "GET", url, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.body, "ok")
		<-written
	}
	assert.Equal(t, late.requests.Load(), int64(2))
}

// slowReader waits before it returns its last part.
type slowReader struct {
	parts []string
	wait  time.Duration
}

func (s *slowReader) Read(data []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, io.EOF
	}
	if len(s.parts) == 1 {
		time.Sleep(s.wait)
	}
	n := copy(data, s.parts[0])
	s.parts[0] = s.parts[0][n:]
	if s.parts[0] == "" {
		s.parts = s.parts[1:]
	}
	return n, nil
}

// TestLeaseEndsDuringUpload guards against bytes of a long upload that are written after the lease has expired.
func TestLeaseEndsDuringUpload(t *testing.T) {
	received := make(chan string, 1)
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		text, _ := io.ReadAll(c)
		received <- string(text)
	})
	fx := newFixture(up.address)
	fx.lease = 200 * time.Millisecond
	url, _ := fx.start(t, "a", nil)
	body := &slowReader{[]string{strings.Repeat("b", 100<<10), strings.Repeat("late", 10<<10)}, 400 * time.Millisecond}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	assert.NilError(t, err)
	request.Header.Set("Ebony-Service", "board")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.Header.Get("Ebony-Code")+response.Header.Get("Ebony-Ran"), "3004unknown")
	assert.Assert(t, !strings.Contains(<-received, "late"))
}

// TestStalledCaller guards against a caller that does not read its response and occupies a slot forever.
func TestStalledCaller(t *testing.T) {
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
		_, _ = io.Copy(c, strings.NewReader(strings.Repeat("b", 100000000)))
	})
	fx := newFixture(up.address)
	fx.policy.DeadlineMs = 300
	url, _ := fx.start(t, "a", nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: board.test\r\n\r\n")
	assert.NilError(t, err)
	select {
	case <-fx.outcomes:
	case <-time.After(3 * time.Second):
		t.Fatal("the slot was not released")
	}
}

// TestSlotIsHeldUntilCancelledRequestEnds guards against overloading a target: the slot of a request that was given up
// was reused before the target had noticed.
func TestSlotIsHeldUntilCancelledRequestEnds(t *testing.T) {
	for name, test := range map[string]struct {
		// ignoresClose means that the target ignores the closed connection, so that only the deadline ends the request.
		ignoresClose bool
		// reset means that the network resets the connection without the target noticing.
		reset bool
		send  func(t *testing.T, url string, started chan struct{})
	}{
		"caller disconnected": {send: func(t *testing.T, url string, started chan struct{}) { cancelCall(t, url, "", "", started) }},
		"no response":         {send: func(t *testing.T, url string, _ chan struct{}) { _, _ = call(t, http.MethodGet, url, "", nil) }},
		"connection reset":    {ignoresClose: true, reset: true, send: func(t *testing.T, url string, _ chan struct{}) { _, _ = call(t, http.MethodPost, url, "", nil) }},
		"ignores close":       {ignoresClose: true, send: func(t *testing.T, url string, _ chan struct{}) { _, _ = call(t, http.MethodGet, url, "", nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			started := make(chan struct{})
			var ended atomic.Bool
			up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
				_ = readRequest(c)
				close(started)
				if test.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}
				// The proxy cancels by closing its side for writing; the target takes some time to stop.
				_, _ = io.Copy(io.Discard, c)
				time.Sleep(100 * time.Millisecond)
				ended.Store(true)
				if test.ignoresClose {
					time.Sleep(2 * time.Second)
				}
			})
			fx := newFixture(up.address)
			fx.policy.DeadlineMs = 800
			url, _ := fx.start(t, "a", nil)
			begin := fx.timer.Now()
			test.send(t, url, started)
			givenUp := <-fx.outcomes
			assert.Assert(t, givenUp.Abandoned, "%+v", givenUp)
			released := <-fx.outcomes
			assert.Assert(t, !released.Abandoned && ended.Load())
			if test.ignoresClose {
				assert.Assert(t, fx.timer.Now().Sub(begin) >= 800*time.Millisecond, "released before the deadline")
			}
		})
	}
}

// TestGivenUpRequestIsNotSentLater guards against a request that runs after it was given up: after an outage of the
// network path, the kernel delivered data that the target had not acknowledged, and the target ran the request in
// addition to those that had been given its slot.
func TestGivenUpRequestIsNotSentLater(t *testing.T) {
	ended := make(chan error, 1)
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		_, _ = io.Copy(io.Discard, c)
		time.Sleep(time.Second)
		// Only the first write to a connection that was closed without a reset succeeds.
		_, err := io.WriteString(c, okResponse)
		ended <- err
	})
	fx := newFixture(up.address)
	fx.policy.DeadlineMs = 300
	url, _ := fx.start(t, "a", nil)
	_, _ = call(t, http.MethodPost, url, "", nil)
	assert.ErrorContains(t, <-ended, "")
}

// TestResetMakesConnectionsOfSameAgeSuspect guards against one lost request for each kept-alive connection when the
// network resets all open connections.
func TestResetMakesConnectionsOfSameAgeSuspect(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	up := newScriptedUpstream(t, func(n int64, c net.Conn) {
		_ = readRequest(c)
		if n <= 2 {
			both.Done()
			both.Wait()
		}
		_, _ = io.WriteString(c, okResponse)
		_ = readRequest(c)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	fx := newFixture(up.address)
	fx.policy.DeadlineMs = 300
	url, _ := fx.start(t, "a", nil)
	post := func() string {
		got, err := call(t, http.MethodPost, url, "body", nil)
		assert.Check(t, err == nil)
		return got.summary()
	}
	var callers sync.WaitGroup
	callers.Go(func() { post() })
	callers.Go(func() { post() })
	callers.Wait()
	assert.Equal(t, post(), "502 4003 unknown")
	assert.Equal(t, post(), "200 1000 yes")
	for range 5 {
		<-fx.outcomes
	}
}
