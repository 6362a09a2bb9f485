package agent

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"ebonyrouter.dev/core"
	"ebonyrouter.dev/core/wire"
)

// Guards against a status that still lists the objects of an older ownership document: the agent caches the object names
// of a document.
func TestStatusFollowsOwnership(t *testing.T) {
	links := &fakeLinks{}
	a := newTestAgent(t, links)
	owned := func() []string {
		a.sendStatus()
		var s core.EntryStatus
		assert.NilError(t, wire.Decode(links.last, &s))
		return s.Owned
	}
	assert.Equal(t, len(owned()), 4)
	content, err := json.Marshal(core.Ownership{
		Epoch: 2, Objects: map[string]core.ObjectOwner{"target/statusboard/statusboard-0001": {Since: 2}}, Region: "region-1",
	})
	assert.NilError(t, err)
	_, err = a.keeper.Offer(core.Document{Content: content, Name: core.KeyOwnershipPrefix + "region-1", Version: 2})
	assert.NilError(t, err)
	assert.DeepEqual(t, owned(), []string{"target/statusboard/statusboard-0001"})
}
