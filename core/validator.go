package core

// Validator is implemented by the types of messages; wire.Decode calls Validate on each decoded value.
type Validator interface {
	// Validate returns an error that names the first field with an invalid value.
	Validate() error
}
