package lookup_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/entry/lookup"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// block returns a block from the text of its prefix.
func block(prefix string, site uint8) blocks.Block {
	return blocks.Block{Prefix: netip.MustParsePrefix(prefix), Site: site}
}

// Guards against a lost change of a block that covers several pages of a built table. The change is lost if the block goes
// into a page that covers all addresses beside the smaller pages, because lookups find only the smaller ones.
func TestChangeOfWideBlock(t *testing.T) {
	wide := netip.MustParsePrefix("0.0.0.0/0")
	r := newRanker(t, newFixture(11), newSites(designSites, 100), append(randomBlocks(3000, true), blocks.Block{Prefix: wide, Site: 1}))
	size := r.Table().Len()
	assert.NilError(t, r.SetBlock(blocks.Block{Prefix: wide, Site: 2}))
	site, ok := r.Table().Find(netip.MustParseAddr("250.0.0.1"))
	assert.Assert(t, ok)
	assert.Equal(t, site, 2)
	assert.Equal(t, r.Table().Len(), size)
	r.RemoveBlock(wide)
	_, ok = r.Table().Find(netip.MustParseAddr("250.0.0.1"))
	assert.Assert(t, !ok)
}

// Guards against blocks that are lost or not removed when many changes fall into one page and split it.
func TestWithChangesAgainstBuild(t *testing.T) {
	sites := newSites(designSites, 100)
	wide := []blocks.Block{block("0.0.0.0/0", 3), block("1.0.0.0/8", 3), block("2001::/16", 4), block("2001::1/128", 5)}
	for name, clustered := range distributions {
		t.Run(name, func(t *testing.T) {
			all := randomBlocks(6000, clustered)
			lists := [][]blocks.Block{all[:500], append(slices.Clone(all), wide...), all[2000:4000], append(slices.Clone(all[5990:]), wide...), nil}
			table := build(t, encode(t, sites, nil))
			var old []blocks.Block
			for _, list := range lists {
				list = slices.Clone(list)
				for i := range list {
					list[i].Site = uint8((int(list[i].Site) + i%2) % designSites)
				}
				slices.SortFunc(list, blocks.Compare)
				table = table.WithChanges(old, list)
				assertEqualTables(t, table, build(t, encode(t, sites, list)))
				old = list
			}
		})
	}
}

// Guards against lookups that differ from a linear scan for the block with the longest matching prefix, after a build and after
// changes.
func TestTableAgainstScan(t *testing.T) {
	for name, clustered := range distributions {
		t.Run(name, func(t *testing.T) {
			list := randomBlocks(3000, clustered)
			for _, p := range []string{"0.0.0.0/0", "1.0.0.0/8", "1.0.0.0/9", "1.2.3.4/32", "::/0", "2001::/16", "2001::1/128"} {
				list = append(list, block(p, 3))
			}
			r := newRanker(t, newFixture(11), newSites(designSites, 100), list)
			random := rand.New(rand.NewPCG(3, 4))
			for i := range 600 {
				if i%3 == 0 {
					n := random.IntN(len(list))
					r.RemoveBlock(list[n].Prefix)
					list = slices.Delete(list, n, n+1)
				}
				n := random.IntN(len(list))
				list[n].Site = uint8(random.IntN(designSites))
				assert.NilError(t, r.SetBlock(list[n]))
				client := list[random.IntN(len(list))].Prefix.Addr()
				site, ok := r.Table().Find(client)
				want, found := scan(list, client)
				assert.Equal(t, ok, found, "%v", client)
				assert.Equal(t, site, want, "%v", client)
			}
			assert.Equal(t, r.Table().Len(), len(list))
		})
	}
}

// scan returns the site of the block with the longest prefix that contains client, or false if there is none.
func scan(list []blocks.Block, client netip.Addr) (site int, ok bool) {
	longest := -1
	for _, b := range list {
		if b.Prefix.Contains(client) && b.Prefix.Bits() > longest {
			site, ok, longest = int(b.Site), true, b.Prefix.Bits()
		}
	}
	return site, ok
}

