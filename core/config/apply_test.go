package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/config"
	"ebonyrouter.dev/core/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// hookedStore calls before once, immediately before the next update of the head, so that a test can interleave the change
// of another operator.
type hookedStore struct {
	core.Store
	before func()
}

func (h *hookedStore) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if key == core.KeySettingsHead && h.before != nil {
		before := h.before
		h.before = nil
		before()
	}
	return h.Store.Put(ctx, key, value, version)
}

// Guards against a policy value of a general level that overrides one of a more specific level, and against a wrong origin
// of a value.
func TestInheritance(t *testing.T) {
	settings := tree(t)
	values, err := config.Explain(&settings, "s", "r-a")
	assert.NilError(t, err)
	got := map[string]config.Value{}
	for _, v := range values {
		got[v.Field] = v
	}
	assert.Equal(t, got["deadline_ms"], config.Value{Field: "deadline_ms", Origin: "policy.deadline_ms", Value: 900})
	assert.Equal(t, got["queue_max"], config.Value{Field: "queue_max", Origin: "regions.r.zones.r-a.policy.queue_max", Value: 6})
	assert.Equal(t, got["eject_ms"], config.Value{Field: "eject_ms", Origin: "regions.r.services.s.eject_ms", Value: 50})
	assert.Equal(t, got["try_timeout_ms"], config.Value{Field: "try_timeout_ms", Origin: config.OriginDefault, Value: 1000})
	snapshot := compile(t, settings, 1)
	assert.Equal(t, snapshot.Policies["s"]["r-b"].QueueMax, int64(5))
	assert.Equal(t, snapshot.Policies["s"]["q-a"].EjectMs, int64(40))
	assert.Equal(t, snapshot.Policies["u"]["q-a"].EjectMs, int64(5000))
	assert.Equal(t, snapshot.ServiceOf["s.example"]+snapshot.RegionOf["q-a"], "sq")
}

// Guards against an accepted revision that can no longer be loaded after later ones, and against a stored part that was
// changed and is loaded without an error.
func TestApplyHistory(t *testing.T) {
	m := store.NewMemory()
	for revision := range int64(3) {
		apply(t, m, revision)
	}
	heads, err := config.History(t.Context(), m, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(heads), 3)
	for _, head := range heads {
		update, err := config.Load(t.Context(), m, head.Revision)
		assert.NilError(t, err)
		snapshot, err := config.Compile(update)
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Settings.Shifts[0].RequestsPerSecond, 100+head.Revision)
	}
	objects, err := m.List(t.Context(), fmt.Sprintf("%s2/%s", core.KeySettingsPrefix, heads[1].ChangeID))
	assert.NilError(t, err)
	_, err = m.Put(t.Context(), objects[0].Key, []byte(valid), objects[0].Version)
	assert.NilError(t, err)
	_, err = config.Load(t.Context(), m, 2)
	assert.ErrorIs(t, err, config.ErrDigestMismatch)
}

// Guards against two operators who write the same revision at once and mix their content. Only one change may be accepted;
// the error of the other one lists both changes.
func TestApplyRace(t *testing.T) {
	m := store.NewMemory()
	apply(t, m, 0)
	mine := change(t, 1)
	mine.Settings.Deployment = "mine"
	_, err := config.Apply(t.Context(), &hookedStore{Store: m, before: func() { apply(t, m, 1) }}, mine)
	var conflict *config.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Head.Revision, int64(2))
	assert.ErrorContains(t, err, `theirs shifts[s/r/q].requests_per_second: 101 -> 102`)
	assert.ErrorContains(t, err, `mine deployment: "d" -> "mine"`)
	update, err := config.Load(t.Context(), m, 2)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(update.Content), "mine"))
	_, err = config.Apply(t.Context(), m, mine)
	assert.Assert(t, errors.As(err, &conflict), "a stale base must conflict before anything is written")
}

// lossyStore loses responses at random: of writes that took effect, that never arrive, or that arrive after their caller
// has given up.
type lossyStore struct {
	core.Store
	mu         sync.Mutex
	random     *rand.Rand
	lateWrites sync.WaitGroup
}

func (l *lossyStore) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	l.mu.Lock()
	choice := l.random.IntN(20)
	l.mu.Unlock()
	put := func() (int64, error) { return l.Store.Put(ctx, key, value, version) }
	switch choice {
	case 0:
		_, _ = put()
	case 1:
	case 2:
		l.lateWrites.Go(func() {
			time.Sleep(100 * time.Millisecond)
			_, _ = put()
		})
	default:
		return put()
	}
	return 0, core.ErrUncertain
}

