package event_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"ebonyrouter.dev/core/event"
)

const tablePath = "../../docs/LOG-EVENTS.md"

// Guards against an event that is missing from the documentation or whose number is used twice; -update rewrites the page.
func TestCatalogueInDocs(t *testing.T) {
	messages := map[event.ID]string{}
	for _, i := range event.All() {
		assert.Equal(t, messages[i.ID], "", "number %d is used twice", i.ID)
		messages[i.ID] = i.Message
	}
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(tablePath, []byte(event.Page()), 0o644))
	}
	written, err := os.ReadFile(tablePath)
	assert.NilError(t, err)
	assert.Equal(t, string(written), event.Page())
}
