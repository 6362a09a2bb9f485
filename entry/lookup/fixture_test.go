package lookup_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/entry/lookup"
)

// Numbers of blocks, hosts and sites at the design size.
const (
	designBlocks = 640_000
	designHosts  = 690
	designSites  = 210
)

var nopLog = zap.NewNop()

// fixture provides settings and hosts that tests change.
type fixture struct {
	hosts    []core.Host
	snapshot *core.Snapshot
}

// Current implements core.SettingsSource.Current.
func (f *fixture) Current() *core.Snapshot { return f.snapshot }

// Hosts implements core.HostView.Hosts.
func (f *fixture) Hosts() []core.Host { return f.hosts }

// newFixture returns 11 zones in 5 regions, r0 (z0, z5, z10) to r4, with the hosts distributed evenly over the zones. The
// latency between two regions is proportional to the difference of their numbers.
func newFixture(hosts int) *fixture {
	s := &core.Snapshot{
		Head:     core.SettingsHead{Revision: 7},
		Policies: map[string]map[string]core.EffectivePolicy{},
		RegionOf: map[string]string{},
	}
	s.Settings.Services = map[string]core.ServiceSettings{"bookings": {}, "records": {}, "statusboard": {}}
	for i := range 11 {
		s.RegionOf[zone(i)] = fmt.Sprintf("r%d", i%5)
	}
	for from := range 5 {
		for to := range 5 {
			l := core.LinkSettings{From: fmt.Sprintf("r%d", from), OneWayMs: int64(10 * max(from-to, to-from)), To: fmt.Sprintf("r%d", to)}
			s.Settings.Links = append(s.Settings.Links, l)
		}
	}
	for name := range s.Settings.Services {
		s.Policies[name] = map[string]core.EffectivePolicy{}
		for z := range s.RegionOf {
			s.Policies[name][z] = core.EffectivePolicy{LookupHosts: 6, LookupValidMs: 30_000}
		}
	}
	f := &fixture{snapshot: s}
	for i := range hosts {
		f.hosts = append(f.hosts, core.Host{
			EntryAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Host:         fmt.Sprintf("h%03d", i),
			State:        core.HostReady,
			Zone:         zone(i % 11),
		})
	}
	return f
}

func zone(i int) string { return fmt.Sprintf("z%d", i) }

// newSites returns n sites with a weight, assigned to the zones in turn.
func newSites(n, weight int) []blocks.Site {
	sites := make([]blocks.Site, n)
	for i := range sites {
		sites[i] = blocks.Site{Name: fmt.Sprintf("site%d", i), Weight: weight, Zone: zone(i % 11)}
	}
	return sites
}

// newRanker returns a ranker with the fixture's rankings and a table of the blocks in list.
func newRanker(t testing.TB, f *fixture, sites []blocks.Site, list []blocks.Block) *lookup.Ranker {
	t.Helper()
	r := lookup.NewRanker(nopLog, f, f)
	assert.NilError(t, r.Refresh())
	assert.NilError(t, r.SetTable(build(t, encode(t, sites, list))))
	return r
}

func encode(t testing.TB, sites []blocks.Site, list []blocks.Block) *blocks.Encoded {
	t.Helper()
	e, err := (&blocks.Map{Blocks: slices.Clone(list), Sites: sites}).Encode()
	assert.NilError(t, err)
	return e
}

// build builds the table of an encoded map.
func build(t testing.TB, e *blocks.Encoded) *lookup.Table {
	t.Helper()
	b := lookup.NewBuilder(e.Index.Sites)
	for _, p := range e.Index.Parts {
		r, err := blocks.NewPartReader(e.Parts[p.Digest], len(e.Index.Sites))
		assert.NilError(t, err)
		assert.NilError(t, b.Add(r))
	}
	return b.Table()
}

// randomBlocks returns n different blocks, a fifth of them IPv6. Clustered blocks follow each other with gaps, as allocations
// by address registries do; otherwise the addresses are uniformly random.
func randomBlocks(n int, clustered bool) []blocks.Block {
	random := rand.New(rand.NewPCG(1, 2))
	seen := make(map[netip.Prefix]bool, n)
	list := make([]blocks.Block, 0, n)
	next4, next6 := uint32(1<<24), uint64(0x2001)<<48
	for len(list) < n {
		var p netip.Prefix
		if random.IntN(5) == 0 {
			bits := []int{32, 36, 40, 44, 48, 48, 48, 48, 48, 56}[random.IntN(10)]
			if !clustered {
				next6 = uint64(0x2000)<<48 | random.Uint64()>>3
			}
			p = prefix6(next6, bits)
			next6 += 1 << (64 - bits) << random.IntN(4)
		} else {
			bits := []int{24, 24, 24, 24, 24, 24, 23, 22, 21, 20}[random.IntN(10)]
			if !clustered {
				next4 = random.Uint32()
			}
			p = prefix4(next4, bits)
			next4 += 1 << (32 - bits) << random.IntN(3)
		}
		if seen[p] {
			continue
		}
		seen[p] = true
		list = append(list, blocks.Block{Prefix: p, Site: uint8(random.IntN(designSites))})
	}
	return list
}

func prefix4(address uint32, bits int) netip.Prefix {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], address)
	return netip.PrefixFrom(netip.AddrFrom4(a), bits).Masked()
}

func prefix6(address uint64, bits int) netip.Prefix {
	var a [16]byte
	binary.BigEndian.PutUint64(a[:], address)
	return netip.PrefixFrom(netip.AddrFrom16(a), bits).Masked()
}
