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
	seen := map[codes.Code]string{}
	names := map[string]bool{}
	for _, i := range codes.All() {
		assert.Equal(t, seen[i.Code], "", "%d is numbered twice", i.Code)
		seen[i.Code] = i.Name
		assert.Assert(t, !names[i.Name], "%s is used twice", i.Name)
		names[i.Name] = true
	}
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(tablePath, []byte(codes.Page()), 0o644))
	}
	written, err := os.ReadFile(tablePath)
	assert.NilError(t, err)
	assert.Equal(t, string(written), codes.Page())
}
