package drive

// kind sorts the outcomes of requests.
type kind int

const (
	kindError kind = iota
	kindMismatch
	kindRejected
	kindSuccess
	kindUnsent
)

// outcome is what a caller saw of one request; moved counts the hosts that were passed over.
type outcome struct {
	kind   kind
	moved  int64
	result string
	token  string
}
