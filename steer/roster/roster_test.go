package roster_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/timer"
	"ebonyrouter.dev/steer/roster"
)

// fakeLinks is a PeerLinks with settable live peers that records the connections.
type fakeLinks struct {
	alive     map[string]bool
	connected map[string]bool
}

func (f *fakeLinks) Alive(address string) bool { return f.alive[address] }
func (f *fakeLinks) Connect(address string)    { f.connected[address] = true }
func (f *fakeLinks) Disconnect(address string) { delete(f.connected, address) }

func host(name, region, zone string) core.Host {
	return core.Host{EntryAddress: name + ":80", Host: name, LinkAddress: name + ":72", Region: region, Zone: zone}
}

// TestResolve guards against lookups that name dead hosts or hosts of another zone without need, and against links to hosts
// of other regions.
func TestResolve(t *testing.T) {
	cases := map[string]struct {
		region, zone string
		dead         []string
		want         []string
	}{
		"same zone":               {"r1", "z1", nil, []string{"a", "b"}},
		"one of the zone is dead": {"r1", "z1", []string{"b"}, []string{"a"}},
		"other zone":              {"r1", "z2", nil, []string{"c"}},
		"zone without live host":  {"r1", "z2", []string{"c"}, []string{"a", "b"}},
		"other region":            {"r2", "z3", nil, []string{"a", "b", "c"}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			links := &fakeLinks{map[string]bool{"b:72": true, "c:72": true, "d:72": true}, map[string]bool{}}
			m := timer.NewManual()
			m.Advance(time.Hour)
			r := roster.New(host("a", "r1", "z1"), links, m, zap.NewNop())
			r.Reset([]core.Host{host("a", "r1", "z1"), host("b", "r1", "z1"), host("c", "r1", "z2"), host("d", "r2", "z3")})
			for _, dead := range k.dead {
				links.alive[dead+":72"] = false
			}
			m.Advance(2 * time.Second)
			var got []string
			for _, h := range r.Resolve(k.region, k.zone) {
				got = append(got, h.Host)
			}
			assert.DeepEqual(t, got, k.want)
			assert.DeepEqual(t, links.connected, map[string]bool{"b:72": true, "c:72": true})
		})
	}
}

// TestChanges guards against lookups that omit a new host because its link is not open yet, and against links that stay
// open after a host has changed its address or was removed.
func TestChanges(t *testing.T) {
	links := &fakeLinks{map[string]bool{}, map[string]bool{}}
	m := timer.NewManual()
	r := roster.New(host("a", "r1", "z1"), links, m, zap.NewNop())
	r.Put(host("a", "r1", "z1"))
	r.Put(host("b", "r1", "z1"))
	assert.DeepEqual(t, r.Names("r1"), []string{"a", "b"})
	assert.Equal(t, len(r.Resolve("r1", "z1")), 2, "a host that has just registered has no link yet")
	moved := host("b", "r1", "z1")
	moved.LinkAddress = "new:72"
	r.Put(moved)
	assert.DeepEqual(t, links.connected, map[string]bool{"new:72": true})
	r.Remove("b")
	assert.Equal(t, len(links.connected), 0)
	assert.DeepEqual(t, r.Names(""), []string{"a"})
}

// TestStoppingHosts guards against lookups that name a host which is stopping but still registered, because the store is
// unavailable. Such a host is named only if there is no other one, and again after its next start.
func TestStoppingHosts(t *testing.T) {
	restarted := host("b", "r1", "z1")
	restarted.Incarnation = "2"
	cases := map[string]struct {
		change func(*roster.Roster)
		want   []string
	}{
		"other host":                  {func(r *roster.Roster) { r.RecordStopping("b", true) }, []string{"a"}},
		"this host":                   {func(r *roster.Roster) { r.RecordStopping("a", true) }, []string{"b"}},
		"all hosts":                   {func(r *roster.Roster) { r.RecordStopping("a", true); r.RecordStopping("b", true) }, []string{"a", "b"}},
		"host that has registered":    {func(r *roster.Roster) { r.RecordStopping("b", true); r.Put(restarted) }, []string{"a", "b"}},
		"host that reports otherwise": {func(r *roster.Roster) { r.RecordStopping("b", true); r.RecordStopping("b", false) }, []string{"a", "b"}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			links := &fakeLinks{map[string]bool{"b:72": true}, map[string]bool{}}
			m := timer.NewManual()
			m.Advance(time.Hour)
			r := roster.New(host("a", "r1", "z1"), links, m, zap.NewNop())
			r.Reset([]core.Host{host("a", "r1", "z1"), host("b", "r1", "z1")})
			assert.Equal(t, len(r.Resolve("r1", "z1")), 2)
			k.change(r)
			var got []string
			for _, h := range r.Resolve("r1", "z1") {
				got = append(got, h.Host)
			}
			assert.DeepEqual(t, got, k.want)
		})
	}
}

