package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestKeyed guards against keyed work that runs twice and against answers that claim more than is known.
func TestKeyed(t *testing.T) {
	for name, test := range map[string]struct {
		answer             string
		again              string
		codes              string
		down               bool
		limit              int64
		requests, finished int64
	}{
		"replayed":         {answer: okResponse, again: "body", codes: "1000 5005", requests: 1, finished: 1},
		"mismatch":         {answer: okResponse, again: "other", codes: "1000 5004", requests: 1, finished: 1},
		"not recorded":     {answer: okResponse, again: "body", codes: "1000 5006", limit: 1, requests: 1, finished: 1},
		"lost answer":      {answer: "", again: "body", codes: "4003 5003", requests: 1, finished: 1},
		"store down":       {answer: okResponse, again: "body", codes: "5001 5001", down: true},
		"upstream rejects": {answer: "HTTP/1.1 503 x\r\nEbony-Ran: no\r\nContent-Length: 0\r\n\r\n", again: "body", codes: "4005 4005", requests: 2, finished: 2},
	} {
		t.Run(name, func(t *testing.T) {
			up := newFixedUpstream(t, test.answer)
			w := newFixture(up.address)
			if test.limit > 0 {
				w.policy.IdempotencyAnswerBytes = test.limit
			}
			deduper := newFakeDeduper()
			deduper.down = test.down
			url, _ := w.start(t, "a", deduper)
			header := map[string]string{"Idempotency-Key": "k1"}
			first, err := call(t, "POST", url, "body", header)
			assert.NilError(t, err)
			if test.finished > 0 {
				<-deduper.finished
			}
			second, err := call(t, "POST", url, test.again, header)
			assert.NilError(t, err)
			assert.Equal(t, first.header.Get("Ebony-Code")+" "+second.header.Get("Ebony-Code"), test.codes)
			assert.Equal(t, up.requests.Load(), test.requests)
		})
	}
}

// TestKeyedCallerGone guards against a record that stays open forever after the caller has gone.
func TestKeyedCallerGone(t *testing.T) {
	got := make(chan struct{})
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		close(got)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, okResponse)
	})
	deduper := newFakeDeduper()
	url, _ := newFixture(up.address).start(t, "a", deduper)
	cancelCall(t, url, "body", "k", got)
	outcome := <-deduper.finished
	assert.Equal(t, outcome.Ran, core.RanYes)
	assert.Equal(t, string(outcome.Body), "ok")
}

// TestHedge guards against waiting for a slow target and against an answer from the slower attempt.
func TestHedge(t *testing.T) {
	slow := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow")
	})
	fast := newFixedUpstream(t, okResponse)
	w := newFixture(slow.address, fast.address)
	w.policy.HedgeAfterMs = 10
	url, _ := w.start(t, "a", nil)
	for method, want := range map[string]string{"GET": "ok", "POST": "slow"} {
		got, err := call(t, method, url, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.body, want)
	}
}
