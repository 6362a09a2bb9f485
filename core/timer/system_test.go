package timer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that starts although the clock cannot be read, and against an error without its result code.
func TestSystemNeedsClock(t *testing.T) {
	const noClock = 99
	_, err := newSystem(noClock)
	assert.ErrorContains(t, err, "code 8002")
}
