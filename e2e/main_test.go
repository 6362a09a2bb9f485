package e2e_test

import (
	"fmt"
	"os"
	"testing"

	"ebonyrouter.dev/fleet"
)

// failureLogBytes is the maximum output of each process that a failed test logs.
const failureLogBytes = 2000

// binaries holds the programs, which TestMain builds once for all tests.
var binaries fleet.Binaries

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs, runs all tests and returns the exit code.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ebony-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if binaries, err = fleet.Build(dir, "entry", "platform", "steer", "teststore", "testup"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// deploy starts a deployment and waits until every target has a usable owner.
func deploy(t *testing.T, s fleet.Spec) *fleet.Deployment {
	t.Helper()
	return fleet.Deploy(t, binaries, s, fleet.WithFailureLog(failureLogBytes))
}
