package e2e_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// knownRedModule is the source of a package with a passing test and a test with one failing case.
const knownRedModule = `package small

import "testing"

func TestSound(t *testing.T) {}

func TestBroken(t *testing.T) {
	t.Run("one", func(t *testing.T) { t.Error("one is broken") })
	t.Run("two (2)", func(t *testing.T) {})
}
`

// Guards against a test script that ignores failures not listed in KNOWN-RED.txt or hides the listed ones, and against
// entries of the list that are outdated or name no test.
func TestKnownRed(t *testing.T) {
	t.Parallel()
	script, err := filepath.Abs("../scripts/test.sh")
	assert.NilError(t, err)
	tests := map[string]struct {
		list   string
		passes bool
		texts  []string
	}{
		"nothing is listed":          {list: "None.\n", texts: []string{"one is broken", "--- FAIL: TestBroken"}},
		"the failing case is listed": {list: "test: . TestBroken/one\n", passes: true, texts: []string{"one is broken", "TestBroken/one fails as listed"}},
		"the whole test is listed":   {list: "test: . TestBroken\n", passes: true, texts: []string{"one is broken", "TestBroken fails as listed"}},
		"another case is listed":     {list: "test: . TestBroken/two_(2)\n", texts: []string{"one is broken", "TestBroken/two_(2) passes again"}},
		"a sound test is listed too": {list: "test: . TestBroken/one\ntest: . TestSound\n", passes: true, texts: []string{"TestSound passes again"}},
		"no such package":            {list: "test: ./none TestBroken/one\n", texts: []string{"./none TestBroken/one: not a package"}},
		"no test is named":           {list: "test: .\n", texts: []string{"not a package and the name of a test"}},
		"no such case":               {list: "test: . TestBroken/one\ntest: . TestSound/none\n", texts: []string{"TestSound/none names no test that runs"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			for file, text := range map[string]string{"go.mod": "module small\n\ngo 1.26\n", "small_test.go": knownRedModule, "KNOWN-RED.txt": test.list} {
				assert.NilError(t, os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600))
			}
			cmd := exec.Command(script, "./...")
			cmd.Dir, cmd.Env = dir, append(os.Environ(), "GOWORK=off", "EBONY_TEST_FLAGS=")
			out, err := cmd.CombinedOutput()
			assert.Equal(t, err == nil, test.passes, "%s", out)
			for _, text := range test.texts {
				assert.Assert(t, strings.Contains(string(out), text), "%q is missing in: %s", text, out)
			}
		})
	}
}
