package wire

// Frame is the unit of transmission on a connection. Body has at most MaxBodyBytes.
type Frame struct {
	Body []byte
	Kind Kind
	// Reserved is what a Reader has reserved for the body, in bytes.
	Reserved int64
}
