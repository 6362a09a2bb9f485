package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/links"
)

// openLinks records which addresses are connected.
type openLinks struct {
	core.Links
	alive map[string]bool
	open  map[string]bool
}

func (o *openLinks) Alive(address string) bool { return o.alive[address] }

func (o *openLinks) Connect(address string) { o.open[address] = true }

func (o *openLinks) Disconnect(address string) { delete(o.open, address) }

// TestBackupLinks guards against a host without a source of documents, because it closes the links to its configured peers
// although no relay responds, and against links to the peers that stay open while a relay responds.
func TestBackupLinks(t *testing.T) {
	const relay, peer, entry = "relay", "peer", "entry"
	for name, test := range map[string]struct {
		alive  []string
		synced bool
		want   []string
	}{
		"start":                  {nil, false, []string{entry, peer}},
		"relay responds":         {[]string{relay, entry}, true, nil},
		"relay is unresponsive":  {[]string{entry}, true, []string{peer}},
		"documents not compared": {[]string{relay, entry}, false, []string{peer}},
		"entry is unresponsive":  {[]string{relay}, true, []string{entry}},
	} {
		t.Run(name, func(t *testing.T) {
			open := &openLinks{alive: map[string]bool{}, open: map[string]bool{}}
			for _, a := range test.alive {
				open.alive[a] = true
			}
			b := &backupLinks{entry: entry, links: links.NewShared(open).User(), peers: []string{peer}}
			for now := core.Instant(1); now < core.Instant(2*backupAfter); now = now.Add(hostsInterval) {
				b.update(test.synced, []string{relay}, now)
			}
			want := map[string]bool{}
			for _, a := range test.want {
				want[a] = true
			}
			assert.DeepEqual(t, open.open, want)
		})
	}
}
