package links

// result ends the wait for a reply.
type result struct {
	err     error
	payload []byte
}
