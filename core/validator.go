package core

// Validator is implemented by every wire type; decoders call Validate before they hand out a value.
type Validator interface {
	// Validate returns an error that names each field with an invalid value.
	Validate() error
}
