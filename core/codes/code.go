package codes

import "strconv"

// Code is the number of a result; docs/RESULT-CODES.md lists all of them.
type Code int

// Info describes one code. Meaning and Action are texts for docs/RESULT-CODES.md.
type Info struct {
	Code    Code
	Name    string
	Meaning string
	Action  string
}

// All returns all codes in the order of docs/RESULT-CODES.md.
func All() []Info {
	var all []Info
	for _, table := range [][]Info{callerTable, rejectTable, upstreamTable, dedupTable, settingsTable, startupTable, adminTable} {
		all = append(all, table...)
	}
	return all
}

// Name returns the name of code, or "unknown" if it is not listed.
func Name(code Code) string {
	for _, info := range All() {
		if info.Code == code {
			return info.Name
		}
	}
	return "unknown"
}

// String returns the decimal number of the code.
func (c Code) String() string {
	return strconv.Itoa(int(c))
}
