package drive

// outcomeKind classifies the outcome of a request.
type outcomeKind int

const (
	kindError outcomeKind = iota
	kindMismatch
	kindRejected
	kindSuccess
	kindUnsent
)

// outcome is the result of one request for its caller. failovers is the number of hosts tried before the last one.
type outcome struct {
	kind      outcomeKind
	failovers int64
	result    string
	token     string
}
