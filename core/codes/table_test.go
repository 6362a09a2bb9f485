package codes_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"ebonyrouter.dev/core/codes"
)

const tablePath = "../../docs/RESULT-CODES.md"

// Guards against a code that is missing from the documentation or whose number or name is used twice; -update rewrites the page.
func TestTableInDocs(t *testing.T) {
	names := map[codes.Code]string{}
	nameUsed := map[string]bool{}
	for _, i := range codes.All() {
		assert.Equal(t, names[i.Code], "", "code %d is used twice", i.Code)
		names[i.Code] = i.Name
		assert.Assert(t, !nameUsed[i.Name], "name %s is used twice", i.Name)
		nameUsed[i.Name] = true
	}
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(tablePath, []byte(codes.Page()), 0o644))
	}
	written, err := os.ReadFile(tablePath)
	assert.NilError(t, err)
	assert.Equal(t, string(written), codes.Page())
}