// Guards against a response that contains a host that is draining, not ready or drained by the settings, and against a host
// order that does not follow distance.
func TestRankedByDistance(t *testing.T) {
	f := newFixture(33)
	f.hosts[0].State = core.HostDraining
	f.hosts[11].State = core.HostStarting
	f.snapshot.Settings.Drains = core.DrainSettings{Hosts: []string{"h005"}, Zones: []string{zone(10)}}
	r := newRanker(t, f, newSites(11, 100), []blocks.Block{block("1.0.0.0/24", 0), block("2001:db8::/32", 1)})
	for client, want := range map[string]struct{ region, site, locations string }{
		"1.0.0.9":         {"r0", "site0", "z0 z5 z5 r1 r1 r1"},
		"::ffff:1.0.0.10": {"r0", "site0", "z0 z5 z5 r1 r1 r1"},
		"2001:db8::1":     {"r1", "site1", "z1 z1 z1 z6 z6 r0"},
	} {
		t.Run(client, func(t *testing.T) {
			a, err := r.Lookup("bookings", netip.MustParseAddr(client))
			assert.NilError(t, err)
			var locations []string
			for _, h := range a.Hosts {
				assert.Assert(t, !slices.Contains([]string{"h000", "h011", "h005"}, h.Host))
				location := f.snapshot.RegionOf[h.Zone]
				if location == want.region {
					location = h.Zone
				}
				locations = append(locations, location)
			}
			assert.Equal(t, strings.Join(locations, " "), want.locations)
			assert.Equal(t, a.Site, want.site)
			assert.Equal(t, a.ValidMs, int64(30_000))
			assert.Equal(t, a.Revision, int64(7))
		})
	}
}

// Guards against uneven load among the hosts of a zone and, for clients in no block, among all hosts, and against a wrong
// percentage of clients whose list starts in the site's zone.
func TestClientsSpreadOverHosts(t *testing.T) {
	const clients = 40_000
	for name, tc := range map[string]struct {
		prefix string
		hosts  int
		weight int
		inZone int
	}{
		"zone of 63":   {"10.0.0.0/8", designHosts, 100, clients},
		"zone of 1":    {"10.0.0.0/8", 11, 100, clients},
		"weight 70":    {"10.0.0.0/8", designHosts, 70, clients * 7 / 10},
		"unknown":      {"", 44, 100, 0},
		"IPv6 subnets": {"2001:db8::/32", designHosts, 100, clients},
	} {
		t.Run(name, func(t *testing.T) {
			var list []blocks.Block
			if tc.prefix != "" {
				list = append(list, block(tc.prefix, 1))
			}
			r := newRanker(t, newFixture(tc.hosts), newSites(2, tc.weight), list)
			firstHosts := map[string]int{}
			inZone := 0
			for i := range clients {
				a, err := r.Lookup("records", clientAt(tc.prefix, i))
				assert.NilError(t, err)
				firstHosts[a.Hosts[0].Host]++
				if tc.inZone > 0 && a.Hosts[0].Zone == zone(1) {
					inZone++
				}
			}
			assert.Assert(t, inZone >= tc.inZone*98/100 && inZone <= tc.inZone*102/100, "%d in zone, want %d", inZone, tc.inZone)
			if tc.weight == 100 {
				counts := slices.Collect(maps.Values(firstHosts))
				assert.Assert(t, slices.Max(counts)*10 <= slices.Min(counts)*13, "%v", counts)
			}
		})
	}
}

// clientAt returns client i: an address in 2001:db8::/32 if prefix is IPv6, otherwise one in 10.0.0.0/8.
func clientAt(prefix string, i int) netip.Addr {
	if strings.Contains(prefix, ":") {
		return netip.MustParseAddr(fmt.Sprintf("2001:db8:%x::1", i))
	}
	return netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
}

// Guards against lookups that panic or find no block at the end of the address space, where the partial key equals that of
// the unused positions in a page.
func TestHighestAddress(t *testing.T) {
	for _, highest := range []string{"255.255.255.255/32", "ffff:ffff:ffff:ffff::/64", "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff/128"} {
		for _, others := range []int{-1, 0, 8, 9, 10, 98, 99, 100} {
			t.Run(fmt.Sprint(highest, others), func(t *testing.T) {
				list := []blocks.Block{block(highest, 1)}
				for i := range others {
					list = append(list, block(fmt.Sprintf("10.0.%d.0/24", i), 2), block(fmt.Sprintf("2001:db8:%x::/48", i), 2))
				}
				list = list[max(0, -others):]
				table := build(t, encode(t, newSites(3, 100), list))
				client := netip.MustParsePrefix(highest).Addr()
				site, ok := table.Find(client)
				want, found := scan(list, client)
				assert.Equal(t, ok, found)
				assert.Equal(t, site, want)
			})
		}
	}
}

