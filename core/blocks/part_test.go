package blocks_test

import (
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/store"
)

var sites = []blocks.Site{{Name: "a", Weight: 100, Zone: "z0"}, {Name: "b", Weight: 70, Zone: "z1"}}

func block(prefix string, site uint8) blocks.Block {
	return blocks.Block{Prefix: netip.MustParsePrefix(prefix), Site: site}
}

// makeBlocks returns n blocks in order, half of them IPv6.
func makeBlocks(n int) []blocks.Block {
	list := make([]blocks.Block, 0, n)
	for i := range n / 2 {
		a := netip.AddrFrom4([4]byte{byte(i >> 14), byte(i >> 6), byte(i << 2), 0})
		list = append(list, blocks.Block{Prefix: netip.PrefixFrom(a, 22), Site: uint8(i % 2)})
	}
	for i := range n - n/2 {
		a := netip.AddrFrom16([16]byte{0x20, 1, byte(i >> 16), byte(i >> 8), byte(i)})
		list = append(list, blocks.Block{Prefix: netip.PrefixFrom(a, 48), Site: uint8(i % 2)})
	}
	return list
}

func encode(t testing.TB, list []blocks.Block) *blocks.Encoded {
	t.Helper()
	e, err := (&blocks.Map{Blocks: list, Sites: sites}).Encode()
	assert.NilError(t, err)
	return e
}

// Guards against blocks that are lost when a map is written and read, against objects above the store's size limit, and
// against index ranges that do not contain the blocks of their part.
func TestStoreRoundTrip(t *testing.T) {
	for name, list := range map[string][]blocks.Block{
		"none": nil,
		"few":  {block("0.0.0.0/0", 1), block("::/0", 0), block("::ffff:ffff/128", 1)},
		"many": append(makeBlocks(200_000), block("255.255.255.255/32", 1)),
	} {
		t.Run(name, func(t *testing.T) {
			s := store.NewMemory()
			e := encode(t, list)
			assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), e))
			m, index, err := blocks.Read(t.Context(), s, e.Settings())
			assert.NilError(t, err)
			assert.Assert(t, slices.Equal(m.Blocks, list))
			for i := range list {
				part := index.FindPart(list[i].Prefix.Addr())
				from, end := index.PartRange(part)
				address := list[i].Prefix.Addr()
				assert.Assert(t, !address.Less(from) && (!end.IsValid() || address.Less(end)), "%v", list[i].Prefix)
			}
		})
	}
}

// Guards against a change of one block that moves the boundaries of other parts, which every host would then read again,
// and against parts above the store's size limit.
func TestChangeTouchesOnePart(t *testing.T) {
	list := makeBlocks(200_000)
	old := encode(t, list)
	assert.Assert(t, len(old.Index.Parts) > 2)
	for name, change := range map[string][]blocks.Block{
		"other site": append([]blocks.Block{{Prefix: list[500].Prefix, Site: 1 - list[500].Site}}, append(slices.Clone(list[:500]), list[501:]...)...),
		"removed":    append(slices.Clone(list[:500]), list[501:]...),
		"added":      append(slices.Clone(list), block("0.0.0.0/8", 0)),
	} {
		t.Run(name, func(t *testing.T) {
			changed := encode(t, change)
			assert.Equal(t, len(changed.Index.PartsNotIn(&old.Index)), 1)
			assert.Equal(t, len(old.Index.PartsNotIn(&changed.Index)), 1)
			for _, content := range changed.Parts {
				assert.Assert(t, len(content) <= core.MaxObjectBytes)
			}
		})
	}
}

// Guards against an invalid part that is accepted, against an error that does not name the invalid entry, and against a map that
// is encoded although it lists a prefix twice.
func TestPartReaderRejectsInvalidParts(t *testing.T) {
	with := func(entry ...byte) []byte { return append([]byte("EBB2\x08\x01\x0a"), entry...) }
	for name, tc := range map[string]struct {
		part []byte
		want string
	}{
		"empty":       {nil, "does not start"},
		"old format":  {[]byte("EBB1"), "does not start"},
		"cut entry":   {with(24, 1, 11), "entry 1: truncated"},
		"length":      {with(33, 1, 11, 0, 0, 0, 0), "entry 1: invalid prefix length code 33"},
		"host bits":   {with(9, 1, 11, 1), "entry 1: 11.1.0.0/9: prefix has address bits"},
		"no site":     {with(8, 2, 11), "entry 1: 11.0.0.0/8: site 2 does not exist"},
		"wrong order": {with(8, 1, 9), "entry 1: 9.0.0.0/8 does not follow 10.0.0.0/8"},
		"twice":       {with(8, 1, 10), "entry 1: 10.0.0.0/8 does not follow"},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := blocks.NewPartReader(tc.part, len(sites))
			if err == nil {
				_, err = r.ReadAll()
			}
			assert.ErrorContains(t, err, tc.want)
		})
	}
	_, err := (&blocks.Map{Blocks: []blocks.Block{block("10.0.0.0/8", 1), block("10.0.0.0/8", 0)}, Sites: sites}).Encode()
	assert.ErrorContains(t, err, "listed twice")
}

// Guards against an index that is accepted although its parts are not in strictly ascending order, do not start at the lowest
// address or have an invalid digest.
func TestValidateRejectsInvalidIndex(t *testing.T) {
	d := "0123456789abcdef0123456789abcdef"
	addr := netip.MustParseAddr
	for name, tc := range map[string]struct {
		index blocks.Index
		want  string
	}{
		"no sites": {blocks.Index{}, "0 sites"},
		"no parts": {blocks.Index{Sites: sites}, "0 parts"},
		"start":    {blocks.Index{Sites: sites, Parts: []blocks.PartRef{{Digest: d, From: addr("1.0.0.0")}}}, "part 0 starts at 1.0.0.0"},
		"digest":   {blocks.Index{Sites: sites, Parts: []blocks.PartRef{{Digest: "x", From: addr("0.0.0.0")}}}, "not a digest"},
		"order": {blocks.Index{Sites: sites, Parts: []blocks.PartRef{
			{Digest: d, From: addr("0.0.0.0")}, {Digest: d, From: addr("::")}, {Digest: d, From: addr("9.0.0.0")},
		}}, "part 2: 9.0.0.0 does not follow ::"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.ErrorContains(t, tc.index.Validate(), tc.want)
		})
	}
}

// FuzzPart guards against input that crashes the reader, and against accepted parts that encode differently from their input.
func FuzzPart(f *testing.F) {
	f.Fuzz(func(t *testing.T, part []byte) {
		r, err := blocks.NewPartReader(part, len(sites))
		if err != nil {
			return
		}
		list, err := r.ReadAll()
		if err != nil {
			return
		}
		e := encode(t, list)
		if len(e.Index.Parts) == 1 {
			assert.DeepEqual(t, e.Parts[e.Index.Parts[0].Digest], part)
		}
	})
}
