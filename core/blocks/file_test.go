package blocks_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/blocks"
	"ebonyrouter.dev/core/store"
)

const fileHeader = "site a z0 100\nsite b z1 70 # west\n\n"

// Guards against blocks that are lost when a file is parsed and written, and against a Find that misses the longest prefix.
func TestFileRoundTrip(t *testing.T) {
	const text = "site a z0 100\nsite b z1 70\n10.0.0.0/8 b\n10.1.0.0/16 a\n2001:db8::/32 a\n"
	f, err := blocks.ParseFile(strings.NewReader(text))
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, blocks.WriteFile(&out, &f.Map))
	assert.Equal(t, out.String(), text)
	for client, want := range map[string]string{
		"10.0.0.1": "10.0.0.0/8", "10.1.2.3": "10.1.0.0/16", "::ffff:10.1.2.3": "10.1.0.0/16", "2001:db8::1": "2001:db8::/32",
		"11.0.0.1": "invalid Prefix", "2002::": "invalid Prefix",
	} {
		b, _ := f.Find(netip.MustParseAddr(client))
		assert.Equal(t, b.Prefix.String(), want, client)
	}
}

// Guards against a parser that stops at the first fault or does not report its line.
func TestFileFaults(t *testing.T) {
	var large strings.Builder
	large.WriteString(fileHeader)
	for i := range blocks.MaxBlocks + 2 {
		fmt.Fprintf(&large, "%d.%d.%d.0/24 a\n", 1+i>>16, i>>8&255, i&255)
	}
	for name, tc := range map[string]struct{ text, want string }{
		"empty":        {"", "line 0: the file defines no site"},
		"prefix":       {fileHeader + "10.0.0.0/33 a", "line 4: 10.0.0.0/33: not a prefix such as 192.0.2.0/24 or 2001:db8::/32"},
		"host bits":    {fileHeader + "10.1.0.0/8 a", "line 4: 10.1.0.0/8: prefix has address bits beyond its length; the prefix is 10.0.0.0/8"},
		"IPv4 in IPv6": {fileHeader + "::ffff:10.0.0.0/104 a", "line 4: ::ffff:10.0.0.0/104: prefix is an IPv4 address in IPv6 form; the prefix is ::ffff:10.0.0.0/104"},
		"duplicate":    {fileHeader + "10.0.0.0/8 a\n10.0.0.0/8 b", "line 5: 10.0.0.0/8: already on line 4"},
		"unknown site": {fileHeader + "10.0.0.0/8 c", `line 4: 10.0.0.0/8: unknown site "c"`},
		"fields":       {fileHeader + "10.0.0.0/8", "line 4: 10.0.0.0/8: want PREFIX SITE, got 1 fields"},
		"site fields":  {fileHeader + "site c", "line 4: want site NAME ZONE WEIGHT, got 2 fields"},
		"site name":    {fileHeader + "site - z2 1", `line 4: site -: name: "-" is not up to 64 letters, digits and . _ - that start with a letter or digit`},
		"site twice":   {fileHeader + "site a z2 1", "line 4: site a: already on line 1"},
		"weight":       {fileHeader + "site c z2 101", "line 4: site c: weight: 101, want 1 to 100"},
		"weight text":  {fileHeader + "site c z2 x", `line 4: site c: weight "x" is not a whole number`},
		"two faults":   {fileHeader + "x a\ny a", "line 4: x: not a prefix such as 192.0.2.0/24 or 2001:db8::/32\nline 5: y: not a prefix such as 192.0.2.0/24 or 2001:db8::/32"},
		"long line":    {fileHeader + strings.Repeat("x", 1<<16), "line 4: too large: a line has at most 65535 bytes"},
		"too large":    {large.String(), "line 1048580: 17.0.0.0/24: too large: a map has at most 1048576 blocks"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := blocks.ParseFile(strings.NewReader(tc.text))
			var faults *blocks.FaultsError
			assert.Assert(t, errors.As(err, &faults))
			assert.Equal(t, err.Error(), tc.want)
		})
	}
}

// FuzzFile guards against text that crashes the parser, and against an accepted map that cannot be written or that differs
// after it is written, as a file or to the store, and read again.
func FuzzFile(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		file, err := blocks.ParseFile(strings.NewReader(text))
		if err != nil {
			return
		}
		var written bytes.Buffer
		assert.NilError(t, blocks.WriteFile(&written, &file.Map))
		reparsed, err := blocks.ParseFile(&written)
		assert.NilError(t, err)
		assert.Equal(t, len(blocks.Diff(&file.Map, &reparsed.Map)), 0)
		s := store.NewMemory()
		e, err := file.Encode()
		assert.NilError(t, err)
		assert.NilError(t, (&blocks.Writer{Store: s}).Write(t.Context(), e))
		stored, _, err := blocks.Read(t.Context(), s, e.Settings())
		assert.NilError(t, err)
		assert.Equal(t, len(blocks.Diff(&file.Map, stored)), 0)
	})
}
