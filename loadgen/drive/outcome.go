package drive

// outcomeKind classifies the outcome of a request. The zero value is kindError.
type outcomeKind int

const (
	kindError outcomeKind = iota
	kindMismatch
	kindRejected
	kindSuccess
	kindUnsent
)

// outcome is the outcome of one request for its caller. failovers is the number of hosts tried before the last one, result is
// the key in Report.Results, and token is set only for a POST or PATCH request that was rejected as not run.
type outcome struct {
	kind      outcomeKind
	failovers int64
	result    string
	token     string
}
