package links

// result is the outcome of a request: the payload of its reply or an error.
type result struct {
	err     error
	payload []byte
}
