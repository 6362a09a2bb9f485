package dedup

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"ebonyrouter.dev/core"
)

// fakeStore is an in-memory store that loses responses, applies writes late and has outages. Faults are drawn from a
// seeded random generator.
type fakeStore struct {
	core.Store
	delay  time.Duration
	down   bool
	faults bool
	// late holds the writes that take effect later.
	late    []func()
	mu      sync.Mutex
	objects map[string]core.Object
	reads   int
	rng     *rand.Rand
	version int64
	writes  int
}

func newStore(seed uint64) *fakeStore {
	return &fakeStore{objects: map[string]core.Object{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Delete implements core.Store.Delete.
func (f *fakeStore) Delete(_ context.Context, key string, version int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return core.ErrUnavailable
	}
	if f.objects[key].Version != version {
		return core.ErrConflict
	}
	delete(f.objects, key)
	return nil
}

// Get implements core.Store.Get.
func (f *fakeStore) Get(_ context.Context, key string) (core.Object, error) {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down || f.faults && f.rng.IntN(4) == 0 {
		return core.Object{}, core.ErrUnavailable
	}
	o, ok := f.objects[key]
	if !ok {
		return core.Object{}, core.ErrNotFound
	}
	return o, nil
}

// List implements core.Store.List.
func (f *fakeStore) List(_ context.Context, prefix string) ([]core.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.faults && f.rng.IntN(4) == 0 {
		return nil, core.ErrUnavailable
	}
	var objects []core.Object
	for key, o := range f.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, o)
		}
	}
	return objects, nil
}

// Put implements core.Store.Put.
func (f *fakeStore) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if ctx.Err() != nil || f.down {
		return 0, core.ErrUnavailable
	}
	if !f.faults {
		return f.apply(key, value, version)
	}
	for len(f.late) > 0 && f.rng.IntN(3) == 0 {
		f.late[0]()
		f.late = f.late[1:]
	}
	switch f.rng.IntN(6) {
	case 0: // takes effect, but the response is lost
		_, _ = f.apply(key, value, version)
		return 0, core.ErrUncertain
	case 1: // the request is lost
		return 0, core.ErrUncertain
	case 2: // takes effect later, if the object still has the version
		f.late = append(f.late, func() { _, _ = f.apply(key, value, version) })
		return 0, core.ErrUncertain
	default:
		return f.apply(key, value, version)
	}
}

// apply writes an object if it has the given version.
func (f *fakeStore) apply(key string, value []byte, version int64) (int64, error) {
	if f.objects[key].Version != version {
		return 0, core.ErrConflict
	}
	if len(value) > core.MaxObjectBytes {
		return 0, core.ErrTooLarge
	}
	f.version++
	f.objects[key] = core.Object{Key: key, Value: value, Version: f.version}
	return f.version, nil
}

// count returns the number of objects whose key contains part.
func (f *fakeStore) count(part string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for key := range f.objects {
		if strings.Contains(key, part) {
			n++
		}
	}
	return n
}

// flush applies the late writes whose objects still have the expected version.
func (f *fakeStore) flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, apply := range f.late {
		apply()
	}
	f.late = nil
}

// setFaults switches faults and outages on or off.
func (f *fakeStore) setFaults(faults, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults, f.down = faults, down
}

// acceleratedSince is the start of the clock of accelerated timers.
var acceleratedSince = time.Now()

// fakeTimer is a timer whose After fires after 100 µs, unless it is exact.
type fakeTimer struct {
	core.Timer
	exact bool
	// accelerated makes the clock run a million times faster, so that an avoided writer is used again at once.
	accelerated bool
}

// After implements core.Timer.After.
func (f fakeTimer) After(d time.Duration) <-chan core.Instant {
	if !f.exact {
		d = 100 * time.Microsecond
	}
	c := make(chan core.Instant, 1)
	time.AfterFunc(d, func() { c <- 0 })
	return c
}

// Now implements core.Timer.Now.
func (f fakeTimer) Now() core.Instant {
	now := core.Instant(time.Now().UnixNano())
	if f.accelerated {
		now = core.Instant(time.Since(acceleratedSince) * 1_000_000)
	}
	return now
}
