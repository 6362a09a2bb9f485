package timer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that starts without a readable clock, or that ends without the number of the cause.
func TestSystemNeedsClock(t *testing.T) {
	const noClock = 99
	_, err := newSystem(noClock)
	assert.ErrorContains(t, err, "code 8002")
}
