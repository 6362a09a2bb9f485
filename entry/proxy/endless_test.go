package proxy

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessResponse guards against an upstream that sends bytes without end, in a head or a body, until its connection is
// closed: the caller must not get a success, the slot must be free at the deadline, the upstream must count as failed, and only
// a bounded part of an endless head may be read.
func TestEndlessResponse(t *testing.T) {
	const deadline = 400 * time.Millisecond
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		start, repeated string
		// pause is the time between two parts.
		pause time.Duration
		// streamed means that a body may be read for as long as it comes.
		streamed bool
	}{
		"bytes that are no response":    {"", "xxxxxxxx", 0, false},
		"status line":                   {"HTTP/1.1 200 ", "xxxxxxxx", 0, false},
		"header line":                   {head + "X: ", "xxxxxxxx", 0, false},
		"header lines":                  {head, "X: y\r\n", 0, false},
		"header line, a byte at a time": {head + "X: ", "x", time.Millisecond, false},
		"informational responses":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, false},
		"chunk size":                    {chunked, "1", 0, false},
		"chunk extension":               {chunked + "1;", "xxxxxxxx", 0, false},
		"trailers":                      {chunked + "0\r\n", "X: y\r\n", 0, false},
		"chunks":                        {chunked, "1\r\na\r\n", time.Millisecond, true},
		"body without length":           {head + "\r\n", "a", time.Millisecond, true},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
				_ = readRequest(c)
				part := []byte(strings.Repeat(k.repeated, 512))
				if k.pause > 0 {
					part = []byte(k.repeated)
				}
				_, err := io.WriteString(c, k.start)
				for err == nil {
					var n int
					n, err = c.Write(part)
					sent.Add(int64(n))
					time.Sleep(k.pause)
				}
			})
			fx := newFixture(up.address)
			fx.policy.DeadlineMs = deadline.Milliseconds()
			url, _ := fx.start(t, "a", nil)
			begin := time.Now()
			got, err := call(t, "GET", url, "", nil)
			if strings.Contains(k.start, "\r\n\r\n") {
				assert.Assert(t, err != nil || got.status >= 500, "%d %q", got.status, got.body)
			} else {
				assert.Assert(t, err == nil && got.status >= 500, "%d, %d bytes, %v", got.status, len(got.body), err)
			}
			failed := false
			for released := false; !released; {
				outcome := <-fx.outcomes
				failed = failed || outcome.Failed
				released = !outcome.Abandoned
			}
			assert.Assert(t, failed)
			assert.Assert(t, time.Since(begin) < 4*deadline, "%v", time.Since(begin))
			if !k.streamed {
				// The buffers of both sockets hold some MB besides what was read.
				assert.Assert(t, sent.Load() < 16<<20, "%d bytes were taken", sent.Load())
			}
		})
	}
}

// TestEndlessHeadMemory guards against a host that runs out of memory because upstreams send header lines without end.
func TestEndlessHeadMemory(t *testing.T) {
	const (
		requests = 20
		// permittedBytes for each response lets a host with 184 MB read more than 90 of them at once.
		permittedBytes = 2 << 20
	)
	var responses atomic.Int64
	lines := []byte(strings.Repeat("X: y\r\n", 512))
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		responses.Add(1)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = c.Write(lines)
		}
	})
	fx := newFixture(up.address)
	url, _ := fx.start(t, "a", nil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range requests {
		got, err := call(t, "GET", url, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.status, http.StatusBadGateway)
		for released := false; !released; {
			released = !(<-fx.outcomes).Abandoned
		}
	}
	runtime.ReadMemStats(&after)
	perResponse := (after.TotalAlloc - before.TotalAlloc) / uint64(responses.Load())
	assert.Assert(t, perResponse < permittedBytes, "%d bytes are allocated for each response", perResponse)
}
