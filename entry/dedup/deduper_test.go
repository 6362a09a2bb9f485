package dedup

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/store"
)

const retentionS = 3600

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // runs are reproducible; -rapid.seed on the command line overrides the seed
	goleak.VerifyTestMain(m)
}

// sameShard returns n keys that belong to shard 0.
func sameShard(n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		key := fmt.Sprintf("k%d", i)
		if shardOf(hashOf("s", "", key)) == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// model checks the results that callers receive for each key.
type model struct {
	attempt int
	// done holds, by key, the body of the outcome that Finish has recorded.
	done map[string][]byte
	// finished holds the keys for which Finish was called with an outcome that ran, even if it failed.
	finished map[string]bool
	mu       sync.Mutex
	// runs holds, by key, the attempts that may run and have not been finished as not run.
	runs map[string][]core.DedupRequest
	tb   rapid.TB
}

// begin begins a new attempt and checks the result.
func (m *model) begin(ctx context.Context, d core.Deduper, key string) (core.DedupState, error) {
	m.mu.Lock()
	m.attempt++
	request := core.DedupRequest{Attempt: fmt.Sprint(m.attempt), Key: key, RetentionS: retentionS, Service: "s"}
	m.mu.Unlock()
	result, err := d.Begin(ctx, request)
	if err != nil {
		return "", err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if result.State == core.DedupNew {
		m.runs[key] = append(m.runs[key], request)
		if len(m.runs[key]) > 1 {
			m.tb.Errorf("key %s: attempts %v may all run", key, m.runs[key])
		}
	}
	if body := m.done[key]; body != nil && (result.State != core.DedupDone || !bytes.Equal(result.Outcome.Body, body)) {
		m.tb.Errorf("key %s: recorded outcome is reported as %s", key, result.State)
	}
	return result.State, nil
}

// finish records the outcome of the running attempt of a key, if there is one.
func (m *model) finish(d core.Deduper, key string, ran core.Ran) {
	if len(m.runs[key]) == 0 || m.finished[key] {
		return
	}
	request := m.runs[key][0]
	outcome := core.DedupOutcome{Ran: ran, Status: 200}
	if ran == core.RanYes {
		outcome.Body = bytes.Repeat([]byte(request.Attempt), 20_000)
		m.finished[key] = true
	} else {
		m.runs[key] = nil
	}
	if d.Finish(context.Background(), request, outcome) == nil && ran == core.RanYes {
		m.done[key] = outcome.Body
	}
}

// Guards against two attempts of one key that may both run, a recorded response that is lost, and a key that stays
// blocked by an attempt that never ran. Two processes write the store, which loses responses, applies writes late and
// has outages. With a preferred writer, links also lose or delay requests and replies, so that two processes begin the
// same attempt. A request that arrives after its attempt has ended can block the key, so the case with late requests
// does not check for blocked keys.
func TestAtMostOneAttemptRuns(t *testing.T) {
	tests := map[string]struct{ forward, late bool }{
		"local":            {false, false},
		"preferred writer": {true, false},
		"late requests":    {true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { checkRuns(rt, test.forward, test.late) })
		})
	}
}

