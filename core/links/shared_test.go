package links_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/links"
)

// connectedLinks records which addresses are connected.
type connectedLinks struct {
	core.Links
	connected map[string]bool
}

func (o *connectedLinks) Connect(address string) { o.connected[address] = true }

func (o *connectedLinks) Disconnect(address string) { delete(o.connected, address) }

// Guards against a link that one component closes while another one uses it, and against a link that stays open without a
// user.
func TestSharedLinks(t *testing.T) {
	linksStub := &connectedLinks{connected: map[string]bool{}}
	shared := links.NewShared(linksStub)
	first, second := shared.User(), shared.User()
	first.Connect("a")
	first.Connect("a")
	second.Connect("a")
	first.Disconnect("a")
	assert.Assert(t, linksStub.connected["a"])
	first.Disconnect("a")
	assert.Assert(t, linksStub.connected["a"], "a repeated Disconnect of one user was counted for the other")
	second.Disconnect("a")
	assert.Assert(t, !linksStub.connected["a"])
	first.Connect("a")
	assert.Assert(t, linksStub.connected["a"])
}
