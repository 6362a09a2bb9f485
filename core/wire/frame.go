package wire

// Frame is one unit of a connection; Body is at most MaxBodyBytes long.
type Frame struct {
	Body []byte
	Kind Kind
}
