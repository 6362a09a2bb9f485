package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
)

// TestKeyed guards against keyed requests that run twice and against result codes that claim more than the record
// proves.
func TestKeyed(t *testing.T) {
	for name, test := range map[string]struct {
		response           string
		secondBody         string
		codes              string
		down               bool
		limit              int64
		requests, finished int64
	}{
		"replayed":         {response: okResponse, secondBody: "body", codes: "1000 5005", requests: 1, finished: 1},
		"mismatch":         {response: okResponse, secondBody: "other", codes: "1000 5004", requests: 1, finished: 1},
		"not recorded":     {response: okResponse, secondBody: "body", codes: "1000 5006", limit: 1, requests: 1, finished: 1},
		"lost response":    {response: "", secondBody: "body", codes: "4003 5003", requests: 1, finished: 1},
		"store down":       {response: okResponse, secondBody: "body", codes: "5001 5001", down: true},
		"upstream rejects": {response: "HTTP/1.1 503 x\r\nEbony-Ran: no\r\nContent-Length: 0\r\n\r\n", secondBody: "body", codes: "4005 4005", requests: 2, finished: 2},
	} {
		t.Run(name, func(t *testing.T) {
			up := newFixedUpstream(t, test.response)
			fx := newFixture(up.address)
			if test.limit > 0 {
				fx.policy.IdempotencyAnswerBytes = test.limit
			}
			deduper := newFakeDeduper()
			deduper.down = test.down
			url, _ := fx.start(t, "a", deduper)
			header := map[string]string{"Idempotency-Key": "k1"}
			first, err := call(t, "POST", url, "body", header)
			assert.NilError(t, err)
			if test.finished > 0 {
				<-deduper.finished
			}
			second, err := call(t, "POST", url, test.secondBody, header)
			assert.NilError(t, err)
			assert.Equal(t, first.header.Get("Ebony-Code")+" "+second.header.Get("Ebony-Code"), test.codes)
			assert.Equal(t, up.requests.Load(), test.requests)
		})
	}
}

// TestKeyedCallerGone guards against a deduplication record that is never completed after the caller has disconnected.
func TestKeyedCallerGone(t *testing.T) {
	started := make(chan struct{})
	up := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		close(started)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(c, okResponse)
	})
	deduper := newFakeDeduper()
	url, _ := newFixture(up.address).start(t, "a", deduper)
	cancelCall(t, url, "body", "k", started)
	outcome := <-deduper.finished
	assert.Equal(t, outcome.Ran, core.RanYes)
	assert.Equal(t, string(outcome.Body), "ok")
}

// TestHedge guards against waiting for a slow target and against using the response of the slower attempt.
func TestHedge(t *testing.T) {
	slow := newScriptedUpstream(t, func(_ int64, c net.Conn) {
		_ = readRequest(c)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow")
	})
	fast := newFixedUpstream(t, okResponse)
	fx := newFixture(slow.address, fast.address)
	fx.policy.HedgeAfterMs = 10
	url, _ := fx.start(t, "a", nil)
	for method, want := range map[string]string{"GET": "ok", "POST": "slow"} {
		got, err := call(t, method, url, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.body, want)
	}
}