// checkRuns runs random actions on two hosts and checks the results with a model.
func checkRuns(rt *rapid.T, forward, late bool) {
	keys := sameShard(8)
	store := newStore(rapid.Uint64().Draw(rt, "store seed"))
	links := newNetwork(rapid.Uint64().Draw(rt, "network seed"), 2)
	links.faults, links.lateRequests = true, late
	var locals []*Deduper
	var hosts []core.Deduper
	for i := range 2 {
		d := New(Config{Log: zap.NewNop(), Store: store, Timer: fakeTimer{}, UnixMs: func() int64 { return 1e12 }})
		defer d.Close()
		locals = append(locals, d)
		hosts = append(hosts, d)
		if forward {
			hosts[i] = links.join(i, d, fakeTimer{accelerated: true})
		}
	}
	m := &model{done: map[string][]byte{}, finished: map[string]bool{}, runs: map[string][]core.DedupRequest{}, tb: rt}
	store.setFaults(true, false)
	for range 40 {
		key := rapid.SampledFrom(keys).Draw(rt, "key")
		host := hosts[rapid.IntRange(0, 1).Draw(rt, "host")]
		switch rapid.IntRange(0, 9).Draw(rt, "action") {
		case 0:
			store.setFaults(true, rapid.Bool().Draw(rt, "down"))
		case 1:
			m.finish(host, key, core.RanNo)
		case 2, 3:
			m.finish(host, key, core.RanYes)
		case 4:
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, _ = m.begin(ctx, host, key)
		case 5, 6, 7:
			_, _ = m.begin(context.Background(), host, key)
		default:
			var attempts sync.WaitGroup
			for i := range 4 {
				attempts.Go(func() { _, _ = m.begin(context.Background(), hosts[i%2], key) })
			}
			attempts.Wait()
		}
	}
	store.setFaults(false, false)
	links.late.Wait()
	for _, d := range locals {
		for d.busy() {
			time.Sleep(time.Millisecond)
		}
	}
	store.flush()
	for _, key := range keys {
		if !late {
			m.checkUnblocked(rt, locals[0], key)
		}
	}
}

// busy reports whether the task of any shard is running.
func (d *Deduper) busy() bool {
	d.mu.Lock()
	shards := slices.Collect(maps.Values(d.shards))
	d.mu.Unlock()
	for _, s := range shards {
		if _, _, idle := s.cacheUsage(); !idle {
			return true
		}
	}
	return false
}

// checkUnblocked checks that a key without a running attempt can be used soon after the faults of the store end.
func (m *model) checkUnblocked(rt *rapid.T, d core.Deduper, key string) {
	for range 2000 {
		_, err := m.begin(context.Background(), d, key)
		if err == nil && (len(m.runs[key]) > 0 || m.done[key] != nil) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	rt.Errorf("key %s: blocked by an attempt that never ran", key)
}

// Guards against the failure that each case names.
func TestRecords(t *testing.T) {
	request := core.DedupRequest{Attempt: "a", Fingerprint: "f", Key: "k", RetentionS: retentionS, Service: "s"}
	other := request
	other.Attempt = "b"
	var now atomic.Int64
	tests := map[string]struct {
		failure string
		outcome core.DedupOutcome
		afterS  int64
		edit    func(*core.DedupRequest)
		state   core.DedupState
	}{
		"running":    {"a concurrent second run", core.DedupOutcome{}, 0, nil, core.DedupRunning},
		"lost owner": {"a key reported as running after its process ended", core.DedupOutcome{}, 100, nil, core.DedupUnknown},
		"unknown":    {"a second run after a lost response", core.DedupOutcome{Ran: core.RanUnknown}, 0, nil, core.DedupUnknown},
		"done":       {"a second run after a completed one", core.DedupOutcome{Ran: core.RanYes}, 0, nil, core.DedupDone},
		"expired":    {"records that never expire", core.DedupOutcome{Ran: core.RanYes}, retentionS + 100, nil, core.DedupNew},
		"not run":    {"a key that stays blocked", core.DedupOutcome{Ran: core.RanNo}, 0, nil, core.DedupNew},
		"mismatch": {
			"a replayed response of a different request",
			core.DedupOutcome{Ran: core.RanYes},
			0,
			func(q *core.DedupRequest) { q.Fingerprint = "g" }, core.DedupMismatch,
		},
		"expired while paused": {
			"an expired attempt that overwrites a newer one", core.DedupOutcome{}, retentionS + 100, nil, core.DedupNew,
		},
		"tenant": {
			"a response replayed to another tenant",
			core.DedupOutcome{Ran: core.RanYes},
			0,
			func(q *core.DedupRequest) { q.Tenant = "t" }, core.DedupNew,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.failure)
			now.Store(1e12)
			store := newStore(1)
			first := New(Config{Log: zap.NewNop(), Store: store, Timer: fakeTimer{}, UnixMs: now.Load})
			defer first.Close()
			second := New(Config{Log: zap.NewNop(), Store: store, Timer: fakeTimer{}, UnixMs: now.Load})
			defer second.Close()
			result, err := first.Begin(t.Context(), request)
			assert.NilError(t, err)
			assert.Equal(t, result.State, core.DedupNew)
			if test.outcome.Ran != "" {
				assert.NilError(t, first.Finish(t.Context(), request, test.outcome))
			}
			now.Add(test.afterS * 1000)
			other := other
			if test.edit != nil {
				test.edit(&other)
			}
			result, err = second.Begin(t.Context(), other)
			assert.NilError(t, err)
			assert.Equal(t, result.State, test.state)
			if test.state == core.DedupNew && test.edit == nil && test.outcome.Ran != core.RanYes {
				assert.ErrorIs(t, first.Finish(t.Context(), request, core.DedupOutcome{Ran: core.RanYes}), errFenced)
			}
		})
	}
}

