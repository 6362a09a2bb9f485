package wire

// Frame is the unit of transmission on a connection. Body has at most MaxBodyBytes.
type Frame struct {
	Body []byte
	Kind Kind
}
