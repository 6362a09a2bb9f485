package owner

// mutationResult is the result of computing a change from the newest document.
type mutationResult struct {
	// refusal is the reason why the change must not be made, or "".
	refusal string
	// changed means that the mutation changed the document, which has to be written.
	changed bool
}