// TestReaders guards against hosts of a region that ask different readers, or readers that are dead, stopping or of another region.
func TestReaders(t *testing.T) {
	cases := map[string]struct {
		dead, stopping []string
		want           []string
	}{
		"all live":            {nil, nil, []string{"d:72", "a:72", "b:72"}},
		"largest dead":        {[]string{"d"}, nil, []string{"a:72", "b:72", "c:72"}},
		"largest is stopping": {nil, []string{"d"}, []string{"a:72", "b:72", "c:72"}},
		"only this host":      {[]string{"b", "c", "d"}, nil, []string{"a:72"}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			r, links, _ := newRoster(10)
			other := host("e", "r2", "z3")
			other.Capacity = 2
			r.Put(other)
			for _, dead := range k.dead {
				links.alive[dead+":72"] = false
			}
			for _, stopping := range k.stopping {
				r.RecordStopping(stopping, true)
			}
			assert.DeepEqual(t, r.Readers(), k.want)
		})
	}
}

// TestRestoredStore guards against lookups that do not name a host whose registration the restored store has lost, or that name one which has
// left and whose registration the store got back.
func TestRestoredStore(t *testing.T) {
	a, b, c := host("a", "r1", "z1"), host("b", "r1", "z1"), host("c", "r1", "z1")
	cases := map[string]struct {
		steps func(*roster.Roster, *timer.Manual)
		want  []string
	}{
		"lost":                   {func(r *roster.Roster, _ *timer.Manual) { r.Reset([]core.Host{a}) }, []string{"a", "b"}},
		"lost, written again":    {func(r *roster.Roster, m *timer.Manual) { r.Reset([]core.Host{a}); r.Put(b); m.Advance(time.Minute) }, []string{"a", "b"}},
		"lost, not written":      {func(r *roster.Roster, m *timer.Manual) { r.Reset([]core.Host{a}); m.Advance(3 * time.Second) }, []string{"a"}},
		"lost, then removed":     {func(r *roster.Roster, _ *timer.Manual) { r.Reset([]core.Host{a}); r.Remove("b") }, []string{"a"}},
		"left before and listed": {func(r *roster.Roster, _ *timer.Manual) { r.Reset([]core.Host{a, b, c}) }, []string{"a", "b"}},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			m := timer.NewManual()
			r := roster.New(a, &fakeLinks{map[string]bool{"b:72": true}, map[string]bool{}}, m, zap.NewNop())
			r.Reset([]core.Host{a, b})
			m.Advance(time.Minute)
			r.MarkRestored()
			k.steps(r, m)
			r.RemoveMissing()
			var got []string
			for _, h := range r.Resolve("r1", "z1") {
				got = append(got, h.Host)
			}
			assert.DeepEqual(t, got, k.want)
		})
	}
}

// TestZoneRelays guards against hosts of a zone that ask different relays, or one that is dead, stopping or of another zone, and against a
// relay that calls the store more often although no host asks it. Host a is this host; d is the largest of its zone.
func TestZoneRelays(t *testing.T) {
	cases := map[string]struct {
		change func(*roster.Roster, *fakeLinks)
		want   []string
	}{
		"all live":                     {func(*roster.Roster, *fakeLinks) {}, []string{"d:72"}},
		"largest dead":                 {func(_ *roster.Roster, l *fakeLinks) { l.alive["d:72"] = false }, []string{"a:72"}},
		"largest is stopping":          {func(r *roster.Roster, _ *fakeLinks) { r.RecordStopping("d", true) }, []string{"a:72"}},
		"largest removed":              {func(r *roster.Roster, _ *fakeLinks) { r.Remove("d") }, []string{"a:72"}},
		"this host has not registered": {func(r *roster.Roster, _ *fakeLinks) { r.Remove("a") }, []string{"d:72"}},
		"only this host":               {func(_ *roster.Roster, l *fakeLinks) { l.alive["b:72"], l.alive["d:72"] = false, false }, nil},
		"one other host":               {func(_ *roster.Roster, l *fakeLinks) { l.alive["b:72"] = false }, []string{"d:72"}},
		"no hosts":                     {func(r *roster.Roster, _ *fakeLinks) { r.Reset(nil) }, nil},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			links := &fakeLinks{map[string]bool{"b:72": true, "c:72": true, "d:72": true}, map[string]bool{}}
			m := timer.NewManual()
			r := roster.New(host("a", "r1", "z1"), links, m, zap.NewNop())
			hosts := []core.Host{host("a", "r1", "z1"), host("b", "r1", "z1"), host("c", "r1", "z2"), host("d", "r1", "z1")}
			hosts[2].Capacity, hosts[3].Capacity = 9, 5
			r.Reset(hosts)
			m.Advance(2 * time.Second)
			k.change(r, links)
			assert.DeepEqual(t, r.ZoneRelays(), k.want)
		})
	}
}
