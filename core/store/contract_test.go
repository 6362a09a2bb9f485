package store_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/core/store/server"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// contract holds the tests that every core.Store must pass; faults are set on the Memory that it uses.
var contract = map[string]func(t *testing.T, s core.Store, m *store.Memory){
	"versions grow over all keys": func(t *testing.T, s core.Store, _ *store.Memory) {
		a := put(t, s, "a", "1", 0)
		b := put(t, s, "b", "1", 0)
		assert.Assert(t, a >= 1 && b > a && put(t, s, "a", "2", a) > b)
	},
	"a stale writer changes nothing": func(t *testing.T, s core.Store, _ *store.Memory) {
		first := put(t, s, "k", "1", 0)
		second := put(t, s, "k", "2", first)
		for _, version := range []int64{0, first, second + 1} {
			_, err := s.Put(t.Context(), "k", []byte("stale"), version)
			assert.ErrorIs(t, err, core.ErrConflict)
			if version != 0 {
				assert.ErrorIs(t, s.Delete(t.Context(), "k", version), core.ErrConflict)
			}
		}
		_, err := s.Put(t.Context(), "missing", nil, 5)
		assert.ErrorIs(t, err, core.ErrConflict)
		o, err := s.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.DeepEqual(t, o, core.Object{Key: "k", Value: []byte("2"), Version: second})
	},
	"a deleted key is not found, reported by watches and can be recreated": func(t *testing.T, s core.Store, _ *store.Memory) {
		version := put(t, s, "k/1", "1", 0)
		assert.NilError(t, s.Delete(t.Context(), "k/1", version))
		_, err := s.Get(t.Context(), "k/1")
		assert.ErrorIs(t, err, core.ErrNotFound)
		assert.ErrorIs(t, s.Delete(t.Context(), "k/1", version), core.ErrNotFound)
		objects, next, err := s.Watch(t.Context(), "k/", version)
		assert.NilError(t, err)
		assert.Assert(t, len(objects) == 1 && objects[0].Deleted && next > version)
		assert.Assert(t, put(t, s, "k/1", "2", 0) > next)
	},
	"a conditional read returns only a changed object": func(t *testing.T, s core.Store, m *store.Memory) {
		first := put(t, s, "k", "1", 0)
		_, err := store.GetChanged(t.Context(), s, "k", first)
		assert.ErrorIs(t, err, core.ErrUnchanged)
		second := put(t, s, "k", "2", first)
		for _, knownVersion := range []int64{0, first, second + 1} {
			o, err := store.GetChanged(t.Context(), s, "k", knownVersion)
			assert.NilError(t, err)
			assert.DeepEqual(t, o, core.Object{Key: "k", Value: []byte("2"), Version: second})
		}
		assert.NilError(t, s.Delete(t.Context(), "k", second))
		_, err = store.GetChanged(t.Context(), s, "k", second)
		assert.ErrorIs(t, err, core.ErrNotFound)
		m.SetFaults(store.Faults{Outage: true})
		_, err = store.GetChanged(t.Context(), s, "k", second)
		assert.ErrorIs(t, err, core.ErrUnavailable)
		assert.Equal(t, m.Calls()[store.CallGet], int64(6))
	},
	"list returns only keys with the prefix, sorted": func(t *testing.T, s core.Store, _ *store.Memory) {
		for _, key := range []string{"p/b c?&%2F", "p/a", "q", "p"} {
			put(t, s, key, key, 0)
		}
		objects, err := s.List(t.Context(), "p/")
		assert.NilError(t, err)
		assert.Equal(t, len(objects), 2)
		assert.Equal(t, objects[0].Key, "p/a")
		assert.Equal(t, string(objects[1].Value), "p/b c?&%2F")
	},
	"a watch misses no change and ends at the wait limit": func(t *testing.T, s core.Store, _ *store.Memory) {
		first := put(t, s, "w/1", "1", 0)
		received := make(chan core.Object, 1)
		go func() {
			objects, _, err := s.Watch(context.Background(), "w/", first)
			if err == nil && len(objects) == 1 {
				received <- objects[0]
			}
			close(received)
		}()
		put(t, s, "other", "1", 0)
		second := put(t, s, "w/2", "2", 0)
		assert.Equal(t, (<-received).Version, second)
		objects, next, err := s.Watch(t.Context(), "w/", second)
		assert.NilError(t, err)
		assert.Assert(t, len(objects) == 0 && next >= second)
	},
	"a value above the limit is rejected, one at the limit is stored": func(t *testing.T, s core.Store, _ *store.Memory) {
		large := strings.Repeat("x", core.MaxObjectBytes)
		_, err := s.Put(t.Context(), "k", []byte(large+"x"), 0)
		assert.ErrorIs(t, err, core.ErrTooLarge)
		put(t, s, "k", large, 0)
	},
	"an outage writes nothing": func(t *testing.T, s core.Store, m *store.Memory) {
		version := put(t, s, "k", "1", 0)
		m.SetFaults(store.Faults{Outage: true})
		_, err := s.Put(t.Context(), "k", nil, version)
		assert.ErrorIs(t, err, core.ErrUnavailable)
		assert.ErrorIs(t, s.Delete(t.Context(), "k", version), core.ErrUnavailable)
		_, err = s.Get(t.Context(), "k")
		assert.ErrorIs(t, err, core.ErrUnavailable)
		_, err = s.List(t.Context(), "")
		assert.ErrorIs(t, err, core.ErrUnavailable)
		_, _, err = s.Watch(t.Context(), "", 0)
		assert.ErrorIs(t, err, core.ErrUnavailable)
		m.SetFaults(store.Faults{})
		put(t, s, "k", "2", version)
		assert.DeepEqual(t, m.Calls(), map[string]int64{"delete": 1, "get": 1, "list": 1, "put": 3, "watch": 1})
	},
	"an outage ends waiting watches": func(t *testing.T, s core.Store, m *store.Memory) {
		done := make(chan error, 1)
		go func() {
			_, _, err := s.Watch(context.Background(), "w/", 0)
			done <- err
		}()
		for m.Calls()[store.CallWatch] == 0 {
			time.Sleep(time.Millisecond)
		}
		m.SetFaults(store.Faults{Outage: true})
		assert.ErrorIs(t, <-done, core.ErrUnavailable)
	},
	"a write with a lost response is uncertain and takes effect": func(t *testing.T, s core.Store, m *store.Memory) {
		m.SetFaults(store.Faults{LostResponses: 1})
		_, err := s.Put(t.Context(), "k", []byte("1"), 0)
		assert.ErrorIs(t, err, core.ErrUncertain)
		o, err := s.Get(t.Context(), "k")
		assert.NilError(t, err)
		m.SetFaults(store.Faults{LostResponses: -1})
		assert.ErrorIs(t, s.Delete(t.Context(), "k", o.Version), core.ErrUncertain)
		_, err = s.Get(t.Context(), "k")
		assert.ErrorIs(t, err, core.ErrNotFound)
	},
	"a cancelled call ends": func(t *testing.T, s core.Store, m *store.Memory) {
		m.SetFaults(store.Faults{SlowMs: 60_000})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := s.Get(ctx, "k")
		assert.ErrorIs(t, err, core.ErrUnavailable)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	},
}

