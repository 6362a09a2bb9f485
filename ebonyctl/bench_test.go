package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core/store"
	"ebonyrouter.dev/entry/lookup"
)

// Size of the block map that the system is designed for.
const (
	designBlocks = 640_000
	designSites  = 210
)

// writeDesignFile writes a block file of the design size, a fifth of it IPv6. The first block belongs to the site with the
// given number, so that two files can differ in one block.
func writeDesignFile(b *testing.B, site int) string {
	b.Helper()
	var text strings.Builder
	for i := range designSites {
		fmt.Fprintf(&text, "site site%d r-a 100\n", i)
	}
	for i := range designBlocks {
		n := i * 7919 % designSites
		if i == 0 {
			n = site
		}
		var address [16]byte
		if i%5 == 0 {
			binary.BigEndian.PutUint64(address[:], 0x2001<<48+uint64(i)<<18)
			fmt.Fprintf(&text, "%v site%d\n", netip.PrefixFrom(netip.AddrFrom16(address), 48), n)
			continue
		}
		binary.BigEndian.PutUint32(address[:], 1<<24+uint32(i)<<11)
		fmt.Fprintf(&text, "%v site%d\n", netip.PrefixFrom(netip.AddrFrom4([4]byte(address[:4])), 24), n)
	}
	path := filepath.Join(b.TempDir(), "design.blocks")
	assert.NilError(b, os.WriteFile(path, []byte(text.String()), 0o600))
	return path
}

// BenchmarkApplyBlocks measures "blocks apply" for a map of the design size and then for a change of one block, with a
// store on loopback: duration, bytes written, and the time and the store reads that an entry process needs to load the map.
func BenchmarkApplyBlocks(b *testing.B) {
	files := map[string]string{"all": writeDesignFile(b, 1), "one": writeDesignFile(b, 2)}
	for b.Loop() {
		s := &fixture{memory: store.NewMemory()}
		s.loader = lookup.NewLoader(zap.NewNop(), &s.settings, s.memory, s.newRanker())
		var written atomic.Int64
		handler := s.handler()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPut {
				written.Add(r.ContentLength)
			}
			handler.ServeHTTP(w, r)
		}))
		settingsPath := filepath.Join(b.TempDir(), "one.json")
		assert.NilError(b, os.WriteFile(settingsPath, fmt.Appendf(nil, settingsFormat, 900, "1", 5), 0o600))
		ctl := func(args ...string) {
			a := &app{errOut: os.Stderr, now: time.Now, out: io.Discard}
			assert.Equal(b, a.run(context.Background(), args), 0)
		}
		address := server.Listener.Addr().String()
		ctl("apply", "--store", address, settingsPath)
		for i, name := range []string{"all", "one"} {
			written.Store(0)
			started := time.Now()
			ctl("blocks", "apply", "--store", address, "--base", strconv.Itoa(i+1), files[name])
			b.ReportMetric(float64(time.Since(started).Milliseconds()), name+"-apply-ms")
			b.ReportMetric(float64(written.Load()), name+"-written-B")
			_, err := s.applyNewest()
			assert.NilError(b, err)
			before := s.memory.Calls()[store.CallGet]
			started = time.Now()
			assert.NilError(b, s.loader.Load(context.Background()))
			b.ReportMetric(float64(time.Since(started).Milliseconds()), name+"-load-ms")
			b.ReportMetric(float64(s.memory.Calls()[store.CallGet]-before), name+"-reads")
		}
		server.Close()
	}
}