// Guards against a panic for an invalid client address, and against an address with an IPv6 zone that finds no block.
func TestUnusualClients(t *testing.T) {
	r := newRanker(t, newFixture(11), newSites(2, 100), []blocks.Block{block("fe80::/16", 1)})
	for name, tc := range map[string]struct {
		client netip.Addr
		site   string
	}{
		"invalid": {netip.Addr{}, ""},
		"scoped":  {netip.MustParseAddr("fe80::1%eth0"), "site1"},
	} {
		t.Run(name, func(t *testing.T) {
			a, err := r.Lookup("bookings", tc.client)
			assert.NilError(t, err)
			assert.Equal(t, a.Site, tc.site)
			assert.Equal(t, len(a.Hosts), 6)
		})
	}
}

// Guards against memory allocation during a lookup.
func TestLookupAllocatesNothing(t *testing.T) {
	r := newRanker(t, newFixture(11), newSites(designSites, 50), randomBlocks(1000, true))
	client := netip.MustParseAddr("1.0.0.9")
	assert.Equal(t, testing.AllocsPerRun(100, func() { _, _ = r.Lookup("bookings", client) }), 0.0)
}

// Guards against incomplete responses to lookups that run concurrently with changes of blocks and hosts, and against responses
// that still contain a draining host after these changes.
func TestConcurrentChanges(t *testing.T) {
	f := newFixture(22)
	r := newRanker(t, f, newSites(2, 100), []blocks.Block{block("10.0.0.0/8", 0)})
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				a, err := r.Lookup("bookings", clientAt("", i))
				assert.Check(t, err)
				assert.Check(t, len(a.Hosts) == 6 && a.Site != "")
			}
		})
	}
	for i := range 200 {
		assert.NilError(t, r.SetBlock(block("10.0.0.0/9", uint8(i%2))))
		r.RemoveBlock(netip.MustParsePrefix("10.0.0.0/9"))
		f.hosts = slices.Clone(f.hosts)
		f.hosts[0].State = []core.HostState{core.HostReady, core.HostDraining}[i%2]
		assert.NilError(t, r.Refresh())
	}
	close(stop)
	readers.Wait()
	for i := range 1000 {
		a, err := r.Lookup("bookings", clientAt("", i))
		assert.NilError(t, err)
		for _, h := range a.Hosts {
			assert.Assert(t, h.Host != "h000")
		}
	}
}

// Guards against HTTP responses that differ from the results of Lookup, and against wrong status and result codes.
func TestHandler(t *testing.T) {
	r := newRanker(t, newFixture(11), newSites(11, 100), []blocks.Block{block("192.0.2.0/24", 4)})
	noSettings := lookup.NewRanker(nopLog, &fixture{}, &fixture{})
	noHosts := newRanker(t, newFixture(0), newSites(1, 100), nil)
	for name, tc := range map[string]struct {
		ranker *lookup.Ranker
		query  string
		status int
		code   string
		client string
	}{
		"client":          {r, "service=bookings&client=192.0.2.9", 200, "1000", "192.0.2.9"},
		"remote address":  {r, "service=bookings", 200, "1000", "192.0.2.1"},
		"unknown block":   {r, "service=bookings&client=8.8.8.8", 200, "1000", "8.8.8.8"},
		"unknown service": {r, "service=x", 404, "2001", ""},
		"bad client":      {r, "service=bookings&client=x", 400, "2002", ""},
		"no settings":     {noSettings, "service=bookings", 503, "3005", ""},
		"no hosts":        {noHosts, "service=bookings", 503, "3005", ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			tc.ranker.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/lookup?"+tc.query, nil))
			assert.Equal(t, w.Code, tc.status)
			assert.Equal(t, w.Header().Get(core.HeaderCode), tc.code)
			if tc.client == "" {
				return
			}
			var got core.LookupResponse
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
			want, err := r.Lookup("bookings", netip.MustParseAddr(tc.client))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, want)
			assert.Equal(t, w.Header().Get("Content-Length"), fmt.Sprint(w.Body.Len()))
			assert.Equal(t, w.Header().Get("Cache-Control"), "max-age=30")
		})
	}
	_, err := noSettings.Lookup("bookings", netip.MustParseAddr("192.0.2.1"))
	assert.Assert(t, errors.Is(err, lookup.ErrNotReady))
}
