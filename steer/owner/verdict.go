package owner

// verdict says what a change computed from the newest document means.
type verdict struct {
	// refusal is the reason why the change must not be made.
	refusal string
	// write means that the document was changed and has to be written.
	write bool
}
