package blocks

import "strings"

// FaultsError lists all errors in a block file, ordered by line.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.Error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