// Guards against a head that exceeds the object size of the store, segments that are never merged or deleted, and records
// that are lost when segments are sealed and merged.
func TestSealing(t *testing.T) {
	var now atomic.Int64
	now.Store(1e12)
	store := newStore(1)
	d := New(Config{Log: zap.NewNop(), Store: store, Timer: fakeTimer{}, UnixMs: now.Load})
	defer d.Close()
	keys := sameShard(150)
	complete := func(from, to int) {
		for _, key := range keys[from:to] {
			request := core.DedupRequest{Attempt: "a", Key: key, RetentionS: retentionS, Service: "s"}
			_, err := d.Begin(t.Context(), request)
			assert.NilError(t, err)
			outcome := core.DedupOutcome{Body: make([]byte, 10_000), Ran: core.RanYes}
			assert.NilError(t, d.Finish(t.Context(), request, outcome))
		}
	}
	complete(0, 30)
	assert.Assert(t, store.count("seg-") >= 3)
	complete(30, 60)
	segments := store.count("seg-")
	assert.Assert(t, segments < 3*mergeSegments, "%d segments are not merged", segments)
	cold := New(Config{Log: zap.NewNop(), Store: store, Timer: fakeTimer{}, UnixMs: now.Load})
	defer cold.Close()
	for _, key := range keys[:60] {
		result, err := cold.Begin(t.Context(), core.DedupRequest{Attempt: "b", Key: key, RetentionS: retentionS, Service: "s"})
		assert.NilError(t, err)
		assert.Equal(t, result.State, core.DedupDone)
		assert.Equal(t, len(result.Outcome.Body), 10_000)
	}
	now.Add((retentionS + 100) * 1000)
	complete(60, 90)
	assert.Assert(t, store.count("seg-") <= 5, "%d segments", store.count("seg-"))
}

// Guards against records that are lost when a segment is sealed or merged while the store loses responses.
func TestSealingWithFaults(t *testing.T) {
	store := newStore(7)
	store.setFaults(true, false)
	d := New(Config{Log: zap.NewNop(), Store: store, Timer: fakeTimer{}, UnixMs: func() int64 { return 1e12 }})
	defer d.Close()
	var recorded []string
	for _, key := range sameShard(300) {
		request := core.DedupRequest{Attempt: "a" + key, Key: key, RetentionS: retentionS, Service: "s"}
		result, err := d.Begin(t.Context(), request)
		if err != nil {
			continue
		}
		assert.Equal(t, result.State, core.DedupNew)
		if d.Finish(t.Context(), request, core.DedupOutcome{Body: make([]byte, 10_000), Ran: core.RanYes}) == nil {
			recorded = append(recorded, key)
		}
	}
	store.setFaults(false, false)
	store.flush()
	assert.Assert(t, len(recorded) > 100, "%d keys recorded", len(recorded))
	cold := New(Config{Log: zap.NewNop(), Store: store, Timer: fakeTimer{}, UnixMs: func() int64 { return 1e12 }})
	defer cold.Close()
	for _, key := range recorded {
		result, err := cold.Begin(t.Context(), core.DedupRequest{Attempt: "b", Key: key, RetentionS: retentionS, Service: "s"})
		assert.NilError(t, err)
		assert.Equal(t, result.State, core.DedupDone, key)
	}
}