// TestContract runs the contract against each implementation of core.Store.
func TestContract(t *testing.T) {
	adapters := map[string]func(t *testing.T, m *store.Memory) core.Store{
		"client": func(t *testing.T, m *store.Memory) core.Store {
			test := httptest.NewServer(server.New(m, zap.NewNop()))
			c := store.NewClient(test.Listener.Addr().String())
			t.Cleanup(func() {
				c.Close()
				test.Close()
			})
			return c
		},
		"debug":  func(_ *testing.T, m *store.Memory) core.Store { return store.NewDebug(m, zap.NewNop()) },
		"memory": func(_ *testing.T, m *store.Memory) core.Store { return m },
	}
	for adapter, create := range adapters {
		for name, check := range contract {
			t.Run(adapter+"/"+name, func(t *testing.T) {
				m := store.NewMemory(store.WithWatchLimit(300 * time.Millisecond))
				check(t, create(t, m), m)
			})
		}
	}
}

// Guards against a failed write that is reported as core.ErrUnavailable although it may have taken effect. Only a write
// that never got a connection is certain to have had no effect.
func TestClientWriteErrors(t *testing.T) {
	closed, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	tests := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"refused connection": {nil, core.ErrUnavailable},
		"no response in time": {func(_ http.ResponseWriter, r *http.Request) {
			// The server notices a closed connection only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, core.ErrUncertain},
		"truncated response": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		}, core.ErrUncertain},
		"invalid response": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, core.ErrUncertain},
		"internal error":   {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, core.ErrUncertain},
		"redirect":         {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(307) }, core.ErrUncertain},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address := closed.Addr().String()
			if tt.handler != nil {
				test := httptest.NewServer(tt.handler)
				defer test.Close()
				address = test.Listener.Addr().String()
			}
			c := store.NewClient(address, store.WithCallTimeout(200*time.Millisecond), store.WithWatchTimeout(200*time.Millisecond))
			defer c.Close()
			_, err := c.Put(t.Context(), "k", []byte("1"), 0)
			assert.ErrorIs(t, err, tt.want)
			assert.ErrorIs(t, c.Delete(t.Context(), "k", 1), tt.want)
			_, err = c.Get(t.Context(), "k")
			assert.ErrorIs(t, err, core.ErrUnavailable)
		})
	}
}

