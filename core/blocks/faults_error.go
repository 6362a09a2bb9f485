package blocks

import "strings"

// FaultsError lists every fault of a block file in the order of its lines.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.Error.
func (f *FaultsError) Error() string {
	lines := make([]string, 0, len(f.Faults))
	for _, fault := range f.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
