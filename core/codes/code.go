package codes

import "strconv"

// Code is a numbered result; see docs/RESULT-CODES.md for the table.
type Code int

// Info describes one code for the table in the docs.
type Info struct {
	Code    Code
	Name    string
	Meaning string
	Action  string
}

// All returns every known code in the order of the table.
func All() []Info {
	var all []Info
	for _, t := range [][]Info{callerTable, rejectTable, upstreamTable, dedupTable, settingsTable, startupTable, adminTable} {
		all = append(all, t...)
	}
	return all
}

// Name returns the name of a code in the table.
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