// Guards against a test store that discards a delayed write because its caller has timed out. The write must take effect,
// and the client must report its result as unknown.
func TestSlowWriteTakesEffect(t *testing.T) {
	m := store.NewMemory()
	test := httptest.NewServer(server.New(m, zap.NewNop()))
	defer test.Close()
	c := store.NewClient(test.Listener.Addr().String(), store.WithCallTimeout(20*time.Millisecond))
	defer c.Close()
	m.SetFaults(store.Faults{SlowMs: 100})
	_, err := c.Put(t.Context(), "k", []byte("1"), 0)
	assert.ErrorIs(t, err, core.ErrUncertain)
	m.SetFaults(store.Faults{})
	_, _, err = m.Watch(t.Context(), "k", 0)
	assert.NilError(t, err)
	_, err = m.Get(t.Context(), "k")
	assert.NilError(t, err)
}

// Guards against a read-only or dry-run wrapper that passes a write on to its store.
func TestWrappersWriteNothing(t *testing.T) {
	m := store.NewMemory()
	version := put(t, m, "k", "1", 0)
	readOnly := store.NewReadOnly(m)
	_, err := readOnly.Put(t.Context(), "k", nil, version)
	assert.ErrorIs(t, err, store.ErrReadOnly)
	assert.ErrorIs(t, readOnly.Delete(t.Context(), "k", version), store.ErrReadOnly)
	dry := store.NewDryRun(m)
	put(t, dry, "k", "2", version)
	assert.NilError(t, dry.Delete(t.Context(), "k", version))
	_, err = dry.Put(t.Context(), "k", nil, version+1)
	assert.ErrorIs(t, err, core.ErrConflict)
	assert.DeepEqual(t, dry.Writes(), []core.Object{
		{Key: "k", Value: []byte("2"), Version: version}, {Key: "k", Version: version, Deleted: true},
	})
	o, err := m.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "1")
}

func put(t *testing.T, s core.Store, key, value string, version int64) int64 {
	t.Helper()
	next, err := s.Put(t.Context(), key, []byte(value), version)
	assert.NilError(t, errors.Trace(err))
	return next
}
