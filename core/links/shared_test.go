package links_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/links"
)

// openLinks notes which addresses are connected.
type openLinks struct {
	core.Links
	open map[string]bool
}

func (o *openLinks) Connect(address string) { o.open[address] = true }

func (o *openLinks) Disconnect(address string) { delete(o.open, address) }

// Guards against a link that one part closes while another one needs it, and against one that stays open for nobody.
func TestSharedLinks(t *testing.T) {
	open := &openLinks{open: map[string]bool{}}
	shared := links.NewShared(open)
	members, report := shared.User(), shared.User()
	members.Connect("a")
	members.Connect("a")
	report.Connect("a")
	members.Disconnect("a")
	assert.Assert(t, open.open["a"])
	members.Disconnect("a")
	assert.Assert(t, open.open["a"], "a second call of one part counted for the other")
	report.Disconnect("a")
	assert.Assert(t, !open.open["a"])
	members.Connect("a")
	assert.Assert(t, open.open["a"])
}