// Guards against records that cannot be written while the store loses every response after the write took effect: a
// segment with a lost response was written again under the next number, and the batch failed after 32 rounds.
func TestSealingWithoutResponses(t *testing.T) {
	memory := store.NewMemory()
	memory.SetFaults(store.Faults{LostResponses: -1})
	d := New(Config{Log: zap.NewNop(), Store: memory, Timer: fakeTimer{}, UnixMs: func() int64 { return 1e12 }})
	defer d.Close()
	outcome := core.DedupOutcome{
		Body: make([]byte, 10_000), Header: map[string][]string{"A": {"1"}, "B": {"2"}, "C": {"3"}}, Ran: core.RanYes,
	}
	for _, key := range sameShard(100) {
		request := core.DedupRequest{Attempt: "a" + key, Key: key, RetentionS: retentionS, Service: "s"}
		result, err := d.Begin(t.Context(), request)
		assert.NilError(t, err)
		assert.Equal(t, result.State, core.DedupNew)
		assert.NilError(t, d.Finish(t.Context(), request, outcome))
	}
}

// Guards against a response that is lost although Finish succeeded: during an outage of the store the preferred writer
// keeps an outcome without its body, and records it before the local retry records the whole outcome.
func TestFinishAfterTruncated(t *testing.T) {
	d := New(Config{Log: zap.NewNop(), Store: newStore(1), Timer: fakeTimer{}, UnixMs: func() int64 { return 1e12 }})
	defer d.Close()
	request := core.DedupRequest{Attempt: "a", Key: "k", RetentionS: retentionS, Service: "s"}
	_, err := d.Begin(t.Context(), request)
	assert.NilError(t, err)
	whole := core.DedupOutcome{Body: []byte("answer"), Ran: core.RanYes, Status: 200}
	truncated := core.DedupOutcome{Ran: core.RanYes, Status: 200, Truncated: true}
	for _, outcome := range []core.DedupOutcome{truncated, whole, truncated} {
		assert.NilError(t, d.Finish(t.Context(), request, outcome))
	}
	request.Attempt = "b"
	result, err := d.Begin(t.Context(), request)
	assert.NilError(t, err)
	assert.DeepEqual(t, result, core.DedupResult{Outcome: whole, State: core.DedupDone})
}

// Guards against a key that runs twice because its record is in a shard of another layout, where it is not looked up.
func TestOtherLayout(t *testing.T) {
	other, err := msgpack.Marshal(&layout{Shards: 2 * shardCount})
	assert.NilError(t, err)
	tests := map[string]struct {
		key, want string
		value     []byte
	}{
		"other number of shards": {"dedup/s/layout", "service \"s\": records are kept in", other},
		"records without layout": {"dedup/s/63/head", "service \"s\": 1 objects without a layout, such as dedup/s/63/head", nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := newStore(1)
			_, err := store.apply(test.key, test.value, 0)
			assert.NilError(t, err)
			d := New(Config{Log: zap.NewNop(), Store: store, Timer: fakeTimer{}, UnixMs: func() int64 { return 1e12 }})
			defer d.Close()
			_, err = d.Begin(t.Context(), core.DedupRequest{Attempt: "a", Key: "k", RetentionS: retentionS, Service: "s"})
			assert.ErrorContains(t, err, test.want)
			assert.Equal(t, store.writes, 0)
		})
	}
}
