package owner_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"ebonyrouter.dev/core"
)

// memory is an in-memory store whose next calls can be made to fail.
type memory struct {
	objects map[string]core.Object
	puts    int
	// failures apply to the next calls of Put in order.
	failures []failure
	// down makes all calls fail.
	down    bool
	version int64
}

// failure is a fault of one call of Put. If lost is set, the write takes effect and only its response is lost; between
// runs after such a write.
type failure struct {
	between func()
	err     error
	lost    bool
}

func (m *memory) Delete(context.Context, string, int64) error { return core.ErrUnavailable }

func (m *memory) Get(_ context.Context, key string) (core.Object, error) {
	o, ok := m.objects[key]
	if m.down {
		return o, core.ErrUnavailable
	}
	if !ok {
		return o, core.ErrNotFound
	}
	return o, nil
}

func (m *memory) List(_ context.Context, prefix string) ([]core.Object, error) {
	var found []core.Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b core.Object) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

func (m *memory) Put(_ context.Context, key string, value []byte, version int64) (int64, error) {
	m.puts++
	var f failure
	if len(m.failures) > 0 {
		f, m.failures = m.failures[0], m.failures[1:]
	}
	if f.err != nil && !f.lost {
		return 0, f.err
	}
	if m.objects[key].Version != version {
		return 0, core.ErrConflict
	}
	m.version++
	if m.objects == nil {
		m.objects = map[string]core.Object{}
	}
	m.objects[key] = core.Object{Key: key, Value: value, Version: m.version}
	if f.between != nil {
		f.between()
	}
	return m.version, f.err
}

func (m *memory) Watch(context.Context, string, int64) ([]core.Object, int64, error) {
	return nil, 0, core.ErrUnavailable
}

// clock is a timer whose time the tests set.
type clock struct{ now core.Instant }

func (c *clock) After(time.Duration) <-chan core.Instant { return nil }

func (c *clock) Now() core.Instant { return c.now }

func (c *clock) Subscribe(time.Duration) core.Subscription { return nil }

// hostList is a fixed view of hosts.
type hostList []core.Host

func (l hostList) Hosts() []core.Host { return l }

// mutableHosts is a view of hosts that a test can replace.
type mutableHosts struct{ hosts *hostList }

func (v mutableHosts) Hosts() []core.Host { return *v.hosts }

// settingsSource is a source of settings; next, if set, replaces the embedded snapshot.
type settingsSource struct {
	core.Snapshot
	next *core.Snapshot
}

func (s *settingsSource) Current() *core.Snapshot {
	if s.next != nil {
		return s.next
	}
	return &s.Snapshot
}

// testSettings returns the settings of two regions with one service: the given number of targets in the two zones of
// luzon, one target in visayas, one shift, and a link in each direction.
func testSettings(targets int) *settingsSource {
	s := &settingsSource{Snapshot: core.Snapshot{
		RegionOf: map[string]string{"l1": "luzon", "l2": "luzon", "v1": "visayas"},
		Settings: core.Settings{
			Links:    []core.LinkSettings{{From: "luzon", To: "visayas"}, {From: "visayas", To: "luzon"}},
			Services: map[string]core.ServiceSettings{"bookings": {Targets: map[string]core.TargetSettings{}}},
			Shifts:   []core.ShiftSettings{{From: "luzon", Service: "bookings", To: "visayas"}},
		},
	}}
	for n := range targets {
		zone := fmt.Sprintf("l%d", n%2+1)
		s.Settings.Services["bookings"].Targets[fmt.Sprintf("t%d", n)] = core.TargetSettings{Zone: zone}
	}
	s.Settings.Services["bookings"].Targets["remote"] = core.TargetSettings{Zone: "v1"}
	return s
}
