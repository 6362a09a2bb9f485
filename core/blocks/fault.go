package blocks

import "fmt"

// Fault is one fault of a block file; Subject is the prefix or site at fault, empty if the line names none.
type Fault struct {
	Line    int
	Subject string
	Text    string
}

// String returns the line, the subject and the text.
func (f Fault) String() string {
	if f.Subject == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Subject, f.Text)
}
