package links

import "github.com/juju/errors"

// request is a request message; its reply has the same id and attempt.
type request struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the msgpack package.

	Attempt int    `msgpack:"attempt"`
	ID      uint64 `msgpack:"id"`
	Payload []byte `msgpack:"payload"`
	Topic   string `msgpack:"topic"`
}

// Validate implements core.Validator.Validate.
func (r *request) Validate() error {
	if r.Attempt < 1 {
		return errors.Errorf("attempt: %d, want at least 1", r.Attempt)
	}
	return checkTopic(r.Topic)
}
