package blocks

import "fmt"

// Fault is one error in a block file; Subject is the prefix or site concerned, or empty if the line has none.
type Fault struct {
	Line    int
	Subject string
	Text    string
}

// String returns the line number, the subject if there is one, and the text.
func (f Fault) String() string {
	if f.Subject == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Subject, f.Text)
}
