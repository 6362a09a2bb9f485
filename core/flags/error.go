package flags

import (
	"fmt"
	"strings"

	"ebonyrouter.dev/core/codes"
)

// Error lists all invalid process settings.
type Error struct {
	Code   codes.Code
	Faults []Fault
}

// Error implements error.Error.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("-%s: %s", f.Flag, f.Text))
	}
	return fmt.Sprintf("invalid process settings (code %d): %s", e.Code, strings.Join(lines, "; "))
}
