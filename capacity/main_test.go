package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a wrong fit or extrapolation, and against points that are taken from benchmarks without a number of hosts.
func TestRun(t *testing.T) {
	in := "goos: linux\nBenchmarkSteady/hosts=8-10 1 5 ns/op 18 B/s\nBenchmarkSteady/hosts=16-10 1 5 ns/op 34 B/s\n" +
		"BenchmarkSteady/hosts=32 1 5 ns/op 66 B/s\nBenchmarkOther-10 1 5 ns/op 7 B/s\n"
	var out strings.Builder
	assert.NilError(t, run(strings.NewReader(in), &out, 690))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3)
	assert.Equal(t, lines[2], "| Steady B/s | 8: 18, 16: 34, 32: 66 | 2 | 2 | 0 | 1382 |")
}