// Guards against a change that is reported as failed although it was accepted, or the reverse: concurrent operators apply
// changes to a store that loses responses.
func TestApplyLostResponses(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := &lossyStore{Store: store.NewMemory(), random: rand.New(rand.NewPCG(seed, 1))}
			var mu sync.Mutex
			accepted := map[int64]string{}
			var operators sync.WaitGroup
			for range 4 {
				operators.Go(func() {
					for range 10 {
						base, _, _ := config.Head(t.Context(), l)
						head, err := config.Apply(t.Context(), l, change(t, base.Revision))
						var conflict *config.ConflictError
						if err != nil && !errors.As(err, &conflict) {
							t.Error(err)
						}
						if err == nil {
							mu.Lock()
							accepted[head.Revision] += head.ChangeID
							mu.Unlock()
						}
					}
				})
			}
			operators.Wait()
			l.lateWrites.Wait()
			heads, err := config.History(t.Context(), l, 100)
			assert.NilError(t, err)
			assert.Equal(t, len(heads), len(accepted))
			for _, head := range heads {
				assert.Equal(t, accepted[head.Revision], head.ChangeID)
				_, err := config.Load(t.Context(), l, head.Revision)
				assert.NilError(t, err)
			}
		})
	}
}

// Guards against a rejected change, or one during an outage of the store, that leaves objects in the store.
func TestApplyWritesNothing(t *testing.T) {
	m := store.NewMemory()
	invalid := change(t, 0)
	invalid.Settings.Deployment = ""
	_, err := config.Apply(t.Context(), m, invalid)
	assert.ErrorContains(t, err, "deployment: ")
	m.SetFaults(store.Faults{Outage: true})
	_, err = config.Apply(t.Context(), m, change(t, 0))
	assert.ErrorIs(t, err, core.ErrUnavailable)
	m.SetFaults(store.Faults{})
	objects, err := m.List(t.Context(), "")
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 0)
}

// Guards against a process that returns to a lower revision when updates arrive out of order, and against a revision in force
// that is replaced by other content with the same number.
func TestHolderNeverLowersRevision(t *testing.T) {
	h := config.NewHolder()
	var notified []int64
	h.Subscribe(func(s *core.Snapshot) { notified = append(notified, s.Head.Revision) })
	var tasks sync.WaitGroup
	for revision := int64(1); revision <= 20; revision++ {
		snapshot := compile(t, tree(t), revision)
		tasks.Go(func() {
			if err := h.Set(snapshot); err != nil && !errors.Is(err, config.ErrLowerRevision) {
				t.Error(err)
			}
		})
	}
	tasks.Wait()
	assert.Equal(t, h.Current().Head.Revision, int64(20))
	for i := 1; i < len(notified); i++ {
		assert.Assert(t, notified[i] > notified[i-1])
	}
	other := tree(t)
	other.Deployment = "other"
	assert.ErrorIs(t, h.Set(compile(t, other, 20)), config.ErrOtherContent)
	assert.NilError(t, h.Set(compile(t, tree(t), 20)))
}

func apply(t *testing.T, s core.Store, base int64) {
	t.Helper()
	head, err := config.Apply(t.Context(), s, change(t, base))
	assert.NilError(t, err)
	assert.Equal(t, head.Revision, base+1)
	accepted, _, err := config.Head(t.Context(), s)
	assert.NilError(t, err)
	assert.Equal(t, accepted, head)
}

func change(t *testing.T, base int64) config.Change {
	settings := tree(t)
	settings.Shifts[0].RequestsPerSecond = 101 + base
	return config.Change{Author: "a", Base: base, Message: "m", Settings: settings, UnixMs: time.Now().UnixMilli()}
}

func compile(t *testing.T, settings core.Settings, revision int64) *core.Snapshot {
	t.Helper()
	content, err := config.Encode(settings)
	assert.NilError(t, err)
	head := core.SettingsHead{Revision: revision, Digest: config.Digest(content)}
	snapshot, err := config.Compile(core.SettingsUpdate{Head: head, Content: content})
	assert.NilError(t, err)
	return snapshot
}

func tree(t *testing.T) core.Settings {
	t.Helper()
	settings, err := config.Decode([]byte(valid))
	assert.NilError(t, err)
	return settings
}
