package links

// RemoteError is an error with which the peer replied to a request.
type RemoteError struct {
	Text string
}

// Error implements error.Error.
func (r *RemoteError) Error() string {
	return "peer: " + r.Text
}
