package links

// RemoteError is the error that the peer's request handler returned.
type RemoteError struct {
	Text string
}

// Error implements error.Error.
func (r *RemoteError) Error() string {
	return "peer: " + r.Text
}
