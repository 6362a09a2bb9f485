package wire

// Kind is the type of the body of a frame.
type Kind byte

// Kinds of frames.
const (
	KindHello     Kind = 1
	KindHeartbeat Kind = 2
	KindMessage   Kind = 3
	KindRequest   Kind = 4
	KindReply     Kind = 5
)
